//! Processing of VM reports.

use dotterel_kernel::Millis;

use super::{Cell, CellEvent};
use crate::job::{Phase, Release};
use crate::vm::{MAX_REPLY_AGE, PendingEnd, Report, ReportedEnd, ReportedRun, RunPhase, VmKey};

/// Added to the stop timeout after a takeover: a stop order of the previous leader may still have
/// been in flight.
const TAKEOVER_STOP_MARGIN: Millis = Millis(60);
/// Added to the stop timeout: a VM's clock may run slow and its reply may arrive late.
const ABSENCE_MARGIN: Millis = Millis(150);

impl Cell {
    /// Applies a VM's report; `sent` is when the VM was polled.
    ///
    /// Only one poll per VM may be in flight, so that reports arrive in order.
    pub fn apply_report(&mut self, key: VmKey, report: &Report, sent: Millis, now: Millis) {
        let Some(vm) = self.vms.get(key) else {
            return;
        };
        if report.incarnation > vm.info.incarnation
            || (report.incarnation < vm.info.incarnation && !vm.has_replied())
        {
            // Calls meant for the former life may still be carried out, so the report isn't applied: that takes
            // a reply to the token of the new life.
            self.vm_restarted(key, report.incarnation, now);
            return;
        }
        if vm.info.incarnation != report.incarnation {
            return;
        }
        self.confirm_entry(key);
        let vm = &mut self.vms[key];
        let was_fenced = vm.fenced;
        if !vm.fenced {
            vm.fenced = true;
            vm.restarted_at = Millis::ZERO;
            self.plan_needed = true;
            // The previous leader may have requested a lease up to this time. A call meant for a former
            // life may have requested one on that life's clock, of which this life grants as much as
            // it can.
            let (lease_ttl, lease_max) = (self.limits.lease_ttl, self.limits.lease_max);
            let lease = if vm.settled { lease_ttl } else { lease_max };
            vm.lease_end = vm.lease_end.max(report.clock + lease);
            vm.settles_at = vm.settles_at.max(report.clock + (lease_max - lease_ttl));
            if std::mem::take(&mut vm.may_be_stopping) {
                let longest_stop = self.limits.stop_timeout + TAKEOVER_STOP_MARGIN;
                vm.not_before = now + longest_stop;
                vm.stops_end = report.clock + longest_stop;
            }
            self.update_vm_record(key);
        }
        self.bar_late_starts(key, now);
        let vm = &mut self.vms[key];
        vm.silent_since = None;
        vm.is_suspected = false;
        if report.clock >= vm.clock {
            vm.clock = report.clock;
            vm.answered_at = now;
        }
        if !vm.settled && vm.clock >= vm.settles_at {
            vm.settled = true;
            self.mark_vm_record(key);
        }
        let vm = &mut self.vms[key];
        let last_end = vm.last_end;
        // A run that is being stopped is listed neither as running nor as ended.
        let lists_all = !report.has_more_ends && report.clock >= vm.stops_end;
        let lists_rest = vm.awaited && lists_all;
        vm.awaited &= !lists_all;
        if lists_rest && was_fenced {
            // A newer leader may have acknowledged ends while the VM delayed its reply.
            self.confirmation.doubt_recovery(now);
        }
        for end in report.ended.iter().filter(|end| end.number > last_end) {
            self.apply_end(key, end, now);
            self.track_end(key, end);
        }
        self.vms[key].update_durable_end(&self.jobs);
        for run in &report.running {
            self.apply_running(key, run, now);
        }
        self.drop_absent_runs(key, report, sent, now);
    }

    /// Records what has to be durable before an end may be acknowledged: all changes of its job so far.
    /// An end that had no effect may depend on one that did, from a VM that is lost by now.
    fn track_end(&mut self, key: VmKey, end: &ReportedEnd) {
        self.vms[key].last_end = end.number;
        let Some(job_key) = self.job_key(end.task.job) else {
            return;
        };
        let job = &self.jobs[job_key];
        // While a job is ending, a successor that doesn't see its end needs all other ends of the
        // job, so they are kept until the job's end is durable.
        let seq = if job.end.is_some() && !job.end_durable {
            u64::MAX
        } else {
            job.changed_seq
        };
        if job.durable_seq < seq {
            self.vms[key].pending_ends.push_back(PendingEnd {
                end_number: end.number,
                job: job_key,
                seq,
            });
        }
    }

    /// Returns the lease to request from a VM: its expiry on the VM's clock. It lasts for at most
    /// `leadership`, the remaining time of the leader's own lease.
    ///
    /// Returns `None` before the VM's first reply, until late starts are barred there, and while it is
    /// unresponsive: it may process requests without replying, and renewals would keep its lease from
    /// ever expiring.
    pub fn extend_lease(&mut self, key: VmKey, leadership: Millis, now: Millis) -> Option<Millis> {
        let lease = self.limits.lease_ttl.min(leadership);
        let vm = self.vms.get_mut(key)?;
        let is_silent = now.since(vm.answered_at) > MAX_REPLY_AGE;
        if !vm.fenced || !vm.late_starts.is_empty() || is_silent || lease == Millis::ZERO {
            return None;
        }
        let requested = vm.min_clock_at(now) + lease;
        vm.lease_end = vm.lease_end.max(requested);
        Some(requested)
    }

