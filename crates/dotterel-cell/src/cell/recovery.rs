//! How long a successor waits for VMs before it starts tasks of earlier terms.
//!
//! A VM that replies is waited for until it has listed all its ends. One that doesn't reply is given up once no
//! lease can be left on it. Ordinary leases are over at the first deadline. A VM that has started again lately may
//! hold the longest lease there is: calls meant for its former life name expiries on another clock. Its stored
//! record or its registry entry tells of it, and only tasks of its service wait for the later deadline.

use dotterel_kernel::Millis;

use super::{Cell, CellEvent, Limits};
use crate::vm::{LEASE_EXPIRY_MARGIN, START_ORDER_TIMEOUT, Vm, longest_duration};

/// The state of the wait.
#[derive(Clone, Copy, Debug)]
pub(super) struct Recovery {
    /// When ordinary leases of earlier terms are over.
    deadline: Millis,
    /// When the longest leases are over that calls sent before the takeover have asked for.
    longest_deadline: Millis,
    /// The first deadline has passed.
    is_overdue: bool,
    /// Nothing is waited for any more.
    is_over: bool,
}

impl Recovery {
    pub(super) fn new(limits: &Limits, deadline: Millis) -> Self {
        let longest = START_ORDER_TIMEOUT + longest_duration(limits.lease_max);
        let ordinary = longest_duration(limits.leadership_ttl);
        Self {
            deadline,
            longest_deadline: deadline + (longest - ordinary),
            is_overdue: false,
            is_over: false,
        }
    }

    /// Returns when no lease of an earlier term can be left on a VM that doesn't reply.
    fn deadline_of(&self, vm: &Vm, limits: &Limits) -> Millis {
        if vm.restarted_at > Millis::ZERO {
            // A start meant for the former life may have reached the next one.
            let expiry = longest_expiry(vm.restarted_at, limits);
            self.longest_deadline.max(expiry)
        } else if vm.settled {
            self.deadline
        } else {
            self.longest_deadline
        }
    }
}

/// Returns when the longest lease is over that a call sent until `time` can get.
fn longest_expiry(time: Millis, limits: &Limits) -> Millis {
    let lease = longest_duration(limits.lease_max);
    time + START_ORDER_TIMEOUT + lease + LEASE_EXPIRY_MARGIN
}

impl Cell {
    /// Returns true if jobs of earlier terms may start tasks.
    #[must_use]
    pub const fn is_recovered(&self) -> bool {
        self.recovery.is_over
    }

    /// Returns true if the tasks of earlier terms that run on VMs of a service may start.
    pub(crate) fn is_recovered_for(&self, service: &str) -> bool {
        if self.recovery.is_over {
            return true;
        }
        let may_run = |vm: &Vm| vm.info.service == service || vm.info.service.is_empty();
        self.recovery.is_overdue
            && self.confirmation.covers_recovery()
            && !self.vms.values().any(|vm| vm.awaited && may_run(vm))
    }

    /// Records that the predecessor has extended no lease since `now` at the latest.
    pub fn predecessor_gone(&mut self, now: Millis) {
        let wait = longest_duration(self.limits.lease_ttl) + LEASE_EXPIRY_MARGIN;
        let longest = longest_expiry(now, &self.limits);
        let recovery = &mut self.recovery;
        recovery.deadline = recovery.deadline.min(now + wait);
        recovery.longest_deadline = recovery.longest_deadline.min(longest);
    }

    pub(super) fn update_recovery(&mut self, now: Millis) {
        if self.recovery.is_over {
            return;
        }
        let is_overdue = self.confirmation.covers(self.recovery.deadline, now);
        let may_end = is_overdue || now > self.took_over_at;
        if !may_end || !self.confirmation.covers_recovery() {
            self.recovery.is_overdue = false;
            return;
        }
        self.recovery.is_overdue = is_overdue;
        let mut missing = Vec::new();
        // The lease of a VM that replies doesn't expire: its ends are awaited however long it takes.
        for vm in self.vms.values_mut().filter(|vm| vm.awaited && !vm.fenced) {
            let deadline = self.recovery.deadline_of(vm, &self.limits);
            if self.confirmation.covers(deadline, now) {
                vm.awaited = false;
                missing.push(vm.info.id.clone());
            }
        }
        self.recovery.is_over = !self.vms.values().any(|vm| vm.awaited);
        self.plan_needed |= self.recovery.is_over || !missing.is_empty();
        if !missing.is_empty() {
            self.events.push(CellEvent::RecoveryTimedOut {
                vms: missing,
                waited: now.since(self.took_over_at),
            });
        }
    }
}
