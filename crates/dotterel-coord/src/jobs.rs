//! Durable jobs: batches, gangs and services.
//!
//! A job is accepted once its specification is committed to the platform's table. Jobs are
//! distributed over shards, and each shard has one owner at a time, which holds a lease row in the
//! table. Every write of the owner is conditional on the version of the lease row and replaces the
//! row. So every write renews the lease, and a superseded owner can no longer write.
//!
//! The owner records an attempt before it starts it; attempts that are ready at the same time are
//! recorded in one transaction. A task is started elsewhere only after its earlier attempt is
//! proven to be over: the VM reports so, or the task lease must have expired. A new owner adopts
//! the running attempts; a change of owner doesn't restart them.
//!
//! # Assumptions
//!
//! A VM never starts a task after a request to stop it, and stops a task whose lease expires. The
//! embedder's [`JobHost`] reports correctly when a task lease was last renewed, or that it doesn't
//! know. Without a proof that an attempt is over, its task waits rather than run twice.
//!
//! # Embedding
//!
//! The embedder implements [`JobHost`] and [`CapacityProvider`], and spawns [`Engine::run`]. Any
//! node may call [`Jobs::submit`], [`Jobs::cancel`] and [`Jobs::progress`].
//! [`JobHost::should_own`] distributes the shards over the nodes. Nodes that disagree about it
//! cause unowned shards or handovers, but no task runs twice.
//!
//! # Table outages
//!
//! Running tasks continue. No job is accepted, no task started and no shard taken over. Task ends
//! are recorded after the outage.

mod attempt;
mod client;
mod engine;
mod host;
mod job;
mod place;
mod record;
mod shard;
mod shard_leases;
mod spec;

use std::sync::Arc;

use dotterel_kernel::{Clock, Millis};
use dotterel_platform::{Owner, Table};

pub use client::{CancelOutcome, SubmitOutcome};
pub use engine::{Engine, EngineHandle};
pub use host::{
    AttemptState, CapacityProvider, HeldVms, HoldError, HoldId, HoldRequest, JobHost,
    LaunchOutcome, TaskStart,
};
pub use record::{AttemptRecord, Phase, Progress, TaskPhase, TaskRecord};
pub use spec::{JobSpec, SpecError};

/// Limits, timeouts and intervals of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// The number of shards; equal on all nodes and never changed while there are jobs.
    pub shards: u32,
    /// The interval between two rounds of an owner, and so between two writes of a shard.
    pub round_interval: Millis,
    /// The TTL of a shard's lease; without renewal another node takes the shard over.
    pub lease_ttl: Millis,
    /// The timeout of a call to the table or the host.
    pub call_timeout: Millis,
    /// The TTL of a hold, within which its attempts must be recorded.
    pub hold_ttl: Millis,
    /// The delay before a task that failed or found no capacity is placed again.
    pub backoff: Millis,
    /// The interval between two polls of the running tasks.
    pub poll_interval: Millis,
    /// What is added to a lease for clock drift before it counts as expired.
    pub clock_margin: Millis,
    /// How long the progress of an ended job is kept.
    pub retention: Millis,
    /// The maximum number of rows in one transaction.
    pub batch_rows: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            shards: 16,
            round_interval: Millis(200),
            lease_ttl: Millis(9_000),
            call_timeout: Millis(1_000),
            hold_ttl: Millis(5_000),
            backoff: Millis(1_000),
            poll_interval: Millis(1_000),
            clock_margin: Millis(1_000),
            retention: Millis::secs(86_400),
            batch_rows: 256,
        }
    }
}

impl Config {
    /// Returns the interval after which a shard without other writes is renewed.
    pub(crate) const fn renew_interval(&self) -> Millis {
        Millis(self.lease_ttl.0 / 3)
    }
}

/// Submits, cancels and reads jobs; usable on any node.
#[derive(Clone)]
pub struct Jobs {
    table: Arc<dyn Table>,
    clock: Clock,
    owner: Owner,
    config: Config,
}

impl Jobs {
    /// Returns access to the jobs for one incarnation of a node.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, clock: Clock, owner: Owner, config: Config) -> Self {
        Self {
            table,
            clock,
            owner,
            config,
        }
    }

    /// Returns an engine that owns shards and runs their jobs.
    #[must_use]
    pub fn engine(&self, host: Arc<dyn JobHost>) -> Engine {
        Engine::new(self.clone(), host)
    }
}
