//! Random schedules of faults, judged like the scenarios.

use std::time::Duration;

use dotterel_kernel::Millis;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::PLACES;
use crate::callers::ask;
use crate::cell::Cell;
use crate::judge::judge;

/// The seeds of the schedules.
const SEEDS: [u64; 5] = [3, 11, 23, 42, 77];

/// The faults in one schedule.
const FAULTS: usize = 10;

/// The time between two faults.
const GAP: Duration = Duration::from_millis(250);

/// How long callers send.
const LOAD: Duration = Duration::from_millis(3_000);

const NODES: [&str; 4] = ["a1", "a2", "b1", "b2"];
const WORKERS: [&str; 4] = ["a-w001", "a-w002", "b-w001", "b-w002"];
const DATA_CENTRES: [&str; 2] = ["a", "b"];

/// What happens next to the cell.
#[derive(Clone, Debug)]
enum Fault {
    Dies(&'static str),
    StartsAgain(&'static str),
    Pauses(&'static str),
    GoesOn(&'static str),
    Stops(&'static str),
    CutFromPeers(&'static str),
    CutFromPlatform(&'static str),
    TableDown(u64),
    TableSlow(u64),
    TableLoses(u32),
    WorkerHushed(usize),
    WorkerFails(&'static str),
    WorkerTruncates(&'static str),
    WorkerRestarts(&'static str),
    WorkerLoses(&'static str, u32),
    WorkerSlow(&'static str, u64),
    WorkerLeaves(&'static str),
    ListedLeaving(&'static str),
    Orders,
    Repeats(&'static str),
    Edit(&'static str),
    AllEnd,
}

/// The faults of one run, one after another.
#[derive(Clone, Debug)]
struct Schedule(Vec<Fault>);

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = pick(g, &NODES);
        let worker = pick(g, &WORKERS);
        let data_centre = pick(g, &DATA_CENTRES);
        let span = 100 + u64::from(u8::arbitrary(g)) * 4;
        let count = u32::from(u8::arbitrary(g) % 6) + 1;
        match u8::arbitrary(g) % 22 {
            0 => Self::Dies(node),
            1 => Self::StartsAgain(node),
            2 => Self::Pauses(node),
            3 => Self::GoesOn(node),
            4 => Self::Stops(node),
            5 => Self::CutFromPeers(data_centre),
            6 => Self::CutFromPlatform(data_centre),
            7 => Self::TableDown(span),
            8 => Self::TableSlow(span / 3),
            9 => Self::TableLoses(count),
            10 => Self::WorkerHushed(usize::arbitrary(g) % WORKERS.len()),
            11 => Self::WorkerFails(worker),
            12 => Self::WorkerTruncates(worker),
            13 => Self::WorkerRestarts(worker),
            14 => Self::WorkerLoses(worker, count),
            15 => Self::WorkerSlow(worker, span / 4),
            16 => Self::WorkerLeaves(worker),
            17 => Self::ListedLeaving(worker),
            18 => Self::Orders,
            19 => Self::Repeats(node),
            20 => Self::Edit(node),
            _ => Self::AllEnd,
        }
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        Self((0..FAULTS).map(|_| Fault::arbitrary(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let faults = self.0.clone();
        Box::new((0..faults.len()).map(move |index| {
            let mut fewer = faults.clone();
            fewer.remove(index);
            Self(fewer)
        }))
    }
}

fn pick<T: Copy>(g: &mut Gen, from: &[T]) -> T {
    *g.choose(from).expect("there is something to choose")
}

impl Fault {
    async fn happen(&self, cell: &mut Cell) {
        match *self {
            Self::Dies(node) if cell.entry(node).up() => cell.die(node),
            Self::StartsAgain(node) if !cell.entry(node).up() => cell.restart(node).await,
            Self::Pauses(node) if cell.entry(node).up() => cell.entry(node).freeze(),
            Self::GoesOn(node) => cell.entry(node).resume(),
            Self::Stops(node) if cell.entry(node).up() => cell.stop(&[node]),
            Self::CutFromPeers(data_centre) => cell.cut_peers(data_centre),
            Self::CutFromPlatform(data_centre) => cell.cut_platform(data_centre),
            Self::TableDown(span) => {
                let until = cell.clock.now() + Millis(span);
                let table = cell.cluster.table();
                table.set_faults(|faults| faults.down_until = until);
            }
            Self::TableSlow(span) => cell.cluster.table().set_faults(|f| f.delay = Millis(span)),
            Self::TableLoses(n) => cell.cluster.table().set_faults(|f| f.lose_answers = n),
            Self::WorkerHushed(index) => cell.cluster.stall_worker(index),
            Self::WorkerFails(vm) => cell.worker(vm).set_faults(|f| f.fail_tasks = true),
            Self::WorkerTruncates(vm) => cell.worker(vm).set_faults(|f| f.truncate = true),
            Self::WorkerRestarts(vm) => cell.worker(vm).restart(),
            Self::WorkerLoses(vm, n) => cell.worker(vm).set_faults(|f| f.lose_answers = n),
            Self::WorkerSlow(vm, span) => cell.worker(vm).set_faults(|f| f.delay = Millis(span)),
            Self::WorkerLeaves(vm) => cell.leave(vm),
            Self::ListedLeaving(vm) => cell.list_leaving(vm, Millis::ZERO),
            Self::Orders => cell.orders(2, 200),
            Self::Repeats(node) => cell.repeat_orders(node),
            Self::Edit(node) => drop(cell.edit(node).await),
            Self::AllEnd => cell.heal(),
            _ => {}
        }
    }
}

async fn run(schedule: &Schedule) -> Vec<String> {
    let _place = PLACES.acquire().await.expect("the semaphore stays open");
    let mut cell = Cell::start(2, 2, 2).await;
    let watching = cell.watch.follow(cell.balancer.clone());
    cell.load(ask("layout", 120), 50, LOAD);
    for fault in &schedule.0 {
        tokio::time::sleep(GAP).await;
        fault.happen(&mut cell).await;
    }
    let faults = judge(&mut cell).await;
    watching.abort();
    faults
}

fn holds(schedule: Schedule) -> TestResult {
    let runtime = tokio::runtime::Runtime::new().expect("threads can be started");
    let faults = runtime.block_on(run(&schedule));
    runtime.shutdown_background();
    if faults.is_empty() {
        return TestResult::passed();
    }
    TestResult::error(format!("{schedule:#?}: {faults:#?}"))
}

fn check(seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(FAULTS, seed))
        .tests(1)
        .max_tests(1)
        .quickcheck(holds as fn(Schedule) -> TestResult);
}

#[test]
fn promises_hold_under_random_faults() {
    let checks = SEEDS.map(|seed| (seed, std::thread::spawn(move || check(seed))));
    let failed = checks.into_iter().filter_map(|(seed, check)| {
        let held = check.join();
        held.is_err().then_some(seed)
    });

    let failed: Vec<u64> = failed.collect();

    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
