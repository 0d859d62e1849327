//! A cluster of nodes whose document feeds share one table and exchange documents directly.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;

use dotterel_coord::feed::Config;
use dotterel_coord::{ApplyOutcome, Feed};
use dotterel_kernel::{Clock, Millis, NodeId, Revision, Service};
use dotterel_platform::{CallError, Commit, Row, Table, Write};
use dotterel_standin::{FakeTable, Faults};
use tokio::task::JoinHandle;

/// How often a node compares its revisions with those of its peers.
const EXCHANGE_INTERVAL: Millis = Millis(250);

/// How long an operator waits for the outcome of an edit.
const OPERATOR_TIMEOUT: Millis = Millis::secs(3);

/// A document that became active on a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Activation {
    pub(crate) at: Millis,
    pub(crate) revision: Revision,
    pub(crate) start_ms: u32,
}

/// The documents that were active on a node between a start and the next restart, in order.
pub(crate) type History = Arc<Mutex<Vec<Activation>>>;

struct Node {
    feed: Feed,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Node {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// The running nodes; `None` for a node that is down.
type Nodes = Arc<Mutex<Vec<Option<Node>>>>;

/// A table that loses responses to writes, but not to reads.
struct LossyTable {
    table: FakeTable,
    responses_to_lose: Arc<AtomicU32>,
}

#[async_trait]
impl Table for LossyTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, CallError> {
        self.table.get(key).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, CallError> {
        self.table.scan(prefix, after, limit).await
    }

    async fn commit(&self, writes: &[Write]) -> Result<Commit, CallError> {
        let result = self.table.commit(writes).await;
        let left = self.responses_to_lose.load(Ordering::Relaxed);
        if left > 0 {
            self.responses_to_lose.store(left - 1, Ordering::Relaxed);
            return Err(CallError::Unknown("the response was lost".into()));
        }
        result
    }
}

/// All nodes and their table.
pub(crate) struct Cluster {
    pub(crate) clock: Clock,
    pub(crate) table: FakeTable,
    names: Vec<NodeId>,
    nodes: Nodes,
    /// How many of the next responses to writes are lost.
    responses_to_lose: Arc<AtomicU32>,
    /// Nodes that can neither send updates to other nodes nor receive them.
    isolated: Arc<Mutex<Vec<usize>>>,
    /// One history per start of a node, in the order of the starts.
    pub(crate) histories: Vec<History>,
}

impl Cluster {
    pub(crate) fn new(names: &[&str]) -> Self {
        let clock = Clock::starting_at(Millis::secs(86_400));
        Self::with_table(FakeTable::new(clock), clock, names)
    }

    /// Creates a cluster on an existing table, which other clusters may share.
    pub(crate) fn with_table(table: FakeTable, clock: Clock, names: &[&str]) -> Self {
        let mut cluster = Self {
            clock,
            table,
            names: names.iter().map(|name| NodeId::from(*name)).collect(),
            nodes: Arc::new(Mutex::new(names.iter().map(|_| None).collect())),
            responses_to_lose: Arc::default(),
            isolated: Arc::default(),
            histories: Vec::new(),
        };
        for index in 0..names.len() {
            cluster.restart(index);
        }
        cluster
    }

    /// Restarts a node with an empty feed and pulls the documents of all reachable peers.
    pub(crate) fn restart(&mut self, index: usize) {
        lock(&self.nodes)[index] = None;
        let table = LossyTable {
            table: self.table.for_caller(self.names[index].as_str()),
            responses_to_lose: Arc::clone(&self.responses_to_lose),
        };
        let feed = Feed::new(Arc::new(table), self.clock, Config::default());
        let history = History::default();
        self.histories.push(history.clone());
        let observed_feed = feed.clone();
        let clock = self.clock;
        let observe = async move {
            let mut changes = observed_feed.watch();
            while changes.changed().await.is_ok() {
                record_activation(&changes.borrow_and_update(), clock, &history);
            }
        };
        let (nodes, isolated) = (self.nodes.clone(), self.isolated.clone());
        let exchange = async move {
            loop {
                push_to_peers(&lock(&nodes), &lock(&isolated), index);
                tokio::time::sleep(EXCHANGE_INTERVAL.duration()).await;
            }
        };
        let polled_feed = feed.clone();
        let poll = async move { polled_feed.run().await };
        lock(&self.nodes)[index] = Some(Node {
            feed,
            tasks: vec![
                tokio::spawn(observe),
                tokio::spawn(exchange),
                tokio::spawn(poll),
            ],
        });
        pull_from_peers(&lock(&self.nodes), &lock(&self.isolated), index);
    }

    /// Loses the responses to the next `count` writes.
    pub(crate) fn lose_write_responses(&self, count: u32) {
        self.responses_to_lose.store(count, Ordering::Relaxed);
    }

    /// Offers a node every document that was ever active on any node, in reverse order.
    pub(crate) fn replay(&self, index: usize) {
        let nodes = lock(&self.nodes);
        let feed = &nodes[index].as_ref().expect("the node runs").feed;
        let activations: Vec<Activation> = self
            .histories
            .iter()
            .flat_map(|history| lock(history).clone())
            .collect();
        for activation in activations.iter().rev() {
            feed.offer(&quotes(), activation.revision, &text(activation.start_ms));
        }
    }

    /// Blocks updates between a node and all its peers.
    pub(crate) fn isolate(&self, index: usize) {
        lock(&self.isolated).push(index);
    }

    /// Disconnects a node from the table.
    pub(crate) fn disconnect_from_table(&self, index: usize) {
        let name = self.names[index].0.clone();
        self.table.set_faults(|faults| faults.cut.push(name));
    }

    /// Ends all faults.
    pub(crate) fn clear_faults(&self) {
        self.table.set_faults(|faults| *faults = Faults::default());
        self.lose_write_responses(0);
        lock(&self.isolated).clear();
    }

    /// Returns the active revision of a node.
    pub(crate) fn revision(&self, index: usize) -> Option<Revision> {
        let nodes = lock(&self.nodes);
        let active = nodes[index].as_ref()?.feed.active(&quotes())?;
        Some(active.revision)
    }

    /// Applies an operator's edit at a node.
    pub(crate) fn edit(
        &self,
        index: usize,
        start_ms: u32,
        expected: Option<Revision>,
    ) -> impl Future<Output = ApplyOutcome> + use<> {
        let nodes = lock(&self.nodes);
        let feed = nodes[index].as_ref().expect("the node runs").feed.clone();
        let (author, deadline) = (
            self.names[index].clone(),
            self.clock.now() + OPERATOR_TIMEOUT,
        );
        async move {
            feed.apply(&quotes(), &text(start_ms), expected, &author, deadline)
                .await
        }
    }
}

fn record_activation(
    active_documents: &dotterel_coord::feed::ActiveDocuments,
    clock: Clock,
    history: &History,
) {
    let Some(active) = active_documents.first() else {
        return;
    };
    let start_ms = active.document.classes[0].start.0;
    let activation = Activation {
        at: clock.now(),
        revision: active.revision,
        start_ms: u32::try_from(start_ms).expect("the start limit fits in u32"),
    };
    let mut history = lock(history);
    if history.last().map(|last| last.revision) != Some(active.revision) {
        history.push(activation);
    }
}

/// Sends all peers the documents that are newer than theirs.
fn push_to_peers(nodes: &[Option<Node>], isolated: &[usize], from: usize) {
    for to in 0..nodes.len() {
        send_updates(nodes, isolated, from, to);
    }
}

/// Gets the documents that are newer on the peers.
fn pull_from_peers(nodes: &[Option<Node>], isolated: &[usize], to: usize) {
    for from in 0..nodes.len() {
        send_updates(nodes, isolated, from, to);
    }
}

fn send_updates(nodes: &[Option<Node>], isolated: &[usize], from: usize, to: usize) {
    if from == to || isolated.contains(&from) || isolated.contains(&to) {
        return;
    }
    let (Some(from), Some(to)) = (&nodes[from], &nodes[to]) else {
        return;
    };
    for update in from.feed.newer_than(&to.feed.revisions()) {
        to.feed
            .offer(&update.service, update.revision, &update.text);
    }
}

pub(crate) fn quotes() -> Service {
    "quotes".into()
}

/// Returns the text of a document; its start limit identifies the edit.
pub(crate) fn text(start_ms: u32) -> String {
    format!(
        r#"
        service = "quotes"
        team = "consorcio"
        [[class]]
        name = "bracket-count"
        kind = "interactive"
        urgency = "urgent"
        start_ms = {start_ms}
        typical_ms = 40
        size = {{ cores = 0.5, memory_mb = 256 }}
        "#
    )
}

pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
