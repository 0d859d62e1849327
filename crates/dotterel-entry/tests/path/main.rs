//! End-to-end tests of `dotterel-entry` processes against a fake platform and workers on loopback.

mod crash;
mod documents;
mod fate;
mod forward;
mod input;
mod jobs;
mod stop;
mod support;
mod untrusted_peer;
