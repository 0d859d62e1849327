//! Tests the journal without faults and in outages of the object store.

use std::sync::Arc;

use dotterel_coord::journal::{Config, LookupOutcome, ShipOutcome, merge};
use dotterel_coord::{Journal, Reader};
use dotterel_kernel::{Account, Clock, Fate, Incarnation, Millis, Reason, Record, RequestId};
use dotterel_platform::ObjectStore;
use dotterel_standin::FakeStore;

const INCARNATION: Incarnation = Incarnation(3);
const START_TIME: Millis = Millis::secs(86_400);

struct Fixture {
    clock: Clock,
    store: FakeStore,
}

impl Fixture {
    fn new() -> Self {
        let clock = Clock::starting_at(START_TIME);
        let store = FakeStore::new(clock);
        Self { clock, store }
    }

    fn journal(&self, node: &str, config: Config) -> Journal {
        let store = Arc::new(self.store.clone());
        Journal::new(node.into(), INCARNATION, self.clock, store, config)
    }

    fn reader(&self) -> Reader {
        Reader::new(Arc::new(self.store.clone()))
    }

    /// Returns the account of node `a` as read from the object store.
    async fn shipped_account(&self) -> Account {
        let account = self
            .reader()
            .account(&"a".into(), INCARNATION, None, START_TIME)
            .await;
        account.expect("the store is readable")
    }

    fn record(&self, node: &str) -> Record {
        let now = self.clock.now();
        Record {
            request: RequestId::generate(),
            service: "quotes".into(),
            class: "bracket-count".into(),
            key: None,
            node: node.into(),
            arrived: now,
            deadline: now + Millis::secs(1),
            started: None,
            ended: None,
            fate: None,
            attempts: Vec::new(),
            flags: Vec::new(),
        }
    }

    fn open_request(&self, journal: &Journal) -> RequestId {
        let record = self.record("a");
        let request = record.request;
        journal.open(record);
        request
    }
}

#[tokio::test(start_paused = true)]
async fn requests_of_a_dead_node_are_unknown_or_in_a_gap() {
    let fixture = Fixture::new();
    let journal = fixture.journal("a", Config::default());
    let ran = fixture.open_request(&journal);
    let open = fixture.open_request(&journal);
    journal.close(ran, Fate::Ran);
    assert_eq!(journal.ship().await, ShipOutcome::Segment(2));
    tokio::time::advance(Millis(300).duration()).await;
    let unshipped = fixture.open_request(&journal);
    drop(journal);

    let account = fixture.shipped_account().await;

    let line = &account.lines[0];
    assert_eq!((line.arrived, line.ran, line.unknown), (2, 1, 1));
    assert!(line.not_run.is_empty());
    assert_eq!(account.gaps.len(), 1);
    assert_eq!(account.gaps[0].since, START_TIME);
    let reader = fixture.reader();
    let node = "a".into();
    let lookup_request = |request| reader.lookup(&node, INCARNATION, request);
    let Ok(LookupOutcome::Unsettled(record)) = lookup_request(open).await else {
        panic!("expected an unsettled record of the open request");
    };
    assert_eq!(record.fate, Some(Fate::Unknown));
    assert!(matches!(
        lookup_request(ran).await,
        Ok(LookupOutcome::Settled(_))
    ));
    assert!(matches!(
        lookup_request(unshipped).await,
        Ok(LookupOutcome::Absent(_))
    ));
}

#[tokio::test(start_paused = true)]
async fn gaps_state_the_number_of_records_dropped_in_an_outage() {
    let fixture = Fixture::new();
    let config = Config {
        max_closed: 8,
        ..Config::default()
    };
    let journal = fixture.journal("a", config);
    fixture
        .store
        .set_faults(|faults| faults.down_until = Millis::MAX);
    for _ in 0..20 {
        let request = fixture.open_request(&journal);
        journal.close(request, Fate::NotRun(Reason::Shed));
    }
    assert_eq!(journal.ship().await, ShipOutcome::Failed);
    fixture
        .store
        .set_faults(|faults| faults.down_until = Millis::ZERO);

    assert!(matches!(journal.ship().await, ShipOutcome::Segment(_)));
    let account = fixture.shipped_account().await;

    assert_eq!(journal.account(None, START_TIME).lines[0].arrived, 20);
    let dropped = 20 - account.lines[0].arrived;
    assert!(dropped > 0);
    let reported: u64 = account
        .gaps
        .iter()
        .filter(|gap| gap.cause.contains("dropped"))
        .filter_map(|gap| gap.cause.split(' ').next()?.parse::<u64>().ok())
        .sum();
    assert_eq!(reported, dropped);
}

