//! What operators see of each tenant: what it occupies, how its jobs fare, and why its tasks wait.
//!
//! Nothing here has an effect on decisions. All figures begin with the term.

use compact_str::CompactString;
use dotterel_kernel::{Millis, Size};

use super::tenants::account_index;
use super::{Cell, CellEvent, Order};
use crate::job::{Job, JobState, Phase, StepRef};
use crate::plan::order::OBSOLETE_FACTOR;
use crate::plan::share::dominant_share;
use crate::spec::{JobId, TaskName};
use crate::tenant::TenantNo;

/// Tenants that a report names; the others are added up. Each name costs about 14 time series.
pub const MAX_NAMED_TENANTS: usize = 64;
/// Name of the sum of the other tenants.
pub const OTHER_TENANTS: &str = "_other";
/// Ended jobs are counted in intervals of this length.
const INTERVAL_MS: u64 = 5000;
/// Intervals that count towards the share of jobs on time: one minute.
const INTERVALS: usize = 12;
/// One tenant in so many is among the worst-served ones.
const WORST_PART: usize = 10;
/// Shorter waits are ordinary, for advice or the stop of a run.
const MIN_NOTED_WAIT: Millis = Millis::secs(1);
/// Interval between notes on the wait of one tenant.
const WAIT_NOTE_INTERVAL: Millis = Millis::secs(5);
/// Waiting tenants noted in one report.
const MAX_NOTED_WAITS: usize = 16;
/// Preemptions described in one note; the others are only counted.
const MAX_NOTED_PREEMPTIONS: usize = 8;
/// Interval between notes on preemptions.
const PREEMPTION_NOTE_INTERVAL: Millis = Millis::secs(1);
/// A tenant waits behind its share if that exceeds another's by more than this factor; the planner orders
/// smaller differences by due time.
const SHARE_TOLERANCE: f64 = 1.1;

/// Why a job was refused, as a label.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// The store is unavailable.
    Store,
    /// The cap of its tenant never lets it run.
    Cap,
    /// The cell holds too many open jobs.
    OpenJobs,
    /// Its queue crashes VMs, and its jobs start slowly.
    CrashingQueue,
    /// The work of its tenant that waits can't drain in useful time.
    Backlog,
}

impl RefusalKind {
    /// All kinds.
    pub const ALL: [Self; 5] = [
        Self::Store,
        Self::Cap,
        Self::OpenJobs,
        Self::CrashingQueue,
        Self::Backlog,
    ];

    /// Returns the name used in metrics and log lines.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Cap => "cap",
            Self::OpenJobs => "open-jobs",
            Self::CrashingQueue => "crashing-queue",
            Self::Backlog => "backlog",
        }
    }
}

/// Jobs of a tenant in this term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobCounts {
    /// Jobs whose acceptance became durable.
    pub accepted: u64,
    /// Jobs completed within their objective.
    pub on_time: u64,
    /// Jobs completed within three objectives.
    pub late: u64,
    /// Jobs completed later.
    pub too_late: u64,
    /// Refusals, in the order of `RefusalKind::ALL`.
    pub refused: [u64; RefusalKind::ALL.len()],
}

impl JobCounts {
    fn add(&mut self, other: &Self) {
        self.accepted += other.accepted;
        self.on_time += other.on_time;
        self.late += other.late;
        self.too_late += other.too_late;
        for (sum, count) in self.refused.iter_mut().zip(other.refused) {
            *sum += count;
        }
    }
}

/// Figures of one tenant, or of several together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantFigures {
    /// Name of the tenant, or `OTHER_TENANTS`.
    pub name: CompactString,
    /// What its runs occupy.
    pub used: Size,
    /// Largest fraction of the cell's cores or memory that its runs occupy, divided by its weight.
    pub weighted_share: f64,
    /// Its tasks that could start if there were room.
    pub waiting: u64,
    /// Its jobs.
    pub jobs: JobCounts,
}

/// Figures of all tenants.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantReport {
    /// The tenants that the cell has known for the longest time, and the sum of the others.
    pub tenants: Vec<TenantFigures>,
    /// Average over the worst-served tenth of the tenants of the share of their jobs that met their objectives
    /// in the last minute; `None` if no job ended or became late.
    pub worst_tenth: Option<f64>,
}

/// Why the tasks of a tenant wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// It is at its cap.
    Cap,
    /// It has sent more jobs than its rate, and others go first.
    Rate,
    /// Tenants with smaller shares go first.
    Share,
}

