//! Capacity set apart for tasks of jobs, until it is used or lapses.

use std::sync::{Mutex, MutexGuard, PoisonError};

use dotterel_coord::jobs::{HeldVms, HoldId};
use dotterel_kernel::{Millis, VmId};

use crate::workers::Slot;

/// The holds at this node.
#[derive(Default)]
pub struct Holds {
    state: Mutex<Vec<Hold>>,
}

struct Hold {
    id: HoldId,
    ttl: Millis,
    until: Millis,
    slots: Vec<Slot>,
}

impl Holds {
    /// Returns an earlier hold under the same identifier.
    #[must_use]
    pub fn find(&self, id: HoldId) -> Option<HeldVms> {
        let state = self.state();
        let hold = state.iter().find(|hold| hold.id == id)?;
        Some(hold.told())
    }

    /// Adds a hold.
    pub fn add(&self, id: HoldId, slots: Vec<Slot>, ttl: Millis, now: Millis) -> HeldVms {
        let hold = Hold {
            id,
            ttl,
            until: now + ttl,
            slots,
        };
        let told = hold.told();
        self.state().push(hold);
        told
    }

    /// Lets a hold last anew; false when it has lapsed.
    pub fn commit(&self, id: HoldId, now: Millis) -> bool {
        let mut state = self.state();
        match state.iter_mut().find(|hold| hold.id == id) {
            Some(hold) if hold.until > now => {
                hold.until = now + hold.ttl;
                true
            }
            Some(_) | None => false,
        }
    }

    /// Gives a hold back.
    pub fn release(&self, id: HoldId) {
        self.take_out(|hold| hold.id == id);
    }

    /// Takes the part of a hold on one VM for a start; none when it has lapsed.
    #[must_use]
    pub fn take(&self, id: HoldId, vm: &VmId, now: Millis) -> Option<Slot> {
        let mut state = self.state();
        let mut holds = state.iter_mut();
        let hold = holds.find(|hold| hold.id == id && hold.until > now)?;
        let index = hold.slots.iter().position(|slot| slot.vm() == vm)?;
        Some(hold.slots.swap_remove(index))
    }

    /// Gives back what has lapsed.
    pub fn sweep(&self, now: Millis) {
        self.take_out(|hold| hold.until <= now || hold.slots.is_empty());
    }

    /// Takes holds out and drops them after the lock is free.
    fn take_out(&self, over: impl FnMut(&mut Hold) -> bool) {
        let gone: Vec<Hold> = self.state().extract_if(.., over).collect();
        drop(gone);
    }

    fn state(&self) -> MutexGuard<'_, Vec<Hold>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Hold {
    fn told(&self) -> HeldVms {
        HeldVms {
            vms: self.slots.iter().map(|slot| slot.vm().clone()).collect(),
        }
    }
}
