//! Durable jobs: batches, gangs and services.
//!
//! A job is accepted once its specification is in the platform's table. Jobs are spread over
//! shards, and each shard has one owner at a time by a lease row in the table. Every write of a
//! shard's owner names the version of that row and replaces it, so a superseded owner cannot write
//! any more, and every write renews the lease.
//!
//! An owner records an attempt before its start, all attempts of a moment in one transaction. A
//! task is started elsewhere only when the earlier attempt is proved to be over: by the VM's own
//! word, or because its task lease cannot have been renewed for longer than it lasts. A new owner
//! takes over what runs; it starts nothing again merely because the owner has changed.
//!
//! # Assumptions
//!
//! The VM bars a stopped task for ever, and a task stops when its lease lapses. The embedder's
//! [`JobHost`] tells truly when a task was last renewed, or that it does not know. Without either
//! proof a task waits rather than runs twice.
//!
//! # What an embedder does
//!
//! It implements [`JobHost`] and [`CapacityProvider`], runs [`Engine::run`] in a task and lets any
//! node call [`Jobs::submit`], [`Jobs::cancel`] and [`Jobs::progress`]. [`JobHost::should_own`]
//! spreads the shards over the nodes; disagreement about it costs idle shards or handovers, never
//! safety.
//!
//! # In an outage of the table
//!
//! What runs goes on. Nothing new is accepted, started or adopted. Ends are recorded afterwards.

mod attempt;
mod client;
mod engine;
mod host;
mod job;
mod ledger;
mod place;
mod record;
mod spec;
mod tenure;

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

/// Limits and rhythm of the jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Number of shards; the same on all nodes, never changed while jobs live.
    pub shards: u32,
    /// The time between two rounds of an owner, and so between two writes of a shard.
    pub round_interval: Millis,
    /// How long an owner may go without renewing a shard before another takes it.
    pub lease_ttl: Millis,
    /// How long a call to the table or to a host may take.
    pub call_timeout: Millis,
    /// How long a hold waits for the record of its attempts.
    pub hold_ttl: Millis,
    /// The pause before a task that failed or found no room is tried again.
    pub backoff: Millis,
    /// The time between two looks at running tasks.
    pub poll_interval: Millis,
    /// What is added to a task lease for clock drift before it counts as lapsed.
    pub clock_margin: Millis,
    /// How long the progress of a job that is over can be read.
    pub retention: Millis,
    /// The most rows in one transaction.
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
    /// Returns the time between two renewals of a shard without other writes.
    pub(crate) const fn renew_interval(&self) -> Millis {
        Millis(self.lease_ttl.0 / 3)
    }
}

/// The jobs as any node can submit, cancel and read them.
#[derive(Clone)]
pub struct Jobs {
    table: Arc<dyn Table>,
    clock: Clock,
    owner: Owner,
    config: Config,
}

impl Jobs {
    /// Returns the jobs as seen by one node's life.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, clock: Clock, owner: Owner, config: Config) -> Self {
        Self {
            table,
            clock,
            owner,
            config,
        }
    }

    /// Returns the part that owns shards and runs their jobs.
    #[must_use]
    pub fn engine(&self, host: Arc<dyn JobHost>) -> Engine {
        Engine::new(self.clone(), host)
    }
}
