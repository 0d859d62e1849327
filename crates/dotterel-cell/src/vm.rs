//! VMs, the runs on them and their leases.

use std::collections::VecDeque;

use compact_str::CompactString;
use dotterel_kernel::{Millis, Size};
use slotmap::{SlotMap, new_key_type};

use crate::health::VmHealth;
use crate::interference::Neighbours;
use crate::job::{Job, JobKey};
use crate::spec::{Step, TaskName};
use crate::tenant::TenantNo;

mod report;

pub use report::{Report, ReportedEnd, ReportedRun, RunOutcome, StartAnswer};

new_key_type! {
    /// Key of a VM in the cell.
    pub struct VmKey;
}

/// Maximum percentage by which a VM's clock may run slow.
const MAX_CLOCK_DRIFT_PCT: u64 = 2;
/// Time for a VM to end its tasks after their lease has expired.
pub(crate) const LEASE_EXPIRY_MARGIN: Millis = Millis(300);

/// Time after which a start order is no longer sent; it covers the wait for other orders to the VM
/// and both attempts.
pub(crate) const START_ORDER_TIMEOUT: Millis = Millis(2000);

/// A start that waits for longer is delayed: one attempt, its own or an earlier order's, has timed out.
const DELAYED_START_AGE: Millis = Millis(500);

/// A VM that has not replied for longer gets neither tasks nor lease renewals: at least one poll and
/// its wait have passed.
pub(crate) const MAX_REPLY_AGE: Millis = Millis(1400);

/// Time for which a run has to go on before others are started beside it if it may crash the VM. A
/// crash at the start shows within a round trip, as the connection breaks.
pub const PROBATION: Millis = Millis(150);

/// Returns the longest time that a duration on a VM's clock can take.
pub(crate) const fn longest_duration(on_vm: Millis) -> Millis {
    Millis(on_vm.0 * 100 / (100 - MAX_CLOCK_DRIFT_PCT))
}

/// A VM's entry in the registry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmInfo {
    /// Id of the VM.
    pub id: CompactString,
    /// Address that accepts orders.
    pub address: CompactString,
    /// Wall-clock time at which the VM started; it changes when the VM restarts.
    pub incarnation: u64,
    /// Service whose tasks the VM runs.
    pub service: CompactString,
    /// Data centre.
    pub zone: CompactString,
    /// Rack.
    pub rack: CompactString,
    /// Labels of the VM.
    pub labels: Vec<CompactString>,
    /// Total capacity.
    pub capacity: Size,
    /// Set while the VM is draining before it leaves.
    pub draining: bool,
    /// While draining: the minimum time before the VM leaves.
    pub remaining: Option<Millis>,
}

impl VmInfo {
    /// Returns true if both name the same life of a VM, at the same address.
    #[must_use]
    pub fn is_same_process(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.address == other.address
    }
}

/// State of a run on a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The start order was issued and has not been answered.
    Starting,
    /// The run is known to have started.
    Running,
    /// The run was ordered to stop.
    Stopping {
        /// Time of the VM's acknowledgement; `None` until then.
        acked_at: Option<Millis>,
    },
    /// The run has ended and occupies no capacity; its VM has not listed the end yet.
    Ended,
}

/// How far the start order of a run has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It has not reached the VM's queue of orders.
    Pending,
    /// It waits in the VM's queue of orders.
    Queued {
        /// Since when.
        since: Millis,
    },
    /// It was sent at least once.
    Sent {
        /// When it joined the VM's queue of orders.
        queued_at: Millis,
        /// Time of the last attempt.
        at: Millis,
    },
}

impl Delivery {
    /// Returns when the order joined its VM's queue.
    #[must_use]
    pub const fn queued_at(self) -> Option<Millis> {
        match self {
            Self::Pending => None,
            Self::Queued { since } => Some(since),
            Self::Sent { queued_at, .. } => Some(queued_at),
        }
    }
}

/// Whether the store names a VM as one on which runs may be stopping.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StopRecord {
    /// It doesn't, and no stop is ordered.
    #[default]
    None,
    /// Stops wait until it does.
    Pending,
    /// It does.
    Durable,
}

