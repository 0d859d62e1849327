//! Property tests of the ownership invariants under random and paired faults.

use crate::checks;
use crate::node::{Node, Sent};
use dotterel_coord::{DispatchOutcome, LeaseIntent};
use dotterel_kernel::{Clock, Millis, RequestId, Size};
use dotterel_standin::checker::{self, Run, RunEnd};
use dotterel_standin::{FakeWorker, Faults};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const NODES: usize = 3;
const WORKERS: usize = 2;

/// The number of random schedules per property.
const SCHEDULES: u64 = 300;

/// The seed of the first schedule.
const SEED: u64 = 20_261_204;

/// The number of requests submitted together.
const BURST: usize = 3;

/// How long each schedule runs without faults at its end, in milliseconds.
const RECOVERY_MS: u64 = 60_000;

#[derive(Clone, Debug)]
enum Step {
    Wait(u16),
    Submit(usize, u16),
    Acquire(usize, usize),
    HandOver(usize, usize, usize),
    Drain(usize, usize),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Cut(usize, usize),
    Silence(usize, usize),
    Mute(usize, usize),
    Heal(usize),
    Delay(usize, u16),
    LoseResponse(usize),
    DropCall(usize),
    Restart(usize),
    Retry(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % NODES;
        let other = usize::arbitrary(g) % NODES;
        let vm = usize::arbitrary(g) % WORKERS;
        let ms = u16::arbitrary(g) % 4_000;
        match u8::arbitrary(g) % 25 {
            0..5 => Self::Wait(ms),
            5..11 => Self::Submit(node, ms * 8),
            11 => Self::Acquire(node, vm),
            12 => Self::HandOver(node, vm, other),
            13 => Self::Pause(node),
            14 => Self::Resume(node),
            15 if ms < 1_000 => Self::Kill(node),
            15 => Self::Restart(vm),
            16 => Self::Cut(node, vm),
            17 => Self::Silence(node, vm),
            18 => Self::Mute(node, vm),
            19 => Self::Heal(vm),
            20 => Self::Delay(vm, ms),
            21 => Self::LoseResponse(vm),
            22 => Self::DropCall(vm),
            23 => Self::Drain(node, vm),
            _ => Self::Retry(node),
        }
    }
}

/// A step of normal operation: planned stops and handovers, and single lost messages.
#[derive(Clone, Debug)]
struct Planned(Step);

impl Arbitrary for Planned {
    fn arbitrary(g: &mut Gen) -> Self {
        loop {
            let step = Step::arbitrary(g);
            let planned = matches!(
                step,
                Step::Wait(_)
                    | Step::Submit(..)
                    | Step::Acquire(..)
                    | Step::HandOver(..)
                    | Step::Drain(..)
            );
            if planned || matches!(step, Step::LoseResponse(_) | Step::DropCall(_)) {
                return Self(step);
            }
        }
    }
}

/// Returns a worker configuration without faults and with a latency of 1 ms.
fn no_faults() -> Faults {
    Faults {
        answer_delay: Millis(1),
        ..Faults::default()
    }
}

struct World {
    nodes: Vec<Node>,
    alive: Vec<bool>,
    workers: Vec<FakeWorker>,
}

impl World {
    fn new() -> Self {
        let clock = Clock::starting_at(Millis(1_000_000));
        let capacity = Size {
            slots: 64,
            ..Size::ZERO
        };
        let worker = |index| FakeWorker::new(format!("w{index}").as_str().into(), capacity, clock);
        let workers: Vec<FakeWorker> = (0..WORKERS).map(worker).collect();
        workers
            .iter()
            .for_each(|worker| worker.set_faults(|faults| *faults = no_faults()));
        let node = |index| Node::new(&format!("n{index}"), &workers, clock);
        let nodes: Vec<Node> = (0..NODES).map(node).collect();
        for (index, node) in nodes.iter().enumerate() {
            node.set_intent(index % WORKERS, LeaseIntent::Hold);
        }
        Self {
            nodes,
            alive: vec![true; NODES],
            workers,
        }
    }

