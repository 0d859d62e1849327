//! The fencing tokens of VMs.
//!
//! A VM that starts again under its id has seen no token, and carries out calls that were meant for its former
//! life: its clock and its ends are numbered anew, so their leases and acknowledgements mean something else there.
//! Each life is therefore called with a token of its own, higher than those of all former lives. Once the life has
//! replied to it, calls meant for a former one are rejected. Tokens are versions of the leader's own transactions,
//! so a successor's are higher still.

use super::Cell;
use crate::vm::VmKey;

impl Cell {
    /// Records the version of a transaction that the leader has committed in the partition of the leader row:
    /// elsewhere, transactions may succeed after a takeover.
    pub const fn note_own_version(&mut self, version: u64) {
        if version > self.fence {
            self.fence = version;
        }
    }

    /// Returns the token that calls to a VM carry. `None` until the leader has committed a transaction since calls
    /// to a former life of the VM have carried the newest one.
    pub fn fence(&mut self, key: VmKey) -> Option<u64> {
        let vm = self.vms.get_mut(key)?;
        if vm.fence.is_none() && self.fence > vm.former_fence {
            vm.fence = Some(self.fence);
        }
        vm.fence
    }
}
