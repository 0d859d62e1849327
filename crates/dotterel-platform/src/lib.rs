//! Traits and HTTP clients for the platform's services and for the VMs that run tasks.
//!
//! [`Table`], [`ObjectStore`] and [`VmList`] are the platform's services; [`Upstream`] is one VM
//! that runs tasks under leases. Every error states whether the call certainly had no effect or
//! may have had one: the difference decides whether a call may be retried and which outcome is
//! reported to the caller. This crate contains no scheduling policy.

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
