//! The steps of `features/ownership.feature`: exclusive ownership, correct fates, leaving VMs and
//! handover.

use crate::checks;
use crate::node::Node;
use cucumber::writer::Stats;
use cucumber::{World as _, given, then, when};
use dotterel_coord::{DispatchOutcome, LeaseIntent};
use dotterel_kernel::{Clock, Millis, RequestId, Size};
use dotterel_platform::{ListedVm, Refusal, Role, VmState};
use dotterel_standin::checker::{self, RunEnd};
use dotterel_standin::{Event, FakeVmList, FakeWorker};

/// The capacity that the stand-in enforces, far above what the nodes use.
const CAPACITY: Size = Size {
    slots: 64,
    ..Size::ZERO
};

#[derive(Debug, cucumber::World)]
#[world(init = Self::new)]
struct World {
    clock: Clock,
    worker: FakeWorker,
    list: FakeVmList,
    nodes: Vec<Node>,
    /// When the worker or the list gave notice that the worker is leaving.
    notice_at: Millis,
}

impl World {
    fn new() -> Self {
        let clock = Clock::starting_at(Millis(1_000_000));
        let worker = FakeWorker::new("w".into(), CAPACITY, clock);
        worker.set_faults(|faults| faults.answer_delay = Millis(1));
        let list = FakeVmList::new(clock);
        list.put(ListedVm {
            id: "w".into(),
            role: Role::Worker,
            state: VmState::Live,
            data_centre: "dc".into(),
            region: "region".into(),
            addr: "127.0.0.1:1".into(),
        });
        Self {
            clock,
            worker,
            list,
            nodes: Vec::new(),
            notice_at: Millis::ZERO,
        }
    }

    fn node(&self, id: &str) -> &Node {
        let found = self.nodes.iter().find(|node| node.id.as_str() == id);
        found.expect("the node is declared")
    }

    fn last_outcome(&self, id: &str) -> Option<DispatchOutcome> {
        self.node(id).sent().pop().expect("a task was sent").outcome
    }

    fn count_refusals(&self, predicate: impl Fn(&Refusal) -> bool) -> usize {
        checks::count_refusals(&self.worker, predicate)
    }
}

async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Millis(ms).duration()).await;
}

#[given(expr = "the nodes {word}, {word} and {word}")]
fn nodes(world: &mut World, a: String, b: String, c: String) {
    for id in [a, b, c] {
        let node = Node::new(&id, std::slice::from_ref(&world.worker), world.clock);
        node.poll_list(world.list.clone());
        world.nodes.push(node);
    }
}

#[given(expr = "{word} owns the worker")]
async fn acquire(world: &mut World, id: String) {
    world.node(&id).set_intent(0, LeaseIntent::Hold);
    sleep_ms(100).await;
    assert!(world.node(&id).owns(0));
}

#[when(expr = "{word} requests the worker")]
fn request(world: &mut World, id: String) {
    world.node(&id).set_intent(0, LeaseIntent::Hold);
}

#[when(expr = "{word} hands over the worker to {word}")]
fn hand_over(world: &mut World, id: String, successor: String) {
    let successor = world.node(&successor);
    successor.set_intent(0, LeaseIntent::Hold);
    world
        .node(&id)
        .set_intent(0, LeaseIntent::HandOver(successor.id.clone()));
}

#[when(expr = "{word} drains the worker")]
fn drain(world: &mut World, id: String) {
    world.node(&id).set_intent(0, LeaseIntent::Drain);
}

#[when(expr = "{word} runs {int} tasks of {int} s")]
async fn run(world: &mut World, id: String, count: usize, secs: u64) {
    for _ in 0..count {
        world.node(&id).submit(RequestId::generate(), secs * 1_000);
    }
    sleep_ms(10).await;
}

#[when(expr = "{word} tries to run a task every {int} ms for {int} s")]
async fn run_periodically(world: &mut World, id: String, every: u64, secs: u64) {
    for _ in 0..secs * 1_000 / every {
        world.node(&id).submit(RequestId::generate(), 10);
        sleep_ms(every).await;
    }
}

#[when(expr = "{word} is killed")]
fn kill(world: &mut World, id: String) {
    world.node(&id).kill();
}

#[when(expr = "{word} is paused")]
fn pause(world: &mut World, id: String) {
    world.node(&id).pause(true);
}

#[when(expr = "{word} resumes")]
fn resume(world: &mut World, id: String) {
    world.node(&id).pause(false);
}

#[when(expr = "{int} s pass")]
async fn pass_secs(_: &mut World, secs: u64) {
    sleep_ms(secs * 1_000).await;
}

#[when(expr = "{int} ms pass")]
async fn pass_ms(_: &mut World, ms: u64) {
    sleep_ms(ms).await;
}

#[when(expr = "calls are delayed by {int} ms")]
fn delay_calls(world: &mut World, ms: u64) {
    world.worker.set_faults(|faults| faults.delay = Millis(ms));
}

