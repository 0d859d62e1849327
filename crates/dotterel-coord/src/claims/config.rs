//! Limits and rhythm of the claims.

use dotterel_kernel::Millis;

/// Limits and rhythm of the claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of shards; the same on all nodes, never changed while entries live.
    pub shards: u32,
    /// The most changes in one write.
    pub batch: usize,
    /// The shortest time between two writes of a shard by this node.
    pub pace: Millis,
    /// The pause after a call that failed.
    pub backoff: Millis,
    /// The longest that a call to the table may take before its outcome counts as unknown.
    pub call: Millis,
    /// The longest wait for a peer that was forwarded a change.
    pub patience: Millis,
    /// The most changes that wait for a shard's commits on this node.
    pub queue: usize,
    /// The most entries in a shard's row before they are moved to a page; fewer while it has few
    /// pages.
    pub entries: usize,
    /// The most pages of a shard.
    pub pages: usize,
    /// The largest body that is recorded within an entry, in bytes.
    pub body: usize,
    /// The shortest window that is accepted.
    pub window: Millis,
    /// How long a claim that was withdrawn is kept from being written by a peer.
    pub bar: Millis,
    /// By how much the wall clocks of two nodes may differ.
    pub skew: Millis,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            shards: 16,
            batch: 256,
            pace: Millis(100),
            backoff: Millis(50),
            call: Millis(1000),
            patience: Millis(500),
            queue: 1024,
            entries: 128,
            pages: 4096,
            body: 512,
            window: Millis::secs(600),
            bar: Millis::secs(120),
            skew: Millis::secs(30),
        }
    }
}
