//! Coordination parts to embed: leases, claims, membership, feeds, journals and limits.
