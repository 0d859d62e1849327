//! Scheduling decisions of one cell, without network access or a clock.
//!
//! - [`spec`]: validation of submitted jobs.
//! - [`record`]: the records kept in the store for each job, and their encoding.
//! - [`job`]: in-memory state of jobs, steps and tasks.
//! - [`vm`]: VMs, the runs on them and their leases.
//! - [`cell`]: the state machine that takes events and returns orders and rows to write.
//! - [`plan`]: queue order, VM selection, gangs, preemption and advice.
//! - [`health`]: ejection of VMs whose runs fail or stall.
//! - [`fitness`]: how well a node can lead the cell, and when the leadership moves.
//! - [`interference`]: which kinds of tasks slow each other down.
//! - [`leadership`]: bounds on the leases of a leader, and on its successor's wait for them.
//! - [`speed`]: relative speeds of VMs, learned from the durations of runs.
//! - [`tenant`]: tenants and their terms.

pub mod cell;
pub mod fitness;
pub mod health;
pub mod interference;
pub mod job;
pub mod leadership;
pub mod plan;
pub mod record;
pub mod spec;
pub mod speed;
pub mod tenant;
pub mod vm;

pub use cell::{AdviceRequest, Batch, Cell, Limits, Order, Refusal, RowWrite, Submitted};
pub use job::{JobKey, JobState, StepRef};
pub use leadership::{Leadership, recovery_wait};
pub use record::JobRecord;
pub use spec::{AdviceTerms, JobId, JobSpec, Policy, RawJob, RawStep, SpecError, Step, TaskName};
pub use tenant::{TenantNo, TenantTable, TenantTerms};
pub use vm::{Report, ReportedEnd, ReportedRun, RunOutcome, StartAnswer, VmInfo, VmKey};
