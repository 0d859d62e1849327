//! Changes to a shard, which nodes forward to each other.

use async_trait::async_trait;
use dotterel_kernel::{Millis, NodeId, RequestId};
use dotterel_platform::CallError;
use serde::{Deserialize, Serialize};

use super::entry::{ClaimKey, Entry, WriteId};
use super::outcome::RecordedOutcome;

/// An idempotent change to a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Claims a key.
    Claim {
        /// The entry to write.
        entry: Entry,
        /// How long the claimant will still wait.
        max_wait: Millis,
    },
    /// Records the outcome of a claimed request.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The id of the claim.
        id: WriteId,
        /// The outcome.
        outcome: RecordedOutcome,
    },
    /// Withdraws a claim, which frees its key.
    Withdraw {
        /// The entry as claimed.
        entry: Entry,
        /// Whether to leave a tombstone that prevents a later write of the claim.
        tombstone: bool,
    },
}

impl Change {
    /// Returns the key that the change concerns.
    #[must_use]
    pub const fn key(&self) -> &ClaimKey {
        match self {
            Self::Claim { entry, .. } | Self::Withdraw { entry, .. } => &entry.key,
            Self::Settle { key, .. } => key,
        }
    }
}

/// The outcome of a [`Change`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeOutcome {
    /// The claim is durable.
    Won,
    /// Another request holds the key.
    Repeat(Entry),
    /// Another request, with a different body, holds the key.
    Mismatch(RequestId),
    /// The outcome or the withdrawal is durable.
    Written,
    /// The change is not known to be durable.
    Unavailable,
}

/// Finds each shard's usual writer and forwards changes to it.
#[async_trait]
pub trait Peers: Send + Sync {
    /// Returns the node that usually writes a shard, or `None` if it is this node.
    fn writer(&self, shard: u32) -> Option<NodeId>;

    /// Sends a change to [`Claims::serve`](super::Claims::serve) on another node.
    ///
    /// # Errors
    ///
    /// After any error the change may still take effect.
    async fn forward(&self, to: &NodeId, change: &Change) -> Result<ChangeOutcome, CallError>;
}