#[when("calls are no longer delayed")]
fn no_delay(world: &mut World) {
    world
        .worker
        .set_faults(|faults| faults.delay = Millis::ZERO);
}

#[when(expr = "{word} is disconnected")]
fn disconnect(world: &mut World, id: String) {
    world.worker.set_faults(|faults| faults.cut.push(id.into()));
}

#[when(expr = "the next response after {int} ms is lost")]
async fn lose_response(world: &mut World, ms: u64) {
    sleep_ms(ms).await;
    world.worker.set_faults(|faults| faults.lose_answers = 1);
}

#[when(expr = "the connections of {word} stop responding")]
fn mute(world: &mut World, id: String) {
    world
        .worker
        .set_faults(|faults| faults.mute.push(id.into()));
}

#[when("new connections work")]
fn restore(world: &mut World) {
    world.worker.set_faults(|faults| faults.mute.clear());
}

#[given(expr = "the list lags {int} ms")]
fn list_lag(world: &mut World, ms: u64) {
    world.list.set_lag(Millis(ms));
}

#[given("the list is unreachable")]
fn list_unreachable(world: &mut World) {
    world
        .list
        .set_faults(|faults| faults.silent.push("*".into()));
}

#[when("the list marks the worker as leaving")]
fn list_leaving(world: &mut World) {
    world.list.set_state("w", VmState::Leaving);
    world.notice_at = world.clock.now();
}

#[when("the worker reports that it is leaving")]
fn worker_leaving(world: &mut World) {
    world.worker.set_leaving(true);
    world.notice_at = world.clock.now();
}

#[when("the worker no longer reports that it is leaving")]
fn worker_not_leaving(world: &mut World) {
    world.worker.set_leaving(false);
}

#[then(expr = "{word} owns the worker within {int} ms")]
async fn owns(world: &mut World, id: String, ms: u64) {
    sleep_ms(ms).await;
    assert!(world.node(&id).owns(0));
}

#[then(expr = "the worker ran {int} tasks to their end")]
fn tasks_ended(world: &mut World, count: usize) {
    let log = world.worker.event_log();
    let ended = log
        .iter()
        .filter(|seen| matches!(seen.event, Event::Ended(..)));
    assert_eq!(ended.count(), count);
}

#[then("no task was cut")]
fn no_cut(world: &mut World) {
    let runs = checker::runs(std::slice::from_ref(&world.worker));
    let cut = |run: &checker::Run| matches!(run.end, Some((_, RunEnd::Cut(_))));
    assert!(!runs.iter().any(cut), "{runs:?}");
}

#[then("no start carried a stale epoch")]
fn no_stale_epoch(world: &mut World) {
    assert_eq!(
        world.count_refusals(|refusal| matches!(refusal, Refusal::StaleEpoch { .. })),
        0
    );
}

#[then("no start reached a leaving worker")]
fn no_start_while_leaving(world: &mut World) {
    assert_eq!(
        world.count_refusals(|refusal| *refusal == Refusal::Leaving),
        0
    );
}

#[then(expr = "no task started later than {int} ms after the notice")]
fn no_late_start(world: &mut World, ms: u64) {
    let workers = std::slice::from_ref(&world.worker);
    assert_eq!(
        checker::started_after(workers, world.notice_at + Millis(ms)),
        []
    );
}

#[then("some task started")]
fn some_task_started(world: &mut World) {
    assert!(checks::max_concurrent_tasks(&world.worker) > 0);
}

#[then(expr = "{word} reports that its last task ran")]
fn reports_ran(world: &mut World, id: String) {
    let outcome = world.last_outcome(&id);
    assert!(
        matches!(outcome, Some(DispatchOutcome::Ran(_))),
        "{outcome:?}"
    );
}

#[then(expr = "{word} reports that its last task did not run")]
fn reports_not_run(world: &mut World, id: String) {
    let outcome = world.last_outcome(&id);
    assert!(
        matches!(outcome, Some(DispatchOutcome::NotRun(_))),
        "{outcome:?}"
    );
}

#[then(expr = "{word} reports that the fate of its last task is unknown")]
fn reports_unknown(world: &mut World, id: String) {
    assert_eq!(world.last_outcome(&id), Some(DispatchOutcome::Unknown));
}

#[then("no invariant is violated")]
fn no_violation(world: &mut World) {
    let sent: Vec<_> = world.nodes.iter().flat_map(Node::sent).collect();
    let violations = checks::violations(std::slice::from_ref(&world.worker), &sent);
    assert!(violations.is_empty(), "{violations:?}");
}

#[tokio::test(start_paused = true)]
async fn ownership() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/features/ownership.feature"
    );

    let writer = World::cucumber()
        .max_concurrent_scenarios(1)
        .fail_on_skipped()
        .with_default_cli()
        .run(path)
        .await;

    assert!(!writer.execution_has_failed());
    assert!(writer.passed_steps() > 0);
}
