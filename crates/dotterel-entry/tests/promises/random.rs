//! Random fault schedules, checked against the same invariants as the scenarios.

use std::time::Duration;

use dotterel_kernel::Millis;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::CELL_SLOTS;
use crate::callers::request;
use crate::cell::Cell;
use crate::invariants::find_violations;

/// One schedule is generated from each seed.
const SEEDS: [u64; 5] = [3, 11, 23, 42, 77];

/// Number of faults in a schedule.
const SCHEDULE_LENGTH: usize = 10;

const FAULT_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which callers send requests.
const LOAD_DURATION: Duration = Duration::from_millis(3_000);

const NODES: [&str; 4] = ["a1", "a2", "b1", "b2"];
const WORKERS: [&str; 4] = ["a-w001", "a-w002", "b-w001", "b-w002"];
const DATA_CENTRES: [&str; 2] = ["a", "b"];

/// A fault, an operation or a recovery that is applied to the cell.
#[derive(Clone, Debug)]
enum Fault {
    NodeCrash(&'static str),
    NodeRestart(&'static str),
    NodePause(&'static str),
    NodeResume(&'static str),
    NodeStop(&'static str),
    PeerPartition(&'static str),
    PlatformPartition(&'static str),
    TableDown(u64),
    TableSlow(u64),
    TableLosesReplies(u32),
    WorkerStall(usize),
    WorkerFailsTasks(&'static str),
    WorkerTruncates(&'static str),
    WorkerRestart(&'static str),
    WorkerLosesReplies(&'static str, u32),
    WorkerSlow(&'static str, u64),
    WorkerAnnouncesLeaving(&'static str),
    ListedLeaving(&'static str),
    SendOrders,
    RepeatOrders(&'static str),
    Edit(&'static str),
    ClearFaults,
}

/// The faults of one run, in order.
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
            0 => Self::NodeCrash(node),
            1 => Self::NodeRestart(node),
            2 => Self::NodePause(node),
            3 => Self::NodeResume(node),
            4 => Self::NodeStop(node),
            5 => Self::PeerPartition(data_centre),
            6 => Self::PlatformPartition(data_centre),
            7 => Self::TableDown(span),
            8 => Self::TableSlow(span / 3),
            9 => Self::TableLosesReplies(count),
            10 => Self::WorkerStall(usize::arbitrary(g) % WORKERS.len()),
            11 => Self::WorkerFailsTasks(worker),
            12 => Self::WorkerTruncates(worker),
            13 => Self::WorkerRestart(worker),
            14 => Self::WorkerLosesReplies(worker, count),
            15 => Self::WorkerSlow(worker, span / 4),
            16 => Self::WorkerAnnouncesLeaving(worker),
            17 => Self::ListedLeaving(worker),
            18 => Self::SendOrders,
            19 => Self::RepeatOrders(node),
            20 => Self::Edit(node),
            _ => Self::ClearFaults,
        }
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Self {
        Self((0..SCHEDULE_LENGTH).map(|_| Fault::arbitrary(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let faults = self.0.clone();
        Box::new((0..faults.len()).map(move |index| {
            let mut shorter = faults.clone();
            shorter.remove(index);
            Self(shorter)
        }))
    }
}

fn pick<T: Copy>(g: &mut Gen, from: &[T]) -> T {
    *g.choose(from).expect("the slice is not empty")
}

impl Fault {
    async fn apply(&self, cell: &mut Cell) {
        match *self {
            Self::NodeCrash(node) if cell.entry(node).is_up() => cell.crash(node),
            Self::NodeRestart(node) if !cell.entry(node).is_up() => cell.restart(node).await,
            Self::NodePause(node) if cell.entry(node).is_up() => cell.entry(node).pause(),
            Self::NodeResume(node) => cell.entry(node).resume(),
            Self::NodeStop(node) if cell.entry(node).is_up() => cell.stop(&[node]),
            Self::PeerPartition(data_centre) => cell.partition_peers(data_centre),
            Self::PlatformPartition(data_centre) => cell.partition_platform(data_centre),
            Self::TableDown(span) => {
                let until = cell.clock.now() + Millis(span);
                let table = cell.cluster.table();
                table.set_faults(|faults| faults.down_until = until);
            }
            Self::TableSlow(span) => cell.cluster.table().set_faults(|f| f.delay = Millis(span)),
            Self::TableLosesReplies(n) => cell.cluster.table().set_faults(|f| f.lose_answers = n),
            Self::WorkerStall(index) => cell.cluster.stall_worker(index),
            Self::WorkerFailsTasks(vm) => cell.worker(vm).set_faults(|f| f.fail_tasks = true),
            Self::WorkerTruncates(vm) => cell.worker(vm).set_faults(|f| f.truncate = true),
            Self::WorkerRestart(vm) => cell.worker(vm).restart(),
            Self::WorkerLosesReplies(vm, n) => cell.worker(vm).set_faults(|f| f.lose_answers = n),
            Self::WorkerSlow(vm, span) => cell.worker(vm).set_faults(|f| f.delay = Millis(span)),
            Self::WorkerAnnouncesLeaving(vm) => cell.announce_leaving(vm),
            Self::ListedLeaving(vm) => cell.list_as_leaving(vm, Millis::ZERO),
            Self::SendOrders => cell.send_orders(2, 200),
            Self::RepeatOrders(node) => cell.repeat_orders(node),
            Self::Edit(node) => drop(cell.edit(node).await),
            Self::ClearFaults => cell.clear_faults(),
            _ => {}
        }
    }
}

/// Runs a schedule under load and returns the violated invariants.
async fn run(schedule: &Schedule) -> Vec<String> {
    let _slot = CELL_SLOTS
        .acquire()
        .await
        .expect("the semaphore is not closed");
    let mut cell = Cell::start(2, 2, 2).await;
    let monitor_task = cell.monitor.spawn(cell.balancer.clone());
    cell.start_load(request("layout", 120), 50, LOAD_DURATION);
    for fault in &schedule.0 {
        tokio::time::sleep(FAULT_INTERVAL).await;
        fault.apply(&mut cell).await;
    }
    let violations = find_violations(&mut cell).await;
    monitor_task.abort();
    violations
}

fn property(schedule: Schedule) -> TestResult {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be built");
    let violations = runtime.block_on(run(&schedule));
    runtime.shutdown_background();
    if violations.is_empty() {
        return TestResult::passed();
    }
    TestResult::error(format!("{schedule:#?}: {violations:#?}"))
}

fn check_seed(seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SCHEDULE_LENGTH, seed))
        .tests(1)
        .max_tests(1)
        .quickcheck(property as fn(Schedule) -> TestResult);
}

#[test]
fn promises_hold_under_random_faults() {
    let checks = SEEDS.map(|seed| (seed, std::thread::spawn(move || check_seed(seed))));
    let failed = checks.into_iter().filter_map(|(seed, check)| {
        let result = check.join();
        result.is_err().then_some(seed)
    });

    let failed: Vec<u64> = failed.collect();

    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}
