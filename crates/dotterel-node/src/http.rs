//! The HTTP client and server.

pub mod client;
pub mod in_flight;
pub mod limits;
pub mod server;

pub use client::{CallError, Client, Reply};
pub use in_flight::InFlight;
pub use server::{Body, RequestBody, Service, json_response, serve, serve_limited};
