//! Orders to VMs and their replies.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use super::Cell;
use super::replace::copies_allowed;
use crate::job::{FormerRun, Phase, Release, StepRef};
use crate::spec::{JobId, TaskName};
use crate::vm::{RunPhase, StartAnswer, VmKey};

/// A request to the advice service, which decides which VMs may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// Step that the request is for.
    pub step: StepRef,
    /// Job of the step.
    pub job: JobId,
    /// VMs to ask about.
    pub vms: Vec<VmKey>,
    /// Expected duration of the call.
    pub cost: Millis,
    /// Id of the node that makes the call.
    pub adviser: u64,
}

/// An action that the caller has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a run.
    Start {
        /// VM to start it on.
        vm: VmKey,
        /// Task that the run belongs to.
        task: TaskName,
        /// Run number.
        run: u32,
        /// Saved state to resume from; empty for none.
        saved: CompactString,
        /// Ticket from the advice service; empty for none.
        ticket: CompactString,
        /// Time since the step became ready.
        waited: Millis,
        /// The task's former run, for the log.
        former: Option<FormerRun>,
    },
    /// Stop a run.
    Stop {
        /// VM that it runs on.
        vm: VmKey,
        /// Task that the run belongs to.
        task: TaskName,
        /// Run number.
        run: u32,
        /// Reason, for the log.
        reason: &'static str,
    },
    /// Send a request to the advice service.
    RequestAdvice(AdviceRequest),
}

impl Cell {
    /// Orders a run to stop, unless it is already being stopped. A run whose start was never sent is
    /// released at once.
    pub(crate) fn order_stop(
        &mut self,
        vm: VmKey,
        task: TaskName,
        run: u32,
        reason: &'static str,
        now: Millis,
    ) {
        let Some(target) = self.vms.get_mut(vm) else {
            return;
        };
        let Some(at) = target.find(task, run) else {
            return;
        };
        let phase = target.runs[at].phase;
        if target.runs[at].is_unsent() {
            self.release(vm, task, run, Release::Withdrawn, now);
        } else if !matches!(phase, RunPhase::Stopping { .. } | RunPhase::Ended) {
            target.runs[at].phase = RunPhase::Stopping { acked_at: None };
            // The load of the VM changes, so the durations beside it aren't comparable.
            for vm_run in &mut target.runs {
                vm_run.timed = false;
            }
            self.push_stop(vm, task, run, reason);
        }
    }

    /// Applies the reply to a start order.
    pub fn start_answered(
        &mut self,
        vm: VmKey,
        task: TaskName,
        run: u32,
        answer: StartAnswer,
        now: Millis,
    ) {
        let Some(target) = self.vms.get_mut(vm) else {
            return;
        };
        let Some(at) = target.find(task, run) else {
            return;
        };
        let vm_run = &mut target.runs[at];
        if answer != StartAnswer::Withheld {
            vm_run.note_sent(now);
        } else if !vm_run.is_unsent() {
            return;
        }
        match answer {
            StartAnswer::Started => {
                let vm_run = &mut target.runs[at];
                if vm_run.phase == RunPhase::Starting {
                    vm_run.phase = RunPhase::Running;
                    vm_run.confirmed_at = now;
                    vm_run.progressed_at = now;
                    target.start_probation(at, now);
                }
                if let Some(key) = self.job_key(task.job) {
                    self.jobs[key].started = true;
                }
                self.forget_former_run(task, run);
                return;
            }
            // The VM has reported the run in the meantime.
            StartAnswer::Unknown if target.runs[at].phase == RunPhase::Running => return,
            StartAnswer::Unknown | StartAnswer::Fenced => {
                // The order may still be carried out, so the run is stopped before the task is
                // placed elsewhere.
                target.health.run_stalled(now);
                if self.step_of(task).is_some_and(copies_allowed) {
                    self.start_copy(vm, task, run, now);
                }
                self.order_stop(vm, task, run, "start not acknowledged", now);
                self.stop_gang_run(task, run, now);
                return;
            }
            StartAnswer::Old => {
                // The run has ended there; the VM will report its outcome.
                target.runs[at].phase = RunPhase::Stopping {
                    acked_at: Some(now),
                };
                return;
            }
            StartAnswer::Unhealthy => target.health.run_stalled(now),
            StartAnswer::BadTicket => self.expire_ticket(vm, task),
            StartAnswer::Withheld
            | StartAnswer::NoRoom
            | StartAnswer::Late
            | StartAnswer::Reborn
            | StartAnswer::Malformed => {}
        }
        // It has not started, so it has not crashed the VM either.
        self.forget_loss(task, run, now);
        let release = match answer {
            StartAnswer::Withheld => Release::Withdrawn,
            answer => Release::NotStarted(answer),
        };
        self.release(vm, task, run, release, now);
    }

