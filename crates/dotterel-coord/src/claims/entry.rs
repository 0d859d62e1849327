//! The entry of one claimed key.

use dotterel_kernel::{CallerKey, Millis, RequestId, Service};
use dotterel_platform::Owner;
use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::Xxh3;

use super::outcome::RecordedOutcome;

/// Separates the service from the caller's key in the hash.
const SEPARATOR: [u8; 1] = [0];

/// What a claim is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The service.
    pub service: Service,
    /// The idempotency key that the caller gave.
    pub key: CallerKey,
}

impl ClaimKey {
    /// Returns the hash that chooses the shard.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.service.as_str().as_bytes());
        hash.update(&SEPARATOR);
        hash.update(self.key.as_str().as_bytes());
        hash.digest()
    }
}

/// The mark by which a writer recognises its own write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(pub Uuid);

impl WriteId {
    /// Mints a mark that no other write carries.
    #[must_use]
    pub fn mint() -> Self {
        Self(Uuid::now_v7())
    }
}

/// One claimed key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: ClaimKey,
    /// The mark of the claim.
    pub id: WriteId,
    /// The node that claimed it.
    pub owner: Owner,
    /// The request that may run.
    pub request: RequestId,
    /// Hash of its body.
    pub digest: u64,
    /// When it was claimed, by the owner's clock.
    pub claimed: Millis,
    /// When its window ends, by the owner's clock.
    pub expires: Millis,
    /// What became of it.
    pub state: State,
}

/// What became of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It may be waiting, running or lost with its node.
    Claimed,
    /// It ran, and this is what it answered.
    Done(RecordedOutcome),
}
