//! How well a node can lead a cell, and when the leadership moves to another node.

use dotterel_kernel::Millis;

/// What the leader of 350 VMs uses of a core, in thousandths.
const REFERENCE_MILLI_CORES: u64 = 250;
/// Link for the leader of 350 VMs: about five times its mean traffic, since polls and rows come in bursts.
const REFERENCE_LINK_KBPS: u64 = 25_000;
/// Memory of the scheduler of 350 VMs.
const REFERENCE_MEMORY_MB: u64 = 50;
/// Memory of the rest of the process, with the bodies that callers send.
const OTHER_MEMORY_MB: u64 = 60;
/// Descriptors of the scheduler of 350 VMs: three connections to each.
const REFERENCE_FDS: u64 = 1050;
/// Descriptors of the rest of the process: 200 for files, and those for callers.
const OTHER_FDS: u64 = 1000;
/// Maximum time that a less fit node waits before a takeover, for fitter ones to take over first.
const MAX_TAKEOVER_DELAY: Millis = Millis(300);
/// Added to the delay of a less fit node while no leader has ever been recorded: nodes start within 0.3 s
/// of each other, and spread their takeovers over another 90 ms.
const FIRST_START_DELAY: Millis = Millis(400);
/// A node leads for at least this long before it hands over, so that requests in flight need not be sent
/// again right after a takeover.
const MIN_TERM: Millis = Millis::secs(3);
/// Minimum time between two handovers: a takeover delays requests by some tenths of a second.
const HANDOVER_INTERVAL: Millis = Millis::secs(10);
/// Another node must have sent its pings regularly for this long before it is handed the leadership.
const PROOF_TIME: Millis = Millis::secs(3);
/// Maximum time between two pings that counts as regular: three intervals.
const MAX_PING_GAP: Millis = Millis(600);
/// Interval of the timer that a node measures itself with.
pub const LAG_INTERVAL: Millis = Millis(150);
/// Smoothed lag of the timer beyond which a node lags: it reacts twice as late as it should.
const MAX_LAG: Millis = Millis(150);
/// A sample counts for at most this. Without a limit, one freeze would count for many samples after it.
const MAX_LAG_SAMPLE: Millis = Millis(600);
/// A leader that has lagged for this long hands over.
const LAG_PATIENCE: Millis = Millis::secs(1);
/// A thread that uses at least one in this many parts of its processor share lags under its own load.
const OWN_LOAD_DIVISOR: u64 = 2;

/// The resources of a node; `None` where its settings don't state any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeShape {
    /// Share of the processor, in thousandths of a core.
    pub milli_cores: u32,
    /// Bandwidth of the network link, in thousandths of a Mbit/s.
    pub link_kbps: Option<u32>,
    /// Memory of the process, in MB.
    pub memory_mb: Option<u32>,
    /// Maximum number of file descriptors of the process.
    pub max_fds: Option<u32>,
}

impl NodeShape {
    /// Returns true if the settings state more than the processor share.
    #[must_use]
    pub const fn is_described(&self) -> bool {
        self.link_kbps.is_some() || self.memory_mb.is_some() || self.max_fds.is_some()
    }
}

/// The thousandths of a core that the scheduler of a cell can use on a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fitness(pub u32);

impl Fitness {
    /// Fitness assumed for the fittest node until a leader has been recorded.
    pub const ASSUMED: Self = Self(500);

    /// Returns the fitness of a node: the minimum of its processor share and of what its other
    /// resources support, at the proportions that the leader of 350 VMs needs.
    #[must_use]
    pub fn of(shape: &NodeShape) -> Self {
        let link = supported(shape.link_kbps, 0, REFERENCE_LINK_KBPS);
        let memory = supported(shape.memory_mb, OTHER_MEMORY_MB, REFERENCE_MEMORY_MB);
        let fds = supported(shape.max_fds, OTHER_FDS, REFERENCE_FDS);
        Self(shape.milli_cores.min(link).min(memory).min(fds))
    }
}

/// Returns the thousandths of a core that a resource supports, of which `other` isn't the scheduler's.
fn supported(stated: Option<u32>, other: u64, reference: u64) -> u32 {
    stated.map_or(u32::MAX, |stated| {
        let usable = u64::from(stated).saturating_sub(other);
        u32::try_from(usable * REFERENCE_MILLI_CORES / reference).unwrap_or(u32::MAX)
    })
}

