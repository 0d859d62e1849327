//! Claims in calm and at single faults.

use std::sync::Arc;

use bytes::Bytes;
use dotterel_coord::claims::{
    Body, Change, ClaimRequest, Config, Durability, Entry, State, WriteId, digest,
};
use dotterel_coord::{ClaimKey, ClaimOutcome, Claims, RecordedOutcome};
use dotterel_kernel::{Clock, Incarnation, Millis, RequestId};
use dotterel_platform::Owner;
use dotterel_standin::FakeTable;

const DAY: Millis = Millis::secs(86_400);

struct Bench {
    clock: Clock,
    table: FakeTable,
}

impl Bench {
    fn new() -> Self {
        let clock = Clock::starting_at(DAY);
        let table = FakeTable::new(clock);
        Self { clock, table }
    }

    fn node(&self, name: &str) -> Claims {
        self.node_with(name, Config::default())
    }

    fn node_with(&self, name: &str, config: Config) -> Claims {
        let owner = Owner {
            node: name.into(),
            incarnation: Incarnation(1),
        };
        let table = Arc::new(self.table.for_caller(name));
        Claims::new(table, self.clock, owner, config)
    }

    fn ask(&self, key: &str, body: &str) -> ClaimRequest {
        ClaimRequest {
            key: ClaimKey {
                service: "booking".into(),
                key: key.into(),
            },
            digest: digest(body.as_bytes()),
            request: RequestId::generate(),
            window: DAY,
            deadline: self.soon(),
        }
    }

    fn soon(&self) -> Millis {
        self.clock.now() + Millis::secs(2)
    }

    fn shard_writes(&self) -> u64 {
        let counts = self.table.counts();
        counts.commits + counts.conflicts
    }
}

fn outcome(body: &'static str) -> RecordedOutcome {
    RecordedOutcome::inline(
        200,
        "text/plain".into(),
        Bytes::from_static(body.as_bytes()),
    )
}

#[tokio::test(start_paused = true)]
async fn repeat_at_another_node_finds_the_claim_in_flight() {
    let bench = Bench::new();
    let (first, second) = (bench.node("a"), bench.node("b"));
    let ask = bench.ask("order-1", "palette");

    let won = first.claim(ask.clone()).await;
    let repeat = second.claim(bench.ask("order-1", "palette")).await;

    assert!(matches!(won, ClaimOutcome::Won(_)));
    let ClaimOutcome::Repeat(entry) = repeat else {
        panic!("expected a repeat, got {repeat:?}");
    };
    assert_eq!(entry.request, ask.request);
    assert_eq!(entry.state, State::Claimed);
}

#[tokio::test(start_paused = true)]
async fn repeat_of_a_finished_key_gets_the_recorded_outcome() {
    let bench = Bench::new();
    let (first, second) = (bench.node("a"), bench.node("b"));
    let ClaimOutcome::Won(claim) = first.claim(bench.ask("order-1", "palette")).await else {
        panic!("the key is free");
    };

    let written = first.settle(&claim, outcome("done"), bench.soon()).await;
    let repeat = second.claim(bench.ask("order-1", "palette")).await;

    assert_eq!(written, Durability::Durable);
    let ClaimOutcome::Repeat(entry) = repeat else {
        panic!("expected a repeat, got {repeat:?}");
    };
    assert_eq!(entry.state, State::Done(outcome("done")));
}

#[tokio::test(start_paused = true)]
async fn key_with_another_body_is_a_mismatch() {
    let bench = Bench::new();
    let node = bench.node("a");
    let ask = bench.ask("order-1", "palette");
    let request = ask.request;
    let _won = node.claim(ask).await;

    let other = node.claim(bench.ask("order-1", "another palette")).await;

    assert!(matches!(other, ClaimOutcome::Mismatch(of) if of == request));
}

