//! HTTP clients for the traits.

mod platform;
mod upstream;
mod wire;

pub use platform::{HttpStore, HttpTable, HttpVmList};
pub use upstream::HttpUpstream;
pub use wire::Limits;
