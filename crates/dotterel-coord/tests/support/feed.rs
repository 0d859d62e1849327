//! Nodes with a document feed over one table that pass documents to each other.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;

use dotterel_coord::feed::Config;
use dotterel_coord::{ApplyOutcome, Feed};
use dotterel_kernel::{Clock, Millis, NodeId, Revision, Service};
use dotterel_platform::{CallError, Commit, Row, Table, Write};
use dotterel_standin::{FakeTable, Faults};
use tokio::task::JoinHandle;

/// How often nodes compare their revisions.
const EXCHANGE: Millis = Millis(250);

/// How long an operator waits.
const PATIENCE: Millis = Millis::secs(3);

/// A document that came in force on a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Observed {
    pub(crate) at: Millis,
    pub(crate) revision: Revision,
    pub(crate) start: u32,
}

/// What one life of a node has had in force, in order.
pub(crate) type History = Arc<Mutex<Vec<Observed>>>;

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

/// The nodes as they are at present; none for one that is down.
type Nodes = Arc<Mutex<Vec<Option<Node>>>>;

/// A way to the table that loses answers to writes, but not to reads.
struct LossyTable {
    table: FakeTable,
    lose: Arc<AtomicU32>,
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
        let answer = self.table.commit(writes).await;
        let left = self.lose.load(Ordering::Relaxed);
        if left > 0 {
            self.lose.store(left - 1, Ordering::Relaxed);
            return Err(CallError::Unknown("the answer was lost".into()));
        }
        answer
    }
}

/// All nodes and the table.
pub(crate) struct Cluster {
    pub(crate) clock: Clock,
    pub(crate) table: FakeTable,
    names: Vec<NodeId>,
    nodes: Nodes,
    /// How many of the next answers to writes are lost.
    lose: Arc<AtomicU32>,
    /// Nodes that no other node reaches.
    alone: Arc<Mutex<Vec<usize>>>,
    pub(crate) lives: Vec<History>,
}

impl Cluster {
    pub(crate) fn new(names: &[&str]) -> Self {
        let clock = Clock::starting_at(Millis::secs(86_400));
        Self::over(FakeTable::new(clock), clock, names)
    }

    /// Returns nodes over a table that others may use too.
    pub(crate) fn over(table: FakeTable, clock: Clock, names: &[&str]) -> Self {
        let mut cluster = Self {
            clock,
            table,
            names: names.iter().map(|name| NodeId::from(*name)).collect(),
            nodes: Arc::new(Mutex::new(names.iter().map(|_| None).collect())),
            lose: Arc::default(),
            alone: Arc::default(),
            lives: Vec::new(),
        };
        for index in 0..names.len() {
            cluster.restart(index);
        }
        cluster
    }

    /// Starts a node afresh; it takes what the peers that it reaches have.
    pub(crate) fn restart(&mut self, index: usize) {
        lock(&self.nodes)[index] = None;
        let table = LossyTable {
            table: self.table.for_caller(self.names[index].as_str()),
            lose: Arc::clone(&self.lose),
        };
        let feed = Feed::new(Arc::new(table), self.clock, Config::default());
        let history = History::default();
        self.lives.push(history.clone());
        let watched = feed.clone();
        let clock = self.clock;
        let observe = async move {
            let mut changes = watched.watch();
            while changes.changed().await.is_ok() {
                observe(&changes.borrow_and_update(), clock, &history);
            }
        };
        let (nodes, alone) = (self.nodes.clone(), self.alone.clone());
        let exchange = async move {
            loop {
                exchange(&lock(&nodes), &lock(&alone), index);
                tokio::time::sleep(EXCHANGE.duration()).await;
            }
        };
        let polled = feed.clone();
        let poll = async move { polled.run().await };
        lock(&self.nodes)[index] = Some(Node {
            feed,
            tasks: vec![
                tokio::spawn(observe),
                tokio::spawn(exchange),
                tokio::spawn(poll),
            ],
        });
        exchange_into(&lock(&self.nodes), &lock(&self.alone), index);
    }

