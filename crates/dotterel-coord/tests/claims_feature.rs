//! Scenarios of claims under single faults.

#[path = "support/claims.rs"]
#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::fmt;

use cucumber::writer::Stats;
use cucumber::{World, given, then, when};
use dotterel_coord::claims::{Durability, State};
use dotterel_kernel::Millis;
use support::{Cluster, End, Told, key_of, small};
use tokio::task::JoinHandle;

const NODES: [&str; 3] = ["a", "b", "c"];

#[derive(Default, World)]
struct Claiming {
    cluster: Option<Cluster>,
    callers: Vec<Option<JoinHandle<Told>>>,
}

impl fmt::Debug for Claiming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let dispatched = self.cluster.as_ref().map(Cluster::dispatched);
        write!(f, "dispatched: {dispatched:?}")
    }
}

impl Claiming {
    fn cluster(&self) -> &Cluster {
        self.cluster.as_ref().expect("a scenario starts with nodes")
    }

    fn send(&mut self, order: &str, node: &str, end: End) {
        let cluster = self.cluster();
        let ask = cluster.ask(order, order);
        let request = cluster.request(index(node), ask, end);
        self.callers.push(Some(tokio::spawn(request)));
    }
}

fn index(node: &str) -> usize {
    let found = NODES.iter().position(|name| *name == node);
    found.expect("the scenario names a known node")
}

/// What a caller would conclude.
fn word(told: &Told) -> &'static str {
    match told {
        Told::Ran => "ran",
        Told::Repeat(State::Done(_)) => "already ran",
        Told::Released(Durability::Durable) | Told::Unavailable => "not run",
        Told::Repeat(_) | Told::Released(Durability::Pending) | Told::Nothing => "unknown",
        Told::Mismatch => "mismatch",
    }
}

#[given("nodes that each write the table")]
async fn nodes(world: &mut Claiming) {
    world.cluster = Some(Cluster::new(&NODES, small(), false, 1));
}

#[given("nodes that forward to each other")]
async fn forwarding_nodes(world: &mut Claiming) {
    world.cluster = Some(Cluster::new(&NODES, small(), true, 1));
}

#[given(expr = "calls to the table take {int} ms and answers {int} ms")]
async fn slow(world: &mut Claiming, out: u64, back: u64) {
    world.cluster().table.set_faults(|faults| {
        faults.delay = Millis(out);
        faults.answer_delay = Millis(back);
    });
}

#[given(expr = "the table is down for {int} ms")]
async fn down(world: &mut Claiming, span: u64) {
    let until = world.cluster().clock.now() + Millis(span);
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.down_until = until);
}

#[given(expr = "node {string} is cut from the table")]
#[when(expr = "node {string} is cut from the table")]
async fn cut(world: &mut Claiming, node: String) {
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.cut.push(node.into()));
}

#[given(expr = "node {string} dies")]
#[when(expr = "node {string} dies")]
async fn dies(world: &mut Claiming, node: String) {
    world.cluster().nodes[index(&node)].life.end();
}

#[when(expr = "the next {int} answers of the table are lost")]
async fn lose(world: &mut Claiming, count: u32) {
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.lose_answers = count);
}

#[when(expr = "order {string} is sent to node {string}")]
async fn send(world: &mut Claiming, order: String, node: String) {
    world.send(&order, &node, End::Runs);
}

#[when(expr = "order {string} is refused by the worker of node {string}")]
async fn refused(world: &mut Claiming, order: String, node: String) {
    world.send(&order, &node, End::Refused);
}

#[when(expr = "{int} ms pass")]
async fn pass(_: &mut Claiming, span: u64) {
    tokio::time::sleep(Millis(span).duration()).await;
}

#[when("all faults end")]
async fn heal(world: &mut Claiming) {
    world.cluster().heal();
}

#[then(expr = "caller {int} is told {string}")]
async fn told(world: &mut Claiming, caller: usize, expected: String) {
    let task = world.callers[caller - 1].take();
    let told = task.expect("a caller is asked once").await;
    assert_eq!(word(&told.expect("a front does not panic")), expected);
}

#[then(expr = "order {string} ran {int} times")]
async fn ran(world: &mut Claiming, order: String, runs: usize) {
    assert_eq!(world.cluster().runs(&key_of(&order)), runs);
}

#[then(expr = "at least {int} order ran")]
async fn some_ran(world: &mut Claiming, count: usize) {
    for caller in world.callers.iter_mut().filter_map(Option::take) {
        caller.await.expect("a front does not panic");
    }
    assert!(world.cluster().dispatched().len() >= count);
}

#[then(expr = "no order ran {int} times")]
async fn none_ran(world: &mut Claiming, runs: usize) {
    let dispatched = world.cluster().dispatched();
    for run in &dispatched {
        assert!(world.cluster().runs(&run.key) < runs);
    }
}

#[tokio::test(start_paused = true)]
async fn claims_hold_in_every_scenario() {
    let writer = Claiming::cucumber()
        .with_default_cli()
        .fail_on_skipped()
        .max_concurrent_scenarios(1)
        .run("tests/features/claims.feature")
        .await;

    assert!(!writer.execution_has_failed());
}
