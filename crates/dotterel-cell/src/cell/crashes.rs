//! Attribution of VM crashes to the tasks that ran there.
//!
//! A task may crash each VM that starts it. A crashed VM reports nothing, so every run that was lost
//! with a VM is noted with its task, together with how likely it is to be the cause: runs that had
//! just started are suspects, the others bystanders. A suspect is started again alone, which clears
//! it or leaves no other cause. The job of a task that has certainly crashed several VMs fails.
//!
//! A VM that doesn't respond may only be disconnected. A loss therefore counts against a job only
//! once another incarnation is found in the VM's place, and is forgotten if the VM responds again.
//! Losses are stored with the progress of their job, and those of an isolated run before it starts,
//! so that they outlast the leader.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use super::{Cell, LossReason};
use crate::job::{JobKey, JobState};
use crate::record::{LostRun, Suspicion};
use crate::spec::TaskName;
use crate::vm::{Caution, ReportedRun, Vm, VmKey, VmRun};

/// Time after which a VM that has not returned counts as crashed if the registry has dropped it.
const VERDICT_TIMEOUT: Millis = Millis::secs(20);
/// Time for which a run has to go on to clear its task of earlier crashes.
pub(crate) const CLEARING_TIME: Millis = Millis::secs(60);
/// A lost run for which it isn't known yet whether its VM has crashed.
#[derive(Clone, Debug)]
pub(super) struct OpenLoss {
    task: TaskName,
    run: u32,
    vm: CompactString,
    address: CompactString,
    incarnation: u64,
    noted_at: Millis,
    /// The run is isolated, and its VM still responds.
    is_precaution: bool,
}

/// A job that failed because one of its tasks crashed its VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashVerdict {
    /// The task.
    pub task: TaskName,
    /// Its lost runs.
    pub lost_runs: Vec<LostRun>,
}

impl Cell {
    /// Records that a VM doesn't respond. `alive_until` is when its connection broke; `None` if its
    /// reply only timed out.
    pub fn vm_unresponsive(&mut self, key: VmKey, alive_until: Option<Millis>, now: Millis) {
        let Some(vm) = self.vms.get_mut(key) else {
            return;
        };
        if vm.silent_since.is_some() {
            return;
        }
        let is_broken = alive_until.is_some();
        let alive_until = alive_until.unwrap_or(vm.answered_at);
        vm.silent_since = Some(alive_until);
        if vm.info.draining {
            return;
        }
        self.clear_proven_runs(key, alive_until, now);
        let suspects = self.suspects(key, alive_until);
        self.vms[key].is_suspected = !suspects.is_empty();
        self.note_suspects(key, &suspects, is_broken, now);
        // A VM that has only lost its connection is silent as well, and so is one without power.
        if is_broken && !suspects.is_empty() {
            self.suspect_queues_of(&suspects, now);
            self.risk_address_of(key, now);
        }
    }

    /// Returns the jobs given up since the last call, for the log.
    pub fn take_crash_verdicts(&mut self) -> Vec<CrashVerdict> {
        std::mem::take(&mut self.crash_verdicts)
    }

    /// Notes which tasks had runs on a VM that is lost.
    pub(super) fn note_lost_runs(&mut self, key: VmKey, reason: LossReason, now: Millis) {
        let Some(vm) = self.vms.get(key) else {
            return;
        };
        if vm.info.draining {
            // It has left, and its runs with it.
            let id = vm.info.id.clone();
            self.resolve_losses(now, |loss| (loss.vm == id).then_some(Resolution::Alive));
            return;
        }
        if vm.silent_since.is_none() {
            let suspects = self.suspects(key, vm.answered_at);
            self.note_suspects(key, &suspects, false, now);
        }
        for vm_run in self.vms[key].runs.clone() {
            if vm_run.is_unsent() {
                self.forget_loss(vm_run.task, vm_run.run, now);
            } else {
                self.note_loss(key, &vm_run, Suspicion::Bystander, false, now);
            }
        }
        if reason != LossReason::LeaseExpired {
            let info = &self.vms[key].info;
            let (id, incarnation) = (info.id.clone(), info.incarnation);
            self.resolve_losses(now, |loss| {
                (loss.vm == id && loss.incarnation <= incarnation).then_some(Resolution::Crashed)
            });
        }
    }

    /// Clears the isolated runs on a VM that had been going on for a while when it was last known to be
    /// up.
    fn clear_proven_runs(&mut self, key: VmKey, alive_until: Millis, now: Millis) {
        let runs = self.vms[key].runs.iter();
        let proven =
            runs.filter(|run| run.caution >= Caution::Isolated && !run.is_young(alive_until));
        let proven: Vec<_> = proven.map(|run| (run.task, run.run)).collect();
        for (task, run) in proven {
            self.forget_loss(task, run, now);
        }
    }

    /// Returns the runs that had not been going on for long when their VM was last known to be up.
    fn suspects(&self, key: VmKey, alive_until: Millis) -> Vec<VmRun> {
        let runs = self.vms[key].runs.iter();
        let young = runs.filter(|run| run.is_young(alive_until) && !run.is_unsent());
        young.cloned().collect()
    }

