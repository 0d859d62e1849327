//! Runs that take much longer than their peers.
//!
//! A task whose step allows copies gets one on a VM that isn't slow, if that delays no other work; the
//! first run that is done counts. A run that can resume is moved off a VM that has turned very slow.

use dotterel_kernel::{Millis, Size};

use crate::cell::Cell;
use crate::cell::replace::copies_allowed;
use crate::job::{Phase, StepRef, Task};
use crate::plan::fit::leftover;
use crate::plan::occupied_size;
use crate::plan::pace::{Pace, scale};
use crate::spec::{Step, TaskName};
use crate::speed::SpeedLevel;
use crate::vm::{Caution, MAX_REPLY_AGE, RunPhase, Vm, VmKey, VmRun};

/// A run is a straggler once it has taken this many times its usual duration, or will take more than
/// `SLOW_FACTOR` times by its progress. Tasks often differ by a factor of two.
const LATE_FACTOR: f32 = 2.5;
const SLOW_FACTOR: f32 = 2.5;
/// Progress is judged from this multiple of the usual duration on, or earlier on a VM that is slow.
const JUDGED_FACTOR: f32 = 1.5;
const JUDGED_FACTOR_ON_SLOW_VM: f32 = 0.5;
/// Speed below which a VM counts as slow for this, and below which runs are moved off it.
const SLOW_VM: SpeedLevel = SpeedLevel::from_hundredths(-100);
const VERY_SLOW_VM: SpeedLevel = SpeedLevel::from_hundredths(-158);
/// Time until a run elsewhere makes progress: a plan, a round trip and its start.
const START_TIME: Millis = Millis(200);
/// Time that a copy, or a move, has to gain.
const MIN_COPY_GAIN: Millis = Millis(300);
const MIN_MOVE_GAIN: Millis = Millis(2000);
/// VMs that turn slow recover within some seconds, so the slowness is expected to last no longer.
const SLOW_TIME: Millis = Millis(5000);
/// At most one run in this many has a copy, or has been moved; one always may.
const RUNS_PER_REPLACEMENT: usize = 20;
/// Copies and moves per second.
const MAX_PER_SECOND: usize = 4;
/// Stragglers for which a VM is looked for at each tick.
const MAX_ATTEMPTS: usize = 8;
/// Waiting work has to fit into the free capacity this many times before any is used for copies.
const SPARE_FACTOR: u32 = 2;

/// Unfinished tasks that have had a copy or were moved, and the times of the latest ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replacements {
    /// Sorted. A task that is slow in two places takes long by itself.
    tasks: Vec<TaskName>,
    times: [Millis; MAX_PER_SECOND],
    next: usize,
}

impl Replacements {
    fn allows(&self, runs: usize, now: Millis) -> bool {
        let oldest = self.times[self.next];
        let is_slow = oldest == Millis::ZERO || now.since(oldest) >= Millis::secs(1);
        is_slow && self.tasks.len() < (runs / RUNS_PER_REPLACEMENT).max(1)
    }

    fn note(&mut self, name: TaskName, now: Millis) {
        if let Err(at) = self.tasks.binary_search(&name) {
            self.tasks.insert(at, name);
        }
        self.times[self.next] = now;
        self.next = (self.next + 1) % MAX_PER_SECOND;
    }
}

/// What could be done about a straggler.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Remedy {
    Copy,
    Move,
}

/// A run that would end earlier elsewhere.
#[derive(Clone, Copy, Debug)]
struct Straggler {
    vm: VmKey,
    task: TaskName,
    run: u32,
    remedy: Remedy,
    /// Time that the remedy gains.
    gain: Millis,
}

impl Cell {
    /// Starts copies of stragglers, and moves runs off VMs that have turned very slow.
    pub(crate) fn replace_stragglers(&mut self, now: Millis) {
        let mut tasks = std::mem::take(&mut self.replacements.tasks);
        tasks.retain(|name| {
            self.task_mut(*name)
                .is_some_and(|task| task.phase != Phase::Done)
        });
        self.replacements.tasks = tasks;
        if !self.is_recovered() {
            return;
        }
        let (mut stragglers, runs) = self.stragglers(now);
        stragglers.sort_by_key(|straggler| std::cmp::Reverse(straggler.gain));
        stragglers.retain(|straggler| self.may_replace(straggler, now));
        if !stragglers.is_empty() {
            // Reports may have shown further runs since the last planning pass.
            self.update_accounts(now);
        }
        for straggler in stragglers.into_iter().take(MAX_ATTEMPTS) {
            if !self.replacements.allows(runs, now) {
                return;
            }
            self.replace_straggler(straggler, now);
        }
    }

