//! VMs that are being drained.

use dotterel_kernel::{Millis, VmId};
use dotterel_platform::{Listing, Role, VmState};

/// The VMs that are leaving, according to the platform's list or to the VM itself.
///
/// Either source is enough, and neither revokes the other. A VM counts as leaving until it is
/// absent from a list made after the latest such report; another VM may then reuse its name.
#[derive(Clone, Debug, Default)]
pub struct LeavingVms {
    /// The VMs, sorted, each with the time of the latest report.
    vms: Vec<(VmId, Millis)>,
    as_of: Millis,
}

impl LeavingVms {
    /// Applies the platform's list, unless it is older than the last one.
    pub fn update_list(&mut self, list: &Listing) {
        if list.as_of < self.as_of {
            return;
        }
        self.as_of = list.as_of;
        self.vms.retain(|(vm, at)| {
            list.as_of <= *at || list.vms.iter().any(|listed| listed.id == vm.0)
        });
        for vm in &list.vms {
            if vm.role == Role::Worker && vm.state == VmState::Leaving {
                self.record(VmId(vm.id.clone()), list.as_of);
            }
        }
    }

    /// Records that a VM reported itself as leaving, in a grant, a renewal or a refusal.
    pub fn mark_leaving(&mut self, vm: &VmId, now: Millis) {
        self.record(vm.clone(), now);
    }

    /// Returns true if the VM is leaving and accepts no new work.
    #[must_use]
    pub fn contains(&self, vm: &VmId) -> bool {
        self.position(vm).is_ok()
    }

    /// Returns the leaving VMs, sorted.
    pub fn iter(&self) -> impl Iterator<Item = &VmId> {
        self.vms.iter().map(|(vm, _)| vm)
    }

    /// Returns the age of the newest list.
    #[must_use]
    pub const fn list_age(&self, now: Millis) -> Millis {
        now.since(self.as_of)
    }

    fn record(&mut self, vm: VmId, at: Millis) {
        match self.position(&vm) {
            Ok(index) => self.vms[index].1 = self.vms[index].1.max(at),
            Err(index) => self.vms.insert(index, (vm, at)),
        }
    }

    fn position(&self, vm: &VmId) -> Result<usize, usize> {
        self.vms.binary_search_by(|(known, _)| known.cmp(vm))
    }
}
