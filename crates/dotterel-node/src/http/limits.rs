//! Limits on what callers can make a node hold: connections, and bytes of heads, bodies and replies.
//!
//! Time is counted in sweeps, [`SWEEP_INTERVAL`] apart, so that nothing ages while the process is frozen.
//!
//! - `body`: reads bodies of requests.
//! - `bytes`: the byte budget and its guards.
//! - `connections`: limits the connections to a port.
//! - `refusals`: counts and logs what was closed or refused.
//! - `turns`: lets other tasks run between reads of callers' connections.

use std::rc::Rc;

use dotterel_kernel::{Clock, Millis};
use tokio::time::{MissedTickBehavior, interval};

use super::server::ACCEPT_BACKLOG;
use crate::metrics::Metrics;

mod body;
mod bytes;
mod connections;
mod refusals;
mod turns;

pub use body::{BodyError, read_body};
pub use bytes::{ByteBudget, ByteGuard};
pub use connections::{Connection, ConnectionGuard, ConnectionLimits};
pub use refusals::Refusal;
use refusals::Refusals;
pub use turns::ReadTurns;

/// Interval between sweeps.
pub const SWEEP_INTERVAL: Millis = Millis(250);

const MB: usize = 1 << 20;
/// Memory that a node needs without callers: 9 MB as a front, 47 MB as the scheduler of 350 VMs
/// (docs/CAPACITY.md), and 10 MB for open jobs beyond those of ordinary load.
const NODE_MB: usize = 66;
/// Checks come from a few load balancers, one a second.
const READY_CONNECTIONS: usize = 64;
const METRICS_CONNECTIONS: usize = 32;
/// Pending connections to the ports of readiness and metrics.
const ADMIN_BACKLOG: u32 = 128;
/// Each of 43 peers has a link and asks for the leader; links that end overlap with new ones.
const MIN_LINK_CONNECTIONS: usize = 43 * 4;
/// Descriptors that a node needs without callers and peers: 200 files, 16 to the store, three for each
/// of 350 VMs, eight to leaders and nodes that are asked for them, and those of the other ports.
const NODE_DESCRIPTORS: usize = 200 + 16 + 3 * 350 + 8 + READY_CONNECTIONS + METRICS_CONNECTIONS;
/// Charged for each connection from the start: its read buffer, as long as requests are small.
const CONNECTION_BYTES: usize = 8 * 1024;
/// Bytes that the kernel holds for a connection, as a multiple of the size that its receive buffer is set to:
/// the kernel doubles that, and accepts a last segment beyond it.
const KERNEL_BUFFER_FACTOR: usize = 3;
/// Connections and uploads younger than this are not closed in favor of others: 0.5 s.
const MIN_AGE_SWEEPS: u64 = 2;

/// Limits derived from the memory and the descriptors of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSizes {
    /// Bytes held for callers.
    pub caller_bytes: usize,
    /// Bytes of frames from peers that are being read.
    pub link_bytes: usize,
    /// Connections to the front.
    pub front_connections: usize,
    /// Connections to the readiness port.
    pub ready_connections: usize,
    /// Connections to the metrics port.
    pub metrics_connections: usize,
    /// Connections from peers.
    pub link_connections: usize,
    /// Connections to the front and from peers that wait to be accepted.
    pub backlog: u32,
    /// The same for the ports of readiness and metrics.
    pub admin_backlog: u32,
    /// Size of the socket buffers of callers in each direction; `None` leaves them to the kernel.
    pub socket_buffer: Option<u32>,
    /// The same for peers.
    pub link_socket_buffer: Option<u32>,
}

