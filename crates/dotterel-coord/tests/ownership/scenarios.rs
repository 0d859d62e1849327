//! One owner for each VM, true fates, leaving VMs and handover.

use crate::judge;
use crate::node::Node;
use cucumber::writer::Stats;
use cucumber::{World as _, given, then, when};
use dotterel_coord::{DispatchOutcome, LeaseIntent};
use dotterel_kernel::{Clock, Millis, RequestId, Size};
use dotterel_platform::{ListedVm, Refusal, Role, VmState};
use dotterel_standin::checker::{self, RunEnd};
use dotterel_standin::{Event, FakeVmList, FakeWorker};

/// The stand-in's own limit, which the nodes never come near.
const ROOM: Size = Size {
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
    /// When the worker or the list said that it leaves.
    word: Millis,
}

impl World {
    fn new() -> Self {
        let clock = Clock::starting_at(Millis(1_000_000));
        let worker = FakeWorker::new("w".into(), ROOM, clock);
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
            word: Millis::ZERO,
        }
    }

    fn node(&self, id: &str) -> &Node {
        let found = self.nodes.iter().find(|node| node.id.as_str() == id);
        found.expect("the node is declared")
    }

    fn last_told(&self, id: &str) -> Option<DispatchOutcome> {
        self.node(id).sent().pop().expect("a task was sent").told
    }

    fn refused(&self, why: impl Fn(&Refusal) -> bool) -> usize {
        judge::refused(&self.worker, why)
    }
}

async fn pass(ms: u64) {
    tokio::time::sleep(Millis(ms).duration()).await;
}

#[given(expr = "the nodes {word}, {word} and {word}")]
fn nodes(world: &mut World, a: String, b: String, c: String) {
    for id in [a, b, c] {
        let node = Node::new(&id, std::slice::from_ref(&world.worker), world.clock);
        node.follow(world.list.clone());
        world.nodes.push(node);
    }
}

#[given(expr = "{word} owns the worker")]
async fn own(world: &mut World, id: String) {
    world.node(&id).wish(0, LeaseIntent::Hold);
    pass(100).await;
    assert!(world.node(&id).owns(0));
}

#[when(expr = "{word} wants the worker")]
fn want(world: &mut World, id: String) {
    world.node(&id).wish(0, LeaseIntent::Hold);
}

#[when(expr = "{word} hands the worker to {word}")]
fn hand_over(world: &mut World, id: String, heir: String) {
    let heir = world.node(&heir);
    heir.wish(0, LeaseIntent::Hold);
    world
        .node(&id)
        .wish(0, LeaseIntent::HandOver(heir.id.clone()));
}

#[when(expr = "{word} gives the worker back to nobody")]
fn give_back(world: &mut World, id: String) {
    world.node(&id).wish(0, LeaseIntent::Drain);
}

#[when(expr = "{word} runs {int} tasks of {int} s")]
async fn run(world: &mut World, id: String, count: usize, secs: u64) {
    for _ in 0..count {
        world.node(&id).submit(RequestId::generate(), secs * 1_000);
    }
    pass(10).await;
}

#[when(expr = "{word} tries to run a task every {int} ms for {int} s")]
async fn keep_running(world: &mut World, id: String, every: u64, secs: u64) {
    for _ in 0..secs * 1_000 / every {
        world.node(&id).submit(RequestId::generate(), 10);
        pass(every).await;
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
    pass(secs * 1_000).await;
}

#[when(expr = "{int} ms pass")]
async fn pass_ms(_: &mut World, ms: u64) {
    pass(ms).await;
}

#[when(expr = "calls take {int} ms to arrive")]
fn delay(world: &mut World, ms: u64) {
    world.worker.set_faults(|faults| faults.delay = Millis(ms));
}

#[when("calls arrive at once")]
fn no_delay(world: &mut World) {
    world
        .worker
        .set_faults(|faults| faults.delay = Millis::ZERO);
}

#[when(expr = "{word} is cut off")]
fn cut(world: &mut World, id: String) {
    world.worker.set_faults(|faults| faults.cut.push(id.into()));
}

#[when(expr = "the next answer after {int} ms is lost")]
async fn lose(world: &mut World, ms: u64) {
    pass(ms).await;
    world.worker.set_faults(|faults| faults.lose_answers = 1);
}

#[when(expr = "the connections of {word} go silent")]
fn silence(world: &mut World, id: String) {
    world
        .worker
        .set_faults(|faults| faults.mute.push(id.into()));
}

#[when("new connections work")]
fn restore(world: &mut World) {
    world.worker.set_faults(|faults| faults.mute.clear());
}

#[given(expr = "the list lags {int} ms")]
fn lag(world: &mut World, ms: u64) {
    world.list.set_lag(Millis(ms));
}

#[given("the list is unreachable")]
fn no_list(world: &mut World) {
    world
        .list
        .set_faults(|faults| faults.silent.push("*".into()));
}

#[when("the list says that the worker leaves")]
fn list_leaving(world: &mut World) {
    world.list.set_state("w", VmState::Leaving);
    world.word = world.clock.now();
}

#[when("the worker says that it leaves")]
fn leaving(world: &mut World) {
    world.worker.set_leaving(true);
    world.word = world.clock.now();
}

#[when("the worker no longer says that it leaves")]
fn staying(world: &mut World) {
    world.worker.set_leaving(false);
}

#[then(expr = "{word} owns the worker within {int} ms")]
async fn owns(world: &mut World, id: String, ms: u64) {
    pass(ms).await;
    assert!(world.node(&id).owns(0));
}

#[then(expr = "the worker ran {int} tasks to their end")]
fn ended(world: &mut World, count: usize) {
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

#[then("no start came under an old epoch")]
fn no_stale(world: &mut World) {
    assert_eq!(
        world.refused(|why| matches!(why, Refusal::StaleEpoch { .. })),
        0
    );
}

#[then("no start came to a worker that leaves")]
fn no_leaving(world: &mut World) {
    assert_eq!(world.refused(|why| *why == Refusal::Leaving), 0);
}

#[then(expr = "no task started later than {int} ms after the word")]
fn none_late(world: &mut World, ms: u64) {
    let workers = std::slice::from_ref(&world.worker);
    assert_eq!(checker::started_after(workers, world.word + Millis(ms)), []);
}

#[then("some task started")]
fn some(world: &mut World) {
    assert!(judge::crest(&world.worker) > 0);
}

#[then(expr = "{word} says that its last task ran")]
fn says_ran(world: &mut World, id: String) {
    let told = world.last_told(&id);
    assert!(matches!(told, Some(DispatchOutcome::Ran(_))), "{told:?}");
}

#[then(expr = "{word} says that its last task did not run")]
fn says_not_run(world: &mut World, id: String) {
    let told = world.last_told(&id);
    assert!(matches!(told, Some(DispatchOutcome::NotRun(_))), "{told:?}");
}

#[then(expr = "{word} says that the fate of its last task is unknown")]
fn says_unknown(world: &mut World, id: String) {
    assert_eq!(world.last_told(&id), Some(DispatchOutcome::Unknown));
}

#[then("nothing is wrong")]
fn nothing_wrong(world: &mut World) {
    let sent: Vec<_> = world.nodes.iter().flat_map(Node::sent).collect();
    let found = judge::faults(std::slice::from_ref(&world.worker), &sent);
    assert!(found.is_empty(), "{found:?}");
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
