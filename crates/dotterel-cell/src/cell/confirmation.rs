//! Up to when this leader is known to have had no successor.
//!
//! A leader that is cut off from the store may have been replaced without noticing: its successor
//! reaches a VM, extends the lease there, and counts and acknowledges the ends of the runs. What this
//! leader knows of the runs then no longer holds. Therefore a run counts as lost only once a renewal of
//! the leadership has succeeded that was sent after its VM's lease had expired, or after the VM had
//! shown that the run is over without listing its end, as in its next life: nobody else had counted the
//! end of the run until then, and afterwards nobody could.

use dotterel_kernel::Millis;
use slotmap::SecondaryMap;

use super::{Cell, CellEvent};
use crate::spec::TaskName;
use crate::vm::VmKey;

/// A wait is reported after this time. A leader that reaches the store renews its leadership several
/// times within it.
const REPORTED_WAIT: Millis = Millis(500);

/// The last confirmation of the leadership, and those that are awaited.
#[derive(Clone, Debug, Default)]
pub(super) struct Confirmation {
    /// When the last renewal that succeeded was sent.
    sent_at: Millis,
    /// A renewal sent at this time or later is awaited, unless one has succeeded.
    awaited: Millis,
    /// When ends of earlier terms may last have been missed.
    recovery: Millis,
    /// VMs whose lease has expired and whose runs have not been released yet.
    expiries: SecondaryMap<VmKey, Expiry>,
}

/// The expiry of a VM's lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct Expiry {
    at: Millis,
    /// The release has to wait for a confirmation.
    waits: bool,
    reported: bool,
}

impl Expiry {
    /// Returns how long the release has waited for a confirmation.
    pub(super) fn waited(self, now: Millis) -> Millis {
        if self.waits {
            self.expired(now)
        } else {
            Millis::ZERO
        }
    }

    /// Returns the time since the lease expired.
    pub(super) const fn expired(self, now: Millis) -> Millis {
        now.since(self.at)
    }
}

impl Confirmation {
    /// Returns true if `time` has passed and no other leader can have taken over before. Notes that a
    /// confirmation is awaited if only that is missing.
    pub(super) fn covers(&mut self, time: Millis, now: Millis) -> bool {
        if now >= time {
            self.awaited = self.awaited.max(time);
        }
        self.sent_at >= time
    }

    /// Returns the same for the lease of a VM, and notes its expiry. `expiry` is `None` if the VM has
    /// nothing to release.
    pub(super) fn covers_vm(&mut self, key: VmKey, expiry: Option<Millis>, now: Millis) -> bool {
        let Some(expiry) = expiry else {
            self.expiries.remove(key);
            return false;
        };
        let is_covered = self.covers(expiry, now);
        if now < expiry {
            // It has replied again.
            self.expiries.remove(key);
        } else if !self.expiries.contains_key(key) {
            let noted = Expiry {
                at: expiry,
                waits: !is_covered,
                reported: false,
            };
            self.expiries.insert(key, noted);
        }
        is_covered
    }

    /// Records that another leader may have counted ends of earlier terms that this one doesn't know, so
    /// that recovery waits for a confirmation.
    pub(super) const fn doubt_recovery(&mut self, now: Millis) {
        self.recovery = now;
        self.awaited = now;
    }

    /// Returns true if a confirmation has followed since ends of earlier terms may have been missed.
    pub(super) fn covers_recovery(&self) -> bool {
        self.sent_at >= self.recovery
    }

    /// Removes and returns the expiry of a VM's lease.
    pub(super) fn take_expiry(&mut self, key: VmKey) -> Option<Expiry> {
        self.expiries.remove(key)
    }
}

impl Cell {
    /// Records that a renewal of the leadership has succeeded that was sent at `sent_at`.
    pub fn leadership_confirmed(&mut self, sent_at: Millis) {
        let confirmation = &mut self.confirmation;
        confirmation.sent_at = confirmation.sent_at.max(sent_at);
    }

    /// Reports the waits that have lasted for some time, each once.
    pub(super) fn note_long_waits(&mut self, now: Millis) {
        for (key, expiry) in &mut self.confirmation.expiries {
            let waited = expiry.waited(now);
            if expiry.reported || waited < REPORTED_WAIT {
                continue;
            }
            expiry.reported = true;
            if let Some(vm) = self.vms.get(key) {
                self.events.push(CellEvent::ReleaseWaits {
                    vm: vm.info.id.clone(),
                    silent: now.since(vm.answered_at),
                    waited,
                    runs: vm.runs.len(),
                });
            }
        }
    }

    /// Returns the number of VMs whose lease has expired, and whose runs are released once the leadership
    /// is renewed.
    #[must_use]
    pub fn waiting_releases(&self) -> usize {
        self.confirmation.expiries.len()
    }

    /// Returns true if tasks of lost VMs can start again once the leadership is renewed.
    #[must_use]
    pub const fn needs_confirmation(&self) -> bool {
        self.confirmation.sent_at.0 < self.confirmation.awaited.0
    }

    /// Records that the life of a VM is over: the tasks that may have run there start again only after a
    /// confirmation, whichever way their runs are released.
    pub(super) fn note_ended_life(&mut self, key: VmKey, now: Millis) {
        let Some(vm) = self.vms.get(key) else {
            return;
        };
        let is_awaited = vm.awaited;
        let sent = vm.runs.iter().filter(|vm_run| !vm_run.is_unsent());
        let tasks: Vec<_> = sent.map(|vm_run| vm_run.task).collect();
        if is_awaited {
            // Any restored task may have run there.
            self.confirmation.doubt_recovery(now);
        }
        for name in tasks {
            self.note_vanished_run(name, now);
        }
    }

    /// Records that a run of a task is over although no end of it was listed: another leader may have
    /// counted and acknowledged the end. The task starts again only after a confirmation.
    pub(super) fn note_vanished_run(&mut self, name: TaskName, now: Millis) {
        if let Some(task) = self.task_mut(name) {
            task.vanished_at = now;
            self.confirmation.awaited = now;
        }
    }

    /// Returns when the last renewal of the leadership that succeeded was sent.
    pub(super) const fn confirmed_at(&self) -> Millis {
        self.confirmation.sent_at
    }
}
