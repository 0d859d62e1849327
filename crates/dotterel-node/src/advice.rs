//! A node's calls to the advice service.
//!
//! The service handles the calls of a node one after the other, also those that the node has given up.
//! A call that is given up early therefore delays the next one, and with a full queue each call would
//! be given up. Calls wait here instead, and are given up before they are sent or not at all.

use compact_str::CompactString;
use dotterel_cell::JobId;
use dotterel_kernel::{Clock, Millis};
use tokio::sync::Semaphore;

use crate::platform::{AdvisedVm, Platform};

/// Calls in flight: while the service handles one, the next is on its way.
const MAX_CALLS: usize = 2;
/// A call that has waited here for this part of its timeout is given up.
const MAX_WAIT_DIVISOR: u64 = 2;
/// Timeout of a call that was sent, for broken connections: far longer than the calls in flight take.
const CALL_TIMEOUT: Millis = Millis(2000);

/// Limits the calls of a node.
#[derive(Debug)]
pub struct AdviceCalls {
    permits: Semaphore,
}

impl Default for AdviceCalls {
    fn default() -> Self {
        Self {
            permits: Semaphore::new(MAX_CALLS),
        }
    }
}

impl AdviceCalls {
    /// Asks which of the VMs may run a step. Returns none if the call failed, or was given up after
    /// waiting for half of `timeout`.
    pub async fn call<P: Platform>(
        &self,
        platform: &P,
        clock: Clock,
        step: (JobId, u32, u16),
        vms: &[CompactString],
        timeout: Millis,
    ) -> Option<Vec<AdvisedVm>> {
        let queued_at = clock.now();
        let Ok(_permit) = self.permits.acquire().await else {
            return None;
        };
        let waited = clock.now().since(queued_at);
        if waited.0 > timeout.0 / MAX_WAIT_DIVISOR {
            log::info!(
                job:% = step.0, step = step.2, waited_ms = waited.0; "advice call given up");
            return None;
        }
        let advice = platform.advise(step, vms, CALL_TIMEOUT).await;
        if let Err(err) = &advice {
            log::info!(job:% = step.0, step = step.2, fault:? = err; "advice call failed");
        }
        advice.ok()
    }
}
