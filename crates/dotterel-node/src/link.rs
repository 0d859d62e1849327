//! Protocol between fronts and the scheduler of a cell.
//!
//! A front keeps one connection to the scheduler of each cell. A frame is a length prefix and a
//! message in postcard. A link without a message for [`IDLE_TIMEOUT`] counts as broken, since a
//! connection may stop delivering data without being closed.
//!
//! Nodes of two versions run side by side during an update, so variants of messages are only added,
//! at the end. A node closes a connection on a message that it doesn't know.

use std::io;
use std::rc::Rc;

use bytes::BufMut;
use compact_str::CompactString;
use dotterel_cell::{JobId, JobRecord, JobState};
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

use crate::election::LeaderRow;
use crate::http::limits::{ByteBudget, ByteGuard};
use crate::routes::SecretBytes;

/// Interval between a front's pings.
pub const PING_INTERVAL: Millis = Millis(200);
/// A link without a message for this long is broken: three ping intervals and a round trip.
pub const IDLE_TIMEOUT: Millis = Millis(700);
/// Messages queued for a peer that doesn't read; a link with a full queue is dropped.
pub const QUEUE_CAPACITY: usize = 4096;
/// Maximum size of a message: a job with its text and steps, or the VM names of an advice call.
const MAX_FRAME_BYTES: u32 = 4 << 20;
/// Maximum size of the first message, which anyone can send: it holds a name and numbers.
const MAX_FIRST_FRAME_BYTES: u32 = 4096;
/// This much of a frame is covered by what its connection is charged, so that the messages of a cell under
/// ordinary load are read while large frames occupy the budget.
const UNCHARGED_FRAME_BYTES: usize = 8192;
/// Size of the first part of a frame for which memory is allocated; nearly all frames fit.
const FIRST_READ_BYTES: usize = 4096;

/// Number of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CellNo(pub u16);

impl CellNo {
    /// Returns the cell that a job belongs to.
    #[must_use]
    pub fn of(id: JobId, cells: u16) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(&id.0.to_be_bytes());
        let number = hash % u64::from(cells.max(1));
        Self(u16::try_from(number).unwrap_or_default())
    }

    /// Returns the partition of the store that holds the rows of one of the cell's lanes.
    #[must_use]
    pub fn part(self, lane: u8) -> CompactString {
        match lane {
            0 => compact_str::format_compact!("c{}", self.0),
            _ => compact_str::format_compact!("c{}-{lane}", self.0),
        }
    }
}

/// A request from a front to the scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Submit a job.
    Submit(JobId, Box<JobRecord>),
    /// Cancel a job.
    Cancel(JobId),
    /// Get the state of a job.
    State(JobId),
    /// Get the number of jobs of a queue that have not started.
    Pending(CompactString),
    /// Submit a job of a tenant. Here and below, the name is empty for a caller without a key.
    SubmitFor(JobId, Box<JobRecord>, CompactString),
    /// Cancel a job for a tenant.
    CancelFor(JobId, CompactString),
    /// Get the state of a job for a tenant.
    StateFor(JobId, CompactString),
}

impl Request {
    /// Returns the request for a tenant, which the scheduler compares with the tenant of the job.
    #[must_use]
    pub fn for_tenant(self, tenant: &str) -> Self {
        match self {
            Self::Submit(id, record) => Self::SubmitFor(id, record, tenant.into()),
            Self::Cancel(id) => Self::CancelFor(id, tenant.into()),
            Self::State(id) => Self::StateFor(id, tenant.into()),
            other => other,
        }
    }

    /// Returns the request without its tenant, and the tenant if the request names one.
    #[must_use]
    pub fn split_tenant(self) -> (Self, Option<CompactString>) {
        match self {
            Self::SubmitFor(id, mut record, tenant) => {
                record.tenant.clone_from(&tenant);
                (Self::Submit(id, record), Some(tenant))
            }
            Self::CancelFor(id, tenant) => (Self::Cancel(id), Some(tenant)),
            Self::StateFor(id, tenant) => (Self::State(id), Some(tenant)),
            other => (other, None),
        }
    }

    /// Returns the job that the request is about.
    #[must_use]
    pub const fn job(&self) -> Option<JobId> {
        match self {
            Self::Submit(id, _)
            | Self::Cancel(id)
            | Self::State(id)
            | Self::SubmitFor(id, ..)
            | Self::CancelFor(id, _)
            | Self::StateFor(id, _) => Some(*id),
            Self::Pending(_) => None,
        }
    }
}

/// The scheduler's reply to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is durably accepted.
    Accepted,
    /// A submitted job is refused and never runs, or nothing is known about a job; retry after this
    /// time.
    Refused(Millis),
    /// The job is durably cancelled or had already ended; false if there is no such job.
    Cancelled(bool),
    /// The state of the job; none if there is no such job.
    State(Option<JobState>),
    /// Number of jobs that have not started.
    Pending(u32),
    /// The job belongs to another tenant than the caller.
    OtherTenant,
    /// The submitted job can never run, for this reason.
    Never(CompactString),
}