/// Returns true if another node is so much fitter that it should lead: this one has less than 60 % of its
/// fitness. Nodes that differ by a third or less don't yield to each other.
#[must_use]
pub fn should_yield(own: Fitness, other: Fitness) -> bool {
    u64::from(own.0) * 5 < u64::from(other.0) * 3
}

/// What the rows show about the leadership that is to be taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vacancy {
    /// No leader has ever been recorded.
    FirstStart,
    /// The leader is gone; this is the fitness of the fittest known node.
    Lost(Fitness),
    /// The leader has released its leadership; this is the fitness of the fittest node that was linked.
    Released(Fitness),
}

impl Vacancy {
    /// Returns the fitness with which candidates compare their own.
    #[must_use]
    pub const fn reference(self) -> Fitness {
        match self {
            Self::FirstStart => Fitness::ASSUMED,
            Self::Lost(reference) | Self::Released(reference) => reference,
        }
    }

    /// Returns the reference that a takeover by a node records. A node that has waited for fitter ones
    /// in vain lowers it: the fittest node may be gone for good, but it may also be cut off for a moment.
    #[must_use]
    pub fn next_reference(self, shape: &NodeShape) -> Fitness {
        let own = Fitness::of(shape);
        match self {
            Self::FirstStart => own,
            // Cells whose settings state only processor shares write the same rows as always.
            Self::Lost(reference) | Self::Released(reference)
                if shape.is_described() && should_yield(own, reference) =>
            {
                Fitness(own.0.midpoint(reference.0))
            }
            Self::Lost(reference) | Self::Released(reference) => reference.max(own),
        }
    }
}

/// Whether a node should leave a takeover to others for reasons beside its fitness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It need not.
    Ready,
    /// The node lags.
    Lagging,
    /// The node has just handed over.
    HandedOver,
}

impl Readiness {
    /// Returns the readiness of a node that has last handed over at this time.
    #[must_use]
    pub fn of(lag: &LagMonitor, handed_over_at: Option<Millis>, now: Millis) -> Self {
        if is_recent(handed_over_at, now) {
            Self::HandedOver
        } else if lag.is_lagging() {
            Self::Lagging
        } else {
            Self::Ready
        }
    }

    const fn min_delay(self) -> Millis {
        match self {
            Self::Ready => Millis::ZERO,
            // Less than for a node that has handed over, which may be why this one takes over.
            Self::Lagging => Millis(MAX_TAKEOVER_DELAY.0 / 2),
            Self::HandedOver => MAX_TAKEOVER_DELAY,
        }
    }
}

/// Returns how long a node waits before a takeover, so that fitter nodes are first.
#[must_use]
pub fn takeover_delay(shape: &NodeShape, vacancy: Vacancy, readiness: Readiness) -> Millis {
    fitness_delay(shape, vacancy).max(readiness.min_delay())
}

fn fitness_delay(shape: &NodeShape, vacancy: Vacancy) -> Millis {
    let own = Fitness::of(shape);
    let reference = vacancy.reference();
    let is_less_fit = match vacancy {
        Vacancy::Released(_) => own < reference,
        Vacancy::FirstStart | Vacancy::Lost(_) => should_yield(own, reference),
    };
    if !is_less_fit {
        return Millis::ZERO;
    }
    let gap = u64::from(reference.0 - own.0);
    let delay = Millis(MAX_TAKEOVER_DELAY.0 * gap / u64::from(reference.0));
    match vacancy {
        // Cells whose settings state only processor shares start as they always have.
        Vacancy::FirstStart if shape.is_described() => delay + FIRST_START_DELAY,
        _ => delay,
    }
}

/// Returns true if a handover was so recent that there should be no other.
fn is_recent(handover: Option<Millis>, now: Millis) -> bool {
    handover.is_some_and(|at| now.since(at) < HANDOVER_INTERVAL)
}

/// How regularly a linked node has sent its pings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Responsiveness {
    /// When the node was linked, or when its pings arrived again after a gap.
    regular_since: Millis,
    heard_at: Millis,
}

impl Responsiveness {
    /// Returns the state of a node that has just been linked.
    #[must_use]
    pub const fn linked(now: Millis) -> Self {
        Self {
            regular_since: now,
            heard_at: now,
        }
    }

    /// Records a message of the node, which this one may have read late by `own_lag`.
    pub fn heard(&mut self, now: Millis, own_lag: Millis) {
        if self.is_overdue(now, own_lag) {
            self.regular_since = now;
        }
        self.heard_at = now;
    }