/// A run that occupies capacity on a VM.
#[derive(Clone, Debug)]
pub struct VmRun {
    /// Task that the run belongs to.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// Capacity that the run occupies.
    pub size: Size,
    /// Priority of the job.
    pub priority: u8,
    /// Tenant of the job.
    pub tenant: Option<TenantNo>,
    /// The run can be stopped without losing its work.
    pub checkpoint: bool,
    /// State of the run.
    pub phase: RunPhase,
    /// How far the start order has got.
    pub delivery: Delivery,
    /// Time of the start order.
    pub ordered_at: Millis,
    /// Set once the VM's current incarnation has reported the run.
    pub reported: bool,
    /// Time at which the start was confirmed.
    pub confirmed_at: Millis,
    /// Usual duration on an ordinary VM; zero if unknown.
    pub usual: Millis,
    /// The run has resumed from saved state.
    pub resumed: bool,
    /// Progress in percent.
    pub percent: u8,
    /// Time of the last progress, or of the last repeated stop order.
    pub progressed_at: Millis,
    /// What may be started beside the run, and when.
    pub caution: Caution,
    /// The duration of the run shows how fast the VM is: this scheduler has started it from the
    /// beginning, and no stop was ordered beside it.
    pub timed: bool,
    /// Kinds of the runs beside it.
    pub neighbours: Neighbours,
}

/// A run that was released although its start may still be carried out.
#[derive(Clone, Copy, Debug)]
pub struct LateStart {
    /// Task that the run belongs to.
    pub task: TaskName,
    /// Run number.
    pub run: u32,
    /// Tenant of the job.
    pub tenant: Option<TenantNo>,
    /// Capacity that the run would occupy.
    pub size: Size,
    /// Time of the release.
    pub released_at: Millis,
    /// Time of the last stop order.
    pub barred_at: Millis,
}

/// What may be started beside a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Caution {
    /// Any other run.
    #[default]
    None,
    /// Nothing until the run has been going on for a while.
    Guarded,
    /// The same, and the VM should have no other runs.
    Isolated,
    /// The same, and until the run has been going on for long, no other such run if there is another VM,
    /// while other work prefers other VMs.
    Separate,
}

impl VmRun {
    /// Returns true if the start order has certainly not been sent, so that the VM knows nothing of
    /// the run.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self.phase, RunPhase::Starting) && !matches!(self.delivery, Delivery::Sent { .. })
    }

    /// Records that the start order was sent.
    pub fn note_sent(&mut self, now: Millis) {
        let queued_at = self.delivery.queued_at().unwrap_or(now);
        self.delivery = Delivery::Sent { queued_at, at: now };
    }

    /// Returns the time of the last attempt to send the start order.
    const fn sent_at(&self) -> Millis {
        match self.delivery {
            Delivery::Sent { at, .. } => at,
            Delivery::Pending | Delivery::Queued { .. } => self.ordered_at,
        }
    }

    /// Returns true if the run had not been going on for long at `time`.
    #[must_use]
    pub fn is_young(&self, time: Millis) -> bool {
        self.phase == RunPhase::Starting || time < self.confirmed_at + PROBATION
    }
}

/// An end that may not be acknowledged until its job's rows are durable.
#[derive(Clone, Copy, Debug)]
pub struct PendingEnd {
    /// Sequence number of the end on its VM.
    pub end_number: u64,
    /// Job of the run.
    pub job: JobKey,
    /// Sequence number of the job change caused by the end.
    pub seq: u64,
}

/// The scheduler's view of a VM.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Registry entry of the VM's current life; only its id, address and incarnation while none is
    /// known.
    pub info: VmInfo,
    /// Entry of a later life, or with another address, that the VM has not confirmed.
    pub unconfirmed: Option<VmInfo>,
    /// Set while the registry lists the VM's current life.
    pub listed: bool,
    /// Time at which the VM left the registry.
    pub unlisted_at: Millis,
    /// Set once the VM has replied to this scheduler's fencing token.
    pub fenced: bool,
    /// Set while the store names the VM as one that may have runs. No run is started before that.
    pub recorded: bool,
    /// Set on VMs that an earlier term may have given runs, until they have listed all their ends or
    /// their leases have expired: recovery waits for them.
    pub awaited: bool,
    /// Set if an earlier term may have ordered stops whose runs still occupy capacity.
    pub may_be_stopping: bool,
    /// When such stops are over, on the VM's clock: its reports list all their ends from then on.
    pub stops_end: Millis,
    /// Whether the store names the VM as one on which runs may be stopping.
    pub stops: StopRecord,
    /// No run is started before this time: runs that a previous leader ordered to stop occupy
    /// capacity without being listed until their ends are.
    pub not_before: Millis,
    /// Capacity occupied by runs.
    pub used: Size,
    /// Runs on the VM.
    pub runs: Vec<VmRun>,
    /// Runs that were released although their starts may still be carried out.
    pub late_starts: Vec<LateStart>,
    /// Token that calls to this life of the VM carry; `None` until one is assigned.
    pub fence: Option<u64>,
    /// The highest token that calls to former lives of the VM have carried.
    pub former_fence: u64,
    /// Set while no call meant for a former life of the VM can have extended its lease further than a leader
    /// asks for, and no start without a reply can do so on a later life.
    pub settled: bool,
    /// When that is so again, on the VM's clock.
    pub settles_at: Millis,
    /// When the leader learned of a life that has not replied to its token yet: from this life's reply to a call
    /// meant for a former one, or from the registry entry of a later one. Zero if it hasn't.
    pub restarted_at: Millis,
    /// Number of the last end applied.
    pub last_end: u64,
    /// Ends up to this number are durable or need no row, and may be acknowledged.
    pub durable_end: u64,
    /// Ends that are not durable yet, oldest first.
    pub pending_ends: VecDeque<PendingEnd>,
    /// The VM's clock at its last reply.
    pub clock: Millis,
    /// Time of the last reply.
    pub answered_at: Millis,
    /// Latest time on the VM's clock until which its lease may last.
    pub lease_end: Millis,
    /// Health of the VM, from the outcomes of its runs.
    pub health: VmHealth,
    /// Set while the VM doesn't respond: the last time at which it was known to be up.
    pub silent_since: Option<Millis>,
    /// Set if runs that had just started may have crashed the VM.
    pub is_suspected: bool,
    /// Nothing is started before this time, for the sake of a run that may crash the VM.
    pub exclusive_until: Millis,
    /// Until then, tasks that may crash a VM are started on this one rather than on others.
    pub risked_until: Millis,
}

