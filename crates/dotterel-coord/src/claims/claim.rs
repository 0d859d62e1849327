//! What a claimant asks for and gets.

use dotterel_kernel::{Millis, RequestId};

use super::change::{Change, ChangeOutcome};
use super::entry::{ClaimKey, Entry};

/// A request to claim a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key.
    pub key: ClaimKey,
    /// Hash of the request body; a repeat must bring the same one.
    pub digest: u64,
    /// The request that would run.
    pub request: RequestId,
    /// How long the key is remembered.
    pub window: Millis,
    /// Until when the claim must be durable.
    pub deadline: Millis,
}

/// The answer to [`Claims::claim`](super::Claims::claim).
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim is durable: this request alone may be dispatched.
    Won(Claim),
    /// Another request holds the key.
    Repeat(Entry),
    /// Another request with another body holds the key.
    Mismatch(RequestId),
    /// The claim did not become durable in time; this request must not be dispatched.
    ///
    /// This says nothing of earlier requests with the same key.
    Unavailable,
}

impl ClaimOutcome {
    /// Returns the outcome of a claim that was not won.
    pub(super) fn lost(verdict: ChangeOutcome) -> Self {
        match verdict {
            ChangeOutcome::Repeat(entry) => Self::Repeat(entry),
            ChangeOutcome::Mismatch(request) => Self::Mismatch(request),
            ChangeOutcome::Won | ChangeOutcome::Written | ChangeOutcome::Unavailable => {
                Self::Unavailable
            }
        }
    }
}

/// Whether a change of a claim is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// It is.
    Durable,
    /// It is not known to be; the node keeps trying in the background while it lives.
    Pending,
}

/// A durable claim.
///
/// Dropping a claim changes nothing: the key stays claimed until its window ends, because the
/// request may have been dispatched.
#[derive(Debug)]
#[must_use = "a claim that is neither settled nor released blocks its key"]
pub struct Claim {
    entry: Entry,
    /// Whether a peer may still try to write the entry.
    forwarded: bool,
}

impl Claim {
    pub(super) const fn new(entry: Entry, forwarded: bool) -> Self {
        Self { entry, forwarded }
    }

    /// Returns the change that gives the key back.
    pub(super) fn into_withdrawal(self) -> Change {
        Change::Withdraw {
            entry: self.entry,
            tombstone: self.forwarded,
        }
    }

    /// Returns the entry as written.
    #[must_use]
    pub const fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Returns true while the request may be dispatched.
    ///
    /// A holder that was paused past the window must not dispatch, because the key may have been
    /// claimed again.
    #[must_use]
    pub fn is_dispatchable(&self, now: Millis) -> bool {
        now < self.entry.expires
    }
}