/// A run that was stopped for a more urgent step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// Task that was stopped.
    pub task: TaskName,
    /// Name of its tenant; empty for none.
    pub tenant: CompactString,
    /// Job for which it was stopped.
    pub beneficiary: JobId,
    /// Name of the tenant of that job; empty for none.
    pub beneficiary_tenant: CompactString,
}

/// Jobs that ended in one interval.
#[derive(Clone, Copy, Debug, Default)]
struct Ended {
    interval: u64,
    jobs: u32,
    on_time: u32,
}

#[derive(Clone, Debug, Default)]
struct TenantHistory {
    jobs: JobCounts,
    ended: [Ended; INTERVALS],
    wait_noted_at: Option<Millis>,
}

impl TenantHistory {
    fn add_end(&mut self, took: Millis, objective: Millis, now: Millis) {
        let on_time = took <= objective;
        if on_time {
            self.jobs.on_time += 1;
        } else if took.0 <= objective.0.saturating_mul(OBSOLETE_FACTOR) {
            self.jobs.late += 1;
        } else {
            self.jobs.too_late += 1;
        }
        let interval = now.0 / INTERVAL_MS;
        let at = usize::try_from(interval).unwrap_or_default() % INTERVALS;
        let ended = &mut self.ended[at];
        if ended.interval != interval {
            *ended = Ended {
                interval,
                ..Ended::default()
            };
        }
        ended.jobs += 1;
        ended.on_time += u32::from(on_time);
    }

    /// Returns the jobs that ended in the last minute, and those of them that were on time.
    fn recent(&self, now: Millis) -> (u32, u32) {
        let interval = now.0 / INTERVAL_MS;
        let is_recent = |ended: &&Ended| ended.interval + INTERVALS as u64 > interval;
        let recent = self.ended.iter().filter(is_recent);
        recent.fold((0, 0), |(jobs, on_time), ended| {
            (jobs + ended.jobs, on_time + ended.on_time)
        })
    }
}

/// Observations since the start of the term.
#[derive(Clone, Debug, Default)]
pub(super) struct History {
    /// By `TenantNo::index`.
    tenants: Vec<TenantHistory>,
    preemptions: Vec<Preemption>,
    preempted: usize,
    preemptions_noted_at: Millis,
}

impl History {
    fn tenant(&mut self, tenant: TenantNo) -> &mut TenantHistory {
        if self.tenants.len() <= tenant.index() {
            let len = tenant.index() + 1;
            self.tenants.resize_with(len, TenantHistory::default);
        }
        &mut self.tenants[tenant.index()]
    }

    pub(super) fn add_accepted(&mut self, tenant: Option<TenantNo>) {
        if let Some(tenant) = tenant {
            self.tenant(tenant).jobs.accepted += 1;
        }
    }

    pub(super) fn add_refused(&mut self, tenant: Option<TenantNo>, kind: RefusalKind) {
        if let Some(tenant) = tenant {
            self.tenant(tenant).jobs.refused[kind as usize] += 1;
        }
    }

    pub(super) fn add_end(&mut self, job: &Job, state: JobState, now: Millis) {
        let is_judged =
            state == JobState::Completed && !job.spec.is_long_running() && job.spec.repeats == 0;
        if let Some(tenant) = job.tenant
            && is_judged
        {
            let took = now.since(job.submitted_at);
            self.tenant(tenant).add_end(took, job.objective, now);
        }
    }
}

/// What waits of one tenant.
#[derive(Clone, Copy, Debug, Default)]
struct Waiting {
    tasks: u64,
    /// Since when the oldest step waits that is neither hopeless nor at the cap nor beyond the rate, by
    /// the most urgent priority of such steps.
    in_turn: Option<(u8, Millis)>,
    /// Since when the oldest step waits at the cap.
    at_cap: Option<Millis>,
    /// Since when the oldest step waits that is beyond the rate.
    excess: Option<Millis>,
    /// Open jobs past their objectives.
    overdue: u32,
}

impl Cell {
    /// Counts a job that was refused without being submitted, as the store is unavailable.
    pub fn note_store_refusal(&mut self, tenant: &str) {
        let tenant = self.tenants.find(tenant);
        self.history.add_refused(tenant, RefusalKind::Store);
    }

    /// Returns the number of stops issued, for `note_preemptions`.
    pub(crate) const fn issued_stops(&self) -> (usize, usize) {
        (self.orders.len(), self.held_stops.len())
    }