/// A message from a front to the scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FrontMessage {
    /// The first message on a link.
    Hello {
        /// The front's node.
        node: CompactString,
        /// The incarnation of the node.
        incarnation: u64,
        /// The cell to connect to.
        cell: CellNo,
        /// The node's fitness to lead, in thousandths of a core.
        milli_cores: u32,
    },
    /// A request and its id, which the reply carries.
    Request(u64, Request),
    /// Result of an advice call with the given id: ids of VMs and tickets; none if the call failed.
    Advised(u64, Option<Vec<(CompactString, CompactString)>>),
    /// Sent at a fixed interval to keep the link alive.
    Ping,
    /// The only message on a connection: asks which leader of the cell the node follows.
    FindLeader(CellNo),
    /// Asks for the configuration if the leader has a higher version than this.
    GetConfig(u64),
}

/// A message from the scheduler to a front.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SchedulerMessage {
    /// First message on a link: this node leads the cell.
    Welcome {
        /// The fencing token of its term.
        fence: u64,
    },
    /// First and last message on a link: this node doesn't lead the cell.
    NotLeader,
    /// The reply to the request with this id.
    Reply(u64, Reply),
    /// A call to make to the advice service on the scheduler's behalf.
    Advise {
        /// Id of the call.
        call: u64,
        /// The step: its job, round and number.
        step: (JobId, u32, u16),
        /// Ids of the VMs to ask about.
        vms: Vec<CompactString>,
        /// Timeout of the call, including the wait in the front's queue.
        timeout: Millis,
    },
    /// Reply to a ping.
    Pong {
        /// False while the scheduler can't write to the store.
        store_available: bool,
    },
    /// The reply to `FindLeader`: the leader that the node is linked to, or itself if it leads.
    Leader(Option<LeaderRow>),
    /// The reply to `GetConfig`: a version of the configuration, and its row.
    Config(u64, SecretBytes),
}

/// Reads one message.
///
/// # Errors
///
/// Returns an error when the connection ends or the frame is malformed.
pub async fn read<T, R>(reader: &mut R) -> io::Result<T>
where
    T: for<'a> Deserialize<'a>,
    R: AsyncRead + Unpin,
{
    read_frame(reader, MAX_FRAME_BYTES, None).await
}

/// Reads the first message of a peer, which is small.
///
/// # Errors
///
/// Returns an error when the connection ends or the frame is malformed or large.
pub async fn read_first<T, R>(reader: &mut R) -> io::Result<T>
where
    T: for<'a> Deserialize<'a>,
    R: AsyncRead + Unpin,
{
    read_frame(reader, MAX_FIRST_FRAME_BYTES, None).await
}

/// Reads one message, whose bytes are acquired from a budget as they arrive.
///
/// # Errors
///
/// Returns an error when the connection ends, the frame is malformed or the budget is exhausted.
pub async fn read_within<T, R>(reader: &mut R, budget: &Rc<ByteBudget>) -> io::Result<T>
where
    T: for<'a> Deserialize<'a>,
    R: AsyncRead + Unpin,
{
    read_frame(reader, MAX_FRAME_BYTES, Some(budget.guard())).await
}

async fn read_frame<T, R>(
    reader: &mut R,
    max_bytes: u32,
    mut bytes: Option<ByteGuard>,
) -> io::Result<T>
where
    T: for<'a> Deserialize<'a>,
    R: AsyncRead + Unpin,
{
    let size = reader.read_u32().await?;
    if size > max_bytes {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "frame exceeds the size limit",
        ));
    }
    let size = size as usize;
    let mut frame = Vec::new();
    while frame.len() < size {
        // A buffer of the announced size would let a peer occupy 4 MB with four bytes.
        let capacity = size.min((frame.len() * 2).max(FIRST_READ_BYTES));
        if let Some(bytes) = &mut bytes
            && capacity > UNCHARGED_FRAME_BYTES
            && !bytes
                .grow(capacity - frame.len().max(UNCHARGED_FRAME_BYTES))
                .await
        {
            return Err(io::Error::new(
                io::ErrorKind::OutOfMemory,
                "bytes for frames exhausted",
            ));
        }
        frame.reserve_exact(capacity - frame.len());
        while frame.len() < capacity {
            let missing = capacity - frame.len();
            if reader.read_buf(&mut (&mut frame).limit(missing)).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
    postcard::from_bytes(&frame).map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))
}

/// Writes queued messages until the queue is closed, and batches those that are ready.
///
/// # Errors
///
/// Returns an error when the connection ends or a message can't be encoded.
pub async fn write_queue<T, W>(writer: &mut W, queue: &mut mpsc::Receiver<T>) -> io::Result<()>
where
    T: Serialize,
    W: AsyncWrite + Unpin,
{
    let mut frames = Vec::new();
    while let Some(message) = queue.recv().await {
        frames.clear();
        append(&mut frames, &message)?;
        while let Ok(message) = queue.try_recv() {
            append(&mut frames, &message)?;
        }
        writer.write_all(&frames).await?;
    }
    Ok(())
}

fn append<T: Serialize>(frames: &mut Vec<u8>, message: &T) -> io::Result<()> {
    let start = frames.len();
    frames.extend_from_slice(&[0; 4]);
    let frames_end = postcard::to_extend(message, std::mem::take(frames))
        .map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))?;
    *frames = frames_end;
    let size = u32::try_from(frames.len() - start - 4)
        .map_err(|err| io::Error::new(io::ErrorKind::InvalidData, err))?;
    frames[start..start + 4].copy_from_slice(&size.to_be_bytes());
    Ok(())
}
