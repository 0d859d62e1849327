//! Tests the document feed without faults and under single faults of the table.

use std::sync::Arc;

use dotterel_coord::feed::{Config, PollOutcome};
use dotterel_coord::{ApplyOutcome, Feed, OfferOutcome};
use dotterel_kernel::{Clock, Millis, Revision, Service};
use dotterel_standin::FakeTable;

struct Fixture {
    clock: Clock,
    table: FakeTable,
}

impl Fixture {
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

    async fn apply(&self, feed: &Feed, start_ms: u32, expected: Option<u64>) -> ApplyOutcome {
        let deadline = self.clock.now() + Millis::secs(2);
        let expected = expected.map(Revision);
        feed.apply(&quotes(), &text(start_ms), expected, &"a".into(), deadline)
            .await
    }
}

fn quotes() -> Service {
    "quotes".into()
}

/// Returns the text of a document; its start limit identifies the edit.
fn text(start_ms: u32) -> String {
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

fn accepted(revision: u64) -> ApplyOutcome {
    ApplyOutcome::Accepted {
        revision: Revision(revision),
    }
}

fn revision(feed: &Feed) -> Option<Revision> {
    feed.active(&quotes()).map(|document| document.revision)
}

#[tokio::test(start_paused = true)]
async fn second_of_two_concurrent_edits_returns_the_current_text() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.node("a"), fixture.node("b"));

    assert_eq!(fixture.apply(&first, 1000, None).await, accepted(1));
    assert_eq!(fixture.apply(&first, 1100, Some(1)).await, accepted(2));
    let conflict = fixture.apply(&second, 1200, Some(1)).await;

    let expected = ApplyOutcome::Conflict {
        current: Revision(2),
        text: text(1100).into(),
    };
    assert_eq!(conflict, expected);
    assert_eq!(revision(&second), Some(Revision(2)));
}

#[tokio::test(start_paused = true)]
async fn poll_without_changes_is_one_read() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.node("a"), fixture.node("b"));
    fixture.apply(&first, 1000, None).await;
    assert_eq!(second.poll().await, PollOutcome::Read(1));
    let before = fixture.table.counts().reads;

    assert_eq!(second.poll().await, PollOutcome::Read(0));

    assert_eq!(fixture.table.counts().reads - before, 1);
}

#[tokio::test(start_paused = true)]
async fn lower_revision_from_a_peer_is_rejected() {
    let fixture = Fixture::new();
    let feed = fixture.node("a");

    assert_eq!(
        feed.offer(&quotes(), Revision(5), &text(1000)),
        OfferOutcome::Accepted
    );
    let lower = feed.offer(&quotes(), Revision(4), &text(900));

    assert_eq!(lower, OfferOutcome::NotNewer(Revision(5)));
    assert_eq!(revision(&feed), Some(Revision(5)));
}

#[tokio::test(start_paused = true)]
async fn invalid_document_from_a_peer_is_rejected() {
    let fixture = Fixture::new();
    let feed = fixture.node("a");

    let offered = feed.offer(&quotes(), Revision(1), "service = 3");

    assert!(matches!(offered, OfferOutcome::Invalid(_)));
    assert_eq!(revision(&feed), None);
}

#[tokio::test(start_paused = true)]
async fn edit_with_lost_response_is_recognised_by_its_write_id() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.node("a"), fixture.node("b"));
    fixture.apply(&second, 1000, None).await;
    fixture.table.set_faults(|faults| faults.delay = Millis(5));
    let edit = fixture.apply(&first, 1100, Some(1));
    let lose_response = async {
        // Both reads (document and head) have taken effect, so the next response to be lost is that
        // of the write.
        tokio::time::sleep(Millis(12).duration()).await;
        fixture.table.set_faults(|faults| faults.lose_answers = 1);
    };

    let (applied, ()) = tokio::join!(edit, lose_response);

    assert_eq!(applied, accepted(2));
    assert_eq!(fixture.table.counts().commits, 2);
}

#[tokio::test(start_paused = true)]
async fn new_node_in_an_outage_adopts_the_highest_peer_revision() {
    let fixture = Fixture::new();
    let (outdated, current) = (fixture.node("a"), fixture.node("b"));
    fixture.apply(&outdated, 1000, None).await;
    fixture.apply(&current, 1100, Some(1)).await;
    fixture
        .table
        .set_faults(|faults| faults.down_until = Millis::MAX);
    let new_node = fixture.node("c");

    assert_eq!(new_node.poll().await, PollOutcome::Failed);
    for peer in [&current, &outdated] {
        for update in peer.snapshot() {
            new_node.offer(&update.service, update.revision, &update.text);
        }
    }

    assert_eq!(revision(&new_node), Some(Revision(2)));
}
