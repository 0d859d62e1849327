//! Coordination parts to embed: leases, claims, membership, feeds, journals and limits.

pub mod claims;
pub mod feed;
pub mod journal;

pub use claims::{Claim, ClaimKey, ClaimOutcome, Claims, RecordedOutcome};
pub use feed::{Accepted, Applied, Feed, Offered};
pub use journal::{Journal, Reader, Segment};
