//! HTTP clients for the traits.

mod platform;
mod traffic;
mod upstream;
mod wire;

pub use platform::{HttpStore, HttpTable, HttpVmList};
pub use traffic::Traffic;
pub use upstream::HttpUpstream;
pub use wire::Limits;