impl Vm {
    /// Returns a newly listed VM.
    #[must_use]
    pub fn new(info: VmInfo) -> Self {
        Self {
            info,
            unconfirmed: None,
            listed: true,
            unlisted_at: Millis::ZERO,
            fenced: false,
            recorded: false,
            awaited: false,
            may_be_stopping: false,
            stops_end: Millis::ZERO,
            stops: StopRecord::None,
            not_before: Millis::ZERO,
            used: Size::ZERO,
            runs: Vec::new(),
            late_starts: Vec::new(),
            fence: None,
            former_fence: 0,
            settled: false,
            settles_at: Millis::ZERO,
            restarted_at: Millis::ZERO,
            last_end: 0,
            durable_end: 0,
            pending_ends: VecDeque::new(),
            clock: Millis::ZERO,
            answered_at: Millis::ZERO,
            lease_end: Millis::ZERO,
            health: VmHealth::default(),
            silent_since: None,
            is_suspected: false,
            exclusive_until: Millis::ZERO,
            risked_until: Millis::ZERO,
        }
    }

    /// Returns true if the VM may have runs, or may be given some.
    #[must_use]
    pub const fn may_have_runs(&self) -> bool {
        self.fenced || self.awaited || !self.runs.is_empty()
    }

    /// Returns true if the VM may be given tasks of a step of `service`, regardless of capacity.
    #[must_use]
    pub fn may_run(&self, service: &str, step: &Step) -> bool {
        self.fenced
            && self.recorded
            && self.late_starts.is_empty()
            && self.silent_since.is_none()
            && self.is_eligible(service, step)
    }

    /// Returns true if the VM may be given tasks of a step of `service` once it responds.
    #[must_use]
    pub fn is_eligible(&self, service: &str, step: &Step) -> bool {
        self.listed
            && !self.info.draining
            && self.info.service == service
            && (step.label.is_empty() || self.info.labels.contains(&step.label))
    }

    /// Returns true if the VM's current life has replied.
    #[must_use]
    pub fn has_replied(&self) -> bool {
        self.answered_at > Millis::ZERO
    }

    /// Takes over an entry of the VM's current life.
    pub fn set_entry(&mut self, info: VmInfo) {
        if self.info.capacity == Size::ZERO {
            // Runs of unknown size occupy the whole VM, and its capacity wasn't known.
            for vm_run in &mut self.runs {
                if vm_run.size == Size::ZERO && vm_run.phase != RunPhase::Ended {
                    vm_run.size = info.capacity;
                    self.used = self.used.plus(&info.capacity);
                }
            }
        }
        self.info = info;
    }

    /// Notes that the registry names a later life, if it does. It may only name it for some seconds.
    pub fn note_next_life(&mut self, entry: &VmInfo, now: Millis) {
        let known = self.unconfirmed.as_ref();
        let known = known.map_or(self.info.incarnation, |known| known.incarnation);
        if entry.incarnation > known {
            self.restarted_at = now;
        }
    }

    /// Marks the VM's current life as not listed in the registry.
    pub fn unlist(&mut self, now: Millis) {
        if self.listed {
            self.listed = false;
            self.unlisted_at = now;
        }
    }

    /// Returns false while the VM is ejected, or is being probed.
    #[must_use]
    pub fn accepts_task(&self, now: Millis) -> bool {
        self.health.accepts_task(&self.runs, now)
    }

    /// Returns the free capacity.
    #[must_use]
    pub fn free(&self) -> Size {
        self.info.capacity.minus(&self.used)
    }

    /// Returns the lowest time that the VM's clock can show at `now`.
    #[must_use]
    pub fn min_clock_at(&self, now: Millis) -> Millis {
        let span = now.since(self.answered_at).0;
        self.clock + Millis(span - span * MAX_CLOCK_DRIFT_PCT / 100)
    }

