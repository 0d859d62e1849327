//! Changes of a shard, as nodes forward them to each other.

use async_trait::async_trait;
use dotterel_kernel::{Millis, NodeId, RequestId};
use dotterel_platform::CallError;
use serde::{Deserialize, Serialize};

use super::entry::{ClaimKey, Entry, WriteId};
use super::outcome::RecordedOutcome;

/// A change of a shard; making it twice is the same as making it once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Claims a key.
    Claim {
        /// The entry to write.
        entry: Entry,
        /// How long the claimant still waits.
        max_wait: Millis,
    },
    /// Records the outcome of a claimed request.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The mark of the claim.
        id: WriteId,
        /// The outcome.
        outcome: RecordedOutcome,
    },
    /// Gives a key back.
    Withdraw {
        /// The entry as claimed.
        entry: Entry,
        /// Whether to leave a mark that bars the claim from being written later.
        tombstone: bool,
    },
}

impl Change {
    /// Returns the key that the change is about.
    #[must_use]
    pub const fn key(&self) -> &ClaimKey {
        match self {
            Self::Claim { entry, .. } | Self::Withdraw { entry, .. } => &entry.key,
            Self::Settle { key, .. } => key,
        }
    }
}

/// The answer to a [`Change`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The claim is durable.
    Won,
    /// Another request holds the key.
    Repeat(Entry),
    /// Another request with another body holds the key.
    Mismatch(RequestId),
    /// The outcome or the withdrawal is durable.
    Written,
    /// The change is not known to be durable.
    Unavailable,
}

/// The way to the nodes that usually write the shards.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Returns the node that usually writes a shard; none for this node.
    fn writer(&self, shard: u32) -> Option<NodeId>;

    /// Passes a change to [`Claims::serve`](super::Claims::serve) of another node.
    ///
    /// # Errors
    ///
    /// After any error the change may yet be made.
    async fn forward(&self, to: &NodeId, change: &Change) -> Result<ChangeOutcome, CallError>;
}