    /// Notes the preemptions ordered for a step since `issued`.
    pub(crate) fn note_preemptions(&mut self, step_ref: StepRef, issued: (usize, usize)) {
        let new = self.orders.iter().skip(issued.0);
        let new = new.chain(self.held_stops.iter().skip(issued.1));
        let preempted = new.filter_map(|order| match order {
            Order::Stop { task, reason, .. } if *reason == "preempted" => Some(*task),
            _ => None,
        });
        let preempted: Vec<TaskName> = preempted.collect();
        let Some(job) = self.jobs.get(step_ref.job) else {
            return;
        };
        let room = MAX_NOTED_PREEMPTIONS.saturating_sub(self.history.preemptions.len());
        let described = preempted.iter().take(room).map(|task| Preemption {
            task: *task,
            tenant: self.tenant_of(task.job).unwrap_or_default().into(),
            beneficiary: job.id,
            beneficiary_tenant: self.tenant_name(job.tenant).into(),
        });
        let described: Vec<Preemption> = described.collect();
        self.history.preemptions.extend(described);
        self.history.preempted += preempted.len();
    }

    /// Returns the figures of all tenants, and notes for the log which tenants wait and what was preempted.
    /// To be called about once a second; linear in runs, jobs and waiting tasks. `None` in a cell without
    /// tenants.
    pub fn report_tenants(&mut self, now: Millis) -> Option<TenantReport> {
        self.note_preemption_summary(now);
        if self.tenants.is_empty() {
            return None;
        }
        let capacity = self
            .vms
            .values()
            .fold(Size::ZERO, |sum, vm| sum.plus(&vm.info.capacity));
        let accounts = self.count_occupied(now);
        let waiting = self.count_waiting(now);
        let mut figures = Vec::with_capacity(self.tenants.len());
        let mut on_time_shares = Vec::new();
        for (no, terms) in self.tenants.iter() {
            let history = self.history.tenants.get(no.index());
            let used = accounts[account_index(Some(no))].used;
            let waiting = &waiting[no.index()];
            let (ended, on_time) = history.map_or((0, 0), |history| history.recent(now));
            let judged = ended + waiting.overdue;
            if judged > 0 {
                on_time_shares.push(f64::from(on_time) / f64::from(judged));
            }
            figures.push(TenantFigures {
                name: terms.name.clone(),
                used,
                weighted_share: dominant_share(&used, &capacity) / self.share_weight(Some(no)),
                waiting: waiting.tasks,
                jobs: history.map(|history| history.jobs).unwrap_or_default(),
            });
        }
        self.note_waits(&figures, &waiting, now);
        Some(TenantReport {
            tenants: limit_names(figures),
            worst_tenth: worst_tenth(on_time_shares),
        })
    }

    fn count_waiting(&self, now: Millis) -> Vec<Waiting> {
        fn earlier(known: Option<Millis>, since: Millis) -> Option<Millis> {
            Some(known.map_or(since, |known| known.min(since)))
        }
        let mut waiting = vec![Waiting::default(); self.tenants.len()];
        for job in self.jobs.values().filter(|job| job.end.is_none()) {
            let is_judged = !job.spec.is_long_running() && job.spec.repeats == 0;
            if let Some(tenant) = job.tenant
                && is_judged
                && now.since(job.submitted_at) > job.objective
            {
                waiting[tenant.index()].overdue += 1;
            }
        }
        for step_ref in &self.open_steps {
            let (Some(job), Some(state)) =
                (self.jobs.get(step_ref.job), self.step_state(*step_ref))
            else {
                continue;
            };
            let Some(tenant) = job.tenant.filter(|_| job.end.is_none()) else {
                continue;
            };
            let tasks = state.tasks.iter();
            let tasks = tasks.filter(|task| task.phase == Phase::Waiting).count();
            if tasks == 0 {
                continue;
            }
            let waiting = &mut waiting[tenant.index()];
            waiting.tasks += tasks as u64;
            let since = state.opened_at;
            let useful = Millis(job.objective.0.saturating_mul(OBSOLETE_FACTOR));
            let step = &job.spec.steps[usize::from(step_ref.step)];
            let is_hopeless =
                !job.spec.is_long_running() && now > job.round_start(step_ref.round) + useful;
            if self.startable_count(*step_ref, step) == 0 {
                waiting.at_cap = earlier(waiting.at_cap, since);
            } else if job.excess && !is_hopeless {
                waiting.excess = earlier(waiting.excess, since);
            } else if !is_hopeless {
                let own = (job.policy.priority, since);
                waiting.in_turn = Some(waiting.in_turn.map_or(own, |known| known.min(own)));
            }
        }
        waiting
    }

