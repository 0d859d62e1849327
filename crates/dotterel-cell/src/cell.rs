//! The state machine of a cell: it takes events and returns orders and rows to write.

use std::sync::Arc;

use compact_str::CompactString;
use dotterel_kernel::{Millis, Size};
use slotmap::{SecondaryMap, SlotMap};

use crate::interference::{Interference, Neighbours};
use crate::job::{Job, JobKey, JobState, StepRef};
use crate::plan::advice::Adviser;
use crate::plan::caution::{GuardedRate, RiskBudget};
use crate::plan::straggler::Replacements;
use crate::spec::{JobId, Step, TaskName};
use crate::speed::Speeds;
use crate::tenant::TenantTable;
use crate::vm::{Caution, Delivery, RunPhase, Vm, VmKey, VmRun};

mod admission;
mod batch;
mod caps;
mod confirmation;
mod crashes;
mod ends;
mod events;
mod fences;
mod former_runs;
mod held_starts;
mod late_starts;
mod load;
mod neighbours;
mod orders;
mod overload;
mod queued_starts;
mod recovery;
mod refused_rows;
mod registry;
pub(crate) mod replace;
mod reports;
mod restore;
mod rounds;
mod single_run;
mod speeds;
mod stop_list;
mod suspect_queues;
mod tenant_report;
mod tenants;
mod tick;
mod vm_list;

use confirmation::Confirmation;
use overload::Backlog;
use recovery::Recovery;
use tenant_report::History;
use tenants::{Account, SubmittedJobs};

pub use batch::{Batch, RowWrite, VM_LIST_LANE};
pub use caps::OverCap;
pub(crate) use crashes::CLEARING_TIME;
pub use crashes::CrashVerdict;
pub use events::CellEvent;
pub(crate) use held_starts::HeldStart;
pub use load::Load;
pub use orders::{AdviceRequest, Order};
pub use overload::Estimate;
pub use queued_starts::{DueStart, Withheld};
pub use refused_rows::RefusedBatch;
pub use registry::{LossReason, LostVm};
pub use tenant_report::{
    JobCounts, MAX_NAMED_TENANTS, OTHER_TENANTS, Preemption, RefusalKind, TenantFigures,
    TenantReport, WaitReason,
};
pub(crate) use tenants::account_index;
pub use vm_list::{VM_LIST_ROWS, VmRecord, decode_vm_list, vm_list_row};

/// Limits stated by the platform and set for the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Lease duration requested with each call to a VM.
    pub lease_ttl: Millis,
    /// Longest lease that a VM grants.
    pub lease_max: Millis,
    /// Time after a renewal of the leadership beyond which the leader requests no lease. Work runs on
    /// through a store outage of this length, and a successor waits this long for VMs that don't reply.
    pub leadership_ttl: Millis,
    /// Longest time that a VM takes to stop a run.
    pub stop_timeout: Millis,
    /// How long the state of an ended job can be queried.
    pub retention: Millis,
    /// Time that the tasks of a gang with `one_rack` take on several racks, in percent of that on one.
    pub cross_rack_pct: u32,
    /// Tasks that slow each other down on one VM are kept apart where there is capacity.
    pub keep_apart: bool,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lease_ttl: Millis(4000),
            lease_max: Millis::secs(10),
            leadership_ttl: Millis(6500),
            stop_timeout: Millis(400),
            retention: Millis::secs(120),
            cross_rack_pct: 200,
            keep_apart: false,
        }
    }
}

/// Rejection of a job before anything is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Delay before the caller should retry.
    pub retry_after: Millis,
    /// Ground of the decision.
    pub ground: RefusalGround,
}

/// Why a job was rejected for now, with the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalGround {
    /// The cell holds as many open jobs as it may, or as many bytes of jobs.
    OpenJobs {
        /// Number of open jobs.
        open: usize,
        /// Estimated bytes of all jobs in memory, with the one that was rejected.
        held_bytes: usize,
    },
    /// Its queue crashes VMs, so that its jobs start slowly.
    CrashingQueue {
        /// Jobs of the queue that wait.
        waiting: usize,
        /// Time in which they can start.
        drain: Millis,
        /// Time after which the result of the job is worthless.
        useful: Millis,
    },
    /// The work of its tenant that waits can't drain in useful time; see `CellEvent::JobRefused`.
    Backlog,
}

