//! Events in, orders and rows out.

use std::sync::Arc;

use compact_str::CompactString;
use dotterel_kernel::{Millis, Size};
use slotmap::{SecondaryMap, SlotMap};

use crate::job::{Job, JobKey, JobState, StepRef};
use crate::plan::advice::Adviser;
use crate::record::{EndRecord, JobRecord, Progress};
use crate::spec::{JobId, Step, TaskName};
use crate::vm::{RunOn, RunPhase, Vm, VmKey};

mod admission;
mod batch;
mod ends;
mod load;
mod orders;
mod registry;
mod reports;
mod tick;

pub use batch::{Batch, RowWrite};
pub use load::Load;

/// Figures that the platform states, and the settings of the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The lease that each call to a VM asks for.
    pub lease_ttl: Millis,
    /// How long a stop may take.
    pub stop_timeout: Millis,
    /// How long the state of an ended job can be asked for.
    pub retention: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease_ttl: Millis(4000),
            stop_timeout: Millis(400),
            retention: Millis::secs(120),
        }
    }
}

/// A question for the advice service.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// The step.
    pub step: StepRef,
    /// Its job.
    pub job: JobId,
    /// The VMs to ask about.
    pub vms: Vec<VmKey>,
    /// What the call is expected to take.
    pub cost: Millis,
    /// Who makes the call.
    pub adviser: u64,
}

/// What the scheduler orders.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Start a run.
    Start {
        /// Where.
        vm: VmKey,
        /// The task.
        task: TaskName,
        /// Its run.
        run: u32,
        /// The state to resume from; empty for none.
        saved: CompactString,
        /// The advice service's ticket; empty for none.
        ticket: CompactString,
        /// How long the step has been open.
        waited: Millis,
    },
    /// Stop a run.
    Stop {
        /// Where.
        vm: VmKey,
        /// The task.
        task: TaskName,
        /// Its run.
        run: u32,
        /// Why, for the log.
        reason: &'static str,
    },
    /// Ask the advice service.
    RequestAdvice(AdviceRequest),
}

/// Why a job is refused before anything of it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// When the caller should come back.
    pub retry_after: Millis,
}

/// What became of a job that came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It is new and will be durable with the next batch.
    New,
    /// It is known and durable.
    Known,
    /// It is known but not durable yet.
    Pending,
    /// It isn't taken.
    Refused(Refusal),
}

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// No such job.
    Unknown,
    /// It had ended, and that is durable.
    Ended,
    /// It will be durable with the next batch.
    Pending,
}

/// A cell's jobs, VMs and orders.
#[derive(Debug)]
pub struct Cell {
    limits: Limits,
    term: u32,
    began: Millis,
    hold_off: Millis,
    settled: bool,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    index: Vec<(JobId, JobKey)>,
    pub(crate) vms: SlotMap<VmKey, Vm>,
    vm_ids: Vec<(CompactString, VmKey)>,
    pub(crate) open: Vec<StepRef>,
    pub(crate) orders: Vec<Order>,
    fresh: Vec<JobKey>,
    changed: Vec<JobKey>,
    changed_at: Millis,
    closing: Vec<JobKey>,
    /// Ended jobs whose rows go, and the lanes that wrote them.
    dropping: Vec<(JobId, u8)>,
    /// Counts changes of jobs that have to be written.
    seq: u64,
    pub(crate) dirty: bool,
    pub(crate) good: Vec<(CompactString, f32)>,
    pub(crate) advisers: Vec<Adviser>,
    /// Room held for steps that went before in this pass.
    pub(crate) held: SecondaryMap<VmKey, Size>,
    /// Room that gangs have set aside in the last passes.
    pub(crate) reserved: SecondaryMap<VmKey, Size>,
}

