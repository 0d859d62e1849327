//! The document feed in calm and at single faults.

use std::sync::Arc;

use dotterel_coord::feed::{Config, PollOutcome};
use dotterel_coord::{ApplyOutcome, Feed, OfferOutcome};
use dotterel_kernel::{Clock, Millis, Revision, Service};
use dotterel_standin::FakeTable;

struct Bench {
    clock: Clock,
    table: FakeTable,
}

impl Bench {
    fn new() -> Self {
        let clock = Clock::starting_at(Millis::secs(86_400));
        let table = FakeTable::new(clock);
        Self { clock, table }
    }

    fn node(&self, name: &str) -> Feed {
        Feed::new(
            Arc::new(self.table.for_caller(name)),
            self.clock,
            Config::default(),
        )
    }

    async fn apply(&self, feed: &Feed, start: u32, expect: Option<u64>) -> ApplyOutcome {
        let deadline = self.clock.now() + Millis::secs(2);
        let expect = expect.map(Revision);
        feed.apply(&quotes(), &text(start), expect, &"a".into(), deadline)
            .await
    }
}

fn quotes() -> Service {
    "quotes".into()
}

/// A document whose text differs by its start limit.
fn text(start: u32) -> String {
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

fn accepted(revision: u64) -> ApplyOutcome {
    ApplyOutcome::Accepted {
        revision: Revision(revision),
    }
}

fn revision(feed: &Feed) -> Option<Revision> {
    feed.active(&quotes()).map(|held| held.revision)
}

#[tokio::test(start_paused = true)]
async fn second_of_two_racing_edits_gets_the_current_text() {
    let bench = Bench::new();
    let (first, second) = (bench.node("a"), bench.node("b"));

    assert_eq!(bench.apply(&first, 1000, None).await, accepted(1));
    assert_eq!(bench.apply(&first, 1100, Some(1)).await, accepted(2));
    let lost = bench.apply(&second, 1200, Some(1)).await;

    let expected = ApplyOutcome::Conflict {
        current: Revision(2),
        text: text(1100).into(),
    };
    assert_eq!(lost, expected);
    assert_eq!(revision(&second), Some(Revision(2)));
}

#[tokio::test(start_paused = true)]
async fn idle_poll_is_one_read() {
    let bench = Bench::new();
    let (first, second) = (bench.node("a"), bench.node("b"));
    bench.apply(&first, 1000, None).await;
    assert_eq!(second.poll().await, PollOutcome::Read(1));
    let before = bench.table.counts().reads;

    assert_eq!(second.poll().await, PollOutcome::Read(0));

    assert_eq!(bench.table.counts().reads - before, 1);
}

#[tokio::test(start_paused = true)]
async fn lower_revision_from_a_peer_is_not_taken() {
    let bench = Bench::new();
    let feed = bench.node("a");

    assert_eq!(
        feed.offer(&quotes(), Revision(5), &text(1000)),
        OfferOutcome::Accepted
    );
    let lower = feed.offer(&quotes(), Revision(4), &text(900));

    assert_eq!(lower, OfferOutcome::NotNewer(Revision(5)));
    assert_eq!(revision(&feed), Some(Revision(5)));
}

#[tokio::test(start_paused = true)]
async fn unusable_text_from_a_peer_is_not_taken() {
    let bench = Bench::new();
    let feed = bench.node("a");

    let offered = feed.offer(&quotes(), Revision(1), "service = 3");

    assert!(matches!(offered, OfferOutcome::Invalid(_)));
    assert_eq!(revision(&feed), None);
}

#[tokio::test(start_paused = true)]
async fn edit_whose_answer_was_lost_is_found_by_its_mark() {
    let bench = Bench::new();
    let (first, second) = (bench.node("a"), bench.node("b"));
    bench.apply(&second, 1000, None).await;
    bench.table.set_faults(|faults| faults.delay = Millis(5));
    let edit = bench.apply(&first, 1100, Some(1));
    let rest = async {
        // The document and the head have been read; the write's answer is the next one.
        tokio::time::sleep(Millis(12).duration()).await;
        bench.table.set_faults(|faults| faults.lose_answers = 1);
    };

    let (applied, ()) = tokio::join!(edit, rest);

    assert_eq!(applied, accepted(2));
    assert_eq!(bench.table.counts().commits, 2);
}

#[tokio::test(start_paused = true)]
async fn fresh_node_in_an_outage_takes_the_highest_of_its_peers() {
    let bench = Bench::new();
    let (old, new) = (bench.node("a"), bench.node("b"));
    bench.apply(&old, 1000, None).await;
    bench.apply(&new, 1100, Some(1)).await;
    bench
        .table
        .set_faults(|faults| faults.down_until = Millis::MAX);
    let fresh = bench.node("c");

    assert_eq!(fresh.poll().await, PollOutcome::Failed);
    for peer in [&new, &old] {
        for passed in peer.snapshot() {
            fresh.offer(&passed.service, passed.revision, &passed.text);
        }
    }

    assert_eq!(revision(&fresh), Some(Revision(2)));
}