impl RefusalGround {
    /// Returns the kind of refusal.
    #[must_use]
    pub const fn kind(&self) -> RefusalKind {
        match self {
            Self::OpenJobs { .. } => RefusalKind::OpenJobs,
            Self::CrashingQueue { .. } => RefusalKind::CrashingQueue,
            Self::Backlog => RefusalKind::Backlog,
        }
    }
}

/// Result of submitting a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// The job is new and will be stored with the next batch.
    New,
    /// The job is already stored.
    Known,
    /// The job is known but not yet stored.
    Pending,
    /// The job was rejected.
    Refused(Refusal),
    /// The job was rejected, as the cap of its tenant never lets it run.
    Never(OverCap),
}

/// Result of cancelling a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancelled {
    /// No such job.
    Unknown,
    /// The job had ended, and its end is stored.
    Ended,
    /// The cancellation will be stored with the next batch.
    Pending,
}

/// Scheduler state of one cell: its jobs, VMs and pending orders.
#[derive(Debug)]
pub struct Cell {
    limits: Limits,
    term: u32,
    took_over_at: Millis,
    recovery: Recovery,
    /// The version of the newest transaction that the leader knows to be its own.
    fence: u64,
    /// The highest token of the VMs that were removed.
    removed_fence: u64,
    confirmation: Confirmation,
    pub(crate) jobs: SlotMap<JobKey, Job>,
    pub(crate) tenants: TenantTable,
    /// What the tenants occupy, by `account_index`.
    pub(crate) accounts: Vec<Account>,
    /// Jobs submitted lately, by `TenantNo::index`.
    submitted: Vec<SubmittedJobs>,
    backlog: Backlog,
    job_index: Vec<(JobId, JobKey)>,
    pub(crate) vms: SlotMap<VmKey, Vm>,
    vm_index: Vec<(CompactString, VmKey)>,
    /// Ids of removed VMs, for the log.
    removed_vms: SecondaryMap<VmKey, CompactString>,
    pub(crate) open_steps: Vec<StepRef>,
    pub(crate) orders: Vec<Order>,
    new_jobs: Vec<JobKey>,
    changed_jobs: Vec<JobKey>,
    changed_at: Millis,
    ending_jobs: Vec<JobKey>,
    /// Ended jobs whose rows are to be deleted, and the lanes that wrote them.
    expired_jobs: Vec<(JobId, u8)>,
    /// Rows of the progress of ended jobs that are to be deleted.
    expired_pages: Vec<batch::ExpiredPage>,
    /// The last job of which only a part of the changed progress was written.
    partly_written: JobKey,
    /// Rows that the store has refused for their content.
    refusals: refused_rows::Refusals,
    /// Rows of the list of VMs that have to be rewritten, sorted.
    changed_vm_rows: Vec<u8>,
    /// The list of VMs on which runs may be stopping has to be rewritten.
    stops_changed: bool,
    /// VMs lost since the last call of `take_lost_vms`.
    lost_vms: Vec<LostVm>,
    /// Observations since the last call of `take_events`.
    events: Vec<CellEvent>,
    /// How the jobs of tenants fare, for the log and metrics.
    history: History,
    /// Lost runs for which it isn't known yet whether their VMs have crashed.
    open_losses: Vec<crashes::OpenLoss>,
    /// Set once a run has been lost with its VM; there are no suspects before that.
    pub(crate) crashes_noted: bool,
    /// Queues whose tasks may have crashed VMs.
    suspect_queues: Vec<suspect_queues::SuspectQueue>,
    /// Jobs given up since the last call of `take_crash_verdicts`.
    crash_verdicts: Vec<CrashVerdict>,
    /// Starts of isolated runs that wait until their records are durable.
    pub(crate) held_starts: Vec<HeldStart>,
    /// Addresses of VMs lost under suspicion, and until when VMs that return there are risked.
    risked_addresses: Vec<(CompactString, Millis)>,
    pub(crate) guarded_rate: GuardedRate,
    /// Until then, tasks of suspect queues start with caution.
    pub(crate) storm_until: Millis,
    /// What may be risked in this planning pass.
    pub(crate) risk: RiskBudget,
    /// Stops that wait until the list names their VMs.
    held_stops: Vec<Order>,
    /// Sequence number of the last job change that has to be written.
    seq: u64,
    job_bytes: admission::HeldBytes,
    pub(crate) plan_needed: bool,
    pub(crate) approval_rates: Vec<(CompactString, f32)>,
    pub(crate) advisers: Vec<Adviser>,
    /// Capacity held in this planning pass for steps that come earlier in the queue.
    pub(crate) held: SecondaryMap<VmKey, Size>,
    /// VMs that were behind with their orders at the last tick.
    pub(crate) late_vms: SecondaryMap<VmKey, ()>,
    /// Capacity reserved by gangs in recent planning passes.
    pub(crate) reserved: SecondaryMap<VmKey, Size>,
    /// Relative speeds of the VMs.
    pub(crate) speeds: Speeds,
    /// Which kinds of tasks slow each other down.
    pub(crate) interference: Interference,
    /// Tasks that have had copies because of their pace.
    pub(crate) replacements: Replacements,
}

