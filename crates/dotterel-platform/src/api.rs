//! The HTTP API behind the traits, shared by clients and servers.
//!
//! Every call is a POST to one of these paths. Bodies are encoded with `postcard`: the request
//! carries the arguments of the trait's method as a tuple, the response its success value. Status
//! 200 carries a value; status 503 carries the reason why the call had no effect. A response always
//! has a `Content-Length`.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The header that names the calling node, so that the server can distinguish callers.
pub const CALLER_HEADER: &str = "dotterelrelay-caller";

/// [`Table::get`](crate::Table::get).
pub const TABLE_GET: &str = "/v1/table/get";
/// [`Table::scan`](crate::Table::scan).
pub const TABLE_SCAN: &str = "/v1/table/scan";
/// [`Table::commit`](crate::Table::commit).
pub const TABLE_COMMIT: &str = "/v1/table/commit";
/// [`ObjectStore::put`](crate::ObjectStore::put).
pub const STORE_PUT: &str = "/v1/store/put";
/// [`ObjectStore::get`](crate::ObjectStore::get).
pub const STORE_GET: &str = "/v1/store/get";
/// [`ObjectStore::list`](crate::ObjectStore::list).
pub const STORE_LIST: &str = "/v1/store/list";
/// [`VmList::list`](crate::VmList::list).
pub const VM_LIST: &str = "/v1/vms/list";
/// [`VmList::changes`](crate::VmList::changes).
pub const VM_CHANGES: &str = "/v1/vms/changes";
/// [`Upstream::acquire`](crate::Upstream::acquire).
pub const ACQUIRE: &str = "/v1/lease/acquire";
/// [`Upstream::renew`](crate::Upstream::renew).
pub const RENEW: &str = "/v1/lease/renew";
/// [`Upstream::release`](crate::Upstream::release).
pub const RELEASE: &str = "/v1/lease/release";
/// [`Upstream::run`](crate::Upstream::run).
pub const RUN: &str = "/v1/tasks/run";
/// [`Upstream::launch`](crate::Upstream::launch).
pub const LAUNCH: &str = "/v1/tasks/launch";
/// [`Upstream::state`](crate::Upstream::state).
pub const STATE: &str = "/v1/tasks/state";
/// [`Upstream::stop`](crate::Upstream::stop).
pub const STOP: &str = "/v1/tasks/stop";
/// [`Upstream::signal`](crate::Upstream::signal).
pub const SIGNAL: &str = "/v1/tasks/press";

/// Encodes the body of a request or response.
///
/// # Panics
///
/// Panics when the value's `Serialize` fails. It cannot fail for the types of this crate.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    let encoded = postcard::to_stdvec(value);
    encoded.expect("the types of the API always encode").into()
}

/// Decodes the body of a request or response.
///
/// # Errors
///
/// Returns an error unless the body holds exactly one value and no further bytes.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, postcard::Error> {
    match postcard::take_from_bytes(body)? {
        (value, []) => Ok(value),
        _ => Err(postcard::Error::DeserializeBadEncoding),
    }
}
