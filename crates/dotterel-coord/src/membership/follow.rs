//! Follows the platform's list.

use dotterel_kernel::Millis;
use dotterel_platform::{CallError, Listing, VmList};

use crate::lease::with_timeout;

/// Reads the list again and again, `period` after each answer, and tells every outcome.
///
/// After the first answer only data centres whose VMs have changed are read.
///
/// A read that takes longer than `limit` counts as failed. A reader that must act within three
/// seconds of a change needs `period` and `limit` to sum up to less.
pub async fn follow(
    list: &dyn VmList,
    period: Millis,
    limit: Millis,
    mut tell: impl FnMut(Result<Listing, CallError>),
) {
    let mut held = Listing::default();
    let mut tags = Vec::new();
    loop {
        let read = with_timeout(limit, list.changes(&tags)).await;
        tell(read.map(|changes| {
            let changed = !changes.data_centres.is_empty();
            held.apply(changes);
            if changed {
                tags = held.hashes();
            }
            held.clone()
        }));
        tokio::time::sleep(period.duration()).await;
    }
}
