//! Step definitions of the scenarios.

use std::fmt;
use std::time::Duration;

use cucumber::{World, given, then, when};
use dotterel_kernel::Millis;
use dotterel_standin::checker;
use tokio::task::JoinHandle;

use crate::callers::{Call, ORDER, Outcome, WAIT_TIMEOUT, request};
use crate::cell::{Cell, PROPAGATION_LIMIT, wait_until};
use crate::invariants;

/// State of one scenario.
#[derive(Default, World)]
pub(crate) struct TestWorld {
    cell: Option<Cell>,
    monitor_task: Option<JoinHandle<()>>,
}

impl fmt::Debug for TestWorld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let calls = self.cell.as_ref().map(|cell| cell.callers.calls());
        f.debug_struct("TestWorld").field("calls", &calls).finish()
    }
}

impl TestWorld {
    fn cell(&mut self) -> &mut Cell {
        self.cell.as_mut().expect("a scenario starts with a cell")
    }

    /// Checks all invariants and shuts the cell down.
    pub(crate) async fn find_violations(&mut self) -> Vec<String> {
        let violations = invariants::find_violations(self.cell()).await;
        if let Some(monitor_task) = self.monitor_task.take() {
            monitor_task.abort();
        }
        self.cell = None;
        violations
    }

    fn calls(&mut self) -> Vec<Call> {
        self.cell().callers.calls()
    }

    /// Returns the number of runs of an order.
    fn count_runs(&mut self, order: &str) -> usize {
        let calls = self.calls();
        let call = calls.iter().find(|call| call.key.as_deref() == Some(order));
        let index = call.map(|call| call.index);
        let runs = checker::runs(&self.cell().cluster.workers());
        let is_run = |run: &&checker::Run| run.info.class == ORDER && run.info.index == index;
        runs.iter().filter(is_run).count()
    }
}

#[given(expr = "a cell of {int} data centre(s) with {int} node(s) and {int} worker(s) each")]
async fn cell(world: &mut TestWorld, data_centres: u8, nodes: u32, workers: u32) {
    let cell = Cell::start(data_centres, nodes, workers).await;
    world.monitor_task = Some(cell.monitor.spawn(cell.balancer.clone()));
    world.cell = Some(cell);
}

#[given(expr = "callers send {int} {word} calls of {int} ms a second for {int} ms")]
#[when(expr = "callers send {int} {word} calls of {int} ms a second for {int} ms")]
async fn load(world: &mut TestWorld, rate: u64, class: String, run_ms: u64, duration_ms: u64) {
    let span = Duration::from_millis(duration_ms);
    world.cell().start_load(request(&class, run_ms), rate, span);
}

#[given(expr = "{int} callers send a {word} of {int} ms to node {word}")]
#[when(expr = "{int} callers send a {word} of {int} ms to node {word}")]
async fn burst(world: &mut TestWorld, count: u32, class: String, run_ms: u64, node: String) {
    let addr = world.cell().entry(&node).http;
    for _ in 0..count {
        world
            .cell()
            .callers
            .send(&node, addr, &request(&class, run_ms));
    }
}

#[when(expr = "{int} callers send a {word} of {int} ms to node {word} and hang up after {int} ms")]
async fn hang_up(
    world: &mut TestWorld,
    count: u32,
    class: String,
    run_ms: u64,
    node: String,
    duration_ms: u64,
) {
    let addr = world.cell().entry(&node).http;
    let mut spec = request(&class, run_ms);
    spec.hang_up_after = Some(Duration::from_millis(duration_ms));
    for _ in 0..count {
        world.cell().callers.send(&node, addr, &spec);
    }
}

#[given(expr = "order {string} of {int} ms is sent to node {word}")]
#[when(expr = "order {string} of {int} ms is sent to node {word}")]
async fn send_order(world: &mut TestWorld, order: String, run_ms: u64, node: String) {
    let addr = world.cell().entry(&node).http;
    let spec = request(ORDER, run_ms).key(&order);
    world.cell().callers.send(&node, addr, &spec);
}

#[when(expr = "{int} orders of {int} ms are sent to each node")]
async fn orders(world: &mut TestWorld, count: u32, run_ms: u64) {
    world.cell().send_orders(count, run_ms);
}

#[when(expr = "all orders are repeated at node {word}")]
async fn repeat(world: &mut TestWorld, node: String) {
    world.cell().repeat_orders(&node);
}

#[when(expr = "order {string} has started")]
async fn order_has_started(world: &mut TestWorld, order: String) {
    wait_until(WAIT_TIMEOUT, "the order to start", async || {
        world.count_runs(&order) > 0
    })
    .await;
}

