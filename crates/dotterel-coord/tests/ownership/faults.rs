//! What must always hold of owned VMs under random schedules of faults.

use crate::judge;
use crate::node::{Node, Sent};
use dotterel_coord::{DispatchOutcome, LeaseIntent};
use dotterel_kernel::{Clock, Millis, RequestId, Size};
use dotterel_standin::checker::{self, Run, RunEnd};
use dotterel_standin::{FakeWorker, Faults};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const NODES: usize = 3;
const WORKERS: usize = 2;

/// Schedules that each run of the property draws.
const SCHEDULES: u64 = 300;

/// The seed of the first schedule.
const SEED: u64 = 20_261_204;

/// Requests that come at once.
const BURST: usize = 3;

/// The longest time of one schedule in which nothing fails any more, in milliseconds.
const CALM_MS: u64 = 60_000;

#[derive(Clone, Debug)]
enum Step {
    Wait(u16),
    Submit(usize, u16),
    Seek(usize, usize),
    Give(usize, usize, usize),
    Drop(usize, usize),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Cut(usize, usize),
    Silence(usize, usize),
    Mute(usize, usize),
    Heal(usize),
    Delay(usize, u16),
    LoseAnswer(usize),
    DropCall(usize),
    Restart(usize),
    Retry(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % NODES;
        let other = usize::arbitrary(g) % NODES;
        let vm = usize::arbitrary(g) % WORKERS;
        let span = u16::arbitrary(g) % 4_000;
        match u8::arbitrary(g) % 25 {
            0..5 => Self::Wait(span),
            5..11 => Self::Submit(node, span * 8),
            11 => Self::Seek(node, vm),
            12 => Self::Give(node, vm, other),
            13 => Self::Pause(node),
            14 => Self::Resume(node),
            15 if span < 1_000 => Self::Kill(node),
            15 => Self::Restart(vm),
            16 => Self::Cut(node, vm),
            17 => Self::Silence(node, vm),
            18 => Self::Mute(node, vm),
            19 => Self::Heal(vm),
            20 => Self::Delay(vm, span),
            21 => Self::LoseAnswer(vm),
            22 => Self::DropCall(vm),
            23 => Self::Drop(node, vm),
            _ => Self::Retry(node),
        }
    }
}

/// A step that happens in an ordinary day of planned stops.
#[derive(Clone, Debug)]
struct Planned(Step);

impl Arbitrary for Planned {
    fn arbitrary(g: &mut Gen) -> Self {
        loop {
            let step = Step::arbitrary(g);
            let planned = matches!(
                step,
                Step::Wait(_) | Step::Submit(..) | Step::Seek(..) | Step::Give(..) | Step::Drop(..)
            );
            if planned || matches!(step, Step::LoseAnswer(_) | Step::DropCall(_)) {
                return Self(step);
            }
        }
    }
}

/// A worker without faults, one millisecond away.
fn sound() -> Faults {
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
            .for_each(|worker| worker.set_faults(|faults| *faults = sound()));
        let node = |index| Node::new(&format!("n{index}"), &workers, clock);
        let nodes: Vec<Node> = (0..NODES).map(node).collect();
        for (index, node) in nodes.iter().enumerate() {
            node.wish(index % WORKERS, LeaseIntent::Hold);
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
            Step::Wait(span) => tokio::time::sleep(Millis(span.into()).duration()).await,
            Step::Submit(node, run) if self.alive[node] => {
                (0..BURST).all(|_| self.nodes[node].submit(RequestId::generate(), run.into()));
            }
            Step::Seek(node, vm) => self.nodes[node].wish(vm, LeaseIntent::Hold),
            Step::Give(node, vm, heir) if node != heir => {
                self.nodes[heir].wish(vm, LeaseIntent::Hold);
                let heir = self.nodes[heir].id.clone();
                self.nodes[node].wish(vm, LeaseIntent::HandOver(heir));
            }
            Step::Drop(node, vm) => self.nodes[node].wish(vm, LeaseIntent::Drain),
            Step::Pause(node) => self.nodes[node].pause(true),
            Step::Resume(node) => self.nodes[node].pause(false),
            Step::Kill(node) => self.kill(node),
            Step::Cut(node, vm) => set(vm)(self, &|faults| faults.cut.push(name(node))),
            Step::Silence(node, vm) => set(vm)(self, &|faults| faults.silent.push(name(node))),
            Step::Mute(node, vm) => set(vm)(self, &|faults| faults.mute.push(name(node))),
            Step::Heal(vm) => set(vm)(self, &|faults| *faults = sound()),
            Step::Delay(vm, span) => set(vm)(self, &|faults| faults.delay = Millis(span.into())),
            Step::LoseAnswer(vm) => set(vm)(self, &|faults| faults.lose_answers += 1),
            Step::DropCall(vm) => set(vm)(self, &|faults| faults.drop_calls += 1),
            Step::Restart(vm) => self.workers[vm].restart(),
            Step::Retry(node) => self.retry(node),
            Step::Submit(..) | Step::Give(..) => {}
        }
        tokio::task::yield_now().await;
    }

    /// Kills a node, unless it is dead or the last one; another runs its requests again.
    fn kill(&mut self, node: usize) {
        let live = self.alive.iter().filter(|alive| **alive).count();
        if live == 1 || !self.alive[node] {
            return;
        }
        self.alive[node] = false;
        self.nodes[node].kill();
        let heir = self.alive.iter().position(|alive| *alive);
        let heir = &self.nodes[heir.expect("one node is left")];
        let open = self.nodes[node]
            .sent()
            .into_iter()
            .filter(|sent| sent.told.is_none());
        open.for_each(|sent| heir.rescue(sent));
    }

    /// Runs requests again of which all attempts are known to run no more.
    fn retry(&self, node: usize) {
        let over = |sent: &Sent| {
            matches!(
                sent.told,
                Some(DispatchOutcome::NotRun(_) | DispatchOutcome::Cut)
            )
        };
        let mut sent = self.sent();
        sent.sort_by_key(|sent| sent.request);
        for attempts in sent.chunk_by(|a, b| a.request == b.request) {
            if self.alive[node] && attempts.iter().all(over) {
                self.nodes[node].submit(attempts[0].request, attempts[0].run_ms);
            }
        }
    }

    async fn calm(&self) {
        for worker in &self.workers {
            worker.set_faults(|faults| *faults = sound());
        }
        for (node, alive) in self.nodes.iter().zip(&self.alive) {
            node.pause(false);
            if *alive {
                (0..WORKERS).for_each(|vm| node.wish(vm, LeaseIntent::Hold));
            }
        }
        tokio::time::sleep(Millis(CALM_MS).duration()).await;
    }

    fn serves(&self) -> bool {
        let live = || {
            self.nodes
                .iter()
                .zip(&self.alive)
                .filter(|(_, alive)| **alive)
        };
        (0..WORKERS).all(|vm| live().filter(|(node, _)| node.owns(vm)).count() == 1)
    }
}