impl Cell {
    /// Returns a cell whose scheduler became the leader at `now`.
    ///
    /// Jobs of earlier terms don't start tasks until every listed VM has replied or
    /// `recovery_deadline` has passed.
    #[must_use]
    pub fn new(limits: Limits, term: u32, now: Millis, recovery_deadline: Millis) -> Self {
        Self {
            limits,
            term,
            took_over_at: now,
            recovery: Recovery::new(&limits, recovery_deadline),
            fence: 0,
            removed_fence: 0,
            confirmation: Confirmation::default(),
            jobs: SlotMap::with_key(),
            tenants: TenantTable::default(),
            accounts: Vec::new(),
            submitted: Vec::new(),
            backlog: Backlog::default(),
            job_index: Vec::new(),
            vms: SlotMap::with_key(),
            vm_index: Vec::new(),
            removed_vms: SecondaryMap::new(),
            open_steps: Vec::new(),
            orders: Vec::new(),
            new_jobs: Vec::new(),
            changed_jobs: Vec::new(),
            changed_at: Millis::ZERO,
            ending_jobs: Vec::new(),
            expired_jobs: Vec::new(),
            expired_pages: Vec::new(),
            partly_written: JobKey::default(),
            refusals: refused_rows::Refusals::default(),
            changed_vm_rows: Vec::new(),
            // A successor that finds no list delays its starts on all VMs.
            stops_changed: true,
            lost_vms: Vec::new(),
            events: Vec::new(),
            history: History::default(),
            open_losses: Vec::new(),
            crashes_noted: false,
            suspect_queues: Vec::new(),
            crash_verdicts: Vec::new(),
            held_starts: Vec::new(),
            risked_addresses: Vec::new(),
            guarded_rate: GuardedRate::default(),
            storm_until: Millis::ZERO,
            risk: RiskBudget::default(),
            held_stops: Vec::new(),
            seq: 0,
            job_bytes: admission::HeldBytes::default(),
            plan_needed: true,
            approval_rates: Vec::new(),
            advisers: Vec::new(),
            held: SecondaryMap::new(),
            late_vms: SecondaryMap::new(),
            reserved: SecondaryMap::new(),
            speeds: Speeds::default(),
            interference: Interference::default(),
            replacements: Replacements::default(),
        }
    }

    /// Returns the limits of the cell.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the state to report to callers; `None` if the job is unknown or not yet accepted.
    #[must_use]
    pub fn state(&self, id: JobId) -> Option<JobState> {
        let job = &self.jobs[self.job_key(id)?];
        job.stored.then(|| job.state())
    }

    /// Returns the number of accepted jobs of a queue that have not started.
    #[must_use]
    pub fn pending(&self, queue: &str) -> u32 {
        let waiting = self.jobs.values().filter(|job| {
            job.stored && !job.started && job.end.is_none() && job.policy.queue == queue
        });
        u32::try_from(waiting.count()).unwrap_or(u32::MAX)
    }

