//! Embeddable coordination components: leases, claims, membership, feeds, journals, jobs, limits.

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
pub use feed::{ActiveDocument, ApplyOutcome, Feed, OfferOutcome};
pub use jobs::Jobs;
pub use journal::{Journal, Reader, Segment};
pub use keeper::{LeaseHandler, LeaseIntent, LeaseKeeper, RenewalBatch};
pub use lease::{
    AcquireOutcome, Expired, Held, NotHeld, Permit, RawTerms, Released, RenewOutcome, Terms,
    TermsError, WorkerLease,
};
pub use limit::{AdaptiveLimit, CallOutcome, EjectionState, Health, OutlierDetector};
pub use membership::{
    Heartbeat, HeartbeatOutcome, LeavingVms, Member, Members, poll_vm_list, rendezvous,
};
pub use retry::RetryBudget;
