//! The load that plug-ins base their decisions on.

use crate::size::Size;
use crate::time::Millis;

/// The current load of the node, and the values that depend on the task being decided.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of queued tasks.
    pub queued: u32,
    /// Slots used by running tasks.
    pub running: u32,
    /// Slots on all owned VMs that accept work.
    pub slots: u32,
    /// Recent peak of the capacity that short work needed.
    pub short_peak: Size,
    /// Size of a typical short task.
    pub short_task_size: Size,
    /// Number of typical short tasks that fit on the VMs beside long work.
    pub short_task_capacity: u32,
    /// Number of queued tasks of the task's class.
    pub class_queued: u32,
    /// Whether the task would fit on some owned VM if that VM were empty.
    pub fits_any_vm: bool,
    /// The team's limit on this node, if the task counts against a quota.
    pub quota: Option<Size>,
    /// Expected wait behind the work that is served first, from measured run times.
    pub expected_wait: Millis,
    /// Demand of more urgent work as a fraction of the capacity that it shares with the task.
    pub urgent_load: f64,
    /// Virtual finish time of the team's queued work: the time at which it would all be served at
    /// the team's own rate. The current time if the task has no team.
    pub virtual_finish: Millis,
    /// The team's share of all quotas, from 0 to 1; none without a team.
    pub team_share: Option<f64>,
    /// Number of queued tasks of the team; without a team, those of the class.
    pub team_queued: u32,
}