async fn play(schedule: &[Step]) -> World {
    let mut world = World::new();
    for step in schedule {
        world.apply(step).await;
    }
    world.calm().await;
    world
}

fn block_on<T>(job: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("a runtime can be built").block_on(job)
}

fn verdict(faults: &[String]) -> Result<bool, String> {
    match faults {
        [] => Ok(true),
        faults => Err(faults.join("\n")),
    }
}

fn is_safe(schedule: Vec<Step>) -> Result<bool, String> {
    block_on(async {
        let world = play(&schedule).await;
        let mut faults = judge::faults(&world.workers, &world.sent());
        if !world.serves() {
            faults.push("a VM has no owner after the faults are over".into());
        }
        verdict(&faults)
    })
}

fn cuts_nothing(schedule: Vec<Planned>) -> Result<bool, String> {
    let schedule: Vec<Step> = schedule.into_iter().map(|planned| planned.0).collect();
    block_on(async {
        let world = play(&schedule).await;
        let cut = |run: &Run| matches!(run.end, Some((_, RunEnd::Cut(_))));
        let cuts = checker::runs(&world.workers).into_iter().filter(cut);
        verdict(&cuts.map(|run| format!("{run:?}")).collect::<Vec<_>>())
    })
}

fn check() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, SEED))
        .tests(SCHEDULES)
}

#[test]
fn nothing_runs_over_capacity_or_twice_and_fates_are_true() {
    check().quickcheck(is_safe as fn(Vec<Step>) -> Result<bool, String>);
}

#[test]
fn planned_stops_cut_nothing() {
    check().quickcheck(cuts_nothing as fn(Vec<Planned>) -> Result<bool, String>);
}

/// One step for each kind of fault, all at the first node or the first worker.
const FAULTS: [Step; 13] = [
    Step::Kill(0),
    Step::Pause(0),
    Step::Cut(0, 0),
    Step::Silence(0, 0),
    Step::Mute(0, 0),
    Step::Delay(0, 2_500),
    Step::LoseAnswer(0),
    Step::DropCall(0),
    Step::Restart(0),
    Step::Give(0, 0, 1),
    Step::Drop(0, 0),
    Step::Seek(1, 0),
    Step::Retry(1),
];

/// Times between two faults in milliseconds: at once, within a lease and beyond it.
const GAPS_MS: [u16; 3] = [0, 700, 3_700];

/// Returns a schedule with work before, between and after two faults.
fn pair(first: &Step, gap: u16, second: &Step) -> Vec<Step> {
    vec![
        Step::Wait(500),
        Step::Submit(0, 8_000),
        Step::Wait(200),
        first.clone(),
        Step::Submit(0, 1_000),
        Step::Wait(gap),
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
fn every_fault_alone_is_safe() {
    for fault in &FAULTS {
        let outcome = is_safe(pair(fault, 0, &Step::Wait(0)));

        assert_eq!(outcome, Ok(true), "{fault:?}");
    }
}

#[test]
fn every_pair_of_faults_is_safe() {
    for (first, second) in FAULTS
        .iter()
        .flat_map(|a| FAULTS.iter().map(move |b| (a, b)))
    {
        for gap in GAPS_MS {
            let outcome = is_safe(pair(first, gap, second));

            assert_eq!(outcome, Ok(true), "{first:?}, {gap} ms, {second:?}");
        }
    }
}
