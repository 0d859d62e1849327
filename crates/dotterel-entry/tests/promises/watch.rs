//! Watches the documents in force on the nodes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dotterel_kernel::{Incarnation, Revision};
use tokio::task::JoinHandle;

use crate::callers::get;
use crate::cell::Balancer;

const PERIOD: Duration = Duration::from_millis(100);

/// What operators and nodes said of the document.
#[derive(Clone, Default)]
pub(crate) struct Watch {
    seen: Arc<Mutex<Seen>>,
}

#[derive(Default)]
struct Seen {
    /// The texts that were accepted.
    accepted: BTreeMap<Revision, String>,
    /// The highest revision of each life of each node.
    highest: BTreeMap<(String, Incarnation), Revision>,
    faults: Vec<String>,
}

impl Watch {
    /// Notes an accepted edit.
    pub(crate) fn accepted(&self, revision: Revision, text: &str) {
        let mut seen = self.seen.lock().expect("no user panics");
        let before = seen.accepted.insert(revision, text.to_owned());
        if before.is_some() {
            let fault = format!("revision {revision} was accepted twice");
            seen.faults.push(fault);
        }
    }

    /// Returns the newest revision that was accepted.
    pub(crate) fn newest(&self) -> Revision {
        let seen = self.seen.lock().expect("no user panics");
        let last = seen.accepted.last_key_value();
        last.map(|entry| *entry.0).unwrap_or_default()
    }

    /// Returns the text of an accepted revision.
    pub(crate) fn text(&self, revision: Revision) -> Option<String> {
        let seen = self.seen.lock().expect("no user panics");
        seen.accepted.get(&revision).cloned()
    }

    /// Returns what went wrong.
    pub(crate) fn faults(&self) -> Vec<String> {
        self.seen.lock().expect("no user panics").faults.clone()
    }

    /// Notes the revision that a node has in force.
    fn hear(&self, node: &str, life: Incarnation, revision: Revision) {
        let mut seen = self.seen.lock().expect("no user panics");
        let highest = seen.highest.entry((node.to_owned(), life)).or_default();
        if revision < *highest {
            let fault = format!("{node} went back from revision {highest} to {revision}");
            seen.faults.push(fault);
            return;
        }
        *highest = revision;
    }

    /// Looks at all nodes again and again until the task is aborted.
    pub(crate) fn follow(&self, balancer: Balancer) -> JoinHandle<()> {
        let watch = self.clone();
        tokio::spawn(async move {
            loop {
                let nodes = balancer.lock().expect("no user panics").clone();
                for (name, addr) in nodes {
                    let status: Option<dotterel_kernel::Status> = get(addr, "/v1/status").await;
                    let Some(status) = status else { continue };
                    let held = status.documents.first().map(|entry| entry.1);
                    watch.hear(&name, status.incarnation, held.unwrap_or_default());
                }
                tokio::time::sleep(PERIOD).await;
            }
        })
    }
}