    fn sent(&self) -> Vec<Sent> {
        self.nodes.iter().flat_map(Node::sent).collect()
    }

    async fn apply(&mut self, step: &Step) {
        let set = |vm: usize| move |w: &Self, f: &dyn Fn(&mut _)| w.workers[vm].set_faults(f);
        let name = |node: usize| self.nodes[node].id.0.clone();
        match *step {
            Step::Wait(ms) => tokio::time::sleep(Millis(ms.into()).duration()).await,
            Step::Submit(node, run_ms) if self.alive[node] => {
                (0..BURST).all(|_| self.nodes[node].submit(RequestId::generate(), run_ms.into()));
            }
            Step::Acquire(node, vm) => self.nodes[node].set_intent(vm, LeaseIntent::Hold),
            Step::HandOver(node, vm, successor) if node != successor => {
                self.nodes[successor].set_intent(vm, LeaseIntent::Hold);
                let successor = self.nodes[successor].id.clone();
                self.nodes[node].set_intent(vm, LeaseIntent::HandOver(successor));
            }
            Step::Drain(node, vm) => self.nodes[node].set_intent(vm, LeaseIntent::Drain),
            Step::Pause(node) => self.nodes[node].pause(true),
            Step::Resume(node) => self.nodes[node].pause(false),
            Step::Kill(node) => self.kill(node),
            Step::Cut(node, vm) => set(vm)(self, &|faults| faults.cut.push(name(node))),
            Step::Silence(node, vm) => set(vm)(self, &|faults| faults.silent.push(name(node))),
            Step::Mute(node, vm) => set(vm)(self, &|faults| faults.mute.push(name(node))),
            Step::Heal(vm) => set(vm)(self, &|faults| *faults = no_faults()),
            Step::Delay(vm, ms) => set(vm)(self, &|faults| faults.delay = Millis(ms.into())),
            Step::LoseResponse(vm) => set(vm)(self, &|faults| faults.lose_answers += 1),
            Step::DropCall(vm) => set(vm)(self, &|faults| faults.drop_calls += 1),
            Step::Restart(vm) => self.workers[vm].restart(),
            Step::Retry(node) => self.retry(node),
            Step::Submit(..) | Step::HandOver(..) => {}
        }
        tokio::task::yield_now().await;
    }

    /// Kills a node unless it is dead or the last one; another node resubmits its unfinished
    /// requests.
    fn kill(&mut self, node: usize) {
        let live = self.alive.iter().filter(|alive| **alive).count();
        if live == 1 || !self.alive[node] {
            return;
        }
        self.alive[node] = false;
        self.nodes[node].kill();
        let successor = self.alive.iter().position(|alive| *alive);
        let successor = &self.nodes[successor.expect("at least one node is alive")];
        let unfinished = self.nodes[node]
            .sent()
            .into_iter()
            .filter(|sent| sent.outcome.is_none());
        unfinished.for_each(|sent| successor.stop_and_resubmit(sent));
    }

    /// Resubmits the requests whose attempts all ended as not run or cut.
    fn retry(&self, node: usize) {
        let is_over = |sent: &Sent| {
            matches!(
                sent.outcome,
                Some(DispatchOutcome::NotRun(_) | DispatchOutcome::Cut)
            )
        };
        let mut sent = self.sent();
        sent.sort_by_key(|sent| sent.request);
        for attempts in sent.chunk_by(|a, b| a.request == b.request) {
            if self.alive[node] && attempts.iter().all(is_over) {
                self.nodes[node].submit(attempts[0].request, attempts[0].run_ms);
            }
        }
    }

    async fn recover(&self) {
        for worker in &self.workers {
            worker.set_faults(|faults| *faults = no_faults());
        }
        for (node, alive) in self.nodes.iter().zip(&self.alive) {
            node.pause(false);
            if *alive {
                (0..WORKERS).for_each(|vm| node.set_intent(vm, LeaseIntent::Hold));
            }
        }
        tokio::time::sleep(Millis(RECOVERY_MS).duration()).await;
    }