    /// Returns the time until stops of an earlier term are over on a VM, for which recovery waits.
    #[must_use]
    pub fn awaited_stops(&self, key: VmKey, now: Millis) -> Option<Millis> {
        let vm = self.vms.get(key).filter(|vm| vm.awaited && vm.fenced)?;
        let left = vm.stops_end.since(vm.min_clock_at(now));
        (left > Millis::ZERO).then_some(left)
    }

    fn apply_running(&mut self, key: VmKey, reported: &ReportedRun, now: Millis) {
        let vm = &self.vms[key];
        let mut known = vm.find(reported.task, reported.run);
        if known.is_some_and(|at| vm.runs[at].phase == RunPhase::Ended) {
            // It has started late, and no longer counts towards the VM's capacity.
            self.release(key, reported.task, reported.run, Release::Absent, now);
            known = None;
        }
        let vm = &mut self.vms[key];
        if let Some(at) = known {
            let vm_run = &mut vm.runs[at];
            vm_run.reported = true;
            if vm_run.phase == RunPhase::Starting {
                vm_run.phase = RunPhase::Running;
                vm_run.confirmed_at = now;
                vm.start_probation(at, now);
            }
            let vm_run = &mut vm.runs[at];
            if reported.percent != vm_run.percent {
                vm_run.percent = reported.percent;
                vm_run.progressed_at = now;
            }
            if let Some(job) = self.job_key(reported.task.job) {
                self.jobs[job].started = true;
            }
            self.forget_former_run(reported.task, reported.run);
            self.note_saved_state(reported);
            self.forget_old_losses(key, reported, now);
            return;
        }
        let capacity = vm.info.capacity;
        let mut run = self.new_vm_run(reported.task, reported.run, capacity, now);
        run.percent = reported.percent;
        run.reported = true;
        self.start_known_round(reported.task, now);
        let is_expected = self
            .job_key(reported.task.job)
            .is_some_and(|job| self.jobs[job].end.is_none());
        if let Some(task) = self.task_mut(reported.task) {
            task.highest_run = task.highest_run.max(reported.run);
        }
        let is_adopted = is_expected
            && self
                .task_mut(reported.task)
                .is_some_and(|task| task.phase == Phase::Waiting);
        if is_adopted {
            run.phase = RunPhase::Running;
            if let Some(task) = self.task_mut(reported.task) {
                task.phase = Phase::Placed(key);
                task.last_run = reported.run;
                task.former = None;
            }
            if let Some(job) = self.job_key(reported.task.job) {
                self.jobs[job].started = true;
            }
            self.vms[key].add(run);
            self.note_neighbours(key, now);
            self.note_saved_state(reported);
        } else {
            run.phase = RunPhase::Stopping { acked_at: None };
            self.vms[key].add(run);
            self.note_other_run(key, reported.task, reported.run);
            let reason = "task not expected on this VM";
            self.push_stop(key, reported.task, reported.run, reason);
        }
    }

    /// Notes the state that a running task has saved, from which it resumes if its VM is lost.
    fn note_saved_state(&mut self, reported: &ReportedRun) {
        let step = self.step_of(reported.task);
        let Some(gang) = step.filter(|step| step.checkpoint).map(|step| step.gang) else {
            return;
        };
        let Some(job) = self.job_key(reported.task.job) else {
            return;
        };
        let is_news = self
            .task_mut(reported.task)
            .is_some_and(|task| task.last_run == reported.run && task.saved != reported.saved);
        if is_news && !reported.saved.is_empty() {
            self.save_state(job, reported.task, &reported.saved, gang);
        }
    }

    /// Releases runs that the report would list if they still existed. If it may not list all ends,
    /// only their capacity is released.
    fn drop_absent_runs(&mut self, key: VmKey, report: &Report, sent: Millis, now: Millis) {
        let mut absent = Vec::new();
        for vm_run in &self.vms[key].runs {
            // A run that is being stopped occupies capacity without being listed, for up to the
            // stop timeout.
            let slack = self.limits.stop_timeout + ABSENCE_MARGIN;
            let is_gone = match vm_run.phase {
                RunPhase::Stopping { acked_at: Some(at) } => at + slack < sent,
                RunPhase::Running => vm_run.confirmed_at + slack < sent,
                RunPhase::Ended => !report.has_more_ends,
                RunPhase::Starting | RunPhase::Stopping { acked_at: None } => false,
            };
            let listed = report
                .running
                .iter()
                .any(|run| run.task == vm_run.task && run.run == vm_run.run);
            if is_gone && !listed {
                let release = match vm_run.phase {
                    RunPhase::Stopping { .. } => Release::StopAcknowledged,
                    _ => Release::Absent,
                };
                absent.push((vm_run.task, vm_run.run, release));
            }
        }
        if report.has_more_ends {
            let vm = &mut self.vms[key];
            for (task, run, _) in absent {
                vm.mark_ended(task, run);
                self.plan_needed = true;
            }
            return;
        }
        for (task, run, release) in absent {
            self.events.push(CellEvent::RunAbsent {
                vm: self.vms[key].info.id.clone(),
                task,
                run,
                ends_listed: report.ended.len(),
            });
            // A VM may reply to a poll after it has obeyed a newer leader.
            self.note_vanished_run(task, now);
            self.release(key, task, run, release, now);
        }
    }
}