    /// Notes runs that may have crashed their VM. Unless the connection broke, only the last reply tells when
    /// the VM was up, up to a second before: too long ago to blame a single run.
    fn note_suspects(&mut self, key: VmKey, suspects: &[VmRun], is_broken: bool, now: Millis) {
        let Some(first) = suspects.first() else {
            return;
        };
        let one_job = suspects.iter().all(|run| run.task.job == first.task.job);
        let suspicion = if one_job && is_broken {
            Suspicion::Sole
        } else {
            Suspicion::Shared
        };
        if suspects.iter().any(|run| run.caution == Caution::Guarded) {
            self.guarded_rate.record_crash();
        }
        for vm_run in suspects {
            self.note_loss(key, vm_run, suspicion, false, now);
            self.limit_suspicion(vm_run.task, vm_run.run, suspicion);
        }
    }

    /// Notes that an isolated run is about to start, so that a successor counts it if its VM
    /// crashes. Returns the sequence number of the job change that records it.
    pub(crate) fn note_isolated_run(&mut self, key: VmKey, vm_run: &VmRun, now: Millis) -> u64 {
        self.note_loss(key, vm_run, Suspicion::Sole, true, now);
        self.seq
    }

    fn note_loss(
        &mut self,
        key: VmKey,
        vm_run: &VmRun,
        suspicion: Suspicion,
        is_precaution: bool,
        now: Millis,
    ) {
        let (name, run) = (vm_run.task, vm_run.run);
        let info = &self.vms[key].info;
        let lost = LostRun {
            run,
            vm: info.id.clone(),
            address: info.address.clone(),
            incarnation: info.incarnation,
            suspicion,
            confirmed: false,
        };
        let job = self.job_key(name.job);
        let Some(job) = job.filter(|job| self.jobs[*job].end.is_none()) else {
            return;
        };
        let Some(task) = self.task_mut(name) else {
            return;
        };
        task.lost_at = now;
        if task.lost_runs.iter().any(|known| known.run == run) {
            self.mark_precaution_lost(name, run, now);
            return;
        }
        let open = OpenLoss {
            task: name,
            run,
            vm: lost.vm.clone(),
            address: lost.address.clone(),
            incarnation: lost.incarnation,
            noted_at: now,
            is_precaution,
        };
        task.lost_runs.push(lost);
        self.crashes_noted = true;
        self.open_losses.push(open);
        if suspicion > Suspicion::Bystander {
            self.mark_changed(job, now);
        }
    }

    /// Lowers the suspicion of an isolated run, which was noted before its start.
    fn limit_suspicion(&mut self, name: TaskName, run: u32, most: Suspicion) {
        let task = self.task_mut(name);
        let lost = task.and_then(|task| task.lost_runs.iter_mut().find(|lost| lost.run == run));
        if let Some(lost) = lost {
            lost.suspicion = lost.suspicion.min(most);
        }
    }

    /// Records that the VM of an isolated run doesn't respond.
    fn mark_precaution_lost(&mut self, name: TaskName, run: u32, now: Millis) {
        let is_same = |loss: &&mut OpenLoss| loss.task == name && loss.run == run;
        if let Some(loss) = self.open_losses.iter_mut().find(is_same)
            && loss.is_precaution
        {
            loss.is_precaution = false;
            loss.noted_at = now;
        }
    }

    /// Restores the open losses of a job from its progress.
    pub(super) fn restore_losses(&mut self, key: JobKey, now: Millis) {
        let job = &mut self.jobs[key];
        let mut open = Vec::new();
        let mut crashing = None;
        let mut has_losses = false;
        for round in &mut job.rounds {
            for (step, state) in (0u16..).zip(&mut round.steps) {
                for (index, task) in (0u32..).zip(&mut state.tasks) {
                    let name = TaskName {
                        job: job.id,
                        round: round.number,
                        step,
                        index,
                    };
                    if task.crashes_vms() {
                        crashing = Some(name);
                    }
                    if !task.lost_runs.is_empty() {
                        has_losses = true;
                        task.lost_at = now;
                    }
                    let unconfirmed = task.lost_runs.iter().filter(|lost| !lost.confirmed);
                    open.extend(unconfirmed.map(|lost| OpenLoss {
                        task: name,
                        run: lost.run,
                        vm: lost.vm.clone(),
                        address: lost.address.clone(),
                        incarnation: lost.incarnation,
                        noted_at: now,
                        is_precaution: false,
                    }));
                }
            }
        }
        self.open_losses.append(&mut open);
        self.crashes_noted |= has_losses;
        if let Some(name) = crashing {
            self.give_up(name, now);
        }
    }

    /// Forgets the loss of a run whose end its VM has reported.
    pub(super) fn forget_loss(&mut self, name: TaskName, run: u32, now: Millis) {
        self.resolve_losses(now, |loss| {
            (loss.task == name && loss.run == run).then_some(Resolution::Alive)
        });
    }