    /// Returns the time from which no run ordered so far can still be running on the VM.
    #[must_use]
    pub fn lease_expiry(&self) -> Millis {
        let remaining = self.lease_end.since(self.clock);
        self.answered_at + longest_duration(remaining) + LEASE_EXPIRY_MARGIN
    }

    /// Returns the time from which none of the known runs can still be running on a VM that has not
    /// replied since it restarted; none if there are no runs.
    #[must_use]
    pub fn unreported_expiry(&self, lease_max: Millis) -> Option<Millis> {
        let last_order = self.runs.iter().map(VmRun::sent_at).max()?;
        let lease = longest_duration(lease_max);
        Some(last_order + START_ORDER_TIMEOUT + lease + LEASE_EXPIRY_MARGIN)
    }

    /// Recomputes the number up to which ends are durable.
    pub fn update_durable_end(&mut self, jobs: &SlotMap<JobKey, Job>) {
        while let Some(first) = self.pending_ends.front() {
            let job = jobs.get(first.job);
            if job.is_some_and(|job| !job.end_durable && job.durable_seq < first.seq) {
                self.durable_end = self.durable_end.max(first.end_number - 1);
                return;
            }
            self.pending_ends.pop_front();
        }
        self.durable_end = self.last_end;
    }

    /// Adds a run and occupies its capacity.
    pub fn add(&mut self, run: VmRun) {
        self.used = self.used.plus(&run.size);
        self.runs.push(run);
    }

    /// Removes a run and frees its capacity.
    pub fn remove(&mut self, task: TaskName, run: u32) -> Option<VmRun> {
        let at = self.find(task, run)?;
        let removed = self.runs.swap_remove(at);
        self.used = self.used.minus(&removed.size);
        if removed.caution > Caution::None {
            self.exclusive_until = Millis::ZERO;
        }
        if removed.caution == Caution::Separate && !self.has_separate_run() {
            self.risked_until = Millis::ZERO;
        }
        Some(removed)
    }

    /// Frees the capacity of a run whose end is not listed yet.
    pub fn mark_ended(&mut self, task: TaskName, run: u32) {
        if let Some(at) = self.find(task, run) {
            let vm_run = &mut self.runs[at];
            vm_run.phase = RunPhase::Ended;
            // It was on this incarnation, so its order is not waiting for the next one.
            vm_run.reported = true;
            self.used = self.used.minus(&vm_run.size);
            vm_run.size = Size::ZERO;
        }
    }

    /// Limits the time for which a confirmed run that may crash the VM keeps others away.
    pub fn start_probation(&mut self, at: usize, now: Millis) {
        if self.runs[at].caution > Caution::None {
            self.exclusive_until = now + PROBATION;
        }
    }

    /// Returns true if the start of a run is delayed, in the queue or without a reply.
    #[must_use]
    pub fn has_delayed_starts(&self, now: Millis) -> bool {
        self.runs.iter().any(|vm_run| {
            let queued_at = vm_run.delivery.queued_at();
            vm_run.phase == RunPhase::Starting
                && queued_at.is_some_and(|since| now.since(since) > DELAYED_START_AGE)
        })
    }

    /// Returns true if a run on the VM has not been going on for long.
    #[must_use]
    pub fn has_young_runs(&self, now: Millis) -> bool {
        self.runs.iter().any(|vm_run| vm_run.is_young(now))
    }

    /// Returns true if a run on the VM is kept apart from others of its kind.
    #[must_use]
    pub fn has_separate_run(&self) -> bool {
        self.runs
            .iter()
            .any(|vm_run| vm_run.caution == Caution::Separate)
    }

    /// Returns the index of a run in `runs`.
    #[must_use]
    pub fn find(&self, task: TaskName, run: u32) -> Option<usize> {
        self.runs
            .iter()
            .position(|vm_run| vm_run.task == task && vm_run.run == run)
    }

    /// Returns true if a run of a task occupies capacity on the VM.
    #[must_use]
    pub fn has_run_of(&self, task: TaskName) -> bool {
        self.runs.iter().any(|vm_run| vm_run.task == task)
    }

    /// Returns the number of runs that belong to the same step as `task`, in the phases for which
    /// `is_counted` returns true.
    #[must_use]
    pub fn count_step_runs(&self, task: TaskName, is_counted: impl Fn(RunPhase) -> bool) -> u32 {
        let same = self.runs.iter().filter(|vm_run| {
            vm_run.task.job == task.job
                && vm_run.task.round == task.round
                && vm_run.task.step == task.step
                && is_counted(vm_run.phase)
        });
        u32::try_from(same.count()).unwrap_or(u32::MAX)
    }
}
