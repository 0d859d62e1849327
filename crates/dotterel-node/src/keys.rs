//! API keys of the tenants, as hashes.

use std::fmt;
use std::sync::OnceLock;

use compact_str::CompactString;
use siphasher::sip128::SipHasher24;

/// The API keys of a configuration, and whose they are.
///
/// Only keyed hashes are kept, so the ring can't reveal a key, and the duration of a search depends on
/// nothing that a caller knows.
#[derive(Clone, Default, PartialEq)]
pub struct KeyRing {
    /// Hashes of the keys with their tenants, sorted by hash.
    entries: Vec<(u128, CompactString)>,
}

impl KeyRing {
    /// Returns a ring with the given keys and tenants. An empty key is left out; a key of several tenants
    /// belongs to the first of them.
    #[must_use]
    pub fn new<'a>(keys: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let keys = keys.into_iter().filter(|(key, _)| !key.is_empty());
        let mut entries: Vec<_> = keys
            .map(|(key, tenant)| (hash(key.as_bytes()), CompactString::new(tenant)))
            .collect();
        // The sort is stable, so the first tenant of a key comes first.
        entries.sort_by_key(|(hash, _)| *hash);
        entries.dedup_by_key(|(hash, _)| *hash);
        Self { entries }
    }

    /// Returns the tenant that a key belongs to.
    #[must_use]
    pub fn tenant(&self, key: &[u8]) -> Option<&str> {
        let hash = hash(key);
        let at = self.entries.binary_search_by_key(&hash, |(hash, _)| *hash);
        at.ok().map(|at| self.entries[at].1.as_str())
    }

    /// Returns the number of keys.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns true if there are no keys.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyRing")
            .field("keys", &self.entries.len())
            .finish()
    }
}

/// Keyed hash of one API key, to compare the keys of two configurations. The hash is valid in this process.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct KeyHash(u128);

impl KeyHash {
    /// Hashes a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(hash(key.as_bytes()))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash")
    }
}

fn hash(key: &[u8]) -> u128 {
    static PROCESS_KEY: OnceLock<[u8; 16]> = OnceLock::new();
    let process_key = PROCESS_KEY.get_or_init(rand::random);
    SipHasher24::new_with_key(process_key).hash(key).as_u128()
}
