//! Shared types, validated documents, the plug-in registry and the scheduler.
//!
//! The kernel contains no transport and no policy. It defines identifiers ([`id`]), time and sizes
//! ([`time`], [`size`]), outcomes of requests ([`fate`]) and validation of documents
//! ([`document`]), and the scheduler that plug-ins configure ([`plugin`], [`scheduler`]).
//!
//! ```
//! use dotterel_kernel::Document;
//!
//! let text = r#"
//!     service = "quotes"
//!     team = "consorcio"
//!     [[class]]
//!     name = "bracket-count"
//!     kind = "interactive"
//!     urgency = "urgent"
//!     start_ms = 1400
//!     typical_ms = 40
//!     size = { cores = 0.5, memory_mb = 256 }
//! "#;
//! let document = Document::parse(text).expect("the document is well formed");
//! assert_eq!(document.class("bracket-count").expect("declared above").start.0, 1400);
//! ```

pub mod account;
pub mod document;
pub mod fate;
pub mod field;
pub mod fleet;
pub mod id;
pub mod plugin;
pub mod quota;
pub mod rate;
pub mod run_time;
pub mod scheduler;
pub mod size;
pub mod time;

pub use account::{
    Account, Attempt, ErrorBody, Flag, Gap, Hour, PeerStatus, Record, Status, Summary, VmStatus,
};
pub use document::{Class, Document, Kind, Spill, Urgency};
pub use fate::{Fate, Reason};
pub use field::FieldError;
pub use fleet::{Fleet, Hold, HoldKey, Totals, Vm, VmKey};
pub use id::{
    CallerKey, DataCentre, Epoch, Incarnation, JobId, NodeId, Region, RequestId, Revision, Service,
    TaskId, Team, VmId,
};
pub use plugin::{Admission, Candidate, Filter, Order, PolicySet, ScanOrder, Score, TaskSpec};
pub use quota::{QuotaPool, Quotas, TeamKey, TeamQuota};
pub use run_time::RunTimeHistogram;
pub use scheduler::{Load, PendingKey, PendingTask, Placement, Scheduler, SubmitOutcome};
pub use size::Size;
pub use time::{Clock, Millis, thread_cpu_time};

/// Compiles the examples of the README.
#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;
