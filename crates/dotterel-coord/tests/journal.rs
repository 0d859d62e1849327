//! The journal in calm and in an outage of the store.

use std::sync::Arc;

use dotterel_coord::journal::{Config, LookupOutcome, ShipOutcome, merge};
use dotterel_coord::{Journal, Reader};
use dotterel_kernel::{Account, Clock, Fate, Incarnation, Millis, Reason, Record, RequestId};
use dotterel_platform::ObjectStore;
use dotterel_standin::FakeStore;

const LIFE: Incarnation = Incarnation(3);
const START: Millis = Millis::secs(86_400);

struct Bench {
    clock: Clock,
    store: FakeStore,
}

impl Bench {
    fn new() -> Self {
        let clock = Clock::starting_at(START);
        let store = FakeStore::new(clock);
        Self { clock, store }
    }

    fn journal(&self, node: &str, config: Config) -> Journal {
        let store = Arc::new(self.store.clone());
        Journal::new(node.into(), LIFE, self.clock, store, config)
    }

    fn reader(&self) -> Reader {
        Reader::new(Arc::new(self.store.clone()))
    }

    /// The account of the first node's life, as others read it.
    async fn remains(&self) -> Account {
        let account = self.reader().account(&"a".into(), LIFE, None, START).await;
        account.expect("the store answers")
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

    fn opened(&self, journal: &Journal) -> RequestId {
        let record = self.record("a");
        let request = record.request;
        journal.open(record);
        request
    }
}

#[tokio::test(start_paused = true)]
async fn open_requests_of_a_dead_node_are_unknown_and_the_rest_is_a_gap() {
    let bench = Bench::new();
    let journal = bench.journal("a", Config::default());
    let ran = bench.opened(&journal);
    let open = bench.opened(&journal);
    journal.close(ran, Fate::Ran);
    assert_eq!(journal.ship().await, ShipOutcome::Segment(2));
    tokio::time::advance(Millis(300).duration()).await;
    let unshipped = bench.opened(&journal);
    drop(journal);

    let account = bench.remains().await;

    let line = &account.lines[0];
    assert_eq!((line.arrived, line.ran, line.unknown), (2, 1, 1));
    assert!(line.not_run.is_empty());
    assert_eq!(account.gaps.len(), 1);
    assert_eq!(account.gaps[0].since, START);
    let reader = bench.reader();
    let node = "a".into();
    let look = |request| reader.lookup(&node, LIFE, request);
    let Ok(LookupOutcome::Unsettled(record)) = look(open).await else {
        panic!("the open request is in the segment");
    };
    assert_eq!(record.fate, Some(Fate::Unknown));
    assert!(matches!(look(ran).await, Ok(LookupOutcome::Settled(_))));
    assert!(matches!(
        look(unshipped).await,
        Ok(LookupOutcome::Absent(_))
    ));
}

#[tokio::test(start_paused = true)]
async fn records_pushed_out_in_an_outage_are_named() {
    let bench = Bench::new();
    let config = Config {
        max_closed: 8,
        ..Config::default()
    };
    let journal = bench.journal("a", config);
    bench
        .store
        .set_faults(|faults| faults.down_until = Millis::MAX);
    for _ in 0..20 {
        let request = bench.opened(&journal);
        journal.close(request, Fate::NotRun(Reason::Shed));
    }
    assert_eq!(journal.ship().await, ShipOutcome::Failed);
    bench
        .store
        .set_faults(|faults| faults.down_until = Millis::ZERO);

    assert!(matches!(journal.ship().await, ShipOutcome::Segment(_)));
    let account = bench.remains().await;

    assert_eq!(journal.account(None, START).lines[0].arrived, 20);
    let dropped = 20 - account.lines[0].arrived;
    assert!(dropped > 0);
    let named: u64 = account
        .gaps
        .iter()
        .filter(|gap| gap.cause.contains("dropped"))
        .filter_map(|gap| gap.cause.split(' ').next()?.parse::<u64>().ok())
        .sum();
    assert_eq!(named, dropped);
}

#[tokio::test(start_paused = true)]
async fn segment_written_twice_counts_once() {
    let bench = Bench::new();
    let journal = bench.journal("a", Config::default());
    let request = bench.opened(&journal);
    bench.store.set_faults(|faults| faults.lose_answers = 1);

    assert_eq!(journal.ship().await, ShipOutcome::Failed);
    journal.close(request, Fate::Ran);
    assert_eq!(journal.ship().await, ShipOutcome::Segment(1));
    let account = bench.remains().await;

    assert_eq!((account.lines[0].arrived, account.lines[0].ran), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn accounts_of_nodes_add_up() {
    let bench = Bench::new();
    let (first, second) = (
        bench.journal("a", Config::default()),
        bench.journal("b", Config::default()),
    );
    first.close(bench.opened(&first), Fate::Ran);
    second.open(bench.record("b"));
    tokio::time::advance(Millis(700).duration()).await;

    let whole = merge([first.account(None, START), second.account(None, START)]);

    let line = &whole.lines[0];
    assert_eq!((line.arrived, line.ran, line.waiting), (2, 1, 1));
    assert_eq!(line.oldest, Millis(700));
    assert_eq!(whole.nodes.len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_start_that_was_refused_after_all_does_not_count() {
    let bench = Bench::new();
    let journal = bench.journal("a", Config::default());
    let request = bench.opened(&journal);

    journal.update(request, |record| record.started = Some(START));
    journal.update(request, |record| record.started = None);
    journal.update(request, |record| record.started = Some(START));
    journal.close(request, Fate::Ran);

    let account = journal.account(None, START);
    assert_eq!(account.lines[0].hours[0].started, 1);
}

#[tokio::test(start_paused = true)]
async fn all_nodes_that_shipped_are_found() {
    let bench = Bench::new();
    for node in ["entry-1", "entry-10", "entry-2"] {
        let journal = bench.journal(node, Config::default());
        bench.opened(&journal);
        journal.ship().await;
        bench.opened(&journal);
        journal.ship().await;
    }

    let nodes = bench.reader().nodes().await;

    let nodes: Vec<String> = nodes
        .expect("the store is up")
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(nodes, ["entry-1", "entry-10", "entry-2"]);
}

#[tokio::test(start_paused = true)]
async fn life_that_ended_in_order_has_no_gap() {
    let bench = Bench::new();
    let journal = bench.journal("a", Config::default());
    for _ in 0..3 {
        journal.close(bench.opened(&journal), Fate::Ran);
    }
    bench.store.set_faults(|faults| faults.lose_answers = 1);
    assert!(!journal.finish().await);
    assert!(journal.finish().await);

    let account = bench.remains().await;

    assert_eq!((account.lines[0].arrived, account.lines[0].ran), (3, 3));
    assert!(account.gaps.is_empty(), "{:?}", account.gaps);
}

#[tokio::test(start_paused = true)]
async fn account_reads_the_sum_and_not_what_it_counts() {
    let bench = Bench::new();
    let config = Config {
        snapshot_interval: 4,
        ..Config::default()
    };
    let journal = bench.journal("a", config);
    let open = bench.opened(&journal);
    for _ in 0..6 {
        journal.close(bench.opened(&journal), Fate::Ran);
        assert!(matches!(journal.ship().await, ShipOutcome::Segment(_)));
    }
    journal.close(open, Fate::NotRun(Reason::Shed));
    assert_eq!(journal.ship().await, ShipOutcome::Segment(1));
    // Segment 0 is counted in the sum; without it the account stays whole.
    let lost = "journal/a/00000000000000000003/000000000000";
    let put = bench.store.put(lost, bytes::Bytes::new()).await;
    assert!(put.is_ok());

    let account = bench.remains().await;

    let line = &account.lines[0];
    assert_eq!((line.arrived, line.ran, line.unknown), (7, 6, 0));
    assert_eq!(line.not_run, vec![(Reason::Shed, 1)]);
}
