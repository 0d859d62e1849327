//! The steps of the scenarios.

use std::fmt;
use std::time::Duration;

use cucumber::{World, given, then, when};
use dotterel_kernel::Millis;
use dotterel_standin::checker;
use tokio::task::JoinHandle;

use crate::callers::{Call, ORDER, PATIENCE, Told, ask};
use crate::cell::{Cell, SOON, until};
use crate::judge;

/// One scenario.
#[derive(Default, World)]
pub(crate) struct Promise {
    cell: Option<Cell>,
    watching: Option<JoinHandle<()>>,
}

impl fmt::Debug for Promise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let calls = self.cell.as_ref().map(|cell| cell.callers.calls());
        f.debug_struct("Promise").field("calls", &calls).finish()
    }
}

impl Promise {
    fn cell(&mut self) -> &mut Cell {
        self.cell.as_mut().expect("a scenario starts with a cell")
    }

    pub(crate) async fn judge(&mut self) -> Vec<String> {
        let faults = judge::judge(self.cell()).await;
        if let Some(watching) = self.watching.take() {
            watching.abort();
        }
        self.cell = None;
        faults
    }

    fn calls(&mut self) -> Vec<Call> {
        self.cell().callers.calls()
    }

    /// Returns how often the work of an order started.
    fn starts(&mut self, order: &str) -> usize {
        let calls = self.calls();
        let call = calls.iter().find(|call| call.key.as_deref() == Some(order));
        let index = call.map(|call| call.index);
        let runs = checker::runs(&self.cell().cluster.workers());
        let of = |run: &&checker::Run| run.info.class == ORDER && run.info.index == index;
        runs.iter().filter(of).count()
    }
}

#[given(expr = "a cell of {int} data centre(s) with {int} node(s) and {int} worker(s) each")]
async fn cell(world: &mut Promise, data_centres: u8, nodes: u32, workers: u32) {
    let cell = Cell::start(data_centres, nodes, workers).await;
    world.watching = Some(cell.watch.follow(cell.balancer.clone()));
    world.cell = Some(cell);
}

#[given(expr = "callers send {int} {word} calls of {int} ms a second for {int} ms")]
#[when(expr = "callers send {int} {word} calls of {int} ms a second for {int} ms")]
async fn load(world: &mut Promise, rate: u64, class: String, run: u64, span: u64) {
    let span = Duration::from_millis(span);
    world.cell().load(ask(&class, run), rate, span);
}

#[given(expr = "{int} callers send a {word} of {int} ms to node {word}")]
#[when(expr = "{int} callers send a {word} of {int} ms to node {word}")]
async fn burst(world: &mut Promise, count: u32, class: String, run: u64, node: String) {
    let addr = world.cell().entry(&node).http;
    for _ in 0..count {
        world.cell().callers.send(&node, addr, &ask(&class, run));
    }
}

#[when(expr = "{int} callers send a {word} of {int} ms to node {word} and hang up after {int} ms")]
async fn hang_up(
    world: &mut Promise,
    count: u32,
    class: String,
    run: u64,
    node: String,
    span: u64,
) {
    let addr = world.cell().entry(&node).http;
    let mut ask = ask(&class, run);
    ask.patience = Some(Duration::from_millis(span));
    for _ in 0..count {
        world.cell().callers.send(&node, addr, &ask);
    }
}

#[given(expr = "order {string} of {int} ms is sent to node {word}")]
#[when(expr = "order {string} of {int} ms is sent to node {word}")]
async fn send_order(world: &mut Promise, order: String, run: u64, node: String) {
    let addr = world.cell().entry(&node).http;
    let ask = ask(ORDER, run).key(&order);
    world.cell().callers.send(&node, addr, &ask);
}

#[when(expr = "{int} orders of {int} ms are sent to each node")]
async fn orders(world: &mut Promise, count: u32, run: u64) {
    world.cell().orders(count, run);
}

/// Sends every order so far again, to another node.
#[when(expr = "all orders are repeated at node {word}")]
async fn repeat(world: &mut Promise, node: String) {
    world.cell().repeat_orders(&node);
}

#[when(expr = "order {string} runs")]
async fn order_runs(world: &mut Promise, order: String) {
    until(PATIENCE, "the order to run", async || {
        world.starts(&order) > 0
    })
    .await;
}

