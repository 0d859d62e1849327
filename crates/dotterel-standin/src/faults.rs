//! Faults that tests inject into the fakes.

use compact_str::CompactString;
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

/// Wildcard that matches every caller in the lists of [`Faults`].
pub const ANY_CALLER: &str = "*";

/// The faults injected into a fake; none by default.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Calls that arrive before this time fail as unavailable.
    pub down_until: Millis,
    /// Latency of a call; it takes effect even if its caller has cancelled it meanwhile.
    pub delay: Millis,
    /// Latency of a reply.
    pub answer_delay: Millis,
    /// Number of upcoming calls that are dropped without effect.
    pub drop_calls: u32,
    /// Number of upcoming table transactions that are dropped without effect.
    pub drop_commits: u32,
    /// Number of upcoming calls that take effect but whose replies are lost.
    pub lose_answers: u32,
    /// Callers that can't connect; their calls fail as not sent.
    pub cut: Vec<CompactString>,
    /// Callers whose calls have no effect and never return.
    pub silent: Vec<CompactString>,
    /// Callers whose calls take effect but never return.
    pub mute: Vec<CompactString>,
    /// Tasks end with status 500 as soon as they start.
    pub fail_tasks: bool,
    /// HTTP replies end before their announced content length.
    pub truncate: bool,
}

/// Returns whether the list contains this caller or [`ANY_CALLER`].
pub(crate) fn matches_caller(callers: &[CompactString], caller: &str) -> bool {
    callers
        .iter()
        .any(|name| name == caller || name == ANY_CALLER)
}
