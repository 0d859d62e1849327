//! Counters of connections and bytes.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use quinn::Connection;

use crate::endpoint::Counters;

/// The live counters, read as a [`Counters`] snapshot.
#[derive(Debug, Default)]
pub(crate) struct MeshMetrics {
    refused_peers: AtomicU64,
    lost_links: AtomicU64,
    bytes: Mutex<ByteCounts>,
}

/// The bytes of all connections.
#[derive(Debug, Default)]
struct ByteCounts {
    open: Vec<Connection>,
    /// Bytes sent on closed connections.
    closed_sent: u64,
    /// Bytes received on closed connections.
    closed_received: u64,
}

/// Adds the bytes of a connection to the counters of closed connections when dropped.
pub(crate) struct ConnectionMeter {
    connection: Connection,
    metrics: Arc<MeshMetrics>,
}

impl MeshMetrics {
    pub(crate) fn record_refused_peer(&self) {
        self.refused_peers.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_lost_link(&self) {
        self.lost_links.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the bytes of a connection until the returned guard is dropped.
    pub(crate) fn meter(self: &Arc<Self>, connection: &Connection) -> ConnectionMeter {
        self.lock_bytes().open.push(connection.clone());
        ConnectionMeter {
            connection: connection.clone(),
            metrics: self.clone(),
        }
    }

    pub(crate) fn snapshot(&self) -> Counters {
        let bytes = self.lock_bytes();
        let mut counters = Counters {
            refused_peers: self.refused_peers.load(Ordering::Relaxed),
            lost_links: self.lost_links.load(Ordering::Relaxed),
            bytes_sent: bytes.closed_sent,
            bytes_received: bytes.closed_received,
        };
        for connection in &bytes.open {
            let stats = connection.stats();
            counters.bytes_sent += stats.udp_tx.bytes;
            counters.bytes_received += stats.udp_rx.bytes;
        }
        counters
    }

    fn lock_bytes(&self) -> MutexGuard<'_, ByteCounts> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for ConnectionMeter {
    fn drop(&mut self) {
        let stats = self.connection.stats();
        let id = self.connection.stable_id();
        let mut bytes = self.metrics.lock_bytes();
        bytes.open.retain(|open| open.stable_id() != id);
        bytes.closed_sent += stats.udp_tx.bytes;
        bytes.closed_received += stats.udp_rx.bytes;
    }
}
