//! Limits and rhythm of the claims.

use dotterel_kernel::Millis;

/// Limits and rhythm of the claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of shards; the same on all nodes, never changed while entries live.
    pub shards: u32,
    /// The most changes in one write.
    pub max_batch: usize,
    /// The shortest time between two writes of a shard by this node.
    pub write_interval: Millis,
    /// The pause after a call that failed.
    pub backoff: Millis,
    /// The longest that a call to the table may take before its outcome counts as unknown.
    pub call_timeout: Millis,
    /// The longest wait for a peer that was forwarded a change.
    pub peer_timeout: Millis,
    /// The most changes that wait for a shard's commits on this node.
    pub max_queued: usize,
    /// The most entries in a shard's row before they are moved to a page; fewer while it has few
    /// pages.
    pub row_entries: usize,
    /// The most pages of a shard.
    pub max_pages: usize,
    /// The largest body that is recorded within an entry, in bytes.
    pub inline_body: usize,
    /// The shortest window that is accepted.
    pub min_window: Millis,
    /// How long a claim that was withdrawn is kept from being written by a peer.
    pub tombstone_ttl: Millis,
    /// By how much the wall clocks of two nodes may differ.
    pub max_skew: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            shards: 16,
            max_batch: 256,
            write_interval: Millis(100),
            backoff: Millis(50),
            call_timeout: Millis(1000),
            peer_timeout: Millis(500),
            max_queued: 1024,
            row_entries: 128,
            max_pages: 4096,
            inline_body: 512,
            min_window: Millis::secs(600),
            tombstone_ttl: Millis::secs(120),
            max_skew: Millis::secs(30),
        }
    }
}