#[tokio::test(start_paused = true)]
async fn released_key_can_be_won_again() {
    let bench = Bench::new();
    let (first, second) = (bench.node("a"), bench.node("b"));
    let ClaimOutcome::Won(claim) = first.claim(bench.ask("order-1", "palette")).await else {
        panic!("the key is free");
    };

    let written = first.release(claim, bench.soon()).await;
    let again = second.claim(bench.ask("order-1", "palette")).await;

    assert_eq!(written, Durability::Durable);
    assert!(matches!(again, ClaimOutcome::Won(_)));
}

#[tokio::test(start_paused = true)]
async fn large_body_is_recorded_by_length_and_hash() {
    let bench = Bench::new();
    let node = bench.node("a");
    let ClaimOutcome::Won(claim) = node.claim(bench.ask("order-1", "palette")).await else {
        panic!("the key is free");
    };
    let body = Bytes::from(vec![7; Config::default().inline_body + 1]);
    let large = RecordedOutcome::inline(200, "image/png".into(), body.clone());

    node.settle(&claim, large, bench.soon()).await;
    let repeat = node.claim(bench.ask("order-1", "palette")).await;

    let ClaimOutcome::Repeat(entry) = repeat else {
        panic!("expected a repeat, got {repeat:?}");
    };
    let State::Done(recorded) = entry.state else {
        panic!("the outcome is durable");
    };
    let expected = Body::Omitted {
        length: body.len() as u64,
        digest: digest(&body),
    };
    assert_eq!(recorded.body, expected);
}

#[tokio::test(start_paused = true)]
async fn entries_age_out_with_their_window() {
    let bench = Bench::new();
    let node = bench.node("a");
    let _won = node.claim(bench.ask("order-1", "palette")).await;

    let skew = Config::default().max_skew;
    tokio::time::advance((DAY + skew).duration()).await;
    let before = node.claim(bench.ask("order-1", "palette")).await;
    tokio::time::advance(Millis(1).duration()).await;
    let after = node.claim(bench.ask("order-1", "palette")).await;

    assert!(matches!(before, ClaimOutcome::Repeat(_)));
    assert!(matches!(after, ClaimOutcome::Won(_)));
}

#[tokio::test(start_paused = true)]
async fn claims_that_wait_together_share_a_write() {
    let bench = Bench::new();
    let config = Config {
        shards: 1,
        ..Config::default()
    };
    let node = bench.node_with("a", config);
    let _first = node.claim(bench.ask("order-0", "palette")).await;
    let before = bench.shard_writes();

    let waiting: Vec<_> = (1..=20)
        .map(|n| {
            let (node, ask) = (node.clone(), bench.ask(&format!("order-{n}"), "palette"));
            tokio::spawn(async move { matches!(node.claim(ask).await, ClaimOutcome::Won(_)) })
        })
        .collect();
    for task in waiting {
        assert!(task.await.expect("the claimant does not panic"));
    }

    assert_eq!(bench.shard_writes() - before, 1);
}

#[tokio::test(start_paused = true)]
async fn lost_answer_is_resolved_by_the_own_mark() {
    let bench = Bench::new();
    let node = bench.node("a");
    bench.table.set_faults(|faults| faults.delay = Millis(5));
    let ask = bench.ask("order-1", "palette");
    let claiming = tokio::spawn({
        let node = node.clone();
        async move { node.claim(ask).await }
    });
    // The read is on its way back; the write's answer is the next one.
    tokio::time::sleep(Millis(6).duration()).await;
    bench.table.set_faults(|faults| faults.lose_answers = 1);

    let outcome = claiming.await.expect("the claimant does not panic");

    assert!(matches!(outcome, ClaimOutcome::Won(_)));
    assert_eq!(bench.table.counts().commits, 1);
}

