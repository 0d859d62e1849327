//! Scenarios of the account of a node that dies.

#[path = "support/journal.rs"]
mod support;

use std::fmt;

use cucumber::writer::Stats;
use cucumber::{World, given, then, when};
use dotterel_coord::journal::{Config, LookupOutcome};
use dotterel_kernel::{Fate, Millis};
use dotterel_standin::Faults;
use support::{LIFE, Node, START, name};

#[derive(Default, World)]
struct Accounting {
    node: Option<Node>,
}

impl fmt::Debug for Accounting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let truths = self.node.as_ref().map(|node| &node.truths);
        write!(f, "truth: {truths:?}")
    }
}

impl Accounting {
    fn node(&mut self) -> &mut Node {
        self.node.as_mut().expect("a scenario starts with a node")
    }

    async fn found(&mut self, index: usize) -> LookupOutcome {
        let request = self.node().truths[index].request;
        let reader = self.node().reader();
        let found = reader.lookup(&name(), LIFE, request).await;
        found.expect("the store answers")
    }
}

#[given("a node with a journal")]
async fn node(world: &mut Accounting) {
    world.node = Some(Node::new(Config::default()));
}

#[given(expr = "a node with a journal of {int} closed requests")]
async fn small_node(world: &mut Accounting, max_closed: usize) {
    world.node = Some(Node::new(Config {
        max_closed,
        ..Config::default()
    }));
}

#[given("the store is down")]
#[when("the store is down")]
async fn down(world: &mut Accounting) {
    let store = &world.node().store;
    store.set_faults(|faults| faults.down_until = Millis::MAX);
}

#[when(expr = "the next {int} answers of the store are lost")]
async fn lose(world: &mut Accounting, count: u32) {
    let store = &world.node().store;
    store.set_faults(|faults| faults.lose_answers = count);
}

#[when("all faults end")]
async fn heal(world: &mut Accounting) {
    let store = &world.node().store;
    store.set_faults(|faults| *faults = Faults::default());
}

#[when(expr = "{int} requests arrive")]
async fn arrive(world: &mut Accounting, count: usize) {
    (0..count).for_each(|_| world.node().open());
}

#[when(expr = "request {int} starts")]
async fn starts(world: &mut Accounting, number: usize) {
    world.node().start(number - 1);
}

#[when(expr = "request {int} ends")]
async fn ends(world: &mut Accounting, number: usize) {
    world.node().close(number - 1);
}

#[when("all requests end")]
async fn all_end(world: &mut Accounting) {
    let count = world.node().truths.len();
    (0..count).for_each(|index| world.node().close(index));
}

#[when(expr = "{int} ms pass")]
async fn pass(_: &mut Accounting, span: u64) {
    tokio::time::sleep(Millis(span).duration()).await;
}

#[when("the node dies")]
async fn dies(world: &mut Accounting) {
    world.node().die().await;
}

#[then(expr = "its account tells {int} arrived, {int} ran, {int} unknown and {int} not run")]
async fn tells(world: &mut Accounting, arrived: u64, ran: u64, unknown: u64, dropped: u64) {
    let account = world.node().remains().await;
    let line = &account.lines[0];
    let not_run: u64 = line.not_run.iter().map(|(_, count)| count).sum();
    let seen = (line.arrived, line.ran, line.unknown, not_run);
    assert_eq!(seen, (arrived, ran, unknown, dropped));
    assert!(!account.gaps.is_empty());
}

#[then(expr = "request {int} is found as {string}")]
async fn is_found(world: &mut Accounting, number: usize, word: String) {
    let fate = match world.found(number - 1).await {
        LookupOutcome::Settled(record) | LookupOutcome::Unsettled(record) => record.fate,
        LookupOutcome::Absent(_) => None,
    };
    assert_eq!(fate.map_or("absent", |fate: Fate| fate.as_str()), word);
}

#[then("every request that is not found is within a gap")]
async fn within_gap(world: &mut Accounting) {
    let gaps = world.node().remains().await.gaps;
    for index in 0..world.node().truths.len() {
        let arrived = world.node().truths[index].arrived;
        let absent = matches!(world.found(index).await, LookupOutcome::Absent(_));
        assert!(!absent || gaps.iter().any(|gap| gap.since <= arrived));
    }
}

#[then("the gaps name the number of dropped requests")]
async fn number_dropped(world: &mut Accounting) {
    let account = world.node().remains().await;
    let arrived = world.node().truths.len() as u64;
    let causes = account.gaps.iter().map(|gap| &gap.cause);
    let named: u64 = causes
        .filter(|cause| cause.contains("dropped"))
        .filter_map(|cause| cause.split(' ').next()?.parse::<u64>().ok())
        .sum();
    assert_eq!(named, arrived - account.lines[0].arrived);
    let own = world.node().journal.account(None, START);
    assert_eq!(own.lines[0].arrived, arrived);
}

#[tokio::test(start_paused = true)]
async fn account_holds_in_every_scenario() {
    let writer = Accounting::cucumber()
        .with_default_cli()
        .fail_on_skipped()
        .max_concurrent_scenarios(1)
        .run("tests/features/account.feature")
        .await;

    assert!(!writer.execution_has_failed());
}