impl LimitSizes {
    /// Returns the limits for a machine; without a figure, generous fixed ones apply.
    #[must_use]
    pub fn of(memory_mb: Option<u32>, max_fds: Option<u32>) -> Self {
        const KB: usize = 1024;
        /// Below it, larger buffers would leave too few connections.
        const SMALL_MEMORY_MB: usize = 200;
        let (caller_bytes, link_bytes, socket_buffer, kernel_bytes) = match memory_mb {
            Some(mb) => {
                let mb = usize::try_from(mb).unwrap_or(usize::MAX / MB);
                let available_mb = mb.saturating_sub(NODE_MB);
                let caller_mb = (available_mb * 3 / 10).max(mb / 8).max(1);
                // A frame of 4 MB must fit.
                let link_mb = (mb / 12).max(6);
                let buffer = if mb < SMALL_MEMORY_MB { 4 } else { 8 } * KB;
                let kernel_bytes = (available_mb * MB / 4).max(mb * MB / 16);
                (caller_mb * MB, link_mb * MB, Some(buffer), kernel_bytes)
            }
            None => (256 * MB, 64 * MB, None, usize::MAX),
        };
        // Connections are charged at most half of the budget of callers, and leave room for a frame of 4 MB in
        // that of links.
        let mut max_front_connections = (caller_bytes / CONNECTION_BYTES / 2).max(1);
        if let Some(buffer) = socket_buffer {
            let unread = kernel_bytes / (buffer * KERNEL_BUFFER_FACTOR);
            max_front_connections = max_front_connections.min(unread).max(1);
        }
        let max_link_connections =
            (link_bytes.saturating_sub(4 * MB) / CONNECTION_BYTES / 2).max(MIN_LINK_CONNECTIONS);
        let sizes = Self {
            caller_bytes,
            link_bytes,
            front_connections: max_front_connections.min(8192),
            ready_connections: READY_CONNECTIONS,
            metrics_connections: METRICS_CONNECTIONS,
            link_connections: max_link_connections.min(2048),
            backlog: socket_buffer.map_or(ACCEPT_BACKLOG, |_| ACCEPT_BACKLOG / 2),
            admin_backlog: socket_buffer.map_or(ACCEPT_BACKLOG, |_| ADMIN_BACKLOG),
            socket_buffer: socket_buffer.and_then(|bytes| u32::try_from(bytes).ok()),
            // Requests of many callers share a link.
            link_socket_buffer: socket_buffer.map(|_| 128 * 1024),
        };
        let Some(max) = max_fds else {
            return sizes;
        };
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let link_connections = (max / 8).clamp(MIN_LINK_CONNECTIONS, max_link_connections);
        Self {
            front_connections: max
                .saturating_sub(NODE_DESCRIPTORS + link_connections)
                .max(max / 4)
                .min(max_front_connections),
            link_connections,
            ..sizes
        }
    }
}

/// The limits of a process.
#[derive(Debug)]
pub struct Limits {
    /// The sizes that the limits were made for.
    pub sizes: LimitSizes,
    /// Bytes held for callers.
    pub callers: Rc<ByteBudget>,
    /// Bytes of frames from peers.
    pub links: Rc<ByteBudget>,
    /// Connections to the front.
    pub front: Rc<ConnectionLimits>,
    /// Connections to the readiness port.
    pub ready: Rc<ConnectionLimits>,
    /// Connections to the metrics port.
    pub metrics: Rc<ConnectionLimits>,
    /// Connections from peers.
    pub peers: Rc<ConnectionLimits>,
    turns: Rc<ReadTurns>,
    refusals: Rc<Refusals>,
}

impl Limits {
    /// Returns limits of the given sizes, with nothing held.
    #[must_use]
    pub fn new(sizes: LimitSizes, metrics: Rc<Metrics>, clock: Clock) -> Rc<Self> {
        let refusals = Refusals::new(metrics, clock);
        let callers = ByteBudget::new("front", sizes.caller_bytes, &refusals);
        let links = ByteBudget::new("peer", sizes.link_bytes, &refusals);
        let turns = ReadTurns::new();
        let port =
            |name, max, budget| ConnectionLimits::new(name, max, budget, Some(&turns), &refusals);
        Rc::new(Self {
            sizes,
            front: port("front", sizes.front_connections, &callers),
            ready: port("ready", sizes.ready_connections, &callers),
            metrics: port("metrics", sizes.metrics_connections, &callers),
            peers: port("peer", sizes.link_connections, &links),
            callers,
            links,
            turns,
            refusals,
        })
    }

    /// Sweeps, and gives connections their turns, until the process ends.
    pub async fn run(self: Rc<Self>) {
        futures_util::future::join(self.sweep_regularly(), self.turns.run()).await;
    }

    async fn sweep_regularly(&self) {
        let mut sweeps = interval(SWEEP_INTERVAL.duration());
        // A frozen process must not make up for the sweeps it has missed.
        sweeps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            sweeps.tick().await;
            self.callers.sweep();
            self.links.sweep();
            for port in [&self.front, &self.ready, &self.metrics, &self.peers] {
                port.sweep();
            }
            let gauge = |name, value| self.refusals.metrics.set_gauge(name, value);
            gauge("caller_bytes", self.callers.used());
            gauge("link_bytes", self.links.used());
            gauge("front_connections", self.front.connections.borrow().len());
        }
    }
}

#[cfg(test)]
mod tests;