#[tokio::test(start_paused = true)]
async fn claim_given_up_after_its_write_left_is_withdrawn() {
    let bench = Bench::new();
    let (first, second) = (bench.node("a"), bench.node("b"));
    bench.table.set_faults(|faults| faults.delay = Millis(5));
    let ask = bench.ask("order-1", "palette");
    let claiming = tokio::spawn({
        let first = first.clone();
        async move { first.claim(ask).await }
    });
    // The read is answered after this; the write arrives long after the claimant has left.
    tokio::time::sleep(Millis(3).duration()).await;
    bench
        .table
        .set_faults(|faults| faults.delay = Millis::secs(4));

    let late = claiming.await.expect("the claimant does not panic");
    bench.table.set_faults(|faults| faults.delay = Millis::ZERO);
    tokio::time::sleep(Millis::secs(5).duration()).await;
    let retry = second.claim(bench.ask("order-1", "palette")).await;

    assert!(matches!(late, ClaimOutcome::Unavailable));
    assert!(matches!(retry, ClaimOutcome::Won(_)), "{retry:?}");
    assert_eq!(first.pending(), 0);
}

#[tokio::test(start_paused = true)]
async fn outage_ends_in_unavailable_and_leaves_no_entry() {
    let bench = Bench::new();
    let node = bench.node("a");
    bench
        .table
        .set_faults(|faults| faults.down_until = Millis::MAX);

    let outcome = node.claim(bench.ask("order-1", "palette")).await;

    assert!(matches!(outcome, ClaimOutcome::Unavailable));
    assert!(bench.table.peek("claims/").is_empty());
}

#[tokio::test(start_paused = true)]
async fn withdrawn_claim_does_not_uncover_an_older_one_in_a_page() {
    let bench = Bench::new();
    let config = Config {
        shards: 1,
        row_entries: 1,
        ..Config::default()
    };
    let node = bench.node_with("a", config);
    let ClaimOutcome::Won(first) = node.claim(bench.ask("order-1", "palette")).await else {
        panic!("the key is free");
    };
    // The second entry fills the row, and both move to a page.
    let _other = node.claim(bench.ask("order-2", "palette")).await;
    node.release(first, bench.soon()).await;
    let ClaimOutcome::Won(second) = node.claim(bench.ask("order-1", "palette")).await else {
        panic!("the key was released");
    };

    node.release(second, bench.soon()).await;
    let third = node.claim(bench.ask("order-1", "palette")).await;

    assert_eq!(bench.table.peek("claims/").len(), 2);
    assert!(matches!(third, ClaimOutcome::Won(_)), "{third:?}");
}

#[tokio::test(start_paused = true)]
async fn holder_paused_past_the_window_may_not_dispatch() {
    let bench = Bench::new();
    let (first, second) = (bench.node("a"), bench.node("b"));
    let ClaimOutcome::Won(claim) = first.claim(bench.ask("order-1", "palette")).await else {
        panic!("the key is free");
    };
    assert!(claim.is_dispatchable(bench.clock.now()));

    let end = claim.entry().expires + Config::default().max_skew + Millis(1);
    bench.clock.sleep_until(end).await;
    let again = second.claim(bench.ask("order-1", "palette")).await;

    assert!(matches!(again, ClaimOutcome::Won(_)));
    assert!(!claim.is_dispatchable(bench.clock.now()));
}

#[tokio::test(start_paused = true)]
async fn peer_keeps_a_forwarded_claim_when_the_connection_breaks() {
    let bench = Bench::new();
    let (peer, other) = (bench.node("a"), bench.node("b"));
    bench.table.set_faults(|faults| faults.delay = Millis(5));
    let ask = bench.ask("order-1", "palette");
    let entry = Entry {
        key: ask.key,
        id: WriteId::mint(),
        owner: Owner {
            node: "c".into(),
            incarnation: Incarnation(1),
        },
        request: ask.request,
        digest: ask.digest,
        claimed: bench.clock.now(),
        expires: bench.clock.now() + DAY,
        state: State::Claimed,
    };
    let max_wait = Millis::secs(2);
    let serving = peer.clone();
    let served =
        tokio::spawn(async move { serving.serve(Change::Claim { entry, max_wait }).await });
    // The claim's write is under way when the connection breaks.
    tokio::time::sleep(Millis(8).duration()).await;
    served.abort();
    tokio::time::sleep(Millis::secs(1).duration()).await;

    let repeat = other.claim(bench.ask("order-1", "palette")).await;

    assert!(matches!(repeat, ClaimOutcome::Repeat(_)), "{repeat:?}");
}
