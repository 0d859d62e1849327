//! Capacity held for tasks of jobs until their starts or the hold's expiry.

use std::sync::{Mutex, MutexGuard, PoisonError};

use dotterel_coord::jobs::{HeldVms, HoldId};
use dotterel_kernel::{Millis, VmId};

use crate::workers::Slot;

/// The holds on this node's VMs.
#[derive(Default)]
pub struct Holds {
    state: Mutex<Vec<Hold>>,
}

struct Hold {
    id: HoldId,
    ttl: Millis,
    expires: Millis,
    slots: Vec<Slot>,
}

impl Holds {
    /// Returns the VMs of an existing hold.
    #[must_use]
    pub fn find(&self, id: HoldId) -> Option<HeldVms> {
        let state = self.state();
        let hold = state.iter().find(|hold| hold.id == id)?;
        Some(hold.held_vms())
    }

    /// Adds a hold that expires after `ttl`.
    pub fn add(&self, id: HoldId, slots: Vec<Slot>, ttl: Millis, now: Millis) -> HeldVms {
        let hold = Hold {
            id,
            ttl,
            expires: now + ttl,
            slots,
        };
        let held = hold.held_vms();
        self.state().push(hold);
        held
    }

    /// Renews a hold for its TTL; returns false if it has expired.
    pub fn commit(&self, id: HoldId, now: Millis) -> bool {
        let mut state = self.state();
        match state.iter_mut().find(|hold| hold.id == id) {
            Some(hold) if hold.expires > now => {
                hold.expires = now + hold.ttl;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Releases a hold.
    pub fn release(&self, id: HoldId) {
        self.remove_where(|hold| hold.id == id);
    }

    /// Removes and returns the hold's slot on a VM for a start; returns `None` if the hold has expired.
    #[must_use]
    pub fn take(&self, id: HoldId, vm: &VmId, now: Millis) -> Option<Slot> {
        let mut state = self.state();
        let mut holds = state.iter_mut();
        let hold = holds.find(|hold| hold.id == id && hold.expires > now)?;
        let index = hold.slots.iter().position(|slot| slot.vm() == vm)?;
        Some(hold.slots.swap_remove(index))
    }

    /// Removes holds that have expired or have no slots left.
    pub fn remove_expired(&self, now: Millis) {
        self.remove_where(|hold| hold.expires <= now || hold.slots.is_empty());
    }

    /// Removes matching holds and drops them after the lock is released.
    fn remove_where(&self, condition: impl FnMut(&mut Hold) -> bool) {
        let removed: Vec<Hold> = self.state().extract_if(.., condition).collect();
        drop(removed);
    }

    fn state(&self) -> MutexGuard<'_, Vec<Hold>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Hold {
    fn held_vms(&self) -> HeldVms {
        HeldVms {
            vms: self.slots.iter().map(|slot| slot.vm().clone()).collect(),
        }
    }
}
