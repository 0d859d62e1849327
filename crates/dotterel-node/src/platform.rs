//! Interface between the node and the platform.
//!
//! An adapter implements [`Platform`]. It deals with names, formats and calls, and leaves all
//! decisions to the node.

use std::future::Future;

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_cell::{JobId, JobState, RawJob, Report, StartAnswer, TaskName, VmInfo};
use dotterel_kernel::Millis;
use http::HeaderMap;

use crate::routes::Configuration;

/// A table in which the cell keeps its rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// The leader of the cell.
    #[default]
    Role,
    /// The jobs.
    Jobs,
    /// The progress of jobs.
    Progress,
    /// The VMs that may have runs.
    Vms,
}

/// A row of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: CompactString,
    /// The value.
    pub value: Bytes,
    /// The version of the transaction that wrote it; zero if the row doesn't exist.
    pub version: u64,
}

/// A page of rows, read at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows, in the order of their keys.
    pub rows: Vec<Row>,
    /// Set when more rows follow.
    pub has_more: bool,
    /// The store's version at that time.
    pub version: u64,
    /// The store's monotonic clock.
    pub clock: Millis,
}

/// A transaction on one partition of the store.
#[derive(Clone, Debug, Default)]
pub struct Tx {
    /// The partition.
    pub part: CompactString,
    /// Expected versions of rows; zero for a row that must not exist.
    pub expect: Vec<(Table, CompactString, u64)>,
    /// Rows to write.
    pub puts: Vec<(Table, CompactString, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<(Table, CompactString)>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// Committed as this version.
    Done(u64),
    /// Not committed because an expectation failed; holds the current rows of all expectations.
    Conflict(Vec<Row>),
    /// Not committed: the store is unavailable or busy.
    NotDone,
    /// Not committed: the store rejects what the transaction contains, however often it is sent.
    Refused,
    /// No response: the transaction may have been committed, or may still be.
    Unknown,
}

/// Why a read from the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The store rejected the request or didn't respond in time.
    Away,
    /// The requested changes are no longer kept; read the whole table instead.
    HistoryLost,
    /// The response couldn't be decoded.
    Malformed,
}

/// Result of waiting for changes of the configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigChange {
    /// The latest configuration, if it has changed.
    pub latest: Option<Configuration>,
    /// The version to continue from.
    pub version: u64,
}

/// Changes in the registry of VMs.
#[derive(Clone, Debug, Default)]
pub struct VmChanges {
    /// Current entries that are new or have changed.
    pub listed: Vec<VmInfo>,
    /// Ids of removed entries.
    pub removed: Vec<CompactString>,
    /// Set when `listed` holds the whole registry.
    pub is_full: bool,
    /// Set when there may be further changes that the response had no room for.
    pub has_more: bool,
    /// The version to continue from.
    pub version: u64,
}

/// The VM that a call is meant for, and the token of the caller.
#[derive(Clone, Debug)]
pub struct VmTarget {
    /// The VM's address.
    pub address: CompactString,
    /// The VM's id; another VM at this address rejects the call.
    pub id: CompactString,
    /// The scheduler's fencing token.
    pub fence: u64,
}

/// Why a call to a VM failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmError {
    /// No response, or one that couldn't be decoded.
    Away,
    /// The VM has seen a higher fencing token: another scheduler has taken over.
    Fenced,
    /// Another VM uses this address.
    OtherVm,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The task.
    pub task: TaskName,
    /// The number of the run.
    pub run: u32,
    /// The job's text, which is passed to the task.
    pub text: CompactString,
    /// The end of the lease, on the VM's clock.
    pub lease: Millis,
    /// The checkpoint to resume from; empty for none.
    pub saved: CompactString,
    /// The ticket of the advice service; empty for none.
    pub ticket: CompactString,
}

/// Why a call to the advice service failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdviceError {
    /// The service has too many calls pending.
    Busy,
    /// The service rejected the call or didn't respond in time.
    Away,
}

