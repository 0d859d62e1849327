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
pub use dispatch::{Dispatched, Launched, Limits, NotRun, dispatch, halt, launch, settle};
pub use feed::{ActiveDocument, ApplyOutcome, Feed, OfferOutcome};
pub use jobs::Jobs;
pub use journal::{Journal, Reader, Segment};
pub use keeper::{Batch, Holder, Keeper, Wish};
pub use lease::{
    Held, Lapsed, Permit, RawTerms, Released, Renewal, Seeking, Sought, Terms, TermsError,
    WorkerLease,
};
pub use limit::{Adaptive, Health, Outcome, SetAside, Standing};
pub use membership::{
    Heartbeat, HeartbeatOutcome, LeavingVms, Member, Members, poll_vm_list, rendezvous,
};
pub use retry::Budget;
