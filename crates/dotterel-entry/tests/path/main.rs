//! Entry processes with a stand-in platform and workers, on loopback.

mod forward;
mod support;