    /// Notes the tenants that wait at their caps or behind their shares.
    fn note_waits(&mut self, figures: &[TenantFigures], waiting: &[Waiting], now: Millis) {
        let is_long = |since: &Millis| now.since(*since) >= MIN_NOTED_WAIT;
        let in_turn = |at: usize| waiting[at].in_turn.filter(|(_, since)| is_long(since));
        // The tenant with the smallest share, by priority.
        let mut first: Vec<(u8, usize)> = Vec::new();
        for at in 0..figures.len() {
            let Some((priority, _)) = in_turn(at) else {
                continue;
            };
            match first.iter_mut().find(|(known, _)| *known == priority) {
                Some((_, least)) => {
                    if figures[at].weighted_share < figures[*least].weighted_share {
                        *least = at;
                    }
                }
                None => first.push((priority, at)),
            }
        }
        let tenants: Vec<TenantNo> = self.tenants.iter().map(|(no, _)| no).collect();
        let mut noted = 0;
        for (at, tenant) in tenants.into_iter().enumerate() {
            let known = self.history.tenants.get(at);
            let noted_at = known.and_then(|history| history.wait_noted_at);
            if noted_at.is_some_and(|noted_at| now.since(noted_at) < WAIT_NOTE_INTERVAL) {
                continue;
            }
            let own = &figures[at];
            let ahead = in_turn(at).and_then(|(priority, since)| {
                let (_, least) = first.iter().find(|(known, _)| *known == priority)?;
                let least = &figures[*least];
                let exceeds = own.weighted_share > least.weighted_share * SHARE_TOLERANCE;
                exceeds.then_some((since, least))
            });
            let (reason, since, least) = if let Some(since) = waiting[at].at_cap.filter(is_long) {
                (WaitReason::Cap, since, None)
            } else if let Some((since, least)) = ahead {
                (WaitReason::Share, since, Some(least))
            } else if let Some(since) = waiting[at].excess.filter(is_long) {
                (WaitReason::Rate, since, None)
            } else {
                continue;
            };
            noted += 1;
            if noted > MAX_NOTED_WAITS {
                break;
            }
            self.history.tenant(tenant).wait_noted_at = Some(now);
            self.events.push(CellEvent::TenantWaits {
                tenant: own.name.clone(),
                reason,
                waiting: own.waiting,
                waited: now.since(since),
                used: own.used,
                cap: self.tenants.terms(tenant).cap,
                share_ppm: millionths(own.weighted_share),
                first: least.map(|least| (least.name.clone(), millionths(least.weighted_share))),
            });
        }
    }

    fn note_preemption_summary(&mut self, now: Millis) {
        let history = &mut self.history;
        if history.preempted == 0
            || now.since(history.preemptions_noted_at) < PREEMPTION_NOTE_INTERVAL
        {
            return;
        }
        history.preemptions_noted_at = now;
        self.events.push(CellEvent::Preempted {
            runs: std::mem::take(&mut history.preempted),
            described: std::mem::take(&mut history.preemptions),
        });
    }
}

/// Adds up the figures beyond the first `MAX_NAMED_TENANTS`.
fn limit_names(mut figures: Vec<TenantFigures>) -> Vec<TenantFigures> {
    let is_named = |at: usize, one: &TenantFigures| {
        at < MAX_NAMED_TENANTS && one.name.as_str() != OTHER_TENANTS
    };
    let mut others: Option<TenantFigures> = None;
    let mut at = 0;
    figures.retain(|one| {
        let is_named = is_named(at, one);
        at += 1;
        if !is_named {
            let others = others.get_or_insert_with(|| TenantFigures {
                name: OTHER_TENANTS.into(),
                ..TenantFigures::default()
            });
            others.used = others.used.plus(&one.used);
            others.weighted_share += one.weighted_share;
            others.waiting += one.waiting;
            others.jobs.add(&one.jobs);
        }
        is_named
    });
    figures.extend(others);
    figures
}

/// Returns the average of the lowest tenth of the shares, of one at least.
fn worst_tenth(mut shares: Vec<f64>) -> Option<f64> {
    shares.sort_by(f64::total_cmp);
    let worst = shares.len().div_ceil(WORST_PART);
    let count = u32::try_from(worst).ok().filter(|count| *count > 0)?;
    Some(shares[..worst].iter().sum::<f64>() / f64::from(count))
}

/// Rounds a share to millionths.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "shares aren't negative, and a cast saturates"
)]
const fn millionths(share: f64) -> u64 {
    (share * 1e6) as u64
}
