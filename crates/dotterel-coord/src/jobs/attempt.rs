//! The states of an attempt up to its start, as types.

use dotterel_kernel::{TaskId, VmId};

use super::host::HoldId;
use super::record::AttemptRecord;

/// The state of an attempt that is not recorded in the table yet, so it must not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Planned;

/// The state of an attempt that is recorded in the table and may start once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Durable;

/// An attempt in state `S`.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Attempt<S> {
    record: AttemptRecord,
    hold: HoldId,
    state: S,
}

impl Attempt<Planned> {
    /// Returns a planned attempt with a new identifier.
    pub(super) fn new(vm: VmId, hold: HoldId) -> Self {
        let task = TaskId::mint();
        Self {
            record: AttemptRecord { task, vm },
            hold,
            state: Planned,
        }
    }

    /// Returns the attempt as durable, after the commit that recorded it.
    pub(super) fn recorded(self) -> Attempt<Durable> {
        Attempt {
            record: self.record,
            hold: self.hold,
            state: Durable,
        }
    }
}

impl Attempt<Durable> {
    /// Consumes the attempt for its only start.
    pub(super) fn start(self) -> (AttemptRecord, HoldId) {
        (self.record, self.hold)
    }
}

impl<S> Attempt<S> {
    pub(super) const fn record(&self) -> &AttemptRecord {
        &self.record
    }
}
