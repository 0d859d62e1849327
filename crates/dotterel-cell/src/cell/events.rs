//! What the cell has observed and the log should tell.

use compact_str::CompactString;
use dotterel_kernel::{Millis, Size};

use super::ends::NoEffect;
use super::{Cell, Estimate, OverCap, Preemption, WaitReason};
use crate::spec::{JobId, TaskName};
use crate::vm::{ReportedEnd, RunOutcome, VmKey};

/// An observation for the log. It has no effect on decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellEvent {
    /// A VM reported the end of a run that had no effect on its task.
    EndNotCounted {
        /// Id of the VM.
        vm: CompactString,
        /// Task of the run.
        task: TaskName,
        /// Run number.
        run: u32,
        /// How the run ended.
        outcome: RunOutcome,
        /// Why it had no effect.
        reason: &'static str,
        /// Latest run of the task; zero if it isn't known.
        last_run: u32,
    },
    /// A run was released because a report didn't list it.
    RunAbsent {
        /// Id of the VM.
        vm: CompactString,
        /// Task of the run.
        task: TaskName,
        /// Run number.
        run: u32,
        /// Number of ends in the report.
        ends_listed: usize,
    },
    /// The progress of a job is too large for a row of the store, so that states which its tasks have saved
    /// are left out.
    ProgressShortened {
        /// Id of the job.
        job: JobId,
    },
    /// A gang that works faster within one rack was started on several.
    GangAcrossRacks {
        /// One of its tasks.
        task: TaskName,
        /// Number of racks.
        racks: usize,
        /// Time since its step became ready.
        waited: Millis,
    },
    /// The lease of a VM has expired, and the release of its runs has waited for a renewal of the
    /// leadership for some time.
    ReleaseWaits {
        /// Id of the VM.
        vm: CompactString,
        /// Time since its last reply.
        silent: Millis,
        /// Time since its lease expired.
        waited: Millis,
        /// Number of runs on it.
        runs: usize,
    },
    /// A successor stopped waiting for VMs that have not replied.
    RecoveryTimedOut {
        /// Ids of the VMs.
        vms: Vec<CompactString>,
        /// Time since the takeover.
        waited: Millis,
    },
    /// The cap of a tenant was lowered below what accepted jobs need; they stay queued.
    JobsOverCap {
        /// Name of the tenant.
        tenant: CompactString,
        /// Number of these jobs.
        jobs: usize,
        /// One of them.
        job: JobId,
        /// Its step that can't start.
        over: OverCap,
    },
    /// A job was refused, as the work of its tenant that waits ahead of it can't drain in useful time.
    JobRefused {
        /// The job.
        job: JobId,
        /// Name of its tenant.
        tenant: CompactString,
        /// Priority of the job.
        priority: u8,
        /// Ground of the decision.
        estimate: Estimate,
        /// Delay before the caller should retry.
        retry_after: Millis,
    },
    /// Tasks of a tenant have been waiting for a second or longer; noted at most once in 5 s.
    TenantWaits {
        /// Name of the tenant.
        tenant: CompactString,
        /// Why they wait.
        reason: WaitReason,
        /// Number of its waiting tasks.
        waiting: u64,
        /// Time since the oldest step that waits for this reason could have started.
        waited: Millis,
        /// What its runs occupy.
        used: Size,
        /// Its cap; zero in a resource is no limit.
        cap: Size,
        /// Its weighted share, in millionths.
        share_ppm: u64,
        /// For a wait behind the share, the tenant with the smallest share at the same priority.
        first: Option<(CompactString, u64)>,
    },
    /// Runs were stopped for more urgent steps; noted at most once a second.
    Preempted {
        /// Number of runs.
        runs: usize,
        /// Some of them.
        described: Vec<Preemption>,
    },
}

impl Cell {
    pub(crate) fn note_event(&mut self, event: CellEvent) {
        self.events.push(event);
    }

    /// Returns the observations since the last call.
    pub fn take_events(&mut self) -> Vec<CellEvent> {
        std::mem::take(&mut self.events)
    }

    pub(super) fn note_uncounted_end(&mut self, key: VmKey, end: &ReportedEnd, why: NoEffect) {
        let last_run = self.task_mut(end.task).map_or(0, |task| task.last_run);
        self.events.push(CellEvent::EndNotCounted {
            vm: self.vms[key].info.id.clone(),
            task: end.task,
            run: end.run,
            outcome: end.outcome,
            reason: why.reason(),
            last_run,
        });
    }
}