#[when(expr = "{int} call(s) has/have started")]
async fn started(world: &mut Promise, count: usize) {
    let workers = world.cell().cluster.workers();
    let begun = async || checker::runs(&workers).len() >= count;
    until(PATIENCE, "calls to start", begun).await;
}

#[when(expr = "node {word} dies")]
async fn dies(world: &mut Promise, node: String) {
    world.cell().die(&node);
}

#[when(expr = "node {word} pauses")]
async fn pauses(world: &mut Promise, node: String) {
    world.cell().entry(&node).freeze();
}

#[when(expr = "node {word} goes on")]
async fn goes_on(world: &mut Promise, node: String) {
    world.cell().entry(&node).resume();
}

#[when(expr = "node {word} starts again")]
async fn starts_again(world: &mut Promise, node: String) {
    world.cell().restart(&node).await;
}

#[when(expr = "node {word} stops")]
async fn stops(world: &mut Promise, node: String) {
    world.cell().stop(&[&node]);
}

#[when(expr = "nodes {word} and {word} stop together")]
async fn stop_together(world: &mut Promise, first: String, second: String) {
    world.cell().stop(&[&first, &second]);
}

#[when(expr = "data centre {word} is cut from the others")]
async fn cut_peers(world: &mut Promise, data_centre: String) {
    world.cell().cut_peers(&data_centre);
}

#[when(expr = "data centre {word} is cut from the platform")]
async fn cut_platform(world: &mut Promise, data_centre: String) {
    world.cell().cut_platform(&data_centre);
}

#[when("the platform is down")]
async fn platform_down(world: &mut Promise) {
    world
        .cell()
        .platform_faults(|faults| faults.down_until = Millis::MAX);
}

#[when(expr = "the table is down for {int} ms")]
async fn table_down(world: &mut Promise, span: u64) {
    let until = world.cell().clock.now() + Millis(span);
    let table = world.cell().cluster.table().clone();
    table.set_faults(|faults| faults.down_until = until);
}

#[when(expr = "calls to the table take {int} ms")]
async fn table_slow(world: &mut Promise, span: u64) {
    let table = world.cell().cluster.table().clone();
    table.set_faults(|faults| faults.delay = Millis(span));
}

#[when(expr = "the next {int} answers of the table are lost")]
async fn table_loses(world: &mut Promise, count: u32) {
    let table = world.cell().cluster.table().clone();
    table.set_faults(|faults| faults.lose_answers = count);
}

#[when(expr = "the list lags by {int} ms")]
async fn list_lags(world: &mut Promise, span: u64) {
    world.cell().cluster.vms().set_lag(Millis(span));
}

#[when("the list is out of reach")]
async fn list_down(world: &mut Promise) {
    let list = world.cell().cluster.vms().clone();
    list.set_faults(|faults| faults.down_until = Millis::MAX);
}

#[when(expr = "open connections to worker {word} fall silent")]
async fn hush(world: &mut Promise, worker: String) {
    let workers = world.cell().cluster.workers();
    let index = workers.iter().position(|it| it.vm().as_str() == worker);
    let index = index.expect("the scenario names a worker");
    world.cell().cluster.stall_worker(index);
}

#[when(expr = "worker {word} fails everything")]
async fn fails(world: &mut Promise, worker: String) {
    let worker = world.cell().worker(&worker);
    worker.set_faults(|faults| faults.fail_tasks = true);
}

#[when(expr = "worker {word} cuts its answers short")]
async fn truncates(world: &mut Promise, worker: String) {
    let worker = world.cell().worker(&worker);
    worker.set_faults(|faults| faults.truncate = true);
}

#[when(expr = "calls to worker {word} take {int} ms")]
async fn worker_slow(world: &mut Promise, worker: String, span: u64) {
    let worker = world.cell().worker(&worker);
    worker.set_faults(|faults| faults.delay = Millis(span));
}

#[when(expr = "worker {word} loses the next {int} answers")]
async fn worker_loses(world: &mut Promise, worker: String, count: u32) {
    let worker = world.cell().worker(&worker);
    worker.set_faults(|faults| faults.lose_answers = count);
}

#[when(expr = "worker {word} restarts")]
async fn worker_restarts(world: &mut Promise, worker: String) {
    world.cell().worker(&worker).restart();
}

