//! Who a caller is, by its API key.

use compact_str::CompactString;
use http::{HeaderMap, header};

use crate::link::Request;
use crate::routes::{Configuration, Route};

/// Whose requests a caller may make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Access {
    /// The configuration has no tenants, so keys aren't checked.
    Unchecked,
    /// Those of this tenant; the name is empty for a caller without a key.
    Tenant(CompactString),
    /// None: the route needs a key, and there is none or it is unknown.
    Denied,
}

impl Access {
    /// Identifies the caller of a request to a route.
    pub(super) fn of(config: &Configuration, route: &Route, headers: &HeaderMap) -> Self {
        if !config.checks_keys {
            return Self::Unchecked;
        }
        let tenant = bearer_key(headers).and_then(|key| config.keys.tenant(key));
        match tenant {
            Some(tenant) => Self::Tenant(tenant.into()),
            None if route.is_public => Self::Tenant(CompactString::default()),
            None => Self::Denied,
        }
    }

    /// Returns true if the caller may see a job of `owner`, which is empty for a job without a tenant.
    pub(super) fn allows(&self, owner: &str) -> bool {
        match self {
            Self::Unchecked => true,
            Self::Tenant(tenant) => owner.is_empty() || owner == tenant,
            Self::Denied => false,
        }
    }

    /// Returns a request to the scheduler on behalf of the caller.
    pub(super) fn request(&self, request: Request) -> Request {
        match self {
            Self::Tenant(tenant) => request.for_tenant(tenant),
            Self::Unchecked | Self::Denied => request,
        }
    }

    /// Returns the name of the tenant; empty if there is none.
    pub(super) fn tenant(&self) -> &str {
        match self {
            Self::Tenant(tenant) => tenant,
            Self::Unchecked | Self::Denied => "",
        }
    }
}

/// Returns the key in the header `Authorization: Bearer KEY`.
fn bearer_key(headers: &HeaderMap) -> Option<&[u8]> {
    const SCHEME: &[u8] = b"bearer ";
    let value = headers.get(header::AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(SCHEME.len())?;
    scheme
        .eq_ignore_ascii_case(SCHEME)
        .then(|| key.trim_ascii())
}
