//! What the node needs of the platform.
//!
//! An adapter implements [`Platform`]; names, formats and calls are its business, decisions are not.

use std::future::Future;

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_cell::{JobId, JobState, RawJob, Report, StartAnswer, TaskName, VmInfo};
use dotterel_kernel::Millis;
use http::HeaderMap;

use crate::routes::Configuration;

/// A table of the cell in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Table {
    /// Who holds the scheduler's role.
    #[default]
    Role,
    /// Jobs.
    Jobs,
    /// Their progress.
    Progress,
}

/// A row of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: CompactString,
    /// Its content.
    pub value: Bytes,
    /// The version of the transaction that wrote it; zero when it doesn't exist.
    pub version: u64,
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows by key.
    pub rows: Vec<Row>,
    /// Set when there are further rows.
    pub has_more: bool,
    /// The store's version at that moment.
    pub version: u64,
    /// The store's steady clock.
    pub clock: Millis,
}

/// A transaction on one part of the store.
#[derive(Clone, Debug, Default)]
pub struct Tx {
    /// The part.
    pub part: CompactString,
    /// Versions that rows must have; zero for a row that must not exist.
    pub expect: Vec<(Table, CompactString, u64)>,
    /// Rows to write.
    pub puts: Vec<(Table, CompactString, Vec<u8>)>,
    /// Rows to remove.
    pub removes: Vec<(Table, CompactString)>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// It was done, as this version.
    Done(u64),
    /// It was not done: these are the rows that it expected, as they are.
    Conflict(Vec<Row>),
    /// It was not done: the store is away or busy.
    NotDone,
    /// There was no answer: it may have been done, or may be later.
    Unknown,
}

/// Why the store gave no rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// It refused, or did not answer in time.
    Away,
    /// The changes asked for are no longer kept; read the rows instead.
    HistoryLost,
    /// It answered something that can't be read.
    Malformed,
}

/// Changes of the configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigChange {
    /// The newest configuration, when it has changed.
    pub latest: Option<Configuration>,
    /// Continue from here.
    pub version: u64,
}

/// Changes of the registry of VMs.
#[derive(Clone, Debug, Default)]
pub struct VmChanges {
    /// Entries as they are now.
    pub listed: Vec<VmInfo>,
    /// Ids whose entries are gone.
    pub removed: Vec<CompactString>,
    /// Set when `listed` holds the whole registry.
    pub is_full: bool,
    /// Continue from here.
    pub version: u64,
}

/// Which VM is meant, and who orders.
#[derive(Clone, Debug)]
pub struct VmTarget {
    /// Its address.
    pub address: CompactString,
    /// Its id; another VM at the address refuses.
    pub id: CompactString,
    /// The scheduler's fencing token.
    pub fence: u64,
}

/// Why a VM gave no report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmError {
    /// No answer, or one that says nothing.
    Away,
    /// Another scheduler has taken over.
    Fenced,
    /// Another VM answers there.
    OtherVm,
}

/// An order to start a run.
#[derive(Clone, Debug)]
pub struct StartOrder {
    /// The task.
    pub task: TaskName,
    /// Its run.
    pub run: u32,
    /// The text passed to the task.
    pub text: CompactString,
    /// The end of the lease on the VM's clock.
    pub lease: Millis,
    /// The state to resume from; empty for none.
    pub saved: CompactString,
    /// The advice service's ticket; empty for none.
    pub ticket: CompactString,
}

/// Why the advice service gave none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdviceError {
    /// It has too many calls waiting.
    Busy,
    /// It refused, or did not answer in time.
    Away,
}

/// A VM that may run a step, and the ticket that says so.
pub type AdvisedVm = (CompactString, CompactString);

/// The platform.
pub trait Platform: 'static {
    /// Carries out a transaction.
    fn commit(&self, tx: &Tx, timeout: Millis) -> impl Future<Output = Commit>;

    /// Reads rows of a table in a part, in the order of their keys, from a key on,
    /// `limit` rows at most.
    ///
    /// # Errors
    ///
    /// Returns an error when the store doesn't answer.
    fn scan(
        &self,
        table: Table,
        part: &str,
        from: &str,
        limit: u32,
    ) -> impl Future<Output = Result<Page, StoreError>>;

    /// Waits for changes of the configuration after a version; reads it as it is when none is given.
    ///
    /// # Errors
    ///
    /// Returns an error when the store doesn't answer or has lost its history.
    fn config_changes(
        &self,
        after: Option<u64>,
    ) -> impl Future<Output = Result<ConfigChange, StoreError>>;

    /// Reads changes of the registry after a version, without waiting; all of it when none is given.
    ///
    /// # Errors
    ///
    /// Returns an error when the store doesn't answer or has lost its history.
    fn vm_changes(&self, after: Option<u64>)
    -> impl Future<Output = Result<VmChanges, StoreError>>;

    /// Extends a VM's leases, acknowledges ends, and waits up to `wait` for further ends.
    ///
    /// # Errors
    ///
    /// Returns an error when the VM doesn't answer or doesn't accept the token.
    fn hold(
        &self,
        vm: &VmTarget,
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
    /// Returns an error when the VM doesn't answer or doesn't accept the token.
    fn stop(
        &self,
        vm: &VmTarget,
        task: TaskName,
        run: u32,
    ) -> impl Future<Output = Result<(), VmError>>;

    /// Asks which of some VMs may run a step.
    ///
    /// # Errors
    ///
    /// Returns an error when the service is busy or doesn't answer.
    fn advise(
        &self,
        step: (JobId, u32, u16),
        vms: &[CompactString],
        timeout: Millis,
    ) -> impl Future<Output = Result<Vec<AdvisedVm>, AdviceError>>;

    /// Decodes a job as a caller sends it.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the body.
    fn decode_job(&self, body: &[u8]) -> Result<RawJob, CompactString>;

    /// Encodes a job's state for its caller.
    fn encode_state(&self, state: JobState) -> Bytes;

    /// Encodes a queue's length for a caller.
    fn encode_pending(&self, count: u32) -> Bytes;

    /// Returns how long the caller waits for the answer.
    fn caller_timeout(&self, headers: &HeaderMap) -> Option<Millis>;
}
