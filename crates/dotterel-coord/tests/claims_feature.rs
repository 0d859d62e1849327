//! Runs the scenarios of `claims.feature`: claims under single faults.

#[path = "support/claims.rs"]
#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::fmt;

use cucumber::writer::Stats;
use cucumber::{World, given, then, when};
use dotterel_coord::claims::{Durability, State};
use dotterel_kernel::Millis;
use support::{AfterClaim, Cluster, Response, claim_key, small_limits};
use tokio::task::JoinHandle;

const NODES: [&str; 3] = ["a", "b", "c"];

#[derive(Default, World)]
struct ClaimWorld {
    cluster: Option<Cluster>,
    callers: Vec<Option<JoinHandle<Response>>>,
}

impl fmt::Debug for ClaimWorld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let dispatched = self.cluster.as_ref().map(Cluster::dispatched);
        write!(f, "dispatched: {dispatched:?}")
    }
}

impl ClaimWorld {
    fn cluster(&self) -> &Cluster {
        self.cluster
            .as_ref()
            .expect("the scenario starts its nodes first")
    }

    fn send(&mut self, order: &str, node: &str, after_claim: AfterClaim) {
        let cluster = self.cluster();
        let claim_request = cluster.claim_request(order, order);
        let request = cluster.handle_request(node_index(node), claim_request, after_claim);
        self.callers.push(Some(tokio::spawn(request)));
    }
}

fn node_index(node: &str) -> usize {
    let position = NODES.iter().position(|name| *name == node);
    position.expect("the scenario names a known node")
}

/// Returns what the caller can conclude from a response.
fn label(response: &Response) -> &'static str {
    match response {
        Response::Ran => "ran",
        Response::Repeat(State::Done(_)) => "already ran",
        Response::Released(Durability::Durable) | Response::Unavailable => "not run",
        Response::Repeat(_) | Response::Released(Durability::Pending) | Response::Missing => {
            "unknown"
        }
        Response::Mismatch => "mismatch",
    }
}

#[given("nodes that each write to the table")]
async fn start_writing_nodes(world: &mut ClaimWorld) {
    world.cluster = Some(Cluster::new(&NODES, small_limits(), false, 1));
}

#[given("nodes that forward to each other")]
async fn start_forwarding_nodes(world: &mut ClaimWorld) {
    world.cluster = Some(Cluster::new(&NODES, small_limits(), true, 1));
}

#[given(expr = "requests to the table take {int} ms and responses {int} ms")]
async fn delay_table(world: &mut ClaimWorld, request_ms: u64, response_ms: u64) {
    world.cluster().table.set_faults(|faults| {
        faults.delay = Millis(request_ms);
        faults.answer_delay = Millis(response_ms);
    });
}

#[given(expr = "the table is down for {int} ms")]
async fn stop_table(world: &mut ClaimWorld, duration_ms: u64) {
    let until = world.cluster().clock.now() + Millis(duration_ms);
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.down_until = until);
}

#[given(expr = "node {string} is disconnected from the table")]
#[when(expr = "node {string} is disconnected from the table")]
async fn disconnect_from_table(world: &mut ClaimWorld, node: String) {
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.cut.push(node.into()));
}

#[given(expr = "node {string} crashes")]
#[when(expr = "node {string} crashes")]
async fn crash(world: &mut ClaimWorld, node: String) {
    world.cluster().nodes[node_index(&node)].liveness.kill();
}

#[when(expr = "the next {int} responses of the table are lost")]
async fn lose_responses(world: &mut ClaimWorld, count: u32) {
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.lose_answers = count);
}

#[when(expr = "order {string} is sent to node {string}")]
async fn send_order(world: &mut ClaimWorld, order: String, node: String) {
    world.send(&order, &node, AfterClaim::Runs);
}

#[when(expr = "order {string} is refused by the worker of node {string}")]
async fn send_refused_order(world: &mut ClaimWorld, order: String, node: String) {
    world.send(&order, &node, AfterClaim::Refused);
}

#[when(expr = "{int} ms pass")]
async fn wait(_: &mut ClaimWorld, duration_ms: u64) {
    tokio::time::sleep(Millis(duration_ms).duration()).await;
}

#[when("all faults end")]
async fn end_faults(world: &mut ClaimWorld) {
    world.cluster().clear_faults();
}

#[then(expr = "caller {int} receives {string}")]
async fn caller_receives(world: &mut ClaimWorld, caller: usize, expected: String) {
    let task = world.callers[caller - 1].take();
    let response = task.expect("each response is checked once").await;
    assert_eq!(
        label(&response.expect("the request handler does not panic")),
        expected
    );
}

#[then(expr = "order {string} ran {int} times")]
async fn order_ran(world: &mut ClaimWorld, order: String, runs: usize) {
    assert_eq!(world.cluster().runs(&claim_key(&order)), runs);
}

#[then(expr = "at least {int} order ran")]
async fn at_least_ran(world: &mut ClaimWorld, count: usize) {
    for caller in world.callers.iter_mut().filter_map(Option::take) {
        caller.await.expect("the request handler does not panic");
    }
    assert!(world.cluster().dispatched().len() >= count);
}

#[then(expr = "no order ran {int} times")]
async fn no_order_ran(world: &mut ClaimWorld, runs: usize) {
    let dispatched = world.cluster().dispatched();
    for run in &dispatched {
        assert!(world.cluster().runs(&run.key) < runs);
    }
}

#[tokio::test(start_paused = true)]
async fn all_claim_scenarios_pass() {
    let writer = ClaimWorld::cucumber()
        .with_default_cli()
        .fail_on_skipped()
        .max_concurrent_scenarios(1)
        .run("tests/features/claims.feature")
        .await;

    assert!(!writer.execution_has_failed());
}
