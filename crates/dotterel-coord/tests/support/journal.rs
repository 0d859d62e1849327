//! A node with a journal, and the actual state of its requests to compare the account with.

use std::sync::Arc;

use dotterel_coord::journal::Config;
use dotterel_coord::{Journal, Reader};
use dotterel_kernel::{
    Account, Attempt, Clock, Fate, Incarnation, Millis, NodeId, Reason, Record, RequestId, TaskId,
};
use dotterel_standin::{FakeStore, Faults};
use tokio::task::JoinHandle;

pub(crate) const INCARNATION: Incarnation = Incarnation(3);
pub(crate) const START_TIME: Millis = Millis::secs(86_400);

/// The actual state of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    pub(crate) request: RequestId,
    pub(crate) arrived: Millis,
    pub(crate) started: bool,
    /// The time and fate of the end; `None` while the request is open.
    pub(crate) ended: Option<(Millis, Fate)>,
}

/// A node whose journal is shipped in the background.
pub(crate) struct Node {
    pub(crate) clock: Clock,
    pub(crate) store: FakeStore,
    pub(crate) journal: Journal,
    pub(crate) requests: Vec<RequestState>,
    ship_task: JoinHandle<()>,
}

impl Node {
    pub(crate) fn new(config: Config) -> Self {
        let clock = Clock::starting_at(START_TIME);
        let store = FakeStore::new(clock);
        let journal = Journal::new(
            node_name(),
            INCARNATION,
            clock,
            Arc::new(store.clone()),
            config,
        );
        let shipped_journal = journal.clone();
        Self {
            clock,
            store,
            journal,
            requests: Vec::new(),
            ship_task: tokio::spawn(async move { shipped_journal.run().await }),
        }
    }

    /// Opens a new request.
    pub(crate) fn open(&mut self) {
        let now = self.clock.now();
        let request = RequestId::generate();
        self.journal.open(Record {
            request,
            service: "quotes".into(),
            class: "bracket-count".into(),
            key: None,
            node: node_name(),
            arrived: now,
            deadline: now + Millis::secs(1),
            started: None,
            ended: None,
            fate: None,
            attempts: Vec::new(),
            flags: Vec::new(),
        });
        self.requests.push(RequestState {
            request,
            arrived: now,
            started: false,
            ended: None,
        });
    }

    /// Starts an open request; does nothing for one that has ended or does not exist.
    pub(crate) fn start(&mut self, index: usize) {
        let sent = self.clock.now();
        let Some(state) = self.requests.get_mut(index) else {
            return;
        };
        if state.ended.is_some() {
            return;
        }
        state.started = true;
        let attempt = Attempt {
            task: TaskId::generate(),
            vm: "vm-1".into(),
            owner: node_name(),
            sent,
            ended: None,
            outcome: "".into(),
        };
        self.journal.start(state.request, attempt);
    }

    /// Ends an open request: as `ran` if it was started, otherwise as `not-run`.
    pub(crate) fn close(&mut self, index: usize) {
        let now = self.clock.now();
        let Some(state) = self.requests.get_mut(index) else {
            return;
        };
        if state.ended.is_some() {
            return;
        }
        let fate = if state.started {
            Fate::Ran
        } else {
            Fate::NotRun(Reason::Deadline)
        };
        state.ended = Some((now, fate));
        self.journal.close(state.request, fate);
    }

    /// Crashes the node and ends all faults; writes in flight still reach the store.
    pub(crate) async fn crash(&self) {
        self.ship_task.abort();
        tokio::time::sleep(Millis::secs(20).duration()).await;
        self.store.set_faults(|faults| *faults = Faults::default());
    }

    pub(crate) fn reader(&self) -> Reader {
        Reader::new(Arc::new(self.store.clone()))
    }

    /// Returns the account of the dead node as read from the object store.
    pub(crate) async fn shipped_account(&self) -> Account {
        let account = self
            .reader()
            .account(&node_name(), INCARNATION, None, START_TIME)
            .await;
        account.expect("the store is readable")
    }
}

pub(crate) fn node_name() -> NodeId {
    "a".into()
}
