//! Which VMs are about to go.

use dotterel_kernel::{Millis, VmId};
use dotterel_platform::{Listing, Role, VmState};

/// The VMs that are about to go, by the platform's list or by their own word.
///
/// Either word is enough, and neither takes the other back. A VM that leaves stays so until it is
/// gone from a list made after both words; another VM may then bear its name.
#[derive(Clone, Debug, Default)]
pub struct LeavingVms {
    /// Sorted by VM, each with the time of the last word.
    vms: Vec<(VmId, Millis)>,
    as_of: Millis,
}

impl LeavingVms {
    /// Takes in the platform's list; an older one than before changes nothing.
    pub fn update_list(&mut self, list: &Listing) {
        if list.as_of < self.as_of {
            return;
        }
        self.as_of = list.as_of;
        self.vms
            .retain(|(vm, at)| list.as_of <= *at || list.vms.iter().any(|it| it.id == vm.0));
        for vm in &list.vms {
            if vm.role == Role::Worker && vm.state == VmState::Leaving {
                self.note(VmId(vm.id.clone()), list.as_of);
            }
        }
    }

    /// Takes in a VM's own word, from a grant, a renewal or a refusal.
    pub fn mark_leaving(&mut self, vm: &VmId, now: Millis) {
        self.note(vm.clone(), now);
    }

    /// Returns true when the VM takes no new work.
    #[must_use]
    pub fn contains(&self, vm: &VmId) -> bool {
        self.position(vm).is_ok()
    }

    /// Returns the VMs that leave, sorted.
    pub fn iter(&self) -> impl Iterator<Item = &VmId> {
        self.vms.iter().map(|(vm, _)| vm)
    }

    /// Returns how long ago the newest list was made.
    #[must_use]
    pub const fn list_age(&self, now: Millis) -> Millis {
        now.since(self.as_of)
    }

    fn note(&mut self, vm: VmId, at: Millis) {
        match self.position(&vm) {
            Ok(place) => self.vms[place].1 = self.vms[place].1.max(at),
            Err(place) => self.vms.insert(place, (vm, at)),
        }
    }

    fn position(&self, vm: &VmId) -> Result<usize, usize> {
        self.vms.binary_search_by(|(it, _)| it.cmp(vm))
    }
}
