//! Starts of isolated runs that wait until the store names them.
//!
//! A successor can't see what ran on a VM that is gone. A run that may crash its VM is therefore recorded
//! with its job's progress before its start order is issued.

use dotterel_kernel::Millis;

use super::{Cell, Order};
use crate::job::{JobKey, Release};
use crate::vm::{RunPhase, VmRun};

/// A start that waits until the store names its run.
#[derive(Clone, Debug)]
pub(crate) struct HeldStart {
    pub(crate) order: Order,
    pub(crate) job: JobKey,
    pub(crate) seq: u64,
}

/// Whether a held start can be issued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeldState {
    Ready,
    /// Its record isn't durable yet.
    Waiting,
    /// Its VM may not be given a run any more.
    Unusable,
    /// The run no longer exists.
    Gone,
}

impl Cell {
    /// Issues the starts of isolated runs whose records are durable.
    pub(super) fn issue_held_starts(&mut self) {
        for held in std::mem::take(&mut self.held_starts) {
            match self.judge_held_start(&held) {
                HeldState::Ready => self.orders.push(held.order),
                HeldState::Waiting | HeldState::Unusable => self.held_starts.push(held),
                HeldState::Gone => {}
            }
        }
    }

    /// Cancels the starts of isolated runs whose VMs have become unusable in the meantime: a record
    /// takes as long as the store is away.
    pub(super) fn cancel_unusable_held_starts(&mut self, now: Millis) {
        let mut cancelled = Vec::new();
        for held in std::mem::take(&mut self.held_starts) {
            if self.judge_held_start(&held) == HeldState::Unusable {
                cancelled.push(held.order);
            } else {
                self.held_starts.push(held);
            }
        }
        for order in cancelled {
            if let Order::Start { vm, task, run, .. } = order {
                self.forget_loss(task, run, now);
                self.release(vm, task, run, Release::Withdrawn, now);
            }
        }
    }

    fn judge_held_start(&self, held: &HeldStart) -> HeldState {
        let Order::Start { vm, task, run, .. } = &held.order else {
            return HeldState::Gone;
        };
        let vm = self.vms.get(*vm);
        let Some((vm, vm_run)) = vm.and_then(|vm| Some((vm, &vm.runs[vm.find(*task, *run)?])))
        else {
            return HeldState::Gone;
        };
        let is_usable = self.accepts_run(vm, *task) && vm.used.fits(&vm.info.capacity);
        let durable_seq = self.jobs.get(held.job).map(|job| job.durable_seq);
        if vm_run.phase != RunPhase::Starting {
            // It is being stopped, as its job has ended.
            HeldState::Gone
        } else if !is_usable {
            HeldState::Unusable
        } else if durable_seq.is_some_and(|seq| seq >= held.seq) {
            HeldState::Ready
        } else {
            HeldState::Waiting
        }
    }

    /// Returns true if the start of a run has not been issued yet.
    pub(super) fn is_held(&self, vm_run: &VmRun) -> bool {
        let name = (vm_run.task, vm_run.run);
        let mut held = self.held_starts.iter();
        held.any(|held| matches!(held.order, Order::Start { task, run, .. } if (task, run) == name))
    }
}