    /// Forgets the crashes under a task once it has been going on for long: a task that crashes its VMs
    /// doesn't.
    pub(super) fn forget_old_losses(&mut self, key: VmKey, reported: &ReportedRun, now: Millis) {
        let vm = &self.vms[key];
        let confirmed_at = vm
            .find(reported.task, reported.run)
            .map(|at| vm.runs[at].confirmed_at);
        if confirmed_at.is_none_or(|confirmed_at| now.since(confirmed_at) < CLEARING_TIME) {
            return;
        }
        let job = self.job_key(reported.task.job);
        let Some(job) = job.filter(|job| self.jobs[*job].end.is_none()) else {
            return;
        };
        let Some(task) = self.task_mut(reported.task) else {
            return;
        };
        let losses = task.lost_runs.len();
        if losses == 0 {
            return;
        }
        task.lost_runs.retain(|lost| !lost.confirmed);
        if task.lost_runs.len() < losses {
            self.mark_changed(job, now);
        }
    }

    /// Finds out which VMs have crashed and which respond again.
    pub(super) fn settle_losses(&mut self, now: Millis) {
        if self.open_losses.is_empty() {
            return;
        }
        let mut addresses: Vec<(&str, u64)> = self
            .vms
            .values()
            .filter(|vm| vm.has_replied())
            .map(|vm| (vm.info.address.as_str(), vm.info.incarnation))
            .collect();
        addresses.sort_unstable();
        let resolutions: Vec<Option<Resolution>> = self
            .open_losses
            .iter()
            .map(|loss| {
                let lost = (loss.address.as_str(), loss.incarnation);
                let at = addresses.partition_point(|entry| *entry <= lost);
                let successor = addresses.get(at);
                let is_replaced = successor.is_some_and(|(address, _)| *address == loss.address);
                if is_replaced && !loss.is_precaution {
                    return Some(Resolution::Crashed);
                }
                let vm = self.vm_by_id(&loss.vm).map(|key| &self.vms[key]);
                judge_loss(loss, vm, now)
            })
            .collect();
        let mut resolutions = resolutions.into_iter();
        self.resolve_losses(now, |_| resolutions.next().flatten());
    }

    fn resolve_losses(
        &mut self,
        now: Millis,
        mut resolve: impl FnMut(&OpenLoss) -> Option<Resolution>,
    ) {
        let mut resolved = Vec::new();
        self.open_losses.retain(|loss| match resolve(loss) {
            Some(resolution) => {
                resolved.push((loss.task, loss.run, resolution));
                false
            }
            None => true,
        });
        for (name, run, resolution) in resolved {
            self.resolve_loss(name, run, resolution, now);
        }
    }

    fn resolve_loss(&mut self, name: TaskName, run: u32, resolution: Resolution, now: Millis) {
        let Some(job) = self.job_key(name.job) else {
            return;
        };
        let Some(task) = self.task_mut(name) else {
            return;
        };
        match resolution {
            Resolution::Alive => task.lost_runs.retain(|lost| lost.run != run),
            Resolution::Crashed => {
                let lost = task.lost_runs.iter_mut().find(|lost| lost.run == run);
                if let Some(lost) = lost {
                    lost.confirmed = true;
                }
            }
        }
        let gives_up = task.crashes_vms();
        if self.jobs[job].end.is_none() {
            self.mark_changed(job, now);
            self.plan_needed = true;
            if gives_up {
                self.give_up(name, now);
            }
        }
    }

    /// Fails the job of a task that crashes its VMs.
    fn give_up(&mut self, name: TaskName, now: Millis) {
        let Some(key) = self.job_key(name.job) else {
            return;
        };
        if self.jobs[key].end.is_some() {
            return;
        }
        let lost_runs = self.task_mut(name).map(|task| task.lost_runs.clone());
        self.crash_verdicts.push(CrashVerdict {
            task: name,
            lost_runs: lost_runs.unwrap_or_default(),
        });
        self.end_job(key, JobState::Failed, now);
    }
}

/// What became of the VM of a lost run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Resolution {
    Crashed,
    Alive,
}

fn judge_loss(loss: &OpenLoss, vm: Option<&Vm>, now: Millis) -> Option<Resolution> {
    let vm = vm.filter(|vm| vm.info.incarnation >= loss.incarnation);
    if loss.is_precaution && vm.is_none_or(|vm| vm.find(loss.task, loss.run).is_none()) {
        // It ended before its VM was lost, or was never sent.
        return Some(Resolution::Alive);
    }
    if let Some(vm) = vm {
        if vm.info.incarnation > loss.incarnation && vm.has_replied() {
            return Some(Resolution::Crashed);
        }
        let vm_run = vm.find(loss.task, loss.run).map(|at| &vm.runs[at]);
        let is_up = if loss.is_precaution {
            vm.silent_since.is_none() && vm_run.is_some_and(|vm_run| !vm_run.is_young(now))
        } else {
            vm.silent_since.is_none() && vm.answered_at > loss.noted_at
        };
        if is_up {
            return Some(Resolution::Alive);
        }
    }
    if now.since(loss.noted_at) < VERDICT_TIMEOUT {
        return None;
    }
    if vm.is_some_and(|vm| vm.listed) {
        Some(Resolution::Alive)
    } else {
        Some(Resolution::Crashed)
    }
}
