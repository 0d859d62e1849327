//! Placement of tasks that may crash their VMs.
//!
//! A suspect starts alone, so that a crash costs no other work and leaves no doubt about its cause. A task
//! that was lost with its VM several times, long after its starts, may have crashed them as well. It is kept
//! apart from other such tasks, which a crash would count against, and other work prefers other VMs until it
//! has been going on for long. But nothing waits for that: VMs also crash by themselves, and such a task
//! may last for hours. After a suspected crash, the tasks of its queue are spread over VMs where another one would cost
//! the least. Once many VMs are down, jobs of a queue that has crashed VMs again and again also start
//! one at a time on a VM. All this stops while too many VMs are down after such starts. Other work
//! prefers VMs that aren't risked.

use std::time::Duration;

use compact_str::CompactString;
use dotterel_kernel::Millis;

use crate::cell::{Cell, Refusal, RefusalGround};
use crate::job::{Job, Phase, StepRef, Task};
use crate::plan::advice::to_f32;
use crate::plan::fit::leftover;
use crate::plan::occupied_size;
use crate::plan::order::OBSOLETE_FACTOR;
use crate::record::{JobRecord, Suspicion};
use crate::spec::{Step, TaskName};
use crate::vm::{Caution, Vm, VmKey};

/// One in this many VMs may be down after starts of suspects, or be in use for one.
const SUSPECT_VM_DIVISOR: usize = 6;
/// The same while half of the capacity is free; there is no limit while three quarters are.
const IDLE_SUSPECT_VM_DIVISOR: usize = 3;
/// Tasks of suspect queues start with caution once one in this many VMs is down.
const STORM_VM_DIVISOR: usize = 6;
/// Time for which they do so after the last moment with as many VMs down.
const STORM_TIME: Millis = Millis::secs(5);
/// One in this many VMs may be down before these tasks have to wait.
const GUARDED_VM_DIVISOR: usize = 3;
/// The same while many of these tasks crash their VMs, so that little is gained by starting them.
const HOPELESS_VM_DIVISOR: usize = 6;
/// Guarded jobs that start for each crash, below which a queue is hopeless.
const MIN_STARTS_PER_CRASH: f32 = 4.0;
/// Tasks that may find no VM in a planning pass before the others have to wait. Each asks for advice,
/// which then is not available to other work.
const MAX_FAILED_ATTEMPTS: u32 = 12;
/// Jobs of a suspect queue that may wait, however slowly they start.
const MIN_GUARDED_BACKLOG: f32 = 12.0;
/// Weight of the latest interval in the moving average of the rate at which guarded jobs start.
const GUARDED_RATE_WEIGHT: f32 = 0.03;
/// Bounds of the delay after which a refused caller should retry.
const MIN_RETRY_AFTER: Millis = Millis::secs(1);
const MAX_RETRY_AFTER: Millis = Millis::secs(5);
/// Time for which a suspect waits for a VM without other runs if its queue has not crashed other VMs:
/// it is hardly the cause.
const FIRST_CRASH_PATIENCE: Millis = Millis::secs(1);
/// Time for which other suspects wait for one.
const EMPTY_VM_PATIENCE: Millis = Millis::secs(8);
/// Time for which it then waits for a VM on which nothing has just started. Other work keeps starting, so that
/// there may be none.
const SETTLED_VM_PATIENCE: Millis = Millis(1000);
/// Exposure of a run whose job would miss its objective: a fifth of a VM.
const URGENT_EXPOSURE: u64 = 200;
/// Exposure of a VM to a task that was lost several times, if it runs another one: two full VMs.
const SEPARATION_EXPOSURE: u64 = 2000;
/// Weight of a thousandth of a VM that is occupied by runs which a crash would lose: more than any
/// leftover capacity.
pub(crate) const EXPOSURE_WEIGHT: u64 = 10_000;

