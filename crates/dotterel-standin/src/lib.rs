//! Stand-ins for the platform and its workers, with faults, for tests and trials.
//!
//! The models [`FakeTable`], [`FakeStore`], [`FakeVmList`] and [`FakeWorker`] implement the
//! platform's traits in memory. They are cheap handles on shared state, follow a
//! [`dotterel_kernel::Clock`] and therefore paused tokio time, and fail as their [`Faults`] say.
//! [`witness`] judges what workers saw. [`Cluster`] serves the same models over HTTP.

pub mod cluster;
pub mod faults;
mod gate;
pub mod seen;
pub mod server;
pub mod store;
pub mod table;
pub mod vm_list;
pub mod witness;
pub mod worker;
pub mod workload;

pub use cluster::{Cluster, WorkerPlan};
pub use faults::{EVERYONE, Faults};
pub use seen::{CutCause, Event, RunInfo, Seen};
pub use server::Server;
pub use store::FakeStore;
pub use table::{FakeTable, TableCounts};
pub use vm_list::FakeVmList;
pub use worker::FakeWorker;
pub use workload::{JsonWorkload, Work, Workload};