impl Cell {
    /// Returns a cell whose scheduler took the role at `now`.
    ///
    /// Tasks of earlier terms wait until every listed VM has answered, but not past `hold_off`.
    #[must_use]
    pub fn new(limits: Limits, term: u32, now: Millis, hold_off: Millis) -> Self {
        Self {
            limits,
            term,
            began: now,
            hold_off,
            settled: false,
            jobs: SlotMap::with_key(),
            index: Vec::new(),
            vms: SlotMap::with_key(),
            vm_ids: Vec::new(),
            open: Vec::new(),
            orders: Vec::new(),
            fresh: Vec::new(),
            changed: Vec::new(),
            changed_at: Millis::ZERO,
            closing: Vec::new(),
            dropping: Vec::new(),
            seq: 0,
            dirty: true,
            good: Vec::new(),
            advisers: Vec::new(),
            held: SecondaryMap::new(),
            reserved: SecondaryMap::new(),
        }
    }

    /// Returns the figures that the cell works with.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Takes in a job that an earlier term kept, from the rows of a lane.
    pub fn restore_job(
        &mut self,
        id: JobId,
        record: JobRecord,
        progress: Option<&Progress>,
        lane: u8,
        now: Millis,
    ) {
        if self.find(id).is_some() {
            return;
        }
        let mut job = Job::new(id, record, now);
        job.lane = Some(lane);
        job.since = job.arrived.min(now);
        job.stored = true;
        job.inherited = true;
        job.run_floor = self.run_floor();
        if let Some(progress) = progress {
            job.progressed = true;
            job.restore(progress, now);
        }
        let key = self.insert(job);
        self.begin_due(key, now);
    }

    /// Takes in the end of a job that an earlier term kept, from the rows of a lane.
    pub fn restore_ended_job(&mut self, id: JobId, end: &EndRecord, lane: u8, now: Millis) {
        if self.find(id).is_some() {
            return;
        }
        let mut job = Job::new(id, JobRecord::default(), now);
        job.lane = Some(lane);
        job.policy.queue = end.queue.clone();
        job.stored = true;
        job.end = Some(end.state);
        job.shown = true;
        job.ended = end.at.min(now);
        self.insert(job);
    }

