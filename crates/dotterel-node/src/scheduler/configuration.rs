//! The configuration of the leader's node: its tenants for the cell, and its row for fronts that can't read
//! the store.

use std::future::pending;
use std::rc::Rc;

use tokio::sync::watch;

use super::Scheduler;
use crate::link::SchedulerMessage;
use crate::platform::Platform;
use crate::routes::Configuration;

/// Largest row that is relayed: a quarter of the largest message on a link.
const MAX_RELAYED_BYTES: usize = 1 << 20;

impl<P: Platform> Scheduler<P> {
    /// Passes the tenants of the configuration to the cell, if there is a configuration.
    pub(super) fn apply_tenants(&self) {
        let Some(config) = self.config.current() else {
            return;
        };
        self.cell
            .borrow_mut()
            .set_tenants(config.tenants.clone(), self.clock.now());
        self.plan_wakeup.notify_one();
    }

    /// Passes the tenants of each further version to the cell. `config` was subscribed to before the tenants
    /// were passed for the first time, so that no version is missed.
    pub(super) async fn follow_config(
        self: Rc<Self>,
        mut config: watch::Receiver<Option<Rc<Configuration>>>,
    ) {
        while config.changed().await.is_ok() {
            self.apply_tenants();
        }
        // The end of this task would end the term.
        pending::<()>().await;
    }

    /// Sends the configuration to a front, unless the front has this version or a higher one.
    pub(super) fn send_config(&self, peer: u64, known: u64) {
        let Some(config) = self.config.current() else {
            return;
        };
        if config.version <= known || config.row.0.is_empty() {
            return;
        }
        let bytes = config.row.0.len();
        if bytes > MAX_RELAYED_BYTES {
            log::warn!(peer, version = config.version, bytes; "configuration too large to relay");
            return;
        }
        log::info!(peer, version = config.version, known, bytes; "configuration relayed");
        let message = SchedulerMessage::Config(config.version, config.row.clone());
        self.send_message(peer, message);
    }
}
