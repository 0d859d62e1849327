//! Fakes of the platform and its workers, with fault injection, for tests and experiments.
//!
//! [`FakeTable`], [`FakeStore`], [`FakeVmList`] and [`FakeWorker`] implement the
//! traits of `dotterel-platform` in memory. They are cheap handles to shared state, follow a
//! [`dotterel_kernel::Clock`] and therefore paused tokio time, and fail as set in their [`Faults`].
//! [`checker`] checks the event logs of workers. [`Cluster`] serves the same fakes over HTTP.

pub mod checker;
pub mod cluster;
pub mod event_log;
mod fault_injector;
pub mod faults;
pub mod server;
pub mod store;
pub mod table;
pub mod vm_list;
pub mod worker;
pub mod workload;

pub use cluster::{Cluster, WorkerConfig};
pub use event_log::{CutCause, Event, LoggedEvent, RunInfo};
pub use faults::{ANY_CALLER, Faults};
pub use server::Server;
pub use store::FakeStore;
pub use table::{FakeTable, TableCounts};
pub use vm_list::FakeVmList;
pub use worker::FakeWorker;
pub use workload::{JsonWorkload, SimulatedTask, Workload};
