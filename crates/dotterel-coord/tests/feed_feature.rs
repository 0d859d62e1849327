//! Scenarios of documents under single faults.

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
struct Editing {
    cluster: Option<Cluster>,
    edits: Vec<(u32, JoinHandle<ApplyOutcome>)>,
    lost: Option<ApplyOutcome>,
    winner: u32,
}

impl fmt::Debug for Editing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lives = self.cluster.as_ref().map(|cluster| &cluster.lives);
        write!(f, "in force: {lives:?}")
    }
}

impl Editing {
    fn cluster(&mut self) -> &mut Cluster {
        self.cluster.as_mut().expect("a scenario starts with nodes")
    }

    async fn applied(&mut self, start: u32) -> ApplyOutcome {
        let index = self.edits.iter().position(|(of, _)| *of == start);
        let (_, applying) = self.edits.remove(index.expect("the edit was sent"));
        applying.await.expect("an edit does not panic")
    }
}

fn index(node: &str) -> usize {
    let found = NODES.iter().position(|name| *name == node);
    found.expect("the scenario names a known node")
}

fn accepted(revision: u64) -> ApplyOutcome {
    ApplyOutcome::Accepted {
        revision: Revision(revision),
    }
}

#[given(expr = "nodes {string}, {string} and {string}")]
async fn nodes(world: &mut Editing, a: String, b: String, c: String) {
    world.cluster = Some(Cluster::new(&[&a, &b, &c]));
}

#[given(expr = "edit {int} was accepted at node {string} as revision {int}")]
async fn was_accepted(world: &mut Editing, start: u32, node: String, revision: u64) {
    let before = (revision > 1).then_some(Revision(revision - 1));
    let edit = world.cluster().edit(index(&node), start, before);
    assert_eq!(edit.await, accepted(revision));
    tokio::time::sleep(Millis::secs(3).duration()).await;
}

#[given(expr = "calls to the table take {int} ms")]
async fn slow(world: &mut Editing, delay: u64) {
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.delay = Millis(delay));
}

#[given("the table is down")]
async fn down(world: &mut Editing) {
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.down_until = Millis::MAX);
}

#[given(expr = "node {string} is cut from the table")]
async fn cut(world: &mut Editing, node: String) {
    world.cluster().cut(index(&node));
}

#[given(expr = "node {string} is isolated")]
async fn isolated(world: &mut Editing, node: String) {
    world.cluster().isolate(index(&node));
}

#[when(expr = "edit {int} of revision {int} is sent to node {string}")]
async fn send(world: &mut Editing, start: u32, expect: u64, node: String) {
    let edit = world
        .cluster()
        .edit(index(&node), start, Some(Revision(expect)));
    world.edits.push((start, tokio::spawn(edit)));
}

#[when(expr = "edit {int} of revision {int} is written past the nodes")]
async fn write_past(world: &mut Editing, start: u32, expect: u64) {
    let faults = world.cluster().table.faults();
    world
        .cluster()
        .table
        .set_faults(|faults| *faults = Faults::default());
    let (table, clock) = (world.cluster().table.clone(), world.cluster().clock);
    let other = Cluster::over(table, clock, &["other"]);
    let edit = other.edit(0, start, Some(Revision(expect)));
    assert_eq!(edit.await, accepted(expect + 1));
    world
        .cluster()
        .table
        .set_faults(|present| *present = faults);
}

#[when(expr = "the next {int} answers of the table are lost")]
async fn lose(world: &mut Editing, count: u32) {
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.lose_answers = count);
}

#[when(expr = "{int} ms pass")]
async fn pass(_: &mut Editing, span: u64) {
    tokio::time::sleep(Millis(span).duration()).await;
}

#[when(expr = "node {string} restarts")]
async fn restarts(world: &mut Editing, node: String) {
    world.cluster().restart(index(&node));
}

#[when(expr = "late messages reach node {string}")]
async fn late(world: &mut Editing, node: String) {
    world.cluster().replay(index(&node));
}

#[when("all faults end")]
async fn heal(world: &mut Editing) {
    world.cluster().heal();
}

#[then(expr = "edit {int} is accepted as revision {int}")]
async fn is_accepted(world: &mut Editing, start: u32, revision: u64) {
    assert_eq!(world.applied(start).await, accepted(revision));
}

#[then(expr = "edit {int} is not accepted")]
async fn not_accepted(world: &mut Editing, start: u32) {
    let applied = world.applied(start).await;
    assert_eq!(
        applied,
        ApplyOutcome::Unavailable {
            maybe_applied: false
        }
    );
}

#[then(expr = "exactly one of the edits {int} and {int} is accepted as revision {int}")]
async fn one_accepted(world: &mut Editing, one: u32, other: u32, revision: u64) {
    let first = world.applied(one).await;
    let second = world.applied(other).await;
    let (winner, lost) = match (first == accepted(revision), second == accepted(revision)) {
        (true, false) => (one, second),
        (false, true) => (other, first),
        _ => panic!("{first:?} and {second:?}"),
    };
    world.winner = winner;
    world.lost = Some(lost);
}

#[then("the other one is told the current text")]
async fn told_current(world: &mut Editing) {
    let current = ApplyOutcome::Conflict {
        current: Revision(2),
        text: text(world.winner).into(),
    };
    assert_eq!(world.lost, Some(current));
}

#[then(expr = "node {string} has revision {int}")]
async fn has(world: &mut Editing, node: String, revision: u64) {
    let held = world.cluster().revision(index(&node));
    assert_eq!(held, Some(Revision(revision)));
}

#[then(expr = "node {string} has no revision")]
async fn has_none(world: &mut Editing, node: String) {
    assert_eq!(world.cluster().revision(index(&node)), None);
}

#[then(expr = "within {int} ms every node has revision {int}")]
async fn everywhere(world: &mut Editing, span: u64, revision: u64) {
    tokio::time::sleep(Millis(span).duration()).await;
    for (index, name) in NODES.iter().enumerate() {
        let held = world.cluster().revision(index);
        assert_eq!(held, Some(Revision(revision)), "at {name}");
    }
}

#[tokio::test(start_paused = true)]
async fn documents_hold_in_every_scenario() {
    let writer = Editing::cucumber()
        .with_default_cli()
        .fail_on_skipped()
        .max_concurrent_scenarios(1)
        .run("tests/features/documents.feature")
        .await;

    assert!(!writer.execution_has_failed());
}
