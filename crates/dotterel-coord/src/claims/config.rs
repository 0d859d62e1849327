//! Limits and timeouts of the claims.

use dotterel_kernel::Millis;

/// Limits and timeouts of the claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of shards; must be equal on all nodes and must not change while entries exist.
    pub shards: u32,
    /// The maximum number of changes in one write.
    pub max_batch: usize,
    /// The minimum time between two writes of a shard by this node.
    pub write_interval: Millis,
    /// The delay before retrying after a failed call.
    pub backoff: Millis,
    /// The time after which a call to the table is abandoned and its outcome treated as unknown.
    pub call_timeout: Millis,
    /// The maximum time to wait for a peer to reply to a forwarded change.
    pub peer_timeout: Millis,
    /// The maximum number of uncommitted changes per shard on this node.
    pub max_queued: usize,
    /// The maximum number of entries in a shard's row before they are moved to a page; a row with
    /// few pages holds fewer.
    pub row_entries: usize,
    /// The maximum number of pages of a shard.
    pub max_pages: usize,
    /// The largest body stored inside an entry, in bytes.
    pub inline_body: usize,
    /// The minimum window; shorter ones are raised to it.
    pub min_window: Millis,
    /// How long the tombstone of a withdrawn claim prevents a peer from writing it.
    pub tombstone_ttl: Millis,
    /// The maximum difference between the wall clocks of two nodes.
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