#[tokio::test(start_paused = true)]
async fn segment_written_twice_is_counted_once() {
    let fixture = Fixture::new();
    let journal = fixture.journal("a", Config::default());
    let request = fixture.open_request(&journal);
    fixture.store.set_faults(|faults| faults.lose_answers = 1);

    assert_eq!(journal.ship().await, ShipOutcome::Failed);
    journal.close(request, Fate::Ran);
    assert_eq!(journal.ship().await, ShipOutcome::Segment(1));
    let account = fixture.shipped_account().await;

    assert_eq!((account.lines[0].arrived, account.lines[0].ran), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn merged_account_is_the_sum_of_the_nodes() {
    let fixture = Fixture::new();
    let (first, second) = (
        fixture.journal("a", Config::default()),
        fixture.journal("b", Config::default()),
    );
    first.close(fixture.open_request(&first), Fate::Ran);
    second.open(fixture.record("b"));
    tokio::time::advance(Millis(700).duration()).await;

    let merged = merge([
        first.account(None, START_TIME),
        second.account(None, START_TIME),
    ]);

    let line = &merged.lines[0];
    assert_eq!((line.arrived, line.ran, line.waiting), (2, 1, 1));
    assert_eq!(line.oldest, Millis(700));
    assert_eq!(merged.nodes.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn refused_start_is_not_counted() {
    let fixture = Fixture::new();
    let journal = fixture.journal("a", Config::default());
    let request = fixture.open_request(&journal);

    journal.update(request, |record| record.started = Some(START_TIME));
    journal.update(request, |record| record.started = None);
    journal.update(request, |record| record.started = Some(START_TIME));
    journal.close(request, Fate::Ran);

    let account = journal.account(None, START_TIME);
    assert_eq!(account.lines[0].hours[0].started, 1);
}

#[tokio::test(start_paused = true)]
async fn reader_lists_every_node_that_shipped() {
    let fixture = Fixture::new();
    for node in ["entry-1", "entry-10", "entry-2"] {
        let journal = fixture.journal(node, Config::default());
        fixture.open_request(&journal);
        journal.ship().await;
        fixture.open_request(&journal);
        journal.ship().await;
    }

    let nodes = fixture.reader().nodes().await;

    let nodes: Vec<String> = nodes
        .expect("the store is readable")
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(nodes, ["entry-1", "entry-10", "entry-2"]);
}

#[tokio::test(start_paused = true)]
async fn clean_shutdown_leaves_no_gap() {
    let fixture = Fixture::new();
    let journal = fixture.journal("a", Config::default());
    for _ in 0..3 {
        journal.close(fixture.open_request(&journal), Fate::Ran);
    }
    fixture.store.set_faults(|faults| faults.lose_answers = 1);
    assert!(!journal.finish().await);
    assert!(journal.finish().await);

    let account = fixture.shipped_account().await;

    assert_eq!((account.lines[0].arrived, account.lines[0].ran), (3, 3));
    assert!(account.gaps.is_empty(), "{:?}", account.gaps);
}

#[tokio::test(start_paused = true)]
async fn account_does_not_read_segments_covered_by_the_snapshot() {
    let fixture = Fixture::new();
    let config = Config {
        snapshot_interval: 4,
        ..Config::default()
    };
    let journal = fixture.journal("a", config);
    let open = fixture.open_request(&journal);
    for _ in 0..6 {
        journal.close(fixture.open_request(&journal), Fate::Ran);
        assert!(matches!(journal.ship().await, ShipOutcome::Segment(_)));
    }
    journal.close(open, Fate::NotRun(Reason::Shed));
    assert_eq!(journal.ship().await, ShipOutcome::Segment(1));
    // The snapshot covers segment 0, so the account stays complete although its content is lost.
    let replaced = "journal/a/00000000000000000003/000000000000";
    let result = fixture.store.put(replaced, bytes::Bytes::new()).await;
    assert!(result.is_ok());

    let account = fixture.shipped_account().await;

    let line = &account.lines[0];
    assert_eq!((line.arrived, line.ran, line.unknown), (7, 6, 0));
    assert_eq!(line.not_run, vec![(Reason::Shed, 1)]);
}
