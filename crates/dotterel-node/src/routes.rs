//! The operator's configuration: queues, tenants and limits on requests.

use std::fmt;

use bytes::Bytes;
use compact_str::CompactString;
use dotterel_cell::{AdviceTerms, Policy, TenantTerms};
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

use crate::keys::KeyRing;

/// A queue, and the requests that are routed to it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// The queue's name.
    pub name: CompactString,
    /// The `Host` header of its requests.
    pub host: CompactString,
    /// The prefix of their paths.
    pub prefix: CompactString,
    /// The maximum time for a response.
    pub timeout: Millis,
    /// The policy for its jobs.
    pub policy: Policy,
    /// Set if its requests need no API key.
    pub is_public: bool,
    /// Set if its entry is malformed: its requests match no queue, also none with a shorter prefix.
    pub is_closed: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a body in bytes.
    pub max_body: usize,
    /// Maximum size of the headers in bytes, with the request line.
    pub max_head: usize,
    /// Timeout for the headers to arrive.
    pub header_timeout: Millis,
    /// How long a connection may be idle.
    pub idle_timeout: Millis,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_body: 256 * 1024,
            max_head: 16 * 1024,
            header_timeout: Millis::secs(3),
            idle_timeout: Millis::secs(15),
        }
    }
}

/// The bytes of a row that holds API keys.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecretBytes(pub Bytes);

impl fmt::Debug for SecretBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SecretBytes({})", self.0.len())
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// The version; a higher one replaces a lower one.
    pub version: u64,
    /// The queues, longest prefix first.
    pub routes: Vec<Route>,
    /// Limits on callers' requests.
    pub limits: RequestLimits,
    /// The tenants; those whose entry is malformed are left out.
    pub tenants: Vec<TenantTerms>,
    /// The API keys of the tenants.
    pub keys: KeyRing,
    /// Set if the configuration has a list of tenants, which may be empty or malformed.
    pub checks_keys: bool,
    /// The row that the configuration was decoded from.
    pub row: SecretBytes,
}

impl Configuration {
    /// Returns a configuration with its queues sorted into matching order.
    #[must_use]
    pub fn new(version: u64, mut routes: Vec<Route>, limits: RequestLimits) -> Self {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Self {
            version,
            routes,
            limits,
            ..Self::default()
        }
    }

    /// Finds the queue of a request: among the queues of its host, the one with the longest
    /// matching path prefix. `None` if that one is closed.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|b| b.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let mut routes = self.routes.iter();
        let found = routes.find(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.prefix)
        });
        found.filter(|route| !route.is_closed)
    }
}

/// Converts the platform's advice terms, in fractional milliseconds.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "both are clamped to a range that the types hold"
)]
pub fn advice_terms(base_ms: f64, each_ms: f64, valid_ms: f64) -> AdviceTerms {
    const MAX_MS: f64 = 3_600_000.0;
    AdviceTerms {
        base_cost: Millis(base_ms.clamp(0.0, MAX_MS).ceil() as u64),
        per_vm_us: (each_ms.clamp(0.0, 1000.0) * 1000.0) as u32,
        ticket_ttl: Millis(valid_ms.clamp(0.0, MAX_MS) as u64),
    }
}
