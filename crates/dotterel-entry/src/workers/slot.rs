//! Capacity held for one task.

use std::sync::Arc;

use dotterel_coord::Permit;
use dotterel_kernel::{Epoch, Placement, TaskId, VmId};
use dotterel_platform::Upstream;

use super::{StartContext, Workers};

/// Capacity held on one VM for one task; dropping the slot releases it.
///
/// A slot must be kept until it is proven that the task does not run and never will.
pub struct Slot {
    workers: Workers,
    task: TaskId,
    placement: Placement,
    context: StartContext,
    end: TaskEnd,
    detached: bool,
}

/// How a task ended, for the health of its VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It never started, or its outcome is unknown.
    Unused,
    /// It ran to its end.
    Ran,
    /// It started, and it failed or was stopped.
    Failed,
}

impl Slot {
    pub(super) const fn new(
        workers: Workers,
        task: TaskId,
        placement: Placement,
        context: StartContext,
    ) -> Self {
        Self {
            workers,
            task,
            placement,
            context,
            end: TaskEnd::Unused,
            detached: false,
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

    /// Returns the placement.
    #[must_use]
    pub const fn placement(&self) -> &Placement {
        &self.placement
    }

    /// Returns the permit to start the task.
    #[must_use]
    pub const fn permit(&self) -> Permit {
        self.context.permit
    }

    /// Returns the epoch of the worker lease at the time of the placement.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.context.epoch
    }

    /// Returns the VM's adapter.
    #[must_use]
    pub const fn upstream(&self) -> &Arc<dyn Upstream> {
        &self.context.upstream
    }

    /// Reassigns the slot to another task.
    pub fn reassign(&mut self, task: TaskId) {
        self.workers
            .rename_task(&self.placement.id, self.task, task);
        self.task = task;
    }

    /// Detaches the slot from its task.
    ///
    /// The capacity is released once the VM's renewals no longer list the task as running.
    pub fn detach(mut self) {
        self.workers.detach(&self.placement.id, self.task);
        self.detached = true;
    }

    /// Sets how the task ended; takes effect when the slot is dropped.
    pub const fn set_end(&mut self, end: TaskEnd) {
        self.end = end;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.detached {
            return;
        }
        self.workers.finish(&self.placement.id, self.task, self.end);
    }
}
