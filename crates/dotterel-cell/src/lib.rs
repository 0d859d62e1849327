//! The decisions of one cell's scheduler, without a network and without a clock.
//!
//! - [`spec`]: jobs as callers hand them in, checked.
//! - [`record`]: what of a job is kept in the store, and how it is encoded.
//! - [`job`]: a job's steps and tasks while the scheduler works on them.
//! - [`vm`]: VMs, what runs on them and how long their leases last.
//! - [`cell`]: events in, orders and rows out.
//! - [`plan`]: the order of the queue, the choice of VMs, gangs, preemption and advice.
//! - [`health`]: VMs that fail or stall what they run.

pub mod cell;
pub mod health;
pub mod job;
pub mod plan;
pub mod record;
pub mod spec;
pub mod vm;

pub use cell::{AdviceRequest, Batch, Cell, Limits, Order, Refusal, RowWrite, Submitted};
pub use job::{JobKey, JobState, StepRef};
pub use record::JobRecord;
pub use spec::{AdviceTerms, JobId, JobSpec, Policy, RawJob, RawStep, SpecError, Step, TaskName};
pub use vm::{Report, ReportedEnd, ReportedRun, RunOutcome, StartAnswer, VmInfo, VmKey};