    /// Returns what callers are told of a job; none when it isn't known or not accepted yet.
    #[must_use]
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let job = &self.jobs[self.find(id)?];
        job.stored.then(|| job.state())
    }

    /// Returns how many accepted jobs of a queue have not begun.
    #[must_use]
    pub fn pending(&self, queue: &str) -> u32 {
        let waiting = self.jobs.values().filter(|job| {
            job.stored && !job.begun && job.end.is_none() && job.policy.queue == queue
        });
        u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// Returns a job.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.find(id).map(|key| &self.jobs[key])
    }

    /// Returns the VM that a key points to.
    #[must_use]
    pub fn vm(&self, key: VmKey) -> Option<&Vm> {
        self.vms.get(key)
    }

    /// Returns all VMs.
    pub fn vms(&self) -> impl Iterator<Item = (VmKey, &Vm)> {
        self.vms.iter()
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the number of VMs that run something but have gone from the registry.
    #[must_use]
    pub fn unlisted_busy_vms(&self) -> usize {
        let busy = self
            .vms
            .values()
            .filter(|vm| !vm.listed && !vm.runs.is_empty());
        busy.count()
    }

    /// Takes the orders given since the last call.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Returns true when something has changed that a new plan could use.
    #[must_use]
    pub const fn needs_plan(&self) -> bool {
        self.dirty
    }

    pub(crate) fn find(&self, id: JobId) -> Option<JobKey> {
        let at = self.index.binary_search_by_key(&id, |(known, _)| *known);
        at.ok().map(|at| self.index[at].1)
    }

    fn insert(&mut self, job: Job) -> JobKey {
        let id = job.id;
        let key = self.jobs.insert(job);
        let at = self.index.partition_point(|(known, _)| *known < id);
        self.index.insert(at, (id, key));
        key
    }

    /// Drops a job that nobody is told of any more.
    fn remove_job(&mut self, key: JobKey) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        if let Ok(at) = self
            .index
            .binary_search_by_key(&job.id, |(known, _)| *known)
        {
            self.index.remove(at);
        }
        Some(job)
    }

    /// Begins occurrences whose time has come.
    fn begin_due(&mut self, key: JobKey, now: Millis) {
        let job = &mut self.jobs[key];
        if job.end.is_some() {
            return;
        }
        loop {
            let number = job.next_round;
            let due = if job.spec.repeats == 0 {
                if number > 0 {
                    break;
                }
                now
            } else {
                if number >= job.spec.repeats {
                    break;
                }
                job.spec.first + Millis(job.spec.period.0 * u64::from(number))
            };
            if due > now {
                break;
            }
            job.begin_round(number, now);
        }
        self.reopen(key, now);
    }

    /// Puts the open steps of a job into the queue.
    fn reopen(&mut self, key: JobKey, now: Millis) {
        let job = &mut self.jobs[key];
        let numbers: Vec<u32> = job.rounds.iter().map(|round| round.number).collect();
        for round in numbers {
            for step in job.open_steps(round, now) {
                self.open.push(StepRef {
                    job: key,
                    round,
                    step,
                });
            }
        }
        self.dirty = true;
    }

    fn touch(&mut self, key: JobKey, now: Millis) {
        self.seq += 1;
        if let Err(at) = self.changed.binary_search(&key) {
            if self.changed.is_empty() {
                self.changed_at = now;
            }
            self.changed.insert(at, key);
        }
    }

    /// Ends a job: what runs of it is stopped, and the end is kept.
    fn finish(&mut self, key: JobKey, state: JobState, now: Millis) {
        let job = &mut self.jobs[key];
        if job.end.is_some() {
            return;
        }
        self.seq += 1;
        job.end = Some(state);
        job.ended = now;
        let id = job.id;
        let mut placed = Vec::new();
        for round in &job.rounds {
            for (step, run) in (0u16..).zip(&round.steps) {
                for (index, vm, run) in run.placed() {
                    let name = TaskName {
                        job: id,
                        round: round.number,
                        step,
                        index,
                    };
                    placed.push((vm, name, run));
                }
            }
        }
        for (vm, name, run) in placed {
            self.order_stop(vm, name, run, "job ended");
        }
        if let Ok(at) = self.changed.binary_search(&key) {
            self.changed.remove(at);
        }
        self.closing.push(key);
    }

    fn run_floor(&self) -> u32 {
        /// Runs of one task that a single term can reach; attempts are few.
        const RUNS_A_TERM: u32 = 64;
        self.term.saturating_sub(1).saturating_mul(RUNS_A_TERM)
    }

    /// Returns what the caller said of a task's step.
    pub(crate) fn step_of(&self, name: TaskName) -> Option<&Step> {
        let job = &self.jobs[self.find(name.job)?];
        job.spec.steps.get(usize::from(name.step))
    }

    pub(crate) fn step_spec(&self, at: StepRef) -> Option<(Arc<crate::spec::JobSpec>, usize)> {
        let job = self.jobs.get(at.job)?;
        Some((Arc::clone(&job.spec), usize::from(at.step)))
    }

    /// Returns the entry of a run on a VM. Where the job has ended, nobody knows any more how much
    /// room the run takes, and `unknown` is assumed.
    pub(crate) fn run_on(&self, name: TaskName, run: u32, unknown: Size, now: Millis) -> RunOn {
        let job = self.find(name.job).map(|key| &self.jobs[key]);
        let step = self.step_of(name);
        RunOn {
            task: name,
            run,
            size: step.map_or(unknown, crate::plan::room_for),
            priority: job.map_or(0, |job| job.policy.priority),
            checkpoint: step
                .is_some_and(|step| step.checkpoint && !step.gang && !step.long_running),
            phase: RunPhase::Starting,
            ordered: now,
            seen: false,
            confirmed_at: now,
            percent: 0,
            moved: now,
        }
    }
}
