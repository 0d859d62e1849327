//! One node that keeps a journal, and the truth about its requests.

use std::sync::Arc;

use dotterel_coord::journal::Config;
use dotterel_coord::{Journal, Reader};
use dotterel_kernel::{
    Account, Attempt, Clock, Fate, Incarnation, Millis, NodeId, Reason, Record, RequestId, TaskId,
};
use dotterel_standin::{FakeStore, Faults};
use tokio::task::JoinHandle;

pub(crate) const LIFE: Incarnation = Incarnation(3);
pub(crate) const START: Millis = Millis::secs(86_400);

/// What truly became of a request.
#[derive(Clone, Debug)]
pub(crate) struct Truth {
    pub(crate) request: RequestId,
    pub(crate) arrived: Millis,
    pub(crate) started: bool,
    pub(crate) ended: Option<(Millis, Fate)>,
}

/// A node with a journal that ships in the background.
pub(crate) struct Node {
    pub(crate) clock: Clock,
    pub(crate) store: FakeStore,
    pub(crate) journal: Journal,
    pub(crate) truths: Vec<Truth>,
    shipping: JoinHandle<()>,
}

impl Node {
    pub(crate) fn new(config: Config) -> Self {
        let clock = Clock::starting_at(START);
        let store = FakeStore::new(clock);
        let journal = Journal::new(name(), LIFE, clock, Arc::new(store.clone()), config);
        let shipped = journal.clone();
        Self {
            clock,
            store,
            journal,
            truths: Vec::new(),
            shipping: tokio::spawn(async move { shipped.run().await }),
        }
    }

    /// Receives a request.
    pub(crate) fn open(&mut self) {
        let now = self.clock.now();
        let request = RequestId::generate();
        self.journal.open(Record {
            request,
            service: "quotes".into(),
            class: "bracket-count".into(),
            key: None,
            node: name(),
            arrived: now,
            deadline: now + Millis::secs(1),
            started: None,
            ended: None,
            fate: None,
            attempts: Vec::new(),
            flags: Vec::new(),
        });
        self.truths.push(Truth {
            request,
            arrived: now,
            started: false,
            ended: None,
        });
    }

    /// Starts an open request.
    pub(crate) fn start(&mut self, index: usize) {
        let sent = self.clock.now();
        let Some(truth) = self.truths.get_mut(index) else {
            return;
        };
        if truth.ended.is_some() {
            return;
        }
        truth.started = true;
        let attempt = Attempt {
            task: TaskId::generate(),
            vm: "vm-1".into(),
            owner: name(),
            sent,
            ended: None,
            outcome: "".into(),
        };
        self.journal.start(truth.request, attempt);
    }

    /// Ends an open request: one that started ran, another one did not.
    pub(crate) fn close(&mut self, index: usize) {
        let now = self.clock.now();
        let Some(truth) = self.truths.get_mut(index) else {
            return;
        };
        if truth.ended.is_some() {
            return;
        }
        let fate = if truth.started {
            Fate::Ran
        } else {
            Fate::NotRun(Reason::Deadline)
        };
        truth.ended = Some((now, fate));
        self.journal.close(truth.request, fate);
    }

    /// Ends the node's life; what is under way to the store still arrives.
    pub(crate) async fn die(&self) {
        self.shipping.abort();
        tokio::time::sleep(Millis::secs(20).duration()).await;
        self.store.set_faults(|faults| *faults = Faults::default());
    }

    pub(crate) fn reader(&self) -> Reader {
        Reader::new(Arc::new(self.store.clone()))
    }

    /// What others can tell of the dead node.
    pub(crate) async fn remains(&self) -> Account {
        let account = self.reader().account(&name(), LIFE, None, START).await;
        account.expect("the store answers")
    }
}

pub(crate) fn name() -> NodeId {
    "a".into()
}
