//! What the plug-ins may know beside the task itself.

use crate::size::Size;
use crate::time::Millis;

/// The present load, and how the task in question stands in it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Tasks that wait.
    pub queued: u32,
    /// Slots held by running tasks.
    pub running: u32,
    /// Slots on all owned VMs that accept work.
    pub slots: u32,
    /// What short work wanted at its recent peak.
    pub short_peak: Size,
    /// What a typical short task takes.
    pub short_task_size: Size,
    /// How many such tasks fit beside long work.
    pub short_task_capacity: u32,
    /// Tasks of the task's own class that wait.
    pub class_queued: u32,
    /// Whether an empty VM of some owned shape could hold the task.
    pub fits_any_vm: bool,
    /// The team's team_quota, if the task counts against one.
    pub quota: Option<Size>,
    /// The expected wait behind work that goes first, by learned run times.
    pub expected_wait: Millis,
    /// Capacity that more urgent work asks for, as a part of what it shares with the task.
    pub urgent_load: f64,
    /// When the work that the team has queued would be served at the team's own rate; now without
    /// a team.
    pub virtual_finish: Millis,
    /// The team's part of all quotas, from 0 to 1; none without a team.
    pub team_share: Option<f64>,
    /// Tasks of the team that wait; those of the class without a team.
    pub team_queued: u32,
}
