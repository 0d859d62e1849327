//! The faults that a model can be told to show.

use compact_str::CompactString;
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

/// The caller name that stands for every caller.
pub const ANY_CALLER: &str = "*";

/// How a model misbehaves; the default is not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Calls that arrive before this time are answered as unavailable.
    pub down_until: Millis,
    /// How long a call travels before it takes effect, even when its caller has given up.
    pub delay: Millis,
    /// How long an answer travels.
    pub answer_delay: Millis,
    /// How many of the next calls are dropped before their effect.
    pub drop_calls: u32,
    /// How many of the next transactions of a table are dropped before their effect.
    pub drop_commits: u32,
    /// How many of the next answers are lost after the effect.
    pub lose_answers: u32,
    /// Callers that cannot connect.
    pub cut: Vec<CompactString>,
    /// Callers whose calls vanish without effect and stay unanswered for good.
    pub silent: Vec<CompactString>,
    /// Callers whose calls take effect and stay unanswered for good.
    pub mute: Vec<CompactString>,
    /// Every task that a worker starts ends at once with status 500.
    pub fail_tasks: bool,
    /// HTTP answers end before the announced length.
    pub truncate: bool,
}

/// Returns true when the list names this caller or everyone.
pub(crate) fn names(list: &[CompactString], caller: &str) -> bool {
    list.iter().any(|name| name == caller || name == ANY_CALLER)
}
