//! The holder's side of a worker lease.
//!
//! Each state of a lease is a type: [`NotHeld`], [`Held`], [`Expired`] and [`Released`]. The VM
//! enforces the lease: it refuses every start whose epoch isn't the newest or has expired by the
//! VM's clock. The holder tracks the expiry as well, so that it sends no starts that the VM would
//! refuse, and so that a node which was paused starts nothing until the VM has renewed the lease.
//!
//! The holder counts the TTL from before it sends its call and subtracts a margin for clock drift,
//! so the lease expires for the holder before it expires for the VM.

mod permit;
mod terms;

use dotterel_kernel::{Clock, Epoch, Millis, NodeId};
use dotterel_platform::{
    AcquireRequest, AcquireResponse, CallError, Grant, Owner, RenewRequest, RenewResponse,
    Upstream, VmReport,
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

/// The state of a lease that has expired or was superseded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expired {
    epoch: Epoch,
}

/// The state of a lease that the holder has released.
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

/// The outcome of a request for a lease.
#[derive(Clone, Debug)]
pub enum AcquireOutcome {
    /// The VM granted it; the running tasks in the grant count against the capacity.
    Held(WorkerLease<Held>, Grant),
    /// Another owner holds the lease, or it is reserved for that owner.
    Busy {
        /// The lease, still not held.
        lease: WorkerLease<NotHeld>,
        /// The other owner.
        by: Owner,
        /// The time until the lease or the reservation expires.
        left: Millis,
    },
    /// The call failed; if the VM granted the lease nevertheless, it expires unused.
    Failed(WorkerLease<NotHeld>, CallError),
}

/// The outcome of renewing a lease.
#[derive(Clone, Debug)]
pub enum RenewOutcome {
    /// The VM renewed it.
    Held(WorkerLease<Held>, VmReport),
    /// The VM no longer accepts the epoch.
    Lost(WorkerLease<Expired>),
    /// The call failed; the expiry is unchanged.
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

    /// Returns the node that holds or requests the lease.
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

    /// Requests the lease from the VM.
    pub async fn acquire(self, upstream: &dyn Upstream, clock: &Clock) -> AcquireOutcome {
        let request = AcquireRequest {
            owner: self.owner.clone(),
            ttl: self.terms.ttl,
        };
        let sent = clock.now();
        match with_timeout(self.terms.call_timeout, upstream.acquire(&request)).await {
            Ok(AcquireResponse::Granted(grant)) => {
                let held = Held {
                    epoch: grant.epoch,
                    until: self.terms.expiry(sent, grant.ttl),
                    leaving: grant.leaving,
                };
                AcquireOutcome::Held(self.with(held), grant)
            }
            Ok(AcquireResponse::Held { by, left }) => AcquireOutcome::Busy {
                lease: self,
                by,
                left,
            },
            Err(err) => AcquireOutcome::Failed(self, err),
        }
    }
}

impl WorkerLease<Held> {
    /// Returns a permit to start tasks, or `None` if the lease may have expired or the VM is
    /// leaving.
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

    /// Returns when the lease expires unless it is renewed.
    #[must_use]
    pub const fn until(&self) -> Millis {
        self.state.until
    }

    /// Returns the fencing token.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.state.epoch
    }

    /// Renews the lease and, in the same call, the task leases of the batch.
    pub async fn renew(
        self,
        upstream: &dyn Upstream,
        clock: &Clock,
        batch: RenewalBatch,
    ) -> RenewOutcome {
        let renewal = RenewRequest {
            epoch: self.state.epoch,
            ttl: self.terms.ttl,
            tasks: batch.renew,
            task_ttl: self.terms.task_ttl,
            forget: batch.forget,
        };
        let sent = clock.now();
        match with_timeout(self.terms.call_timeout, upstream.renew(&renewal)).await {
            Ok(RenewResponse::Done(granted)) => {
                let held = Held {
                    epoch: self.state.epoch,
                    until: self.terms.expiry(sent, self.terms.ttl),
                    leaving: self.state.leaving || granted.leaving,
                };
                RenewOutcome::Held(self.with(held), granted)
            }
            Ok(RenewResponse::Lost { .. }) => RenewOutcome::Lost(self.expire()),
            Err(err) => RenewOutcome::Failed(self, err),
        }
    }

    /// Drops the lease without a call to the VM.
    pub fn expire(self) -> WorkerLease<Expired> {
        let epoch = self.state.epoch;
        self.with(Expired { epoch })
    }

    /// Releases the lease, to `successor` if given.
    ///
    /// The lease is over for this owner, whether or not the call succeeds.
    ///
    /// # Errors
    ///
    /// The release may not have reached the VM; the lease then expires there.
    pub async fn release(
        self,
        upstream: &dyn Upstream,
        successor: Option<&NodeId>,
    ) -> (WorkerLease<Released>, Result<(), CallError>) {
        let epoch = self.state.epoch;
        let result =
            with_timeout(self.terms.call_timeout, upstream.release(epoch, successor)).await;
        (self.with(Released { epoch }), result)
    }
}

impl WorkerLease<Expired> {
    /// Returns the epoch of the expired lease.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.state.epoch
    }

    /// Returns the lease in the state [`NotHeld`], so that it can be acquired again.
    pub fn reset(self) -> WorkerLease<NotHeld> {
        self.with(NotHeld)
    }
}

impl WorkerLease<Released> {
    /// Returns the epoch of the released lease.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.state.epoch
    }
}

/// Runs a call, and returns [`CallError::Unknown`] if it takes longer than `timeout`.
pub(crate) async fn with_timeout<T>(
    timeout: Millis,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    tokio::time::timeout(timeout.duration(), call)
        .await
        .unwrap_or_else(|_| Err(CallError::Unknown("timeout".into())))
}
