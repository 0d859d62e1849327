//! Runs the scenarios of `documents.feature`: document edits under single faults.

#[path = "support/feed.rs"]
mod support;

use std::fmt;

use cucumber::writer::Stats;
use cucumber::{World, given, then, when};
use dotterel_coord::ApplyOutcome;
use dotterel_kernel::{Millis, Revision};
use dotterel_standin::Faults;
use support::{Cluster, text};
use tokio::task::JoinHandle;

const NODES: [&str; 3] = ["a", "b", "c"];

#[derive(Default, World)]
struct FeedWorld {
    cluster: Option<Cluster>,
    edits: Vec<(u32, JoinHandle<ApplyOutcome>)>,
    /// The outcome of the edit that was not accepted.
    conflict: Option<ApplyOutcome>,
    /// The start limit of the edit that was accepted.
    winner: u32,
}

impl fmt::Debug for FeedWorld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let histories = self.cluster.as_ref().map(|cluster| &cluster.histories);
        write!(f, "histories: {histories:?}")
    }
}

impl FeedWorld {
    fn cluster(&mut self) -> &mut Cluster {
        self.cluster
            .as_mut()
            .expect("the scenario starts its nodes first")
    }

    async fn wait_for_outcome(&mut self, start_ms: u32) -> ApplyOutcome {
        let position = self
            .edits
            .iter()
            .position(|(edit_start_ms, _)| *edit_start_ms == start_ms);
        let (_, task) = self.edits.remove(position.expect("the edit was sent"));
        task.await.expect("the edit task does not panic")
    }
}

fn node_index(node: &str) -> usize {
    let position = NODES.iter().position(|name| *name == node);
    position.expect("the scenario names a known node")
}

fn accepted(revision: u64) -> ApplyOutcome {
    ApplyOutcome::Accepted {
        revision: Revision(revision),
    }
}

#[given(expr = "nodes {string}, {string} and {string}")]
async fn start_nodes(world: &mut FeedWorld, a: String, b: String, c: String) {
    world.cluster = Some(Cluster::new(&[&a, &b, &c]));
}

#[given(expr = "edit {int} was accepted at node {string} as revision {int}")]
async fn edit_was_accepted(world: &mut FeedWorld, start_ms: u32, node: String, revision: u64) {
    let previous = (revision > 1).then_some(Revision(revision - 1));
    let edit = world.cluster().edit(node_index(&node), start_ms, previous);
    assert_eq!(edit.await, accepted(revision));
    tokio::time::sleep(Millis::secs(3).duration()).await;
}

#[given(expr = "requests to the table take {int} ms")]
async fn delay_table(world: &mut FeedWorld, delay: u64) {
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.delay = Millis(delay));
}

#[given("the table is down")]
async fn stop_table(world: &mut FeedWorld) {
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.down_until = Millis::MAX);
}

#[given(expr = "node {string} is disconnected from the table")]
async fn disconnect_from_table(world: &mut FeedWorld, node: String) {
    world.cluster().disconnect_from_table(node_index(&node));
}

#[given(expr = "node {string} is isolated")]
async fn isolate(world: &mut FeedWorld, node: String) {
    world.cluster().isolate(node_index(&node));
}

#[when(expr = "edit {int} of revision {int} is sent to node {string}")]
async fn send_edit(world: &mut FeedWorld, start_ms: u32, expected: u64, node: String) {
    let edit = world
        .cluster()
        .edit(node_index(&node), start_ms, Some(Revision(expected)));
    world.edits.push((start_ms, tokio::spawn(edit)));
}

#[when(expr = "edit {int} of revision {int} is written to the table directly")]
async fn write_directly(world: &mut FeedWorld, start_ms: u32, expected: u64) {
    let faults = world.cluster().table.faults();
    world
        .cluster()
        .table
        .set_faults(|faults| *faults = Faults::default());
    let (table, clock) = (world.cluster().table.clone(), world.cluster().clock);
    let other = Cluster::with_table(table, clock, &["other"]);
    let edit = other.edit(0, start_ms, Some(Revision(expected)));
    assert_eq!(edit.await, accepted(expected + 1));
    world
        .cluster()
        .table
        .set_faults(|active_faults| *active_faults = faults);
}

#[when(expr = "the next {int} responses of the table are lost")]
async fn lose_responses(world: &mut FeedWorld, count: u32) {
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.lose_answers = count);
}

#[when(expr = "{int} ms pass")]
async fn wait(_: &mut FeedWorld, duration_ms: u64) {
    tokio::time::sleep(Millis(duration_ms).duration()).await;
}

#[when(expr = "node {string} restarts")]
async fn restart(world: &mut FeedWorld, node: String) {
    world.cluster().restart(node_index(&node));
}

#[when(expr = "delayed messages reach node {string}")]
async fn replay(world: &mut FeedWorld, node: String) {
    world.cluster().replay(node_index(&node));
}

#[when("all faults end")]
async fn end_faults(world: &mut FeedWorld) {
    world.cluster().clear_faults();
}

#[then(expr = "edit {int} is accepted as revision {int}")]
async fn edit_is_accepted(world: &mut FeedWorld, start_ms: u32, revision: u64) {
    assert_eq!(world.wait_for_outcome(start_ms).await, accepted(revision));
}

#[then(expr = "edit {int} is not accepted")]
async fn edit_is_not_accepted(world: &mut FeedWorld, start_ms: u32) {
    let outcome = world.wait_for_outcome(start_ms).await;
    assert_eq!(
        outcome,
        ApplyOutcome::Unavailable {
            maybe_applied: false
        }
    );
}

#[then(expr = "exactly one of the edits {int} and {int} is accepted as revision {int}")]
async fn one_edit_is_accepted(world: &mut FeedWorld, one: u32, other: u32, revision: u64) {
    let first = world.wait_for_outcome(one).await;
    let second = world.wait_for_outcome(other).await;
    let (winner, conflict) = match (first == accepted(revision), second == accepted(revision)) {
        (true, false) => (one, second),
        (false, true) => (other, first),
        _ => panic!("{first:?} and {second:?}"),
    };
    world.winner = winner;
    world.conflict = Some(conflict);
}

#[then("the other one receives the current text")]
async fn receives_current_text(world: &mut FeedWorld) {
    let current = ApplyOutcome::Conflict {
        current: Revision(2),
        text: text(world.winner).into(),
    };
    assert_eq!(world.conflict, Some(current));
}

#[then(expr = "node {string} has revision {int}")]
async fn has_revision(world: &mut FeedWorld, node: String, revision: u64) {
    let active = world.cluster().revision(node_index(&node));
    assert_eq!(active, Some(Revision(revision)));
}

#[then(expr = "node {string} has no revision")]
async fn has_no_revision(world: &mut FeedWorld, node: String) {
    assert_eq!(world.cluster().revision(node_index(&node)), None);
}

#[then(expr = "within {int} ms every node has revision {int}")]
async fn every_node_has_revision(world: &mut FeedWorld, duration_ms: u64, revision: u64) {
    tokio::time::sleep(Millis(duration_ms).duration()).await;
    for (number, name) in NODES.iter().enumerate() {
        let active = world.cluster().revision(number);
        assert_eq!(active, Some(Revision(revision)), "at {name}");
    }
}

#[tokio::test(start_paused = true)]
async fn all_document_scenarios_pass() {
    let writer = FeedWorld::cucumber()
        .with_default_cli()
        .fail_on_skipped()
        .max_concurrent_scenarios(1)
        .run("tests/features/documents.feature")
        .await;

    assert!(!writer.execution_has_failed());
}
