//! The platform's services and the workers, as traits and as HTTP clients.
//!
//! Nothing here decides anything. [`Table`], [`ObjectStore`] and [`VmList`] are what the platform
//! gives; [`Upstream`] is one VM that runs tasks under leases. Every error tells whether the call
//! certainly had no effect or may have had one, because that difference decides what may be
//! retried and what may be told to a caller.

pub mod api;
pub mod client;
pub mod error;
pub mod store;
pub mod upstream;
pub mod vm_list;

pub use client::{HttpStore, HttpTable, HttpUpstream, HttpVmList, Limits, Traffic};
pub use error::CallError;
pub use store::{Commit, ObjectStore, Row, Table, Version, Write};
pub use upstream::{
    AcquireRequest, AcquireResponse, Grant, ObservedTask, Owner, Refusal, RenewRequest,
    RenewResponse, RunningTask, StartRequest, StartResponse, StopResponse, TaskResponse,
    TaskSignal, TaskState, Upstream, VmReport,
};
pub use vm_list::{
    Changes, DataCentreHash, DataCentreVms, ListedVm, Listing, Role, VmList, VmState,
};