    /// Returns true if a straggler is the current run of its task, which has not been replaced before.
    fn may_replace(&self, straggler: &Straggler, now: Millis) -> bool {
        let name = straggler.task;
        if self.replacements.tasks.binary_search(&name).is_ok() {
            return false;
        }
        let Some((step_ref, task)) = self.find_task(name) else {
            return false;
        };
        let is_current =
            task.phase == Phase::Placed(straggler.vm) && task.last_run == straggler.run;
        // Neither a suspect nor a task whose end may have been counted elsewhere is started twice.
        let is_plain = !task.is_suspect()
            && task.vanished_at == Millis::ZERO
            && self.step_caution(step_ref, now) == Some(Caution::None);
        let is_open = self.jobs[step_ref.job].end.is_none();
        let has_state = straggler.remedy == Remedy::Copy || !task.saved.is_empty();
        is_current && is_plain && is_open && has_state
    }

    fn find_task(&self, name: TaskName) -> Option<(StepRef, &Task)> {
        let step_ref = StepRef {
            job: self.job_key(name.job)?,
            round: name.round,
            step: name.step,
        };
        let state = self.step_state(step_ref)?;
        Some((step_ref, state.tasks.get(name.index as usize)?))
    }

    /// Returns the stragglers, and the number of runs.
    fn stragglers(&self, now: Millis) -> (Vec<Straggler>, usize) {
        let mut stragglers = Vec::new();
        let mut runs = 0;
        for (key, vm) in &self.vms {
            runs += vm.runs.len();
            if now.since(vm.answered_at) > MAX_REPLY_AGE {
                continue;
            }
            for vm_run in &vm.runs {
                stragglers.extend(self.judge_pace(key, vm, vm_run));
            }
        }
        (stragglers, runs)
    }

    /// Returns what could be done about a run, if it is a straggler and would end earlier elsewhere.
    fn judge_pace(&self, key: VmKey, vm: &Vm, vm_run: &VmRun) -> Option<Straggler> {
        let elapsed = vm.answered_at.since(vm_run.confirmed_at);
        // The gain is less than the time that the run has taken, unless its VM is slow.
        let level = self.speeds.level(key);
        let is_candidate = elapsed > MIN_COPY_GAIN || level <= SLOW_VM;
        if vm_run.phase != RunPhase::Running || vm_run.percent >= 100 || !is_candidate {
            return None;
        }
        let name = vm_run.task;
        let job = &self.jobs[self.job_key(name.job)?];
        let step = job.spec.steps.get(usize::from(name.step))?;
        // Without an estimate, nothing is known about the usual duration.
        if !Self::is_comparable(step) || step.estimate == Millis::ZERO {
            return None;
        }
        let ratio = self.speeds.ratio(&job.policy.queue, name.step)?;
        let usual = scale(step.estimate, ratio);
        let remedy = if copies_allowed(step) {
            Remedy::Copy
        } else if vm_run.checkpoint {
            Remedy::Move
        } else {
            return None;
        };
        let gain = match remedy {
            Remedy::Copy => copy_gain(vm_run, elapsed, usual, level)?,
            Remedy::Move => self.move_gain(vm_run, usual, level)?,
        };
        Some(Straggler {
            vm: key,
            task: name,
            run: vm_run.run,
            remedy,
            gain,
        })
    }

    /// Returns the time gained by resuming a run on an ordinary VM, if it is worth it.
    fn move_gain(&self, vm_run: &VmRun, usual: Millis, level: SpeedLevel) -> Option<Millis> {
        if level > VERY_SLOW_VM {
            return None;
        }
        let left = usual.0 * u64::from(100 - vm_run.percent) / 100;
        let here = scale(Millis(left), 1.0 / level.factor()).min(Millis(left) + SLOW_TIME);
        let elsewhere = Millis(left) + self.limits().stop_timeout + START_TIME;
        let gain = here.since(elsewhere);
        (gain >= MIN_MOVE_GAIN).then_some(gain)
    }