#[when(expr = "{int} call(s) has/have started")]
async fn started(world: &mut TestWorld, count: usize) {
    let workers = world.cell().cluster.workers();
    let started = async || checker::runs(&workers).len() >= count;
    wait_until(WAIT_TIMEOUT, "calls to start", started).await;
}

#[when(expr = "node {word} crashes")]
async fn crashes(world: &mut TestWorld, node: String) {
    world.cell().crash(&node);
}

#[when(expr = "node {word} pauses")]
async fn pauses(world: &mut TestWorld, node: String) {
    world.cell().entry(&node).pause();
}

#[when(expr = "node {word} resumes")]
async fn resumes(world: &mut TestWorld, node: String) {
    world.cell().entry(&node).resume();
}

#[when(expr = "node {word} restarts")]
async fn restarts(world: &mut TestWorld, node: String) {
    world.cell().restart(&node).await;
}

#[when(expr = "node {word} stops")]
async fn stops(world: &mut TestWorld, node: String) {
    world.cell().stop(&[&node]);
}

#[when(expr = "nodes {word} and {word} stop at the same time")]
async fn stop_together(world: &mut TestWorld, first: String, second: String) {
    world.cell().stop(&[&first, &second]);
}

#[when(expr = "data centre {word} is partitioned from the others")]
async fn partition_peers(world: &mut TestWorld, data_centre: String) {
    world.cell().partition_peers(&data_centre);
}

#[when(expr = "data centre {word} is partitioned from the platform")]
async fn partition_platform(world: &mut TestWorld, data_centre: String) {
    world.cell().partition_platform(&data_centre);
}

#[when("the platform is down")]
async fn platform_down(world: &mut TestWorld) {
    world
        .cell()
        .platform_faults(|faults| faults.down_until = Millis::MAX);
}

#[when(expr = "the table is down for {int} ms")]
async fn table_down(world: &mut TestWorld, duration_ms: u64) {
    let until = world.cell().clock.now() + Millis(duration_ms);
    let table = world.cell().cluster.table().clone();
    table.set_faults(|faults| faults.down_until = until);
}

#[when(expr = "calls to the table take {int} ms")]
async fn table_slow(world: &mut TestWorld, duration_ms: u64) {
    let table = world.cell().cluster.table().clone();
    table.set_faults(|faults| faults.delay = Millis(duration_ms));
}

#[when(expr = "the next {int} replies of the table are lost")]
async fn table_loses(world: &mut TestWorld, count: u32) {
    let table = world.cell().cluster.table().clone();
    table.set_faults(|faults| faults.lose_answers = count);
}

#[when(expr = "the VM list lags by {int} ms")]
async fn list_lags(world: &mut TestWorld, duration_ms: u64) {
    world.cell().cluster.vms().set_lag(Millis(duration_ms));
}

#[when("the VM list is unavailable")]
async fn list_unavailable(world: &mut TestWorld) {
    let list = world.cell().cluster.vms().clone();
    list.set_faults(|faults| faults.down_until = Millis::MAX);
}

#[when(expr = "open connections to worker {word} stall")]
async fn stall(world: &mut TestWorld, worker: String) {
    let workers = world.cell().cluster.workers();
    let index = workers.iter().position(|item| item.vm().as_str() == worker);
    let index = index.expect("the scenario names a worker");
    world.cell().cluster.stall_worker(index);
}

#[when(expr = "worker {word} fails every task")]
async fn fails(world: &mut TestWorld, worker: String) {
    let worker = world.cell().worker(&worker);
    worker.set_faults(|faults| faults.fail_tasks = true);
}

#[when(expr = "worker {word} truncates its responses")]
async fn truncates(world: &mut TestWorld, worker: String) {
    let worker = world.cell().worker(&worker);
    worker.set_faults(|faults| faults.truncate = true);
}

#[when(expr = "calls to worker {word} take {int} ms")]
async fn worker_slow(world: &mut TestWorld, worker: String, duration_ms: u64) {
    let worker = world.cell().worker(&worker);
    worker.set_faults(|faults| faults.delay = Millis(duration_ms));
}

#[when(expr = "worker {word} loses the next {int} replies")]
async fn worker_loses(world: &mut TestWorld, worker: String, count: u32) {
    let worker = world.cell().worker(&worker);
    worker.set_faults(|faults| faults.lose_answers = count);
}

#[when(expr = "worker {word} restarts")]
async fn worker_restarts(world: &mut TestWorld, worker: String) {
    world.cell().worker(&worker).restart();
}

