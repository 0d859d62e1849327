//! What time alone brings about.

use dotterel_kernel::Millis;

use super::{Cell, Order};
use crate::job::{JobKey, StepRef};
use crate::spec::TaskName;
use crate::vm::RunPhase;

/// A stop that isn't answered is sent again after this time, a little over a round trip between
/// regions and the call's own timeout.
const STOP_AGAIN: Millis = Millis(700);
/// A VM that has gone from the registry and runs nothing is forgotten after this time.
const FORGET_VM: Millis = Millis::secs(10);
/// A run whose percentage stands still for at least this long has stalled.
const STALL_MIN: Millis = Millis(2500);
/// Time for the members of a gang to be reported by their VMs after a take-over.
const GANG_GATHER: Millis = Millis(1500);

impl Cell {
    /// Brings about what is due by `now`; to be called a few times a second.
    pub fn tick(&mut self, now: Millis) {
        self.settle(now);
        self.lapse_silent(now);
        self.repeat_stops(now);
        self.stop_stalled(now);
        self.leave_draining();
        self.break_partial_gangs(now);
        self.begin_rounds(now);
        self.forget_ended(now);
        self.dirty |= !self.open.is_empty();
    }

    /// Returns true when tasks of earlier terms may start.
    #[must_use]
    pub const fn is_settled(&self) -> bool {
        self.settled
    }

    fn settle(&mut self, now: Millis) {
        if self.settled {
            return;
        }
        // A VM whose entry has gone meanwhile may only be cut off from the registry.
        let known = !self.vms.is_empty() && self.vms.values().all(|vm| vm.fenced);
        if now >= self.hold_off || (known && now > self.began) {
            self.settled = true;
            self.dirty = true;
        }
    }

    /// Lets a successor's caution run its whole course, when VMs may be missing from the registry.
    pub fn require_full_recovery(&mut self) {
        self.began = self.hold_off;
    }

    /// Gives up the runs of VMs whose leases have run out unheard.
    fn lapse_silent(&mut self, now: Millis) {
        let mut lost = Vec::new();
        let mut empty = Vec::new();
        for (key, vm) in &mut self.vms {
            if vm.fenced && now >= vm.lapsed_by() {
                vm.fenced = false;
                lost.extend(vm.runs.iter().map(|on| (key, on.task, on.run)));
            }
            let gone = !vm.listed && vm.runs.is_empty() && !vm.fenced;
            if gone && now.since(vm.unlisted) > FORGET_VM {
                empty.push(key);
            }
        }
        for (vm, task, run) in lost {
            self.release(vm, task, run);
        }
        for key in empty {
            self.lose_vm(key);
        }
    }

    fn repeat_stops(&mut self, now: Millis) {
        for (key, vm) in &mut self.vms {
            for on in &mut vm.runs {
                if on.phase == (RunPhase::Stopping { acked: None })
                    && now.since(on.ordered.max(on.moved)) >= STOP_AGAIN
                {
                    on.moved = now;
                    self.orders.push(Order::Stop {
                        vm: key,
                        task: on.task,
                        run: on.run,
                        reason: "stop not answered",
                    });
                }
            }
        }
    }

    /// Stops runs that stand still, so that another VM can do the work.
    fn stop_stalled(&mut self, now: Millis) {
        let mut stalled = Vec::new();
        for (key, vm) in &self.vms {
            for on in &vm.runs {
                // A member of a gang that is through with its part waits for the others.
                let through = on.percent >= 100;
                if on.phase != RunPhase::Running || through || now.since(on.moved) < STALL_MIN {
                    continue;
                }
                // A hundredth of the work may itself take long, and estimates are often far off.
                let step = self.step_of(on.task);
                let Some(step) = step.filter(|step| !step.long_running && !step.best_effort) else {
                    continue;
                };
                let hundredth = Millis(step.estimate.0 / 5);
                if now.since(on.moved) >= STALL_MIN.max(hundredth)
                    && now.since(vm.answered_at) < STALL_MIN
                {
                    stalled.push((key, on.task, on.run, step.gang));
                }
            }
        }
        for (vm, task, run, gang) in stalled {
            if !gang {
                self.vms[vm].standing.stalled(now);
                if let Some(entry) = self.task_mut(task) {
                    entry.avoid.push(vm);
                }
            }
            self.order_stop(vm, task, run, "stalled");
            self.void_gang(task, run);
        }
    }

    /// Stops runs that a leaving VM won't see to their end, if they can resume elsewhere.
    fn leave_draining(&mut self) {
        let mut leaving = Vec::new();
        for (key, vm) in &self.vms {
            let Some(remaining) = vm.info.remaining.filter(|_| vm.info.draining) else {
                continue;
            };
            for on in &vm.runs {
                if on.phase != RunPhase::Running || !on.checkpoint {
                    continue;
                }
                let Some(step) = self.step_of(on.task) else {
                    continue;
                };
                let left = step.estimate.0 * u64::from(100 - on.percent.min(100)) / 100;
                // The stop itself takes time, and it has to be answered before the VM is gone.
                if left + self.limits.stop_timeout.0 > remaining.0 {
                    leaving.push((key, on.task, on.run));
                }
            }
        }
        for (vm, task, run) in leaving {
            self.order_stop(vm, task, run, "VM leaves before the end");
        }
    }

    /// Stops what is left of gangs that a former scheduler did not start whole.
    fn break_partial_gangs(&mut self, now: Millis) {
        if !self.settled || now.since(self.began) < GANG_GATHER {
            return;
        }
        let mut partial = Vec::new();
        for at in &self.open {
            let Some(job) = self.jobs.get(at.job) else {
                continue;
            };
            let step = usize::from(at.step);
            if !job.spec.steps.get(step).is_some_and(|step| step.gang) {
                continue;
            }
            let Some(round) = job.round(at.round) else {
                continue;
            };
            let run = &round.steps[step];
            if !run.has_waiting() {
                continue;
            }
            for (index, vm, run) in run.placed() {
                let name = TaskName {
                    job: job.id,
                    round: at.round,
                    step: at.step,
                    index,
                };
                partial.push((vm, name, run));
            }
        }
        for (vm, task, run) in partial {
            self.order_stop(vm, task, run, "gang incomplete");
        }
    }

    fn begin_rounds(&mut self, now: Millis) {
        let timed: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.end.is_none() && job.next_round < job.spec.repeats)
            .map(|(key, _)| key)
            .collect();
        for key in timed {
            self.begin_due(key, now);
        }
    }

    fn forget_ended(&mut self, now: Millis) {
        let keep = self.limits.retention;
        let old: Vec<(JobKey, crate::spec::JobId, u8)> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.shown && now.since(job.ended) > keep + Millis::secs(10))
            .map(|(key, job)| (key, job.id, job.lane.unwrap_or_default()))
            .collect();
        for (key, id, lane) in old {
            self.remove_job(key);
            self.dropping.push((id, lane));
        }
    }

    /// Returns the queued steps that still wait, in no order.
    pub(crate) fn prune_open(&mut self) {
        let jobs = &self.jobs;
        self.open.retain(|at: &StepRef| {
            jobs.get(at.job).is_some_and(|job| {
                job.end.is_none()
                    && job
                        .round(at.round)
                        .is_some_and(|round| round.steps[usize::from(at.step)].has_waiting())
            })
        });
    }
}