/// How many VMs may be risked for tasks that may crash them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RiskBudget {
    /// Isolated runs that may start in this planning pass.
    isolated: usize,
    /// Tasks of suspect queues may start.
    guarded: bool,
    /// Tasks that may still be tried in this planning pass without finding a VM.
    attempts: u32,
}

/// Which VMs are good enough for a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WantedVm {
    /// One without runs.
    Empty,
    /// One on which nothing has just started.
    Settled,
    /// Any with capacity.
    Any,
}

impl Cell {
    /// Determines how many VMs may be risked in this planning pass.
    pub(crate) fn update_risk_budget(&mut self, now: Millis) {
        if !self.crashes_noted {
            return;
        }
        let (mut listed, mut down, mut risked) = (0, 0, 0);
        let (mut cores, mut free) = (0u64, 0u64);
        for vm in self.vms.values().filter(|vm| vm.listed) {
            listed += 1;
            let is_down = vm.is_suspected && vm.silent_since.is_some();
            let is_isolated = vm.runs.iter().any(|run| run.caution >= Caution::Isolated);
            down += usize::from(is_down);
            risked += usize::from(is_down || (is_isolated && now < vm.exclusive_until));
            cores += u64::from(vm.info.capacity.milli_cores);
            free += u64::from(vm.free().milli_cores);
        }
        if down > 0 && down >= listed / STORM_VM_DIVISOR {
            self.storm_until = now + STORM_TIME;
        }
        let suspect_divisor = if free * 4 > cores * 3 {
            1
        } else if free * 2 > cores {
            IDLE_SUSPECT_VM_DIVISOR
        } else {
            SUSPECT_VM_DIVISOR
        };
        let guarded_divisor = if self.guarded_rate.is_hopeless() {
            HOPELESS_VM_DIVISOR
        } else {
            GUARDED_VM_DIVISOR
        };
        self.risk = RiskBudget {
            isolated: (listed / suspect_divisor).max(1).saturating_sub(risked),
            guarded: down < (listed / guarded_divisor).max(1),
            attempts: MAX_FAILED_ATTEMPTS,
        };
    }

    /// Refuses a new job of a suspect queue if too many others wait for it to be done in time.
    pub(crate) fn refuse_guarded(&self, record: &JobRecord, now: Millis) -> Option<Refusal> {
        let queue = &record.policy.queue;
        if now >= self.storm_until || !self.is_suspect_queue(queue, now) {
            return None;
        }
        let waiting = self.open_steps.iter().filter(|step_ref| {
            let job = self.jobs.get(step_ref.job);
            job.is_some_and(|job| !job.started && job.policy.queue == *queue)
        });
        let waiting_jobs = waiting.count();
        let waiting = to_f32(u32::try_from(waiting_jobs).unwrap_or(u32::MAX));
        let rate = self.guarded_rate.per_second;
        let useful_time = millis_f32(record.objective().0 * OBSOLETE_FACTOR) / 1000.0;
        if waiting < MIN_GUARDED_BACKLOG.max(rate * useful_time) {
            return None;
        }
        let drain_time = Duration::try_from_secs_f32(waiting / rate.max(1.0)).unwrap_or_default();
        let retry_after = Millis(u64::try_from(drain_time.as_millis()).unwrap_or(u64::MAX));
        Some(Refusal {
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            ground: RefusalGround::CrashingQueue {
                waiting: waiting_jobs,
                drain: retry_after,
                useful: Millis(record.objective().0 * OBSOLETE_FACTOR),
            },
        })
    }

    /// Returns how the tasks of a step that are no suspects have to be started; `None` if they have to
    /// wait.
    pub(crate) fn step_caution(&self, step_ref: StepRef, now: Millis) -> Option<Caution> {
        let job = self.jobs.get(step_ref.job)?;
        // The work of the other tasks is lost if the suspect makes the job fail.
        if self.crashes_noted && self.has_open_suspect(job, now) {
            return None;
        }
        if now < self.storm_until && self.is_suspect_queue(&job.policy.queue, now) {
            return Some(Caution::Guarded);
        }
        Some(Caution::None)
    }