    fn replace_straggler(&mut self, straggler: Straggler, now: Millis) {
        let Straggler { vm, task, run, .. } = straggler;
        let Some((step_ref, _)) = self.find_task(task) else {
            return;
        };
        let Some((spec, at)) = self.step_spec(step_ref) else {
            return;
        };
        let step = &spec.steps[at];
        if !self.may_start(step_ref) {
            return;
        }
        let tenant = self.jobs[step_ref.job].tenant;
        let needs_headroom = straggler.remedy == Remedy::Copy;
        if needs_headroom && !self.may_start_for(tenant, &occupied_size(step), 1) {
            return;
        }
        if !self.has_spare_capacity(&self.jobs[step_ref.job].policy.service, step, now) {
            return;
        }
        let Some((target, ticket)) = self.vm_for_copy(step_ref, step, &straggler, now) else {
            // Tickets have mostly expired by the time at which a run is a straggler.
            self.request_more_advice(step_ref, step, 1, now);
            return;
        };
        self.replacements.note(task, now);
        match straggler.remedy {
            Remedy::Copy => {
                self.start_copy(vm, task, run, now);
                self.start_task(step_ref, task.index, target, ticket, now);
            }
            Remedy::Move => {
                self.avoid(vm, task);
                self.order_stop(vm, task, run, "resumes on a faster VM", now);
            }
        }
    }

    /// Returns true if the waiting work and another task fit into the free capacity with room to spare,
    /// so that a copy delays nothing.
    fn has_spare_capacity(&self, service: &str, step: &Step, now: Millis) -> bool {
        let mut demand = occupied_size(step);
        for step_ref in &self.open_steps {
            let Some(job) = self.jobs.get(step_ref.job) else {
                continue;
            };
            let waiting = job
                .round(step_ref.round)
                .filter(|_| job.end.is_none() && job.policy.service == service)
                .and_then(|round| round.steps.get(usize::from(step_ref.step)));
            let Some(waiting) = waiting else {
                continue;
            };
            let size = occupied_size(&job.spec.steps[usize::from(step_ref.step)]);
            let tasks = waiting.tasks.iter();
            for _ in tasks.filter(|task| task.phase == Phase::Waiting) {
                demand = demand.plus(&size);
            }
        }
        let any = Step::default();
        let mut free = Size::ZERO;
        for (_, vm) in &self.vms {
            if self.is_usable(vm, service, &any, now) {
                free = free.plus(&vm.free());
            }
        }
        demand.fits(&free) && free.count_fitting(&demand) >= SPARE_FACTOR
    }

    /// Returns the VM for another run of a straggler's task, and its ticket. VMs on which the task has failed
    /// are left out: another failure could end the job.
    fn vm_for_copy(
        &self,
        step_ref: StepRef,
        step: &Step,
        straggler: &Straggler,
        now: Millis,
    ) -> Option<(VmKey, compact_str::CompactString)> {
        let size = occupied_size(step);
        let state = self.step_state(step_ref)?;
        let avoided = &state.tasks.get(straggler.task.index as usize)?.avoided_vms;
        let candidates = self.startable_vms(step_ref, step, now).into_iter();
        let fitting = candidates.filter_map(|(key, ticket)| {
            let vm = &self.vms[key];
            let available = self.unreserved_capacity(key, vm);
            let is_slow = self.is_slower(key, SpeedLevel::ORDINARY.class());
            let is_sound = now >= vm.risked_until && !self.late_vms.contains_key(key);
            let has_slot = self.count_slots(step_ref, step, vm, &available) > 0;
            let is_avoided = key == straggler.vm || avoided.contains(&key);
            if is_avoided || is_slow || !is_sound || !has_slot {
                return None;
            }
            let weight = leftover(&available.minus(&size), &vm.info.capacity)
                + Pace::Urgent.weight(self.speeds.level(key));
            Some((weight, key, ticket))
        });
        let best = fitting.min_by_key(|(weight, ..)| *weight);
        best.map(|(_, key, ticket)| (key, ticket))
    }
}

/// Returns the time gained by a copy of a run on an ordinary VM, if the run is a straggler and a copy is
/// worth it.
fn copy_gain(vm_run: &VmRun, elapsed: Millis, usual: Millis, level: SpeedLevel) -> Option<Millis> {
    let judged = if level <= SLOW_VM {
        JUDGED_FACTOR_ON_SLOW_VM
    } else {
        JUDGED_FACTOR
    };
    let total = if vm_run.percent > 0 {
        Millis(elapsed.0 * 100 / u64::from(vm_run.percent))
    } else {
        // Not all tasks report their progress; one that has lasted long may last as long again.
        Millis(elapsed.0 * 2)
    };
    let is_late = elapsed >= scale(usual, LATE_FACTOR);
    let is_slow = elapsed >= scale(usual, judged)
        && total >= scale(usual, SLOW_FACTOR)
        && (vm_run.percent > 0 || level <= SLOW_VM);
    let gain = total.since(elapsed).since(usual + START_TIME);
    ((is_late || is_slow) && gain >= MIN_COPY_GAIN).then_some(gain)
}