    /// Returns true if the node has sent its pings regularly for long enough to be handed the
    /// leadership.
    #[must_use]
    pub fn is_proven(&self, now: Millis, own_lag: Millis) -> bool {
        !self.is_overdue(now, own_lag) && now.since(self.regular_since) >= PROOF_TIME
    }

    fn is_overdue(&self, now: Millis, own_lag: Millis) -> bool {
        now.since(self.heard_at) > MAX_PING_GAP + own_lag
    }
}

/// How late a node's timer fires, and whether its own work is the reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LagMonitor {
    /// The last sample: when it was taken, and the processor time used until then.
    last: Option<(Millis, Millis)>,
    last_lag: Millis,
    smoothed: Millis,
    /// The last sample before the smoothed lag exceeded the limit, and when it did.
    lagging: Option<Lagging>,
}

/// When a node began to lag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Lagging {
    since: Millis,
    /// A sample from before, and the processor time used until then.
    sampled_at: Millis,
    cpu_time: Millis,
}

impl LagMonitor {
    /// Records that the timer has fired, and the processor time that the thread has used until now.
    pub fn record(&mut self, now: Millis, cpu_time: Millis) {
        let Some((sampled_at, used)) = self.last.replace((now, cpu_time)) else {
            return;
        };
        self.last_lag = now.since(sampled_at + LAG_INTERVAL);
        self.smoothed = Millis((self.smoothed.0 + self.last_lag.min(MAX_LAG_SAMPLE).0) / 2);
        if self.smoothed <= MAX_LAG {
            self.lagging = None;
        } else if self.lagging.is_none() {
            self.lagging = Some(Lagging {
                since: now,
                sampled_at,
                cpu_time: used,
            });
        }
    }

    /// Returns how late the node may be at present.
    #[must_use]
    pub fn current(&self, now: Millis) -> Millis {
        let overdue = self.last.map_or(Millis::ZERO, |(sampled_at, _)| {
            now.since(sampled_at + LAG_INTERVAL)
        });
        self.last_lag.max(overdue)
    }

    /// Returns the smoothed lag.
    #[must_use]
    pub const fn smoothed(&self) -> Millis {
        self.smoothed
    }

    /// Returns true if the node lags, for whatever reason.
    #[must_use]
    pub const fn is_lagging(&self) -> bool {
        self.lagging.is_some()
    }

    /// Returns true if the node has lagged for long, and gets less than its processor share. A node that
    /// uses its share lags under a load that would follow the leadership.
    #[must_use]
    pub fn is_slowed_down(&self, milli_cores: u32) -> bool {
        let (Some(lagging), Some((now, cpu_time))) = (self.lagging, self.last) else {
            return false;
        };
        let used = cpu_time.since(lagging.cpu_time).0 * 1000 * OWN_LOAD_DIVISOR;
        let share = now.since(lagging.sampled_at).0 * u64::from(milli_cores);
        now.since(lagging.since) >= LAG_PATIENCE && used < share
    }
}

/// Why a leader hands over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverReason {
    /// Another node is much fitter.
    Fitter,
    /// The leader gets less than its processor share.
    SlowedDown,
}

/// A leader that may hand over to one of the nodes linked to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Incumbent {
    /// The leader's own fitness.
    pub fitness: Fitness,
    /// When its term began.
    pub since: Millis,
    /// The last handover that it knows of: its own, or the release that it took over.
    pub last_handover: Option<Millis>,
    /// It gets less than its processor share.
    pub is_slowed_down: bool,
    /// How late it may have read the pings of other nodes.
    pub lag: Millis,
}

impl Incumbent {
    /// Returns the fitness of the other node to which the leader should hand over, if there is one, and
    /// why.
    pub fn hands_over_to(
        &self,
        others: impl Iterator<Item = (Fitness, Responsiveness)>,
        now: Millis,
    ) -> Option<(Fitness, HandoverReason)> {
        let is_settled = now.since(self.since) > MIN_TERM;
        if !is_settled || is_recent(self.last_handover, now) {
            return None;
        }
        let proven = others.filter(|(_, node)| node.is_proven(now, self.lag));
        let fittest = proven.map(|(fitness, _)| fitness).max()?;
        if should_yield(self.fitness, fittest) {
            return Some((fittest, HandoverReason::Fitter));
        }
        let is_fit = !should_yield(fittest, self.fitness);
        (self.is_slowed_down && is_fit).then_some((fittest, HandoverReason::SlowedDown))
    }
}
