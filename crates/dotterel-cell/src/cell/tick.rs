//! Timeouts and scheduled work.

use dotterel_kernel::Millis;

use super::late_starts::LATE_START_RETENTION;
use super::{Cell, Order};
use crate::job::{JobKey, StepRef};
use crate::spec::TaskName;
use crate::vm::{RunPhase, StopRecord, Vm, VmKey};

/// Interval between retries of an unacknowledged stop: slightly more than a round trip between
/// regions plus the call's timeout.
pub(super) const STOP_RETRY_INTERVAL: Millis = Millis(700);
/// Time after which an idle VM that left the registry is removed.
const UNLISTED_VM_RETENTION: Millis = Millis::secs(10);
/// Time after a takeover for VMs to report the members of a gang.
const GANG_RECOVERY_TIMEOUT: Millis = Millis(1500);

impl Cell {
    /// Handles everything that is due by `now`; to be called a few times a second.
    pub fn tick(&mut self, now: Millis) {
        self.update_recovery(now);
        self.expire_leases(now);
        self.settle_entries();
        self.settle_losses(now);
        self.cancel_unusable_held_starts(now);
        self.withdraw_unwanted_starts(now);
        self.collect_late_vms(now);
        self.guarded_rate.update(now);
        self.update_vm_list();
        self.retry_stops(now);
        self.refresh_speeds(now);
        self.refresh_interference(now);
        self.replace_failing_runs(now);
        self.replace_stragglers(now);
        self.preempt_on_draining_vms(now);
        self.stop_partial_gangs(now);
        self.start_scheduled_rounds(now);
        self.expire_ended_jobs(now);
        self.plan_needed |= !self.open_steps.is_empty();
    }

    /// Releases the runs of VMs that did not reply before their leases expired, and removes idle
    /// VMs that left the registry.
    fn expire_leases(&mut self, now: Millis) {
        let mut expired = Vec::new();
        let mut removable = Vec::new();
        let lease_max = self.limits.lease_max;
        let confirmation = &mut self.confirmation;
        for (key, vm) in &mut self.vms {
            let expires_at = if vm.fenced {
                Some(vm.lease_expiry())
            } else {
                vm.unreported_expiry(lease_max)
            };
            if confirmation.covers_vm(key, expires_at, now) {
                vm.fenced = false;
                expired.push(key);
            }
            let is_removable = !vm.listed && vm.unconfirmed.is_none() && !vm.may_have_runs();
            let retention = if vm.late_starts.is_empty() {
                UNLISTED_VM_RETENTION
            } else {
                LATE_START_RETENTION
            };
            if is_removable && now.since(vm.unlisted_at) > retention {
                removable.push(key);
            }
        }
        for key in expired {
            self.vm_expired(key, now);
        }
        for key in removable {
            self.remove_vm(key);
        }
        self.note_long_waits(now);
    }

    fn retry_stops(&mut self, now: Millis) {
        let recorded = |vm: &Vm| vm.stops == StopRecord::Durable;
        let late: Vec<VmKey> = self
            .vms
            .iter()
            .filter(|(_, vm)| !vm.late_starts.is_empty())
            .map(|(key, _)| key)
            .collect();
        for key in late {
            self.bar_late_starts(key, now);
        }
        for (key, vm) in self.vms.iter_mut().filter(|(_, vm)| recorded(vm)) {
            for vm_run in &mut vm.runs {
                if vm_run.phase == (RunPhase::Stopping { acked_at: None })
                    && now.since(vm_run.ordered_at.max(vm_run.progressed_at)) >= STOP_RETRY_INTERVAL
                {
                    vm_run.progressed_at = now;
                    self.orders.push(Order::Stop {
                        vm: key,
                        task: vm_run.task,
                        run: vm_run.run,
                        reason: "stop not acknowledged",
                    });
                }
            }
        }
    }

    /// Stops runs that can resume elsewhere and won't finish before their draining VM leaves.
    fn preempt_on_draining_vms(&mut self, now: Millis) {
        let mut leaving = Vec::new();
        for (key, vm) in &self.vms {
            let Some(remaining) = vm.info.remaining.filter(|_| vm.info.draining) else {
                continue;
            };
            for vm_run in &vm.runs {
                if vm_run.phase != RunPhase::Running || !vm_run.checkpoint {
                    continue;
                }
                let Some(step) = self.step_of(vm_run.task) else {
                    continue;
                };
                let remaining_work =
                    step.estimate.0 * u64::from(100 - vm_run.percent.min(100)) / 100;
                // The stop takes time too, and has to be acknowledged before the VM is gone.
                if remaining_work + self.limits.stop_timeout.0 > remaining.0 {
                    leaving.push((key, vm_run.task, vm_run.run));
                }
            }
        }
        for (vm, task, run) in leaving {
            self.order_stop(vm, task, run, "VM leaves before the run can finish", now);
        }
    }

    /// Stops the running members of gangs that the previous leader started only in part.
    fn stop_partial_gangs(&mut self, now: Millis) {
        if !self.is_recovered() || now.since(self.took_over_at) < GANG_RECOVERY_TIMEOUT {
            return;
        }
        let mut partial = Vec::new();
        for step_ref in &self.open_steps {
            let Some(job) = self.jobs.get(step_ref.job) else {
                continue;
            };
            let step = usize::from(step_ref.step);
            if !job.spec.steps.get(step).is_some_and(|step| step.gang) {
                continue;
            }
            let Some(round) = job.round(step_ref.round) else {
                continue;
            };
            let state = &round.steps[step];
            if !state.has_waiting() {
                continue;
            }
            for (index, vm, run) in state.placed() {
                let name = TaskName {
                    job: job.id,
                    round: step_ref.round,
                    step: step_ref.step,
                    index,
                };
                partial.push((vm, name, run));
            }
        }
        for (vm, task, run) in partial {
            self.order_stop(vm, task, run, "gang incomplete", now);
        }
    }

    fn expire_ended_jobs(&mut self, now: Millis) {
        let retention = self.limits.retention;
        let expired: Vec<(JobKey, crate::spec::JobId, u8)> = self
            .jobs
            .iter()
            .filter(|(_, job)| {
                job.end_durable && now.since(job.ended_at) > retention + Millis::secs(10)
            })
            .map(|(key, job)| (key, job.id, job.lane.unwrap_or_default()))
            .collect();
        for (key, id, lane) in expired {
            self.remove_job(key);
            self.expired_jobs.push((id, lane));
        }
    }

    /// Removes queued steps that have no waiting tasks left.
    pub(crate) fn prune_open_steps(&mut self) {
        let jobs = &self.jobs;
        self.open_steps.retain(|step_ref: &StepRef| {
            jobs.get(step_ref.job).is_some_and(|job| {
                job.end.is_none()
                    && job
                        .round(step_ref.round)
                        .is_some_and(|round| round.steps[usize::from(step_ref.step)].has_waiting())
            })
        });
    }
}