    fn each_vm_has_one_owner(&self) -> bool {
        let live = || {
            self.nodes
                .iter()
                .zip(&self.alive)
                .filter(|(_, alive)| **alive)
        };
        (0..WORKERS).all(|vm| live().filter(|(node, _)| node.owns(vm)).count() == 1)
    }
}

async fn run_schedule(schedule: &[Step]) -> World {
    let mut world = World::new();
    for step in schedule {
        world.apply(step).await;
    }
    world.recover().await;
    world
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("the runtime can be built").block_on(future)
}

fn to_result(violations: &[String]) -> Result<bool, String> {
    match violations {
        [] => Ok(true),
        violations => Err(violations.join("\n")),
    }
}

fn keeps_invariants(schedule: Vec<Step>) -> Result<bool, String> {
    block_on(async {
        let world = run_schedule(&schedule).await;
        let mut violations = checks::violations(&world.workers, &world.sent());
        if !world.each_vm_has_one_owner() {
            violations
                .push("a VM does not have exactly one owner after the faults were removed".into());
        }
        to_result(&violations)
    })
}

fn cuts_no_task(schedule: Vec<Planned>) -> Result<bool, String> {
    let schedule: Vec<Step> = schedule.into_iter().map(|planned| planned.0).collect();
    block_on(async {
        let world = run_schedule(&schedule).await;
        let cut = |run: &Run| matches!(run.end, Some((_, RunEnd::Cut(_))));
        let cuts = checker::runs(&world.workers).into_iter().filter(cut);
        to_result(&cuts.map(|run| format!("{run:?}")).collect::<Vec<_>>())
    })
}

fn check() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, SEED))
        .tests(SCHEDULES)
}

#[test]
fn random_faults_keep_the_invariants() {
    check().quickcheck(keeps_invariants as fn(Vec<Step>) -> Result<bool, String>);
}

#[test]
fn planned_stops_cut_no_task() {
    check().quickcheck(cuts_no_task as fn(Vec<Planned>) -> Result<bool, String>);
}

/// One step of each kind of fault, on the first node or the first worker.
const FAULTS: [Step; 13] = [
    Step::Kill(0),
    Step::Pause(0),
    Step::Cut(0, 0),
    Step::Silence(0, 0),
    Step::Mute(0, 0),
    Step::Delay(0, 2_500),
    Step::LoseResponse(0),
    Step::DropCall(0),
    Step::Restart(0),
    Step::HandOver(0, 0, 1),
    Step::Drain(0, 0),
    Step::Acquire(1, 0),
    Step::Retry(1),
];

/// The times between two faults in milliseconds: none, less than a lease TTL and more than one.
const GAPS_MS: [u16; 3] = [0, 700, 3_700];

/// Returns a schedule that submits requests before, between and after two faults.
fn fault_pair(first: &Step, gap_ms: u16, second: &Step) -> Vec<Step> {
    vec![
        Step::Wait(500),
        Step::Submit(0, 8_000),
        Step::Wait(200),
        first.clone(),
        Step::Submit(0, 1_000),
        Step::Wait(gap_ms),
        second.clone(),
        Step::Submit(0, 1_000),
        Step::Wait(4_000),
        Step::Retry(1),
        Step::Resume(0),
        Step::Submit(0, 500),
        Step::Submit(1, 500),
        Step::Wait(2_000),
        Step::Heal(0),
        Step::Retry(2),
    ]
}

#[test]
fn every_single_fault_keeps_the_invariants() {
    for fault in &FAULTS {
        let outcome = keeps_invariants(fault_pair(fault, 0, &Step::Wait(0)));

        assert_eq!(outcome, Ok(true), "{fault:?}");
    }
}

#[test]
fn every_pair_of_faults_keeps_the_invariants() {
    for (first, second) in FAULTS
        .iter()
        .flat_map(|a| FAULTS.iter().map(move |b| (a, b)))
    {
        for gap_ms in GAPS_MS {
            let outcome = keeps_invariants(fault_pair(first, gap_ms, second));

            assert_eq!(outcome, Ok(true), "{first:?}, {gap_ms} ms, {second:?}");
        }
    }
}
