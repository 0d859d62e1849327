//! HTTP clients that implement the crate's traits.

mod endpoint;
mod platform;
mod traffic;
mod upstream;

pub use endpoint::Limits;
pub use platform::{HttpStore, HttpTable, HttpVmList};
pub use traffic::Traffic;
pub use upstream::HttpUpstream;
