//! Tests claims without faults and under single faults of the table or the network.

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

struct Fixture {
    clock: Clock,
    table: FakeTable,
}

impl Fixture {
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

    fn claim_request(&self, key: &str, body: &str) -> ClaimRequest {
        ClaimRequest {
            key: ClaimKey {
                service: "booking".into(),
                key: key.into(),
            },
            digest: digest(body.as_bytes()),
            request: RequestId::generate(),
            window: DAY,
            deadline: self.default_deadline(),
        }
    }

    fn default_deadline(&self) -> Millis {
        self.clock.now() + Millis::secs(2)
    }

    fn shard_write_attempts(&self) -> u64 {
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
async fn repeat_at_another_node_returns_the_claim_in_flight() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.node("a"), fixture.node("b"));
    let claim_request = fixture.claim_request("order-1", "palette");

    let won = first.claim(claim_request.clone()).await;
    let repeat = second
        .claim(fixture.claim_request("order-1", "palette"))
        .await;

    assert!(matches!(won, ClaimOutcome::Won(_)));
    let ClaimOutcome::Repeat(entry) = repeat else {
        panic!("expected a repeat, got {repeat:?}");
    };
    assert_eq!(entry.request, claim_request.request);
    assert_eq!(entry.state, State::Claimed);
}

#[tokio::test(start_paused = true)]
async fn repeat_of_a_finished_key_returns_the_recorded_outcome() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.node("a"), fixture.node("b"));
    let ClaimOutcome::Won(claim) = first
        .claim(fixture.claim_request("order-1", "palette"))
        .await
    else {
        panic!("expected to win a free key");
    };

    let durability = first
        .settle(&claim, outcome("done"), fixture.default_deadline())
        .await;
    let repeat = second
        .claim(fixture.claim_request("order-1", "palette"))
        .await;

    assert_eq!(durability, Durability::Durable);
    let ClaimOutcome::Repeat(entry) = repeat else {
        panic!("expected a repeat, got {repeat:?}");
    };
    assert_eq!(entry.state, State::Done(outcome("done")));
}

#[tokio::test(start_paused = true)]
async fn same_key_with_a_different_body_is_a_mismatch() {
    let fixture = Fixture::new();
    let node = fixture.node("a");
    let claim_request = fixture.claim_request("order-1", "palette");
    let request = claim_request.request;
    let _won = node.claim(claim_request).await;

    let other = node
        .claim(fixture.claim_request("order-1", "another palette"))
        .await;

    assert!(matches!(other, ClaimOutcome::Mismatch(holder) if holder == request));
}

#[tokio::test(start_paused = true)]
async fn released_key_can_be_won_again() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.node("a"), fixture.node("b"));
    let ClaimOutcome::Won(claim) = first
        .claim(fixture.claim_request("order-1", "palette"))
        .await
    else {
        panic!("expected to win a free key");
    };

    let durability = first.release(claim, fixture.default_deadline()).await;
    let reclaim = second
        .claim(fixture.claim_request("order-1", "palette"))
        .await;

    assert_eq!(durability, Durability::Durable);
    assert!(matches!(reclaim, ClaimOutcome::Won(_)));
}

#[tokio::test(start_paused = true)]
async fn large_body_is_recorded_by_length_and_hash() {
    let fixture = Fixture::new();
    let node = fixture.node("a");
    let ClaimOutcome::Won(claim) = node
        .claim(fixture.claim_request("order-1", "palette"))
        .await
    else {
        panic!("expected to win a free key");
    };
    let body = Bytes::from(vec![7; Config::default().inline_body + 1]);
    let large = RecordedOutcome::inline(200, "image/png".into(), body.clone());

    node.settle(&claim, large, fixture.default_deadline()).await;
    let repeat = node
        .claim(fixture.claim_request("order-1", "palette"))
        .await;

    let ClaimOutcome::Repeat(entry) = repeat else {
        panic!("expected a repeat, got {repeat:?}");
    };
    let State::Done(recorded) = entry.state else {
        panic!("expected a recorded outcome");
    };
    let expected = Body::Omitted {
        length: body.len() as u64,
        digest: digest(&body),
    };
    assert_eq!(recorded.body, expected);
}

#[tokio::test(start_paused = true)]
async fn entries_expire_after_window_and_clock_skew() {
    let fixture = Fixture::new();
    let node = fixture.node("a");
    let _won = node
        .claim(fixture.claim_request("order-1", "palette"))
        .await;

    let skew = Config::default().max_skew;
    tokio::time::advance((DAY + skew).duration()).await;
    let before = node
        .claim(fixture.claim_request("order-1", "palette"))
        .await;
    tokio::time::advance(Millis(1).duration()).await;
    let after = node
        .claim(fixture.claim_request("order-1", "palette"))
        .await;

    assert!(matches!(before, ClaimOutcome::Repeat(_)));
    assert!(matches!(after, ClaimOutcome::Won(_)));
}

#[tokio::test(start_paused = true)]
async fn queued_claims_are_committed_in_one_write() {
    let fixture = Fixture::new();
    let config = Config {
        shards: 1,
        ..Config::default()
    };
    let node = fixture.node_with("a", config);
    let _first = node
        .claim(fixture.claim_request("order-0", "palette"))
        .await;
    let before = fixture.shard_write_attempts();

    let claimants: Vec<_> = (1..=20)
        .map(|n| {
            let (node, claim_request) = (
                node.clone(),
                fixture.claim_request(&format!("order-{n}"), "palette"),
            );
            tokio::spawn(
                async move { matches!(node.claim(claim_request).await, ClaimOutcome::Won(_)) },
            )
        })
        .collect();
    for task in claimants {
        assert!(task.await.expect("the claim task does not panic"));
    }

    assert_eq!(fixture.shard_write_attempts() - before, 1);
}

