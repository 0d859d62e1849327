//! Starts that wait until they are sent to their VM.
//!
//! Orders wait while a VM doesn't answer earlier ones, and much may change meanwhile: jobs are cancelled,
//! copies of tasks are done, VMs drain. A start is therefore judged each time it is about to be sent, and
//! also while it waits. If it was never sent, the VM knows nothing of its run, which is released without
//! a stop order, and without counting as a loss.

use dotterel_kernel::Millis;

use super::Cell;
use crate::job::{Phase, Task};
use crate::spec::TaskName;
use crate::vm::{Delivery, RunPhase, START_ORDER_TIMEOUT, StartAnswer, Vm, VmKey, VmRun};

/// A start order that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct DueStart<'a> {
    /// VM that it is for.
    pub vm: VmKey,
    /// Task of the run.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// Ticket from the advice service; empty for none.
    pub ticket: &'a str,
}

/// Why a start isn't sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Withheld {
    /// The run was released or ordered to stop.
    Gone,
    /// The job has ended, or the task is done or placed elsewhere.
    NotWanted,
    /// Another run of the task may be going on.
    OtherRun,
    /// It has waited for too long.
    Overdue,
    /// The VM may not be given runs any more.
    VmUnusable,
    /// The VM's capacity has shrunk below what its runs occupy.
    NoRoom,
    /// The ticket of the advice service has expired.
    TicketExpired,
    /// The lease can't be extended.
    NoLease,
}

impl Cell {
    /// Records that a start order has joined its VM's queue.
    pub fn start_queued(&mut self, vm: VmKey, task: TaskName, run: u32, now: Millis) {
        if let Some(vm) = self.vms.get_mut(vm)
            && let Some(at) = vm.find(task, run)
            && vm.runs[at].delivery == Delivery::Pending
        {
            vm.runs[at].delivery = Delivery::Queued { since: now };
        }
    }

    /// Returns the lease to request with a start order that is about to be sent; `leadership` is the
    /// remaining time of the leader's own lease.
    ///
    /// # Errors
    ///
    /// Returns the reason if the order must not be sent.
    pub fn authorize_start(
        &mut self,
        start: DueStart<'_>,
        leadership: Millis,
        now: Millis,
    ) -> Result<Millis, Withheld> {
        let vm = self.vms.get(start.vm).ok_or(Withheld::Gone)?;
        let at = vm.find(start.task, start.run).ok_or(Withheld::Gone)?;
        self.judge_start(start.vm, vm, &vm.runs[at], now)?;
        if !self.is_ticket_valid(&start, now) {
            return Err(Withheld::TicketExpired);
        }
        let lease = self.extend_lease(start.vm, leadership, now);
        let lease = lease.ok_or(Withheld::NoLease)?;
        self.vms[start.vm].runs[at].note_sent(now);
        Ok(lease)
    }

    /// Releases the runs whose waiting starts are no longer wanted.
    pub(super) fn withdraw_unwanted_starts(&mut self, now: Millis) {
        let mut unwanted = Vec::new();
        for (key, vm) in &self.vms {
            for vm_run in vm.runs.iter().filter(|vm_run| vm_run.is_unsent()) {
                // Held starts are judged with their records.
                if self.judge_start(key, vm, vm_run, now).is_err() && !self.is_held(vm_run) {
                    unwanted.push((key, vm_run.task, vm_run.run));
                }
            }
        }
        for (vm, task, run) in unwanted {
            self.start_answered(vm, task, run, StartAnswer::Withheld, now);
        }
    }

    fn judge_start(
        &self,
        key: VmKey,
        vm: &Vm,
        vm_run: &VmRun,
        now: Millis,
    ) -> Result<(), Withheld> {
        if vm_run.phase != RunPhase::Starting {
            return Err(Withheld::Gone);
        }
        let task = self.placed_task(key, vm_run).ok_or(Withheld::NotWanted)?;
        if self.has_other_run(vm_run.task, task) {
            return Err(Withheld::OtherRun);
        }
        let queued_at = vm_run.delivery.queued_at();
        if queued_at.is_some_and(|since| now.since(since) > START_ORDER_TIMEOUT) {
            return Err(Withheld::Overdue);
        }
        if !self.accepts_run(vm, vm_run.task) {
            return Err(Withheld::VmUnusable);
        }
        if !vm.used.fits(&vm.info.capacity) {
            return Err(Withheld::NoRoom);
        }
        Ok(())
    }

    /// Returns the task of a run if it is the one that the task waits for.
    fn placed_task(&self, key: VmKey, vm_run: &VmRun) -> Option<&Task> {
        let job = self
            .job_key(vm_run.task.job)
            .map(|job| &self.jobs[job])
            .filter(|job| job.end.is_none());
        let round = job.and_then(|job| job.round(vm_run.task.round));
        let step = round.and_then(|round| round.steps.get(usize::from(vm_run.task.step)));
        let task = step.and_then(|step| step.tasks.get(vm_run.task.index as usize));
        task.filter(|task| task.phase == Phase::Placed(key) && task.last_run == vm_run.run)
    }

    /// Returns true if a VM may still be given a run that was placed on it.
    pub(super) fn accepts_run(&self, vm: &Vm, task: TaskName) -> bool {
        let Some(step) = self.step_of(task) else {
            return false;
        };
        let job = self.job_key(task.job).map(|job| &self.jobs[job]);
        job.is_some_and(|job| vm.may_run(&job.policy.service, step))
    }

    fn is_ticket_valid(&self, start: &DueStart<'_>, now: Millis) -> bool {
        if start.ticket.is_empty() {
            return true;
        }
        let job = self.job_key(start.task.job).map(|job| &self.jobs[job]);
        let round = job.and_then(|job| job.round(start.task.round));
        let step = round.and_then(|round| round.steps.get(usize::from(start.task.step)));
        step.is_some_and(|step| {
            let mut allowed = step.advice.allowed.iter();
            allowed.any(|entry| {
                entry.vm == start.vm && entry.ticket == start.ticket && now < entry.expires_at
            })
        })
    }
}
