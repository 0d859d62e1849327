//! Runs the scenarios of `account.feature`: the account of a node that crashes.

#[path = "support/journal.rs"]
mod support;

use std::fmt;

use cucumber::writer::Stats;
use cucumber::{World, given, then, when};
use dotterel_coord::journal::{Config, LookupOutcome};
use dotterel_kernel::{Fate, Millis};
use dotterel_standin::Faults;
use support::{INCARNATION, Node, START_TIME, node_name};

#[derive(Default, World)]
struct JournalWorld {
    node: Option<Node>,
}

impl fmt::Debug for JournalWorld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let requests = self.node.as_ref().map(|node| &node.requests);
        write!(f, "requests: {requests:?}")
    }
}

impl JournalWorld {
    fn node(&mut self) -> &mut Node {
        self.node
            .as_mut()
            .expect("the scenario starts its node first")
    }

    async fn lookup_request(&mut self, index: usize) -> LookupOutcome {
        let request = self.node().requests[index].request;
        let reader = self.node().reader();
        let outcome = reader.lookup(&node_name(), INCARNATION, request).await;
        outcome.expect("the store is readable")
    }
}

#[given("a node with a journal")]
async fn start_node(world: &mut JournalWorld) {
    world.node = Some(Node::new(Config::default()));
}

#[given(expr = "a node whose journal keeps at most {int} closed requests")]
async fn start_node_with_small_buffer(world: &mut JournalWorld, max_closed: usize) {
    world.node = Some(Node::new(Config {
        max_closed,
        ..Config::default()
    }));
}

#[given("the store is down")]
#[when("the store is down")]
async fn stop_store(world: &mut JournalWorld) {
    let store = &world.node().store;
    store.set_faults(|faults| faults.down_until = Millis::MAX);
}

#[when(expr = "the next {int} responses of the store are lost")]
async fn lose_responses(world: &mut JournalWorld, count: u32) {
    let store = &world.node().store;
    store.set_faults(|faults| faults.lose_answers = count);
}

#[when("all faults end")]
async fn end_faults(world: &mut JournalWorld) {
    let store = &world.node().store;
    store.set_faults(|faults| *faults = Faults::default());
}

#[when(expr = "{int} requests arrive")]
async fn open_requests(world: &mut JournalWorld, count: usize) {
    (0..count).for_each(|_| world.node().open());
}

#[when(expr = "request {int} starts")]
async fn start_request(world: &mut JournalWorld, number: usize) {
    world.node().start(number - 1);
}

#[when(expr = "request {int} ends")]
async fn end_request(world: &mut JournalWorld, number: usize) {
    world.node().close(number - 1);
}

#[when("all requests end")]
async fn end_all_requests(world: &mut JournalWorld) {
    let count = world.node().requests.len();
    (0..count).for_each(|index| world.node().close(index));
}

#[when(expr = "{int} ms pass")]
async fn wait(_: &mut JournalWorld, duration_ms: u64) {
    tokio::time::sleep(Millis(duration_ms).duration()).await;
}

#[when("the node crashes")]
async fn crash(world: &mut JournalWorld) {
    world.node().crash().await;
}

#[then(expr = "its account reports {int} arrived, {int} ran, {int} unknown and {int} not run")]
async fn account_reports(
    world: &mut JournalWorld,
    arrived: u64,
    ran: u64,
    unknown: u64,
    expected_not_run: u64,
) {
    let account = world.node().shipped_account().await;
    let line = &account.lines[0];
    let not_run: u64 = line.not_run.iter().map(|(_, count)| count).sum();
    let counts = (line.arrived, line.ran, line.unknown, not_run);
    assert_eq!(counts, (arrived, ran, unknown, expected_not_run));
    assert!(!account.gaps.is_empty());
}

#[then(expr = "request {int} is found as {string}")]
async fn request_is_found(world: &mut JournalWorld, number: usize, expected: String) {
    let fate = match world.lookup_request(number - 1).await {
        LookupOutcome::Settled(record) | LookupOutcome::Unsettled(record) => record.fate,
        LookupOutcome::Absent(_) => None,
    };
    assert_eq!(fate.map_or("absent", |fate: Fate| fate.as_str()), expected);
}

#[then("every request that is not found is within a gap")]
async fn missing_requests_are_in_gaps(world: &mut JournalWorld) {
    let gaps = world.node().shipped_account().await.gaps;
    for index in 0..world.node().requests.len() {
        let arrived = world.node().requests[index].arrived;
        let absent = matches!(world.lookup_request(index).await, LookupOutcome::Absent(_));
        assert!(!absent || gaps.iter().any(|gap| gap.since <= arrived));
    }
}

#[then("the gaps state the number of dropped requests")]
async fn gaps_state_dropped(world: &mut JournalWorld) {
    let account = world.node().shipped_account().await;
    let arrived = world.node().requests.len() as u64;
    let causes = account.gaps.iter().map(|gap| &gap.cause);
    let reported: u64 = causes
        .filter(|cause| cause.contains("dropped"))
        .filter_map(|cause| cause.split(' ').next()?.parse::<u64>().ok())
        .sum();
    assert_eq!(reported, arrived - account.lines[0].arrived);
    let own_account = world.node().journal.account(None, START_TIME);
    assert_eq!(own_account.lines[0].arrived, arrived);
}

#[tokio::test(start_paused = true)]
async fn all_account_scenarios_pass() {
    let writer = JournalWorld::cucumber()
        .with_default_cli()
        .fail_on_skipped()
        .max_concurrent_scenarios(1)
        .run("tests/features/account.feature")
        .await;

    assert!(!writer.execution_has_failed());
}
