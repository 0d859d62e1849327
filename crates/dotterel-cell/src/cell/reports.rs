//! VMs' accounts of themselves.

use dotterel_kernel::Millis;

use super::{Cell, Order};
use crate::job::Phase;
use crate::vm::{Report, ReportedEnd, ReportedRun, RunPhase, Unsettled, VmInfo, VmKey};

/// Beyond the time of a stop ordered by a former scheduler: its order may have been on its way.
const STOP_SLACK: Millis = Millis(60);
/// Beyond the time of a stop: a VM's clock may be slow and its answer late.
const ABSENT_SLACK: Millis = Millis(150);

/// A VM silent for so long is not asked for a longer lease: one question and its wait have passed.
const LEASE_SILENT: Millis = Millis(1400);

impl Cell {
    /// Takes in what a VM says of itself; `sent` is when it was asked.
    ///
    /// Only one question to a VM may be under way at a time, so that reports come in order.
    pub fn apply_report(&mut self, key: VmKey, report: &Report, sent: Millis, now: Millis) {
        let Some(vm) = self.vms.get(key) else {
            return;
        };
        if report.incarnation > vm.info.incarnation {
            // The VM has started anew and the registry doesn't say so yet.
            let info = VmInfo {
                incarnation: report.incarnation,
                ..vm.info.clone()
            };
            let key = self.vm_listed(info);
            self.apply_report(key, report, sent, now);
            return;
        }
        if vm.info.incarnation != report.incarnation {
            return;
        }
        let vm = &mut self.vms[key];
        if !vm.fenced {
            vm.fenced = true;
            self.dirty = true;
            // A former scheduler may have asked for a lease up to this moment.
            vm.lease = vm.lease.max(report.clock + self.limits.lease_ttl);
            if self.term > 1 {
                vm.room_from = now + self.limits.stop_timeout + STOP_SLACK;
            }
        }
        if report.clock >= vm.clock {
            vm.clock = report.clock;
            vm.answered_at = now;
        }
        let taken = vm.last_end;
        for end in report.ended.iter().filter(|end| end.number > taken) {
            let before = self.seq;
            self.run_ended(key, end, now);
            self.note_end(key, end, before);
        }
        self.vms[key].settle_acks(&self.jobs);
        for run in &report.running {
            self.run_listed(key, run, now);
        }
        self.drop_absent(key, report, sent);
    }

    /// Notes what has to be durable before an end is acknowledged.
    fn note_end(&mut self, key: VmKey, end: &ReportedEnd, before: u64) {
        let job = self.find(end.task.job);
        let closing = job.is_some_and(|job| {
            let job = &self.jobs[job];
            job.end.is_some() && !job.shown
        });
        // Of a job that is ending, a successor that doesn't see the end needs all the others.
        let seq = if closing { u64::MAX } else { self.seq };
        let vm = &mut self.vms[key];
        vm.last_end = end.number;
        if let Some(job) = job.filter(|_| closing || self.seq > before) {
            vm.unsettled.push_back(Unsettled {
                number: end.number,
                job,
                seq,
            });
        }
    }

    /// Returns the end of the lease to ask a VM for, on its clock.
    ///
    /// None before its first answer, and while it is silent: it may take in what it doesn't answer,
    /// and then its lease would never surely run out.
    pub fn extend_lease(&mut self, key: VmKey, now: Millis) -> Option<Millis> {
        let lease = self.limits.lease_ttl;
        let vm = self.vms.get_mut(key)?;
        if !vm.fenced || now.since(vm.answered_at) > LEASE_SILENT {
            return None;
        }
        vm.lease = vm.lease.max(vm.clock_at(now) + lease);
        Some(vm.lease)
    }

    fn run_listed(&mut self, key: VmKey, seen: &ReportedRun, now: Millis) {
        let vm = &mut self.vms[key];
        if let Some(at) = vm.find(seen.task, seen.run) {
            let on = &mut vm.runs[at];
            on.seen = true;
            if on.phase == RunPhase::Starting {
                on.phase = RunPhase::Running;
                on.confirmed_at = now;
            }
            if seen.percent != on.percent {
                on.percent = seen.percent;
                on.moved = now;
            }
            if let Some(job) = self.find(seen.task.job) {
                self.jobs[job].begun = true;
            }
            return;
        }
        let whole = vm.info.capacity;
        let mut run = self.run_on(seen.task, seen.run, whole, now);
        run.percent = seen.percent;
        run.seen = true;
        let wanted = self
            .find(seen.task.job)
            .is_some_and(|job| self.jobs[job].end.is_none());
        let adopted = wanted
            && self
                .task_mut(seen.task)
                .is_some_and(|task| task.phase == Phase::Waiting);
        if adopted {
            run.phase = RunPhase::Running;
            if let Some(task) = self.task_mut(seen.task) {
                task.phase = Phase::Placed(key);
                task.run = seen.run;
            }
            if let Some(job) = self.find(seen.task.job) {
                self.jobs[job].begun = true;
            }
            self.vms[key].add(run);
        } else {
            run.phase = RunPhase::Stopping { acked: None };
            self.vms[key].add(run);
            self.orders.push(Order::Stop {
                vm: key,
                task: seen.task,
                run: seen.run,
                reason: "not wanted here",
            });
        }
    }

    /// Drops runs that the VM would have listed if they were there.
    fn drop_absent(&mut self, key: VmKey, report: &Report, sent: Millis) {
        let mut absent = Vec::new();
        for on in &self.vms[key].runs {
            // What is being stopped takes room without being listed, for as long as a stop may take.
            let slack = self.limits.stop_timeout + ABSENT_SLACK;
            let sure = match on.phase {
                RunPhase::Stopping { acked: Some(at) } => at + slack < sent,
                RunPhase::Running => on.confirmed_at + slack < sent,
                _ => false,
            };
            let listed = report
                .running
                .iter()
                .any(|run| run.task == on.task && run.run == on.run);
            if sure && !listed {
                absent.push((on.task, on.run));
            }
        }
        for (task, run) in absent {
            self.release(key, task, run);
        }
    }
}
