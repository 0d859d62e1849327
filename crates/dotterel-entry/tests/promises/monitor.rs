//! Monitors the document revisions in force on the nodes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dotterel_kernel::{Incarnation, Revision};
use tokio::task::JoinHandle;

use crate::callers::get;
use crate::cell::Balancer;

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Records accepted edits and the revisions in force, and finds violations.
#[derive(Clone, Default)]
pub(crate) struct DocumentMonitor {
    records: Arc<Mutex<Records>>,
}

#[derive(Default)]
struct Records {
    /// The accepted texts by revision.
    accepted: BTreeMap<Revision, String>,
    /// The highest revision seen on each incarnation of a node.
    highest: BTreeMap<(String, Incarnation), Revision>,
    violations: Vec<String>,
}

impl DocumentMonitor {
    /// Records an accepted edit.
    pub(crate) fn record_accepted(&self, revision: Revision, text: &str) {
        let mut records = self.records.lock().expect("the lock is not poisoned");
        let before = records.accepted.insert(revision, text.to_owned());
        if before.is_some() {
            let violation = format!("revision {revision} was accepted twice");
            records.violations.push(violation);
        }
    }

    /// Returns the newest revision that was accepted.
    pub(crate) fn newest(&self) -> Revision {
        let records = self.records.lock().expect("the lock is not poisoned");
        let last = records.accepted.last_key_value();
        last.map(|entry| *entry.0).unwrap_or_default()
    }

    /// Returns the text of an accepted revision.
    pub(crate) fn text(&self, revision: Revision) -> Option<String> {
        let records = self.records.lock().expect("the lock is not poisoned");
        records.accepted.get(&revision).cloned()
    }

    /// Returns the violations found so far.
    pub(crate) fn violations(&self) -> Vec<String> {
        self.records
            .lock()
            .expect("the lock is not poisoned")
            .violations
            .clone()
    }

    /// Records the revision in force on a node; a decrease is a violation.
    fn observe(&self, node: &str, incarnation: Incarnation, revision: Revision) {
        let mut records = self.records.lock().expect("the lock is not poisoned");
        let highest = records
            .highest
            .entry((node.to_owned(), incarnation))
            .or_default();
        if revision < *highest {
            let violation = format!("{node} reverted from revision {highest} to {revision}");
            records.violations.push(violation);
            return;
        }
        *highest = revision;
    }

    /// Spawns a task that polls all nodes until it is aborted.
    pub(crate) fn spawn(&self, balancer: Balancer) -> JoinHandle<()> {
        let monitor = self.clone();
        tokio::spawn(async move {
            loop {
                let nodes = balancer.lock().expect("the lock is not poisoned").clone();
                for (name, addr) in nodes {
                    let status: Option<dotterel_kernel::Status> = get(addr, "/v1/status").await;
                    let Some(status) = status else { continue };
                    let current = status.documents.first().map(|entry| entry.1);
                    monitor.observe(&name, status.incarnation, current.unwrap_or_default());
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        })
    }
}