    /// Returns true if a task of a job is the only suspect of a crash, and hasn't gone on for a while
    /// since.
    fn has_open_suspect(&self, job: &Job, now: Millis) -> bool {
        let steps = job.rounds.iter().flat_map(|round| &round.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.any(|task| {
            let is_cleared = match task.phase {
                Phase::Waiting => false,
                Phase::Placed(vm) => self.vms.get(vm).is_some_and(|vm| !vm.has_young_runs(now)),
                Phase::Done => true,
            };
            task.is_suspected_of(Suspicion::Sole) && !is_cleared
        })
    }

    /// Returns the strictest caution that a member of a gang needs; `None` if the gang has to wait.
    pub(crate) fn gang_caution(&self, step_ref: StepRef, now: Millis) -> Option<Caution> {
        let tasks = &self.step_state(step_ref)?.tasks;
        let mut suspects = tasks.iter().filter(|task| task.is_suspect()).peekable();
        if suspects.peek().is_none() {
            return self.step_caution(step_ref, now);
        }
        suspects.try_fold(Caution::None, |strictest, task| {
            Some(strictest.max(suspect_caution(task, now)?))
        })
    }

    /// Returns true if a run that needs caution may start on a VM.
    pub(crate) fn may_risk(vm: &Vm, caution: Caution, wanted: WantedVm, now: Millis) -> bool {
        let is_settled = || !vm.has_young_runs(now);
        match (caution, wanted) {
            (Caution::None, _) => true,
            (Caution::Guarded, _) => is_settled(),
            (_, WantedVm::Empty) => vm.runs.is_empty(),
            (_, WantedVm::Settled) => is_settled(),
            (_, WantedVm::Any) => true,
        }
    }

    /// Returns which VM a suspect still waits for that was lost at `lost_at`.
    pub(crate) fn wanted_vm(&self, step_ref: StepRef, lost_at: Millis, now: Millis) -> WantedVm {
        let job = self.jobs.get(step_ref.job);
        let recurs = job.is_some_and(|job| self.is_suspect_queue(&job.policy.queue, now));
        let patience = if recurs {
            EMPTY_VM_PATIENCE
        } else {
            FIRST_CRASH_PATIENCE
        };
        let waited = now.since(lost_at);
        if waited < patience {
            WantedVm::Empty
        } else if waited < patience + SETTLED_VM_PATIENCE {
            WantedVm::Settled
        } else {
            WantedVm::Any
        }
    }

    /// Returns true if tasks of a step are to be spread over VMs where a crash would cost little.
    pub(crate) fn is_spread(&self, step_ref: StepRef, now: Millis) -> bool {
        let job = self.jobs.get(step_ref.job);
        job.is_some_and(|job| self.has_crashed_lately(&job.policy.queue, now))
    }

    /// Returns what a crash of a VM would cost, in thousandths of a VM occupied by runs.
    pub(crate) fn exposure(&self, vm: &Vm, now: Millis) -> u64 {
        let capacity = u64::from(vm.info.capacity.milli_cores.max(1));
        let runs = vm.runs.iter().map(|run| {
            let share = u64::from(run.size.milli_cores) * 1000 / capacity;
            if self.can_start_over(run.task, now) {
                share
            } else {
                URGENT_EXPOSURE + share * 2
            }
        });
        runs.sum()
    }

    /// Returns true if a task could start over after its VM's lease and still meet its objective.
    fn can_start_over(&self, name: TaskName, now: Millis) -> bool {
        let Some(job) = self.job_key(name.job).map(|key| &self.jobs[key]) else {
            return true;
        };
        let due = job.round_start(name.round) + job.objective;
        due > now + self.limits().lease_ttl + job.remaining_from(name.step)
    }

    /// Returns the VM on which a crash would lose the least, and its ticket.
    pub(crate) fn least_exposed_vm(
        &self,
        step_ref: StepRef,
        step: &Step,
        index: u32,
        caution: Caution,
        now: Millis,
    ) -> Option<(VmKey, CompactString)> {
        let lost_at = self.step_state(step_ref)?.tasks[index as usize].lost_at;
        let wanted = self.wanted_vm(step_ref, lost_at, now);
        let size = occupied_size(step);
        let mut best: Option<(u64, VmKey, CompactString)> = None;
        for (key, ticket) in self.startable_vms(step_ref, step, now) {
            let vm = &self.vms[key];
            let available = self.free_capacity(key, vm);
            let has_slot = self.count_slots(step_ref, step, vm, &available) > 0;
            if !has_slot || !Self::may_risk(vm, caution, wanted, now) {
                continue;
            }
            let mut exposure = self.exposure(vm, now);
            if caution == Caution::Separate && vm.has_separate_run() {
                exposure += SEPARATION_EXPOSURE;
            }
            let weight =
                exposure * EXPOSURE_WEIGHT + leftover(&available.minus(&size), &vm.info.capacity);
            if best.as_ref().is_none_or(|(least, ..)| weight < *least) {
                best = Some((weight, key, ticket));
            }
        }
        best.map(|(_, key, ticket)| (key, ticket))
    }
}

/// The rates at which jobs of suspect queues start and crash their VMs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct GuardedRate {
    started: u16,
    crashed: u16,
    per_second: f32,
    crashes_per_second: f32,
    updated_at: Millis,
}