    /// Applies a VM's acknowledgement of a stop.
    pub fn stop_answered(&mut self, vm: VmKey, task: TaskName, run: u32, now: Millis) {
        self.late_start_barred(vm, task, run);
        let Some(target) = self.vms.get_mut(vm) else {
            return;
        };
        if let Some(at) = target.find(task, run) {
            target.runs[at].phase = RunPhase::Stopping {
                acked_at: Some(now),
            };
        }
    }

    /// Releases a run and stops the rest of its gang's run.
    pub(crate) fn release(
        &mut self,
        vm: VmKey,
        task: TaskName,
        run: u32,
        release: Release,
        now: Millis,
    ) {
        let former = FormerRun {
            release,
            vm,
            run,
            released_at: now,
        };
        self.remove_run(task, former);
        self.stop_gang_run(task, run, now);
    }

    /// Removes a run from a VM; its task waits again if this was its current run.
    fn remove_run(&mut self, task: TaskName, former: FormerRun) {
        let FormerRun { vm, run, .. } = former;
        if let Some(target) = self.vms.get_mut(vm) {
            target.remove(task, run);
        }
        self.plan_needed = true;
        let Some(key) = self.job_key(task.job) else {
            return;
        };
        if self.jobs[key].end.is_some() {
            return;
        }
        let Some(task_state) = self.task_mut(task) else {
            return;
        };
        if task_state.phase == Phase::Placed(vm) && task_state.last_run == run {
            task_state.phase = Phase::Waiting;
            self.note_release(task, former);
            self.requeue(task);
        }
    }

    /// Puts a task's step back into the queue.
    pub(crate) fn requeue(&mut self, task: TaskName) {
        let Some(job) = self.job_key(task.job) else {
            return;
        };
        let step_ref = StepRef {
            job,
            round: task.round,
            step: task.step,
        };
        if !self.open_steps.contains(&step_ref) {
            self.open_steps.push(step_ref);
        }
        self.plan_needed = true;
    }

    /// Stops the other members of a gang's run, which can no longer complete.
    pub(crate) fn stop_gang_run(&mut self, task: TaskName, run: u32, now: Millis) {
        if !self.step_of(task).is_some_and(|step| step.gang) {
            return;
        }
        let job = self.job_key(task.job).map(|key| &self.jobs[key]);
        let Some(round) = job.and_then(|job| job.round(task.round)) else {
            return;
        };
        let placed = round.steps[usize::from(task.step)].placed();
        let members: Vec<(VmKey, TaskName)> = placed
            .filter(|(.., placed)| *placed == run)
            .map(|(index, vm, _)| (vm, TaskName { index, ..task }))
            .collect();
        for (vm, member) in members {
            self.order_stop(vm, member, run, "gang broken", now);
        }
    }

    pub(crate) fn task_mut(&mut self, name: TaskName) -> Option<&mut crate::job::Task> {
        let key = self.job_key(name.job)?;
        let round = self.jobs[key].round_mut(name.round)?;
        let step = round.steps.get_mut(usize::from(name.step))?;
        step.tasks.get_mut(name.index as usize)
    }

    fn expire_ticket(&mut self, vm: VmKey, task: TaskName) {
        let Some(key) = self.job_key(task.job) else {
            return;
        };
        let Some(round) = self.jobs[key].round_mut(task.round) else {
            return;
        };
        let Some(step) = round.steps.get_mut(usize::from(task.step)) else {
            return;
        };
        for allowed in &mut step.advice.allowed {
            if allowed.vm == vm {
                allowed.expires_at = Millis::ZERO;
            }
        }
    }
}