    /// Returns a job by its id.
    #[must_use]
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.job_key(id).map(|key| &self.jobs[key])
    }

    /// Returns a VM by its key.
    #[must_use]
    pub fn vm(&self, key: VmKey) -> Option<&Vm> {
        self.vms.get(key)
    }

    /// Iterates over all VMs.
    pub fn vms(&self) -> impl Iterator<Item = (VmKey, &Vm)> {
        self.vms.iter()
    }

    /// Iterates over all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the orders issued since the last call.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Returns the VMs lost since the last call, for the log.
    pub fn take_lost_vms(&mut self) -> Vec<LostVm> {
        std::mem::take(&mut self.lost_vms)
    }

    /// Returns true if anything has changed since the last plan.
    #[must_use]
    pub const fn needs_plan(&self) -> bool {
        self.plan_needed
    }

    pub(crate) fn job_key(&self, id: JobId) -> Option<JobKey> {
        let at = self
            .job_index
            .binary_search_by_key(&id, |(known, _)| *known);
        at.ok().map(|at| self.job_index[at].1)
    }

    fn insert_job(&mut self, job: Job) -> JobKey {
        let id = job.id;
        let key = self.jobs.insert(job);
        let at = self.job_index.partition_point(|(known, _)| *known < id);
        self.job_index.insert(at, (id, key));
        key
    }

    /// Removes a job from memory.
    fn remove_job(&mut self, key: JobKey) -> Option<Job> {
        let job = self.jobs.remove(key)?;
        if let Ok(at) = self
            .job_index
            .binary_search_by_key(&job.id, |(known, _)| *known)
        {
            self.job_index.remove(at);
        }
        Some(job)
    }

    fn mark_changed(&mut self, key: JobKey, now: Millis) {
        self.seq += 1;
        self.jobs[key].changed_seq = self.seq;
        if let Err(at) = self.changed_jobs.binary_search(&key) {
            if self.changed_jobs.is_empty() {
                self.changed_at = now;
            }
            self.changed_jobs.insert(at, key);
        }
    }

    /// Ends a job: stops its runs and queues its end for writing.
    fn end_job(&mut self, key: JobKey, state: JobState, now: Millis) {
        let job = &mut self.jobs[key];
        if job.end.is_some() {
            return;
        }
        self.seq += 1;
        job.changed_seq = self.seq;
        job.end = Some(state);
        job.ended_at = now;
        self.history.add_end(job, state, now);
        let id = job.id;
        let mut placed = Vec::new();
        for round in &job.rounds {
            for (step, step_state) in (0u16..).zip(&round.steps) {
                for (index, vm, run) in step_state.placed() {
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
        placed.append(&mut self.runs_with_copies(key));
        for (vm, name, run) in placed {
            self.order_stop(vm, name, run, "job ended", now);
        }
        if let Ok(at) = self.changed_jobs.binary_search(&key) {
            self.changed_jobs.remove(at);
        }
        self.ending_jobs.push(key);
    }

    fn run_floor(&self) -> u32 {
        /// Upper bound on the runs of one task in a single term: tasks that last are started again however
        /// often they end, and starts that are withheld use up numbers as well.
        const RUNS_PER_TERM: u32 = 16_384;
        self.term.saturating_sub(1).saturating_mul(RUNS_PER_TERM)
    }

    /// Returns the step that a task belongs to.
    pub(crate) fn step_of(&self, name: TaskName) -> Option<&Step> {
        let job = &self.jobs[self.job_key(name.job)?];
        job.spec.steps.get(usize::from(name.step))
    }

    pub(crate) fn step_spec(
        &self,
        step_ref: StepRef,
    ) -> Option<(Arc<crate::spec::JobSpec>, usize)> {
        let job = self.jobs.get(step_ref.job)?;
        Some((Arc::clone(&job.spec), usize::from(step_ref.step)))
    }

    /// Returns a new entry for a run on a VM. If the job has ended, the size of its tasks is no
    /// longer known, and `size_if_unknown` is used.
    pub(crate) fn new_vm_run(
        &self,
        name: TaskName,
        run: u32,
        size_if_unknown: Size,
        now: Millis,
    ) -> VmRun {
        let job = self.job_key(name.job).map(|key| &self.jobs[key]);
        let step = self.step_of(name);
        VmRun {
            task: name,
            run,
            size: step.map_or(size_if_unknown, crate::plan::occupied_size),
            priority: job.map_or(0, |job| job.policy.priority),
            tenant: job.and_then(|job| job.tenant),
            checkpoint: step
                .is_some_and(|step| step.checkpoint && !step.gang && !step.long_running),
            phase: RunPhase::Starting,
            delivery: Delivery::Pending,
            ordered_at: now,
            reported: false,
            confirmed_at: now,
            usual: step.map_or(Millis::ZERO, |step| self.usual_duration(name, step)),
            resumed: false,
            percent: 0,
            progressed_at: now,
            caution: Caution::None,
            timed: false,
            neighbours: Neighbours::default(),
        }
    }
}
