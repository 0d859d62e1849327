//! Queues whose tasks may have crashed VMs, and the addresses of these VMs.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use super::Cell;
use crate::spec::JobId;
use crate::vm::{VmKey, VmRun};

/// Suspected crashes closer than this have a common cause, such as the loss of a rack.
const MIN_RECURRENCE: Millis = Millis(200);
/// Suspected crashes further apart than this are unrelated.
const MAX_RECURRENCE: Millis = Millis::secs(6);
/// Time for which a queue stays suspect after the last of several suspected crashes.
const QUEUE_SUSPICION_TIME: Millis = Millis::secs(10);
/// Time for which other work avoids a VM that returns to the address of one that a task may have
/// crashed: it has no runs, so it is the best place for the next such task.
const RISKED_ADDRESS_TIME: Millis = Millis::secs(10);

/// A queue whose tasks may have crashed VMs.
#[derive(Clone, Debug)]
pub(super) struct SuspectQueue {
    name: CompactString,
    last_crash: Millis,
    /// Set by the second suspected crash within a while.
    until: Millis,
}

impl Cell {
    pub(super) fn suspect_queues_of(&mut self, suspects: &[VmRun], now: Millis) {
        let mut jobs: Vec<JobId> = suspects.iter().map(|run| run.task.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        for job in jobs {
            self.suspect_queue(job, now);
        }
    }

    fn suspect_queue(&mut self, job: JobId, now: Millis) {
        let Some(key) = self.job_key(job) else {
            return;
        };
        let name = &self.jobs[key].policy.queue;
        let known = self
            .suspect_queues
            .iter_mut()
            .find(|queue| queue.name == *name);
        let Some(queue) = known else {
            self.suspect_queues.push(SuspectQueue {
                name: name.clone(),
                last_crash: now,
                until: Millis::ZERO,
            });
            return;
        };
        let interval = now.since(queue.last_crash);
        if interval < MIN_RECURRENCE {
            return;
        }
        if interval <= MAX_RECURRENCE || now < queue.until {
            queue.until = now + QUEUE_SUSPICION_TIME;
        }
        queue.last_crash = now;
    }

    /// Returns true if a task of a queue may have crashed a VM in the last seconds.
    pub(crate) fn has_crashed_lately(&self, name: &str, now: Millis) -> bool {
        let mut queues = self.suspect_queues.iter();
        queues.any(|queue| queue.name == name && now.since(queue.last_crash) < QUEUE_SUSPICION_TIME)
    }

    /// Returns true if tasks of a queue have crashed VMs again and again in the last seconds.
    pub(crate) fn is_suspect_queue(&self, name: &str, now: Millis) -> bool {
        let mut queues = self.suspect_queues.iter();
        queues.any(|queue| queue.name == name && now < queue.until)
    }

    /// Notes that a VM that returns to the address of a lost one may be risked again.
    pub(super) fn risk_address_of(&mut self, key: VmKey, now: Millis) {
        let address = self.vms[key].info.address.clone();
        self.risked_addresses.retain(|(_, until)| now < *until);
        self.risked_addresses
            .push((address, now + RISKED_ADDRESS_TIME));
    }

    /// Returns until when other work avoids a VM that is listed at an address.
    pub(super) fn risked_until(&self, address: &str) -> Millis {
        let known = self.risked_addresses.iter();
        let times = known.filter(|(risked, _)| risked == address);
        times.map(|(_, until)| *until).max().unwrap_or_default()
    }
}