#[when(expr = "worker {word} says that it leaves")]
async fn leaves(world: &mut Promise, worker: String) {
    world.cell().leave(&worker);
}

#[when(expr = "the list says after {int} ms that worker {word} leaves")]
async fn listed_leaving(world: &mut Promise, lag: u64, worker: String) {
    world.cell().list_leaving(&worker, Millis(lag));
}

#[when(expr = "{int} ms pass")]
async fn pass(_: &mut Promise, span: u64) {
    tokio::time::sleep(Duration::from_millis(span)).await;
}

#[when("all faults end")]
async fn heal(world: &mut Promise) {
    world.cell().heal();
}

#[when(expr = "an operator edits the document at node {word}")]
async fn edit(world: &mut Promise, node: String) {
    let accepted = world.cell().edit(&node).await;
    assert!(accepted.is_ok(), "{accepted:?}");
}

#[when(expr = "an operator tries to edit the document at node {word}")]
async fn try_edit(world: &mut Promise, node: String) {
    // Either outcome will do; the judgement looks at what is in force.
    let _ = world.cell().edit(&node).await;
}

#[when(expr = "two operators edit the document at nodes {word} and {word}")]
async fn race(world: &mut Promise, first: String, second: String) {
    let outcomes = world.cell().race([&first, &second]).await;
    let accepted = outcomes.iter().filter(|it| it.is_ok()).count();
    assert_eq!(accepted, 1, "{outcomes:?}");
}

#[then("the newest document is in force on every live node soon")]
async fn in_force(world: &mut Promise) {
    world.cell().in_force(SOON).await;
}

#[then("the live nodes settle")]
async fn settle(world: &mut Promise) {
    world.cell().settled().await;
}

/// Counts the time after a fault's end, when the nodes have settled already.
#[then(expr = "every live node serves a {word}")]
async fn serves(world: &mut Promise, class: String) {
    let cell = world.cell();
    let before = cell.callers.calls().len();
    let up: Vec<_> = cell.entries.iter().filter(|entry| entry.up()).collect();
    for entry in &up {
        cell.callers.send(&entry.name, entry.http, &ask(&class, 20));
    }
    cell.callers.finish().await;
    let calls = cell.callers.calls();
    let ran = |call: &Call| matches!(call.told, Some(Told::Ran(_)));
    assert!(calls[before..].iter().all(ran), "{:#?}", &calls[before..]);
}

#[then("every caller is told something")]
async fn finish(world: &mut Promise) {
    world.cell().finish().await;
    assert!(!world.calls().is_empty());
}

#[then("all calls ran")]
async fn all_ran(world: &mut Promise) {
    world.cell().finish().await;
    let calls = world.calls();
    let other = |call: &&Call| !matches!(call.told, Some(Told::Ran(_)));
    let others: Vec<&Call> = calls.iter().filter(other).collect();
    assert!(others.is_empty(), "{others:#?}");
}

#[then(expr = "at least {int} calls ran")]
async fn some_ran(world: &mut Promise, count: usize) {
    world.cell().finish().await;
    let calls = world.calls();
    let ran = calls
        .iter()
        .filter(|call| matches!(call.told, Some(Told::Ran(_))));
    let ran = ran.count();
    assert!(ran >= count, "{ran} ran of {calls:#?}");
}

#[then("no call is told unknown")]
async fn none_unknown(world: &mut Promise) {
    world.cell().finish().await;
    let calls = world.calls();
    let unknown = calls.iter().find(|call| call.told == Some(Told::Unknown));
    assert!(unknown.is_none(), "{unknown:#?}");
}

#[then(expr = "no {word} ran")]
async fn none_ran(world: &mut Promise, class: String) {
    world.cell().finish().await;
    let calls = world.calls();
    let of = calls.iter().filter(|call| call.class == class);
    let of: Vec<&Call> = of.collect();
    assert!(!of.is_empty());
    assert!(
        of.iter()
            .all(|call| matches!(call.told, Some(Told::NotRun(_)))),
        "{of:#?}"
    );
}

#[then(expr = "order {string} ran once")]
async fn order_ran(world: &mut Promise, order: String) {
    world.cell().finish().await;
    assert_eq!(world.starts(&order), 1, "{:#?}", world.calls());
}
