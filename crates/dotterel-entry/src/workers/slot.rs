//! Capacity set apart for one task.

use std::sync::Arc;

use dotterel_coord::Permit;
use dotterel_kernel::{Epoch, Placement, TaskId, VmId};
use dotterel_platform::Upstream;

use super::{Begun, Workers};

/// Capacity set apart on one VM for one task; dropping it gives the capacity back.
///
/// It must be kept until the task provably no longer runs and never will.
pub struct Slot {
    workers: Workers,
    task: TaskId,
    placement: Placement,
    begun: Begun,
    end: End,
    left: bool,
}

/// How a task ended, as far as its VM is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It never started, or nothing is known of it.
    Unused,
    /// It ran to its end.
    Ran,
    /// It started and failed.
    Failed,
}

impl Slot {
    pub(super) const fn new(
        workers: Workers,
        task: TaskId,
        placement: Placement,
        begun: Begun,
    ) -> Self {
        Self {
            workers,
            task,
            placement,
            begun,
            end: End::Unused,
            left: false,
        }
    }

    /// Returns the task.
    #[must_use]
    pub const fn task(&self) -> TaskId {
        self.task
    }

    /// Returns the VM.
    #[must_use]
    pub const fn vm(&self) -> &VmId {
        &self.placement.id
    }

    /// Returns how the VM was chosen.
    #[must_use]
    pub const fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Returns the right to start the task.
    #[must_use]
    pub const fn permit(&self) -> Permit {
        self.begun.permit
    }

    /// Returns the epoch of the worker lease at the time of the placement.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.begun.epoch
    }

    /// Returns the VM's adapter.
    #[must_use]
    pub const fn upstream(&self) -> &Arc<dyn Upstream> {
        &self.begun.upstream
    }

    /// Gives the slot to a task, in place of the one that it was set apart for.
    pub fn assign(&mut self, task: TaskId) {
        self.workers.rename(&self.placement.id, self.task, task);
        self.task = task;
    }

    /// Leaves the task to its VM, whose renewals tell when it no longer runs.
    pub fn leave(mut self) {
        self.workers.adopt(&self.placement.id, self.task);
        self.left = true;
    }

    /// Says how the task ended, before the slot is dropped.
    pub const fn ended(&mut self, end: End) {
        self.end = end;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.left {
            return;
        }
        self.workers.finish(&self.placement.id, self.task, self.end);
    }
}
