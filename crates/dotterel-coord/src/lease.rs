//! The worker lease, seen from its holder.
//!
//! A lease is sought, held, and then lapsed or released; each state is a type. The VM is the
//! arbiter: it refuses every start under an epoch that is not its newest or has lapsed by its own
//! clock. The holder's side adds that nothing is sent in vain, and that a holder which was paused
//! trusts nothing it held until the VM has answered again.
//!
//! The holder counts the time to live from the moment before its call was sent, so its idea of
//! the end comes before the VM's, and takes a margin off for clocks that run at different speeds.

mod permit;
mod terms;

use dotterel_kernel::{Clock, Epoch, Millis, NodeId};
use dotterel_platform::{
    Acquire, CallError, Grant, Granted, LeaseAnswer, Owner, Renew, Renewed, Upstream,
};

pub use self::permit::Permit;
pub use self::terms::{RawTerms, Terms, TermsError};
use crate::keeper::RenewalBatch;

/// The state of a lease that is not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotHeld;

/// The state of a lease that the VM has granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    epoch: Epoch,
    until: Millis,
    leaving: bool,
}

/// The state of a lease that has run out or was superseded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expired {
    epoch: Epoch,
}

/// The state of a lease that was given back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Released {
    epoch: Epoch,
}

/// One owner's lease on one VM, in state `S`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub struct WorkerLease<S> {
    owner: Owner,
    terms: Terms,
    state: S,
}

/// The outcome of asking for a lease.
#[derive(Clone, Debug)]
pub enum AcquireOutcome {
    /// The VM granted it; the grant lists what runs there and counts against the capacity.
    Held(WorkerLease<Held>, Grant),
    /// Another owner holds it or is to inherit it.
    Busy {
        /// The lease, still sought.
        lease: WorkerLease<NotHeld>,
        /// Who holds it or is to inherit it.
        by: Owner,
        /// How long it still lasts.
        left: Millis,
    },
    /// No answer came; the VM may have granted the lease, which then lapses unused.
    Failed(WorkerLease<NotHeld>, CallError),
}

/// The outcome of renewing a lease.
#[derive(Clone, Debug)]
pub enum RenewOutcome {
    /// The VM renewed it.
    Held(WorkerLease<Held>, Granted),
    /// The VM has ended it.
    Lost(WorkerLease<Expired>),
    /// No answer came; the lease lasts as long as it did before.
    Failed(WorkerLease<Held>, CallError),
}

impl<S> WorkerLease<S> {
    fn with<T>(self, state: T) -> WorkerLease<T> {
        WorkerLease {
            owner: self.owner,
            terms: self.terms,
            state,
        }
    }

    /// Returns who holds or seeks the lease.
    #[must_use]
    pub const fn owner(&self) -> &Owner {
        &self.owner
    }
}

impl WorkerLease<NotHeld> {
    /// Returns a lease that is not held yet.
    pub const fn new(owner: Owner, terms: Terms) -> Self {
        Self {
            owner,
            terms,
            state: NotHeld,
        }
    }

    /// Asks the VM for the lease.
    pub async fn acquire(self, upstream: &dyn Upstream, clock: &Clock) -> AcquireOutcome {
        let ask = Acquire {
            owner: self.owner.clone(),
            ttl: self.terms.ttl,
        };
        let sent = clock.now();
        match with_timeout(self.terms.call_timeout, upstream.acquire(&ask)).await {
            Ok(LeaseAnswer::Granted(grant)) => {
                let held = Held {
                    epoch: grant.epoch,
                    until: self.terms.end(sent, grant.ttl),
                    leaving: grant.leaving,
                };
                AcquireOutcome::Held(self.with(held), grant)
            }
            Ok(LeaseAnswer::Held { by, left }) => AcquireOutcome::Busy {
                lease: self,
                by,
                left,
            },
            Err(error) => AcquireOutcome::Failed(self, error),
        }
    }
}

impl WorkerLease<Held> {
    /// Returns the right to start tasks, or none while the lease may have lapsed or the VM leaves.
    ///
    /// This is the only source of a [`Permit`].
    #[must_use]
    pub fn permit(&self, now: Millis) -> Option<Permit> {
        let Held {
            epoch,
            until,
            leaving,
        } = self.state;
        (now < until && !leaving).then(|| Permit::new(epoch, until))
    }

    /// Returns when the lease ends unless it is renewed.
    #[must_use]
    pub const fn until(&self) -> Millis {
        self.state.until
    }

    /// Returns the fencing number.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.state.epoch
    }

    /// Renews the lease and, in the same call, the leases of tasks.
    pub async fn renew(
        self,
        upstream: &dyn Upstream,
        clock: &Clock,
        batch: RenewalBatch,
    ) -> RenewOutcome {
        let renewal = Renew {
            epoch: self.state.epoch,
            ttl: self.terms.ttl,
            tasks: batch.renew,
            task_ttl: self.terms.task_ttl,
            forget: batch.forget,
        };
        let sent = clock.now();
        match with_timeout(self.terms.call_timeout, upstream.renew(&renewal)).await {
            Ok(Renewed::Done(granted)) => {
                let held = Held {
                    epoch: self.state.epoch,
                    until: self.terms.end(sent, self.terms.ttl),
                    leaving: self.state.leaving || granted.leaving,
                };
                RenewOutcome::Held(self.with(held), granted)
            }
            Ok(Renewed::Lost { .. }) => RenewOutcome::Lost(self.expire()),
            Err(error) => RenewOutcome::Failed(self, error),
        }
    }

    /// Gives the lease up without telling the VM.
    pub fn expire(self) -> WorkerLease<Expired> {
        let epoch = self.state.epoch;
        self.with(Expired { epoch })
    }

    /// Gives the lease back, to an heir if one is named.
    ///
    /// The lease is over for this owner, whatever became of the call.
    ///
    /// # Errors
    ///
    /// The VM may not know yet that the lease is over; then it lapses.
    pub async fn release(
        self,
        upstream: &dyn Upstream,
        heir: Option<&NodeId>,
    ) -> (WorkerLease<Released>, Result<(), CallError>) {
        let epoch = self.state.epoch;
        let told = with_timeout(self.terms.call_timeout, upstream.release(epoch, heir)).await;
        (self.with(Released { epoch }), told)
    }
}

impl WorkerLease<Expired> {
    /// Returns the epoch that is over.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.state.epoch
    }

    /// Seeks the lease again.
    pub fn reset(self) -> WorkerLease<NotHeld> {
        self.with(NotHeld)
    }
}

impl WorkerLease<Released> {
    /// Returns the epoch that was given back.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.state.epoch
    }
}

/// Runs a call, and counts one that takes longer than `limit` as one of unknown outcome.
pub(crate) async fn with_timeout<T>(
    limit: Millis,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    tokio::time::timeout(limit.duration(), call)
        .await
        .unwrap_or_else(|_| Err(CallError::Unknown("timeout".into())))
}