impl GuardedRate {
    /// Counts a job.
    pub(crate) fn record(&mut self) {
        self.started = self.started.saturating_add(1);
    }

    /// Counts a job that may have crashed its VM.
    pub(crate) fn record_crash(&mut self) {
        self.crashed = self.crashed.saturating_add(1);
    }

    /// Updates the moving averages.
    pub(crate) fn update(&mut self, now: Millis) {
        let interval = now.since(self.updated_at).0;
        if interval > 0 {
            let per_second = 1000.0 / millis_f32(interval);
            let rate = f32::from(self.started) * per_second;
            self.per_second += (rate - self.per_second) * GUARDED_RATE_WEIGHT;
            let rate = f32::from(self.crashed) * per_second;
            self.crashes_per_second += (rate - self.crashes_per_second) * GUARDED_RATE_WEIGHT;
        }
        self.started = 0;
        self.crashed = 0;
        self.updated_at = now;
    }

    fn is_hopeless(&self) -> bool {
        self.per_second < self.crashes_per_second * MIN_STARTS_PER_CRASH
    }
}

/// Returns how a suspect has to be started; `None` if it has to wait.
pub(crate) fn suspect_caution(task: &Task, now: Millis) -> Option<Caution> {
    if task.awaits_verdict(now) {
        None
    } else if task.is_suspected_of(Suspicion::Shared) {
        Some(Caution::Isolated)
    } else {
        Some(Caution::Separate)
    }
}

impl RiskBudget {
    /// Returns true if another VM may be risked.
    pub(crate) const fn allows(&self, caution: Caution) -> bool {
        match caution {
            Caution::None => true,
            Caution::Guarded => self.guarded && self.attempts > 0,
            Caution::Isolated | Caution::Separate => self.isolated > 0 && self.attempts > 0,
        }
    }

    /// Counts a task that found no VM.
    pub(crate) fn take_attempt(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// Takes a VM from the budget.
    pub(crate) fn take(&mut self, caution: Caution) {
        if caution >= Caution::Isolated {
            self.isolated = self.isolated.saturating_sub(1);
        }
    }
}

/// Intervals and objectives are far too short to lose precision.
fn millis_f32(ms: u64) -> f32 {
    to_f32(u32::try_from(ms).unwrap_or(u32::MAX))
}