#[when(expr = "worker {word} announces that it is leaving")]
async fn announces_leaving(world: &mut TestWorld, worker: String) {
    world.cell().announce_leaving(&worker);
}

#[when(expr = "after {int} ms the VM list shows worker {word} as leaving")]
async fn listed_leaving(world: &mut TestWorld, lag_ms: u64, worker: String) {
    world.cell().list_as_leaving(&worker, Millis(lag_ms));
}

#[when(expr = "{int} ms pass")]
async fn wait(_: &mut TestWorld, duration_ms: u64) {
    tokio::time::sleep(Duration::from_millis(duration_ms)).await;
}

#[when("all faults are cleared")]
async fn clear_faults(world: &mut TestWorld) {
    world.cell().clear_faults();
}

#[when(expr = "an operator edits the document at node {word}")]
async fn edit(world: &mut TestWorld, node: String) {
    let accepted = world.cell().edit(&node).await;
    assert!(accepted.is_ok(), "{accepted:?}");
}

#[when(expr = "an operator tries to edit the document at node {word}")]
async fn try_edit(world: &mut TestWorld, node: String) {
    // The edit may succeed or fail; the invariants cover the document in force.
    let _ = world.cell().edit(&node).await;
}

#[when(expr = "two operators edit the document at the same time at nodes {word} and {word}")]
async fn race(world: &mut TestWorld, first: String, second: String) {
    let outcomes = world.cell().edit_concurrently([&first, &second]).await;
    let accepted = outcomes.iter().filter(|item| item.is_ok()).count();
    assert_eq!(accepted, 1, "{outcomes:?}");
}

#[then("the newest document is in force on every live node in time")]
async fn in_force(world: &mut TestWorld) {
    world.cell().wait_until_in_force(PROPAGATION_LIMIT).await;
}

#[then("the live nodes converge")]
async fn converge(world: &mut TestWorld) {
    world.cell().wait_until_converged().await;
}

/// Sends a request to each live node; used after the nodes have converged.
#[then(expr = "every live node serves a {word}")]
async fn serves(world: &mut TestWorld, class: String) {
    let cell = world.cell();
    let before = cell.callers.calls().len();
    let up: Vec<_> = cell.entries.iter().filter(|entry| entry.is_up()).collect();
    for entry in &up {
        cell.callers
            .send(&entry.name, entry.http, &request(&class, 20));
    }
    cell.callers.finish().await;
    let calls = cell.callers.calls();
    let ran = |call: &Call| matches!(call.outcome, Some(Outcome::Ran(_)));
    assert!(calls[before..].iter().all(ran), "{:#?}", &calls[before..]);
}

#[then("every call ends")]
async fn finish(world: &mut TestWorld) {
    world.cell().finish().await;
    assert!(!world.calls().is_empty());
}

#[then("all calls ran")]
async fn all_ran(world: &mut TestWorld) {
    world.cell().finish().await;
    let calls = world.calls();
    let did_not_run = |call: &&Call| !matches!(call.outcome, Some(Outcome::Ran(_)));
    let others: Vec<&Call> = calls.iter().filter(did_not_run).collect();
    assert!(others.is_empty(), "{others:#?}");
}

#[then(expr = "at least {int} calls ran")]
async fn some_ran(world: &mut TestWorld, count: usize) {
    world.cell().finish().await;
    let calls = world.calls();
    let ran = calls
        .iter()
        .filter(|call| matches!(call.outcome, Some(Outcome::Ran(_))));
    let ran = ran.count();
    assert!(ran >= count, "{ran} ran of {calls:#?}");
}

#[then("no call has an unknown outcome")]
async fn none_unknown(world: &mut TestWorld) {
    world.cell().finish().await;
    let calls = world.calls();
    let unknown = calls
        .iter()
        .find(|call| call.outcome == Some(Outcome::Unknown));
    assert!(unknown.is_none(), "{unknown:#?}");
}

#[then(expr = "no {word} ran")]
async fn none_ran(world: &mut TestWorld, class: String) {
    world.cell().finish().await;
    let calls = world.calls();
    let of_class = calls.iter().filter(|call| call.class == class);
    let of_class: Vec<&Call> = of_class.collect();
    assert!(!of_class.is_empty());
    assert!(
        of_class
            .iter()
            .all(|call| matches!(call.outcome, Some(Outcome::NotRun(_)))),
        "{of_class:#?}"
    );
}

#[then(expr = "order {string} ran once")]
async fn order_ran(world: &mut TestWorld, order: String) {
    world.cell().finish().await;
    assert_eq!(world.count_runs(&order), 1, "{:#?}", world.calls());
}
