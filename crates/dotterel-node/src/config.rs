//! Keeps the node's configuration up to date, from the store or from the leader.

use std::cell::Cell;
use std::rc::Rc;

use dotterel_kernel::{Clock, Millis};
use futures_util::future::{join_all, join3};
use tokio::sync::watch;

use crate::front::Relay;
use crate::platform::{Platform, StoreError};
use crate::routes::Configuration;

/// Pause after a failed read of the configuration.
const READ_RETRY_INTERVAL: Millis = Millis(150);
/// The leader is asked once reads have failed for this long: a single failed read is retried before.
const ASK_DELAY: Millis = Millis(300);
/// Time between two questions. A version must take effect within 4 s, of which a read of a silent store
/// takes up to 1.9 s.
const ASK_INTERVAL: Millis = Millis(500);
/// Interval between checks whether to ask.
const CHECK_INTERVAL: Millis = Millis(50);

/// The configuration that the node acts on. Its version only grows.
#[derive(Debug, Default)]
pub struct ActiveConfig(watch::Sender<Option<Rc<Configuration>>>);

impl ActiveConfig {
    /// Replaces the configuration by a higher version; returns false and changes nothing if it isn't higher.
    ///
    /// Once keys were checked, they are checked until the process ends: a version without tenants opens no
    /// route that was closed.
    pub fn apply(&self, mut latest: Configuration, source: &'static str) -> bool {
        let before = self.version();
        if latest.version <= before {
            return false;
        }
        if !latest.checks_keys && self.current().is_some_and(|config| config.checks_keys) {
            log::warn!(
                version = latest.version;
                "configuration without tenants after one with tenants, no key is valid");
            latest.checks_keys = true;
        }
        log::info!(
            version = latest.version, before, queues = latest.routes.len(),
            tenants = latest.tenants.len(), keys = latest.keys.len(), source;
            "configuration applied");
        self.0.send_replace(Some(Rc::new(latest)));
        true
    }

    /// Returns the configuration, if there is one.
    #[must_use]
    pub fn current(&self) -> Option<Rc<Configuration>> {
        self.0.borrow().clone()
    }

    /// Returns the version of the configuration; zero if there is none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.0.borrow().as_ref().map_or(0, |config| config.version)
    }

    /// Returns a receiver of the configuration.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Rc<Configuration>>> {
        self.0.subscribe()
    }
}

/// Reads the configuration from the store, and asks the leader for it while that fails.
pub struct ConfigReader<P> {
    platform: Rc<P>,
    config: Rc<ActiveConfig>,
    relays: Rc<[Rc<Relay>]>,
    clock: Clock,
    /// When the first of the reads was sent that have failed since the last one that succeeded.
    failing_since: Cell<Option<Millis>>,
    /// The store has answered, and the node still has no configuration: the row is malformed, or there is none.
    lacks_row: Cell<bool>,
}

impl<P: Platform> ConfigReader<P> {
    /// Returns a reader that asks over the given relays.
    #[must_use]
    pub const fn new(
        platform: Rc<P>,
        config: Rc<ActiveConfig>,
        relays: Rc<[Rc<Relay>]>,
        clock: Clock,
    ) -> Self {
        Self {
            platform,
            config,
            relays,
            clock,
            failing_since: Cell::new(None),
            lacks_row: Cell::new(false),
        }
    }

    /// Keeps the configuration up to date until the task is dropped.
    pub async fn run(self) {
        let receive = self.relays.iter().map(|relay| self.receive(relay));
        join3(self.read_store(), self.ask_leader(), join_all(receive)).await;
    }

    async fn read_store(&self) {
        let mut after = None;
        loop {
            let started_at = self.clock.now();
            match self.platform.config_changes(after).await {
                Ok(change) => {
                    if self.failing_since.take().is_some() {
                        log::info!(version = change.version; "configuration readable again");
                        for relay in self.relays.iter() {
                            relay.reset_question_losses();
                        }
                    }
                    after = Some(change.version);
                    if let Some(latest) = change.latest {
                        self.config.apply(latest, "store");
                    }
                    self.lacks_row.set(self.config.current().is_none());
                }
                Err(StoreError::HistoryLost) => after = None,
                Err(err) => {
                    if self.failing_since.get().is_none() {
                        log::warn!(fault:? = err; "failed to read the configuration");
                        self.failing_since.set(Some(started_at));
                    }
                    tokio::time::sleep(READ_RETRY_INTERVAL.duration()).await;
                }
            }
        }
    }

    /// Asks the leader while reads fail.
    async fn ask_leader(&self) {
        let mut asked_at = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL.duration()).await;
            let now = self.clock.now();
            let is_due = asked_at.is_none_or(|asked_at| now.since(asked_at) >= ASK_INTERVAL);
            if is_due && self.needs_leader(now) {
                let known = self.config.version();
                for relay in self.relays.iter() {
                    if relay.ask_config(known) {
                        asked_at = Some(now);
                    }
                }
            }
        }
    }

    fn needs_leader(&self, now: Millis) -> bool {
        let failing_since = self.failing_since.get();
        let is_failing = failing_since.is_some_and(|since| now.since(since) >= ASK_DELAY);
        // Nodes of an earlier version, in cells without tenants, don't know the question.
        match self.config.current() {
            Some(config) => is_failing && config.checks_keys,
            None => is_failing || self.lacks_row.get(),
        }
    }

    /// Applies what the leader sends.
    async fn receive(&self, relay: &Relay) {
        loop {
            let (version, row) = relay.next_config().await;
            if version <= self.config.version() {
                continue;
            }
            if let Some(latest) = self.platform.decode_config(&row.0) {
                self.config.apply(latest, "leader");
            }
        }
    }
}
