//! Claim requests, their outcomes and durable claims.

use dotterel_kernel::{Millis, RequestId};

use super::change::{Change, ChangeOutcome};
use super::entry::{ClaimKey, Entry};

/// A request to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key.
    pub key: ClaimKey,
    /// Hash of the request body; a repeated request must have the same one.
    pub digest: u64,
    /// The request to run if the claim is won.
    pub request: RequestId,
    /// How long the key stays claimed.
    pub window: Millis,
    /// The time by which the claim must be durable.
    pub deadline: Millis,
}

/// The outcome of [`Claims::claim`](super::Claims::claim).
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim is durable; only this request may be dispatched.
    Won(Claim),
    /// Another request holds the key.
    Repeat(Entry),
    /// Another request, with a different body, holds the key.
    Mismatch(RequestId),
    /// The claim did not become durable in time; this request must not be dispatched.
    ///
    /// This implies nothing about earlier requests with the same key.
    Unavailable,
}

impl ClaimOutcome {
    /// Converts the change outcome of a claim that was not won.
    pub(super) fn not_won(outcome: ChangeOutcome) -> Self {
        match outcome {
            ChangeOutcome::Repeat(entry) => Self::Repeat(entry),
            ChangeOutcome::Mismatch(request) => Self::Mismatch(request),
            ChangeOutcome::Won | ChangeOutcome::Written | ChangeOutcome::Unavailable => {
                Self::Unavailable
            }
        }
    }
}

/// Whether a change to a claim is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// The change is durable.
    Durable,
    /// The change is not known to be durable; the node retries in the background until it stops.
    Pending,
}

/// A durable claim.
///
/// Dropping a claim does not release its key, because the request may have been dispatched: the key
/// stays claimed until its window ends.
#[derive(Debug)]
#[must_use = "a claim that is neither settled nor released blocks its key"]
pub struct Claim {
    entry: Entry,
    /// Whether a peer may still write the entry.
    forwarded: bool,
}

impl Claim {
    pub(super) const fn new(entry: Entry, forwarded: bool) -> Self {
        Self { entry, forwarded }
    }

    /// Returns the change that withdraws the claim.
    pub(super) fn into_withdrawal(self) -> Change {
        Change::Withdraw {
            entry: self.entry,
            tombstone: self.forwarded,
        }
    }

    /// Returns the entry in the table.
    #[must_use]
    pub const fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Returns true while the request may be dispatched.
    ///
    /// A holder that was paused until after the window must not dispatch, because another request
    /// may have claimed the key since.
    #[must_use]
    pub fn is_dispatchable(&self, now: Millis) -> bool {
        now < self.entry.expires
    }
}
