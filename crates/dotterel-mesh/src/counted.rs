//! What the mesh counts.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use quinn::Connection;

use crate::endpoint::Counters;

/// The counters behind [`Counters`].
#[derive(Debug, Default)]
pub(crate) struct Counted {
    refused: AtomicU64,
    lost: AtomicU64,
    bytes: Mutex<Bytes>,
}

/// Bytes of all connections.
#[derive(Debug, Default)]
struct Bytes {
    open: Vec<Connection>,
    /// Sent on connections that are closed.
    sent: u64,
    /// Received on connections that are closed.
    received: u64,
}

/// Counts the bytes of a connection until it is dropped.
pub(crate) struct Metered {
    connection: Connection,
    counted: Arc<Counted>,
}

impl Counted {
    pub(crate) fn refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn lost(&self) {
        self.lost.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the bytes of a connection while the returned guard lives.
    pub(crate) fn meter(self: &Arc<Self>, connection: &Connection) -> Metered {
        self.bytes().open.push(connection.clone());
        Metered {
            connection: connection.clone(),
            counted: self.clone(),
        }
    }

    pub(crate) fn counters(&self) -> Counters {
        let bytes = self.bytes();
        let mut counters = Counters {
            refused_peers: self.refused.load(Ordering::Relaxed),
            lost_links: self.lost.load(Ordering::Relaxed),
            bytes_sent: bytes.sent,
            bytes_received: bytes.received,
        };
        for connection in &bytes.open {
            let stats = connection.stats();
            counters.bytes_sent += stats.udp_tx.bytes;
            counters.bytes_received += stats.udp_rx.bytes;
        }
        counters
    }

    fn bytes(&self) -> MutexGuard<'_, Bytes> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Metered {
    fn drop(&mut self) {
        let stats = self.connection.stats();
        let id = self.connection.stable_id();
        let mut bytes = self.counted.bytes();
        bytes.open.retain(|open| open.stable_id() != id);
        bytes.sent += stats.udp_tx.bytes;
        bytes.received += stats.udp_rx.bytes;
    }
}
