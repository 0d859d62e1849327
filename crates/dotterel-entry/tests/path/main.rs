//! Entry processes with a stand-in platform and workers, on loopback.

mod death;
mod documents;
mod fate;
mod forward;
mod input;
mod jobs;
mod stop;
mod stranger;
mod support;
