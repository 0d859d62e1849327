//! Counters and rate-limited log lines of refused callers.

use std::cell::RefCell;
use std::rc::Rc;

use dotterel_kernel::{Clock, Millis};

use crate::metrics::Metrics;

/// Interval between log lines of one kind.
const LOG_INTERVAL: Millis = Millis(1000);

/// What was closed or refused, for the counter and the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A new connection was closed at once.
    Connection,
    /// A waiting connection was closed in favor of a new one.
    Displaced,
    /// A head exceeded its size limit.
    LargeHead,
    /// A head was not complete in time.
    SlowHead,
    /// A connection was idle for too long.
    Idle,
    /// A reply was not read.
    UnreadReply,
    /// An upload made too little progress.
    StalledBody,
    /// A body was not complete by the caller's deadline.
    LateBody,
    /// A slow upload was closed in favor of another body.
    SlowBody,
    /// A body was refused as the budget was exhausted.
    BodyBudget,
    /// A body exceeded its size limit.
    LargeBody,
    /// A request brought too much framing for its body.
    Framing,
    /// A frame from a peer was not read as it exceeded its limit or the budget.
    Frame,
}

impl Refusal {
    const ALL: [Self; 13] = [
        Self::Connection,
        Self::Displaced,
        Self::LargeHead,
        Self::SlowHead,
        Self::Idle,
        Self::UnreadReply,
        Self::StalledBody,
        Self::LateBody,
        Self::SlowBody,
        Self::BodyBudget,
        Self::LargeBody,
        Self::Framing,
        Self::Frame,
    ];

    /// Returns the name in metrics and logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::Displaced => "displaced",
            Self::LargeHead => "large_head",
            Self::SlowHead => "slow_head",
            Self::Idle => "idle",
            Self::UnreadReply => "unread_reply",
            Self::StalledBody => "stalled_body",
            Self::LateBody => "late_body",
            Self::SlowBody => "slow_body",
            Self::BodyBudget => "body_budget",
            Self::LargeBody => "large_body",
            Self::Framing => "framing",
            Self::Frame => "frame",
        }
    }
}

/// Counts refusals, and logs each kind at most once in [`LOG_INTERVAL`].
#[derive(Debug)]
pub(super) struct Refusals {
    pub(super) metrics: Rc<Metrics>,
    clock: Clock,
    /// By kind: when it was last logged, and how many have not been logged since.
    logged: RefCell<[(Option<Millis>, u64); Refusal::ALL.len()]>,
}

impl Refusals {
    pub(super) fn new(metrics: Rc<Metrics>, clock: Clock) -> Rc<Self> {
        Rc::new(Self {
            metrics,
            clock,
            logged: RefCell::default(),
        })
    }

    pub(super) fn record(&self, refusal: Refusal, port: &'static str, held: usize, limit: usize) {
        self.metrics.record_refused_client(port, refusal.name());
        // Closing idle connections is ordinary.
        if refusal == Refusal::Idle {
            return;
        }
        let now = self.clock.now();
        let mut logged = self.logged.borrow_mut();
        let (last, count) = &mut logged[refusal as usize];
        *count += 1;
        if last.is_some_and(|last| now.since(last) < LOG_INTERVAL) {
            return;
        }
        log::warn!(
            kind = refusal.name(), port, count = *count, held, limit;
            "client refused");
        *last = Some(now);
        *count = 0;
    }
}