#[tokio::test(start_paused = true)]
async fn write_with_lost_response_is_recognised_by_its_write_id() {
    let fixture = Fixture::new();
    let node = fixture.node("a");
    fixture.table.set_faults(|faults| faults.delay = Millis(5));
    let claim_request = fixture.claim_request("order-1", "palette");
    let claiming = tokio::spawn({
        let node = node.clone();
        async move { node.claim(claim_request).await }
    });
    // The read has taken effect, so the next response to be lost is that of the write.
    tokio::time::sleep(Millis(6).duration()).await;
    fixture.table.set_faults(|faults| faults.lose_answers = 1);

    let outcome = claiming.await.expect("the claim task does not panic");

    assert!(matches!(outcome, ClaimOutcome::Won(_)));
    assert_eq!(fixture.table.counts().commits, 1);
}

#[tokio::test(start_paused = true)]
async fn claim_that_times_out_during_its_write_is_withdrawn() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.node("a"), fixture.node("b"));
    fixture.table.set_faults(|faults| faults.delay = Millis(5));
    let claim_request = fixture.claim_request("order-1", "palette");
    let claiming = tokio::spawn({
        let first = first.clone();
        async move { first.claim(claim_request).await }
    });
    // The read has been sent with the short delay; the write reaches the table only after the
    // claim has timed out.
    tokio::time::sleep(Millis(3).duration()).await;
    fixture
        .table
        .set_faults(|faults| faults.delay = Millis::secs(4));

    let timed_out = claiming.await.expect("the claim task does not panic");
    fixture
        .table
        .set_faults(|faults| faults.delay = Millis::ZERO);
    tokio::time::sleep(Millis::secs(5).duration()).await;
    let retry = second
        .claim(fixture.claim_request("order-1", "palette"))
        .await;

    assert!(matches!(timed_out, ClaimOutcome::Unavailable));
    assert!(matches!(retry, ClaimOutcome::Won(_)), "{retry:?}");
    assert_eq!(first.pending(), 0);
}

#[tokio::test(start_paused = true)]
async fn claim_during_an_outage_is_unavailable_and_leaves_no_entry() {
    let fixture = Fixture::new();
    let node = fixture.node("a");
    fixture
        .table
        .set_faults(|faults| faults.down_until = Millis::MAX);

    let outcome = node
        .claim(fixture.claim_request("order-1", "palette"))
        .await;

    assert!(matches!(outcome, ClaimOutcome::Unavailable));
    assert!(fixture.table.peek("claims/").is_empty());
}

#[tokio::test(start_paused = true)]
async fn released_claim_does_not_expose_an_older_entry_in_a_page() {
    let fixture = Fixture::new();
    let config = Config {
        shards: 1,
        row_entries: 1,
        ..Config::default()
    };
    let node = fixture.node_with("a", config);
    let ClaimOutcome::Won(first) = node
        .claim(fixture.claim_request("order-1", "palette"))
        .await
    else {
        panic!("expected to win a free key");
    };
    // The second entry exceeds `row_entries`, so both entries are moved to a page.
    let _other = node
        .claim(fixture.claim_request("order-2", "palette"))
        .await;
    node.release(first, fixture.default_deadline()).await;
    let ClaimOutcome::Won(second) = node
        .claim(fixture.claim_request("order-1", "palette"))
        .await
    else {
        panic!("expected to win a released key");
    };

    node.release(second, fixture.default_deadline()).await;
    let third = node
        .claim(fixture.claim_request("order-1", "palette"))
        .await;

    assert_eq!(fixture.table.peek("claims/").len(), 2);
    assert!(matches!(third, ClaimOutcome::Won(_)), "{third:?}");
}

#[tokio::test(start_paused = true)]
async fn holder_paused_past_the_window_must_not_dispatch() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.node("a"), fixture.node("b"));
    let ClaimOutcome::Won(claim) = first
        .claim(fixture.claim_request("order-1", "palette"))
        .await
    else {
        panic!("expected to win a free key");
    };
    assert!(claim.is_dispatchable(fixture.clock.now()));

    let end = claim.entry().expires + Config::default().max_skew + Millis(1);
    fixture.clock.sleep_until(end).await;
    let reclaim = second
        .claim(fixture.claim_request("order-1", "palette"))
        .await;

    assert!(matches!(reclaim, ClaimOutcome::Won(_)));
    assert!(!claim.is_dispatchable(fixture.clock.now()));
}

#[tokio::test(start_paused = true)]
async fn peer_commits_a_forwarded_claim_after_the_connection_breaks() {
    let fixture = Fixture::new();
    let (peer, other) = (fixture.node("a"), fixture.node("b"));
    fixture.table.set_faults(|faults| faults.delay = Millis(5));
    let claim_request = fixture.claim_request("order-1", "palette");
    let entry = Entry {
        key: claim_request.key,
        id: WriteId::generate(),
        owner: Owner {
            node: "c".into(),
            incarnation: Incarnation(1),
        },
        request: claim_request.request,
        digest: claim_request.digest,
        claimed: fixture.clock.now(),
        expires: fixture.clock.now() + DAY,
        state: State::Claimed,
    };
    let max_wait = Millis::secs(2);
    let serving = peer.clone();
    let served =
        tokio::spawn(async move { serving.serve(Change::Claim { entry, max_wait }).await });
    // The write of the claim is in flight when the connection breaks.
    tokio::time::sleep(Millis(8).duration()).await;
    served.abort();
    tokio::time::sleep(Millis::secs(1).duration()).await;

    let repeat = other
        .claim(fixture.claim_request("order-1", "palette"))
        .await;

    assert!(matches!(repeat, ClaimOutcome::Repeat(_)), "{repeat:?}");
}
