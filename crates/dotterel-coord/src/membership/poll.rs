//! Polling of the platform's VM list.

use dotterel_kernel::Millis;
use dotterel_platform::{CallError, Listing, VmList};

use crate::lease::with_timeout;

/// Polls the list, waiting `period` after each read, and passes every result to `on_result`.
///
/// After the first successful read, only data centres whose VMs have changed are read.
///
/// A read that takes longer than `timeout` counts as failed. For a change to be seen within three
/// seconds, `period` and `timeout` must add up to less than that.
pub async fn poll_vm_list(
    list: &dyn VmList,
    period: Millis,
    timeout: Millis,
    mut on_result: impl FnMut(Result<Listing, CallError>),
) {
    let mut listing = Listing::default();
    let mut hashes = Vec::new();
    loop {
        let result = with_timeout(timeout, list.changes(&hashes)).await;
        on_result(result.map(|changes| {
            let changed = !changes.data_centres.is_empty();
            listing.apply(changes);
            if changed {
                hashes = listing.hashes();
            }
            listing.clone()
        }));
        tokio::time::sleep(period.duration()).await;
    }
}