/// The id of a VM that may run a step, and the ticket that permits it.
pub type AdvisedVm = (CompactString, CompactString);

/// The platform's services, as the node uses them.
pub trait Platform: 'static {
    /// A connection to one incarnation of a VM, for polls.
    type VmConnection;

    /// Executes a transaction.
    fn commit(&self, tx: &Tx, timeout: Millis) -> impl Future<Output = Commit>;

    /// Reads up to `limit` rows of a table in a partition, in the order of their keys, from the key
    /// `from` on.
    ///
    /// # Errors
    ///
    /// Returns an error when the store doesn't respond.
    fn scan(
        &self,
        table: Table,
        part: &str,
        from: &str,
        limit: u32,
    ) -> impl Future<Output = Result<Page, StoreError>>;

    /// Waits for changes of the configuration after a version; reads the current one if no version
    /// is given.
    ///
    /// # Errors
    ///
    /// Returns an error when the store doesn't respond or no longer has the changes.
    fn config_changes(
        &self,
        after: Option<u64>,
    ) -> impl Future<Output = Result<ConfigChange, StoreError>>;

    /// Decodes the row of a configuration that another node has read. Logs an error and returns `None` if it
    /// is malformed.
    fn decode_config(&self, row: &[u8]) -> Option<Configuration>;

    /// Reads changes in the registry after a version, without waiting; reads all of it if no
    /// version is given.
    ///
    /// # Errors
    ///
    /// Returns an error when the store doesn't respond or no longer has the changes.
    fn vm_changes(&self, after: Option<u64>)
    -> impl Future<Output = Result<VmChanges, StoreError>>;

    /// Connects to a VM for polls.
    ///
    /// # Errors
    ///
    /// Returns an error when the VM doesn't accept the connection.
    fn connect_vm(
        &self,
        vm: &VmTarget,
    ) -> impl Future<Output = Result<Self::VmConnection, VmError>>;

    /// Extends the lease on a VM's runs, acknowledges ended runs up to `acked`, and waits up to
    /// `wait` for further runs to end.
    ///
    /// After an error, the connection must not be used again.
    ///
    /// # Errors
    ///
    /// Returns an error when the VM doesn't respond or rejects the fencing token.
    fn hold(
        &self,
        vm: &VmTarget,
        connection: &mut Self::VmConnection,
        lease: Option<Millis>,
        acked: u64,
        wait: Millis,
    ) -> impl Future<Output = Result<Report, VmError>>;

    /// Starts a run.
    fn start(&self, vm: &VmTarget, order: &StartOrder) -> impl Future<Output = StartAnswer>;

    /// Stops a run.
    ///
    /// # Errors
    ///
    /// Returns an error when the VM doesn't respond or rejects the fencing token.
    fn stop(
        &self,
        vm: &VmTarget,
        task: TaskName,
        run: u32,
    ) -> impl Future<Output = Result<(), VmError>>;

    /// Asks the advice service which of the VMs may run a step.
    ///
    /// # Errors
    ///
    /// Returns an error when the service is busy or doesn't respond.
    fn advise(
        &self,
        step: (JobId, u32, u16),
        vms: &[CompactString],
        timeout: Millis,
    ) -> impl Future<Output = Result<Vec<AdvisedVm>, AdviceError>>;

    /// Decodes a caller's job.
    ///
    /// # Errors
    ///
    /// Returns an error that describes what is wrong with the body.
    fn decode_job(&self, body: &[u8]) -> Result<RawJob, CompactString>;

    /// Encodes a job's state for its caller.
    fn encode_state(&self, state: JobState) -> Bytes;

    /// Encodes the number of pending jobs of a queue for a caller.
    fn encode_pending(&self, count: u32) -> Bytes;

    /// Encodes the reason for which a job can never run for a caller.
    fn encode_reason(&self, reason: &str) -> Bytes;

    /// Returns how long the caller waits for the response, if the headers state it.
    fn caller_timeout(&self, headers: &HeaderMap) -> Option<Millis>;
}
