//! Coordination parts to embed: leases, claims, membership, feeds, journals and limits.

pub mod claims;
pub mod dispatch;
pub mod feed;
pub mod jobs;
pub mod journal;
pub mod keeper;
pub mod lease;
pub mod limit;
pub mod membership;
pub mod retry;

pub use claims::{Claim, ClaimKey, ClaimOutcome, Claims, RecordedOutcome};
pub use dispatch::{
    DispatchOutcome, DispatchTimeouts, LaunchStatus, NotRun, dispatch, halt, launch, settle,
};
pub use feed::{Accepted, Applied, Feed, Offered};
pub use jobs::Jobs;
pub use journal::{Journal, Reader, Segment};
pub use keeper::{LeaseHandler, LeaseIntent, LeaseKeeper, RenewalBatch};
pub use lease::{
    AcquireOutcome, Expired, Held, NotHeld, Permit, RawTerms, Released, RenewOutcome, Terms,
    TermsError, WorkerLease,
};
pub use limit::{AdaptiveLimit, CallOutcome, EjectionState, Health, OutlierDetector};
pub use membership::{Heard, Heartbeat, Leaving, Member, Members, follow, rendezvous};
pub use retry::RetryBudget;
