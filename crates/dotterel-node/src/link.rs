//! Messages between fronts and the scheduler of a cell.
//!
//! A front keeps one connection to the scheduler of each cell. Frames are a length and a message
//! in postcard. Silence longer than [`SILENT`] counts as a broken link, since a connection may stop
//! carrying anything without an end of its own.

use std::io;

use compact_str::CompactString;
use dotterel_cell::{JobId, JobRecord, JobState};
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

/// How often a front makes itself heard.
pub const PING_EVERY: Millis = Millis(300);
/// A link that brings nothing for so long is broken: two pings and a round trip.
pub const SILENT: Millis = Millis(700);
/// Messages that wait for a peer which doesn't read; the link is given up when there are more.
pub const QUEUE: usize = 4096;
/// Bytes of a message at most: a job with its text and steps, or the names of a call for advice.
const FRAME_MAX: u32 = 4 << 20;

/// The number of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CellNo(pub u16);

impl CellNo {
    /// Returns the cell of a job.
    #[must_use]
    pub fn of(id: JobId, cells: u16) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(&id.0.to_be_bytes());
        let number = hash % u64::from(cells.max(1));
        Self(u16::try_from(number).unwrap_or_default())
    }

    /// Returns the part of the store that holds the rows of one of the cell's lanes.
    #[must_use]
    pub fn part(self, lane: u8) -> CompactString {
        match lane {
            0 => compact_str::format_compact!("c{}", self.0),
            _ => compact_str::format_compact!("c{}-{lane}", self.0),
        }
    }
}

/// What a front asks of the scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Accept a job.
    Submit(JobId, Box<JobRecord>),
    /// Cancel a job.
    Cancel(JobId),
    /// The state of a job.
    State(JobId),
    /// The number of jobs of a queue that have not begun.
    Pending(CompactString),
}

/// What the scheduler replies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The job is accepted, and that is durable.
    Accepted,
    /// The job is not accepted and never runs; come back after this time.
    Refused(Millis),
    /// The job is cancelled or had ended, and that is durable; false when there is none.
    Cancelled(bool),
    /// The state of the job; none when there is none.
    State(Option<JobState>),
    /// Jobs that have not begun.
    Pending(u32),
}

/// From a front to the scheduler.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Up {
    /// The first message.
    Hello {
        /// The front's node.
        node: CompactString,
        /// The cell it wants.
        cell: CellNo,
        /// Thousandths of a processor core that it has.
        milli_cores: u32,
    },
    /// A request; replies carry its number.
    Ask(u64, Request),
    /// The advice service's answer to a call made for the scheduler; none when there was none.
    Advised(u64, Option<Vec<(CompactString, CompactString)>>),
    /// Nothing else to say.
    Ping,
}

/// From the scheduler to a front.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Down {
    /// The first message: this node holds the role.
    Welcome {
        /// Its fencing token.
        fence: u64,
    },
    /// The first and last message: this node doesn't hold the role.
    NotHolder,
    /// The reply to a request.
    Reply(u64, Reply),
    /// A call to make to the advice service.
    Advise {
        /// The call's number.
        call: u64,
        /// The step's job, occurrence and number.
        step: (JobId, u32, u16),
        /// The VMs to name.
        vms: Vec<CompactString>,
        /// Time for the call.
        timeout: Millis,
    },
    /// Nothing else to say.
    Pong {
        /// Cleared while the scheduler can't write to the store.
        storing: bool,
    },
}

/// Reads one message.
///
/// # Errors
///
/// Returns an error when the connection ends or carries something else.
pub async fn read<T, R>(from: &mut R) -> io::Result<T>
where
    T: for<'a> Deserialize<'a>,
    R: AsyncRead + Unpin,
{
    let size = from.read_u32().await?;
    if size > FRAME_MAX {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    let mut frame = vec![0; size as usize];
    from.read_exact(&mut frame).await?;
    postcard::from_bytes(&frame).map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault))
}

/// Writes what comes through a queue, as many messages to a write as there are.
///
/// # Errors
///
/// Returns an error when the connection ends; ends well when the queue is closed.
pub async fn write_queue<T, W>(to: &mut W, queue: &mut mpsc::Receiver<T>) -> io::Result<()>
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
        to.write_all(&frames).await?;
    }
    Ok(())
}

fn append<T: Serialize>(frames: &mut Vec<u8>, message: &T) -> io::Result<()> {
    let start = frames.len();
    frames.extend_from_slice(&[0; 4]);
    let frames_end = postcard::to_extend(message, std::mem::take(frames))
        .map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault))?;
    *frames = frames_end;
    let size = u32::try_from(frames.len() - start - 4)
        .map_err(|fault| io::Error::new(io::ErrorKind::InvalidData, fault))?;
    frames[start..start + 4].copy_from_slice(&size.to_be_bytes());
    Ok(())
}
