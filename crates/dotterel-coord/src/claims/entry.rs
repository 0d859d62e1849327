//! Claim entries and their keys.

use dotterel_kernel::{CallerKey, Millis, RequestId, Service};
use dotterel_platform::Owner;
use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;

use super::outcome::RecordedOutcome;

/// Separates the service from the caller's key in the hash.
const SEPARATOR: [u8; 1] = [0];

/// The key of a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The service.
    pub service: Service,
    /// The idempotency key that the caller gave.
    pub key: CallerKey,
}

impl ClaimKey {
    /// Returns the hash that determines the shard.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.service.as_str().as_bytes());
        hash.update(&SEPARATOR);
        hash.update(self.key.as_str().as_bytes());
        hash.digest()
    }
}

/// A unique id by which a writer recognises its own write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub Uuid);

impl WriteId {
    /// Generates a new unique id.
    #[must_use]
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }
}

/// One claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: ClaimKey,
    /// The id of the claim.
    pub id: WriteId,
    /// The node that claimed it.
    pub owner: Owner,
    /// The request that holds the key.
    pub request: RequestId,
    /// Hash of the request body.
    pub digest: u64,
    /// When the key was claimed, by the owner's clock.
    pub claimed: Millis,
    /// When the window ends, by the owner's clock.
    pub expires: Millis,
    /// The state of the request.
    pub state: State,
}

/// The state of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The request may be waiting or running, or its node may have died.
    Claimed,
    /// The request ran and had this outcome.
    Done(RecordedOutcome),
}