    /// Loses the answers to the next writes.
    pub(crate) fn lose_writes(&self, count: u32) {
        self.lose.store(count, Ordering::Relaxed);
    }

    /// Brings a node every message about documents that was ever sent, the oldest last.
    pub(crate) fn replay(&self, index: usize) {
        let nodes = lock(&self.nodes);
        let feed = &nodes[index].as_ref().expect("nodes are up").feed;
        let sent: Vec<Observed> = self
            .lives
            .iter()
            .flat_map(|life| lock(life).clone())
            .collect();
        for seen in sent.iter().rev() {
            feed.offer(&quotes(), seen.revision, &text(seen.start));
        }
    }

    pub(crate) fn isolate(&self, index: usize) {
        lock(&self.alone).push(index);
    }

    pub(crate) fn cut(&self, index: usize) {
        let name = self.names[index].0.clone();
        self.table.set_faults(|faults| faults.cut.push(name));
    }

    /// Ends all faults.
    pub(crate) fn heal(&self) {
        self.table.set_faults(|faults| *faults = Faults::default());
        self.lose_writes(0);
        lock(&self.alone).clear();
    }

    /// Returns the revision that a node has in force.
    pub(crate) fn revision(&self, index: usize) -> Option<Revision> {
        let nodes = lock(&self.nodes);
        let held = nodes[index].as_ref()?.feed.active(&quotes())?;
        Some(held.revision)
    }

    /// An operator's edit at a node.
    pub(crate) fn edit(
        &self,
        index: usize,
        start: u32,
        expect: Option<Revision>,
    ) -> impl Future<Output = ApplyOutcome> + use<> {
        let nodes = lock(&self.nodes);
        let feed = nodes[index].as_ref().expect("nodes are up").feed.clone();
        let (by, deadline) = (self.names[index].clone(), self.clock.now() + PATIENCE);
        async move {
            feed.apply(&quotes(), &text(start), expect, &by, deadline)
                .await
        }
    }
}

fn observe(in_force: &dotterel_coord::feed::ActiveDocuments, clock: Clock, history: &History) {
    let Some(held) = in_force.first() else {
        return;
    };
    let start = held.document.classes[0].start.0;
    let observed = Observed {
        at: clock.now(),
        revision: held.revision,
        start: u32::try_from(start).expect("starts are small"),
    };
    let mut history = lock(history);
    if history.last().map(|last| last.revision) != Some(held.revision) {
        history.push(observed);
    }
}

/// Passes what the others lack to them.
fn exchange(nodes: &[Option<Node>], alone: &[usize], from: usize) {
    for to in 0..nodes.len() {
        pass(nodes, alone, from, to);
    }
}

/// Takes what the others have.
fn exchange_into(nodes: &[Option<Node>], alone: &[usize], to: usize) {
    for from in 0..nodes.len() {
        pass(nodes, alone, from, to);
    }
}

fn pass(nodes: &[Option<Node>], alone: &[usize], from: usize, to: usize) {
    if from == to || alone.contains(&from) || alone.contains(&to) {
        return;
    }
    let (Some(from), Some(to)) = (&nodes[from], &nodes[to]) else {
        return;
    };
    for passed in from.feed.newer_than(&to.feed.revisions()) {
        to.feed
            .offer(&passed.service, passed.revision, &passed.text);
    }
}

pub(crate) fn quotes() -> Service {
    "quotes".into()
}

/// A document whose text differs by its start limit.
pub(crate) fn text(start: u32) -> String {
    format!(
        r#"
        service = "quotes"
        team = "consorcio"
        [[class]]
        name = "bracket-count"
        kind = "interactive"
        urgency = "urgent"
        start_ms = {start}
        typical_ms = 40
        size = {{ cores = 0.5, memory_mb = 256 }}
        "#
    )
}

pub(crate) fn lock<T: ?Sized>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
