//! The experiments; each one runs on a new cell.

use dotterel_kernel::{Millis, Size};
use dotterel_standin::{FakeWorker, checker};

use crate::cell::{Cell, CellConfig};
use crate::load::{End, Load, Sample};
use crate::report::{Phase, percent, print_table, summarize};
use crate::takeover::{ejection_time, owner_at, regrants, release_time, starts};

/// The names of the experiments.
pub(crate) const NAMES: [&str; 5] = ["outage", "cut", "failing", "death", "stop"];

/// Workers of eight slots and the default lease settings.
const CONFIG: CellConfig = CellConfig {
    worker: Size {
        milli_cores: 32_000,
        memory_mb: 64 << 10,
        accelerators: 0,
        slots: 8,
        connections: 64,
    },
    lease: "",
};

/// Calls per second that use about half of the slots: 200 calls of 480 ms occupy 96 of 192 slots.
const HALF_LOAD: f64 = 200.0;

/// Calls per second that use about nine tenths of the slots.
const PEAK_LOAD: f64 = 360.0;

/// Duration of the phases before and after a fault.
const STEADY_PHASE: Millis = Millis::secs(15);

/// Time under load before the first phase.
const WARMUP: Millis = Millis::secs(5);

/// A cell under load, with a phase before, during and after the fault.
struct Run {
    cell: Cell,
    load: Load,
    phases: [Phase; 3],
}

impl Run {
    /// Starts the cell and the load, and returns at the start of the fault phase.
    async fn start(seed: u64, per_second: f64, fault: Millis) -> Self {
        let cell = Cell::start_with(2, 2, 12, CONFIG).await;
        let clock = cell.clock;
        let begin = clock.now() + WARMUP;
        let boundaries = [
            begin,
            begin + STEADY_PHASE,
            begin + STEADY_PHASE + fault,
            begin + STEADY_PHASE + fault + STEADY_PHASE,
        ];
        let span = boundaries[3] - clock.now();
        let load = Load::start(
            cell.balancer.clone(),
            clock,
            per_second,
            span.duration(),
            seed,
        );
        let phase = |index: usize, name| Phase {
            name,
            from: boundaries[index],
            until: boundaries[index + 1],
        };
        let phases = [phase(0, "before"), phase(1, "during"), phase(2, "after")];
        clock.sleep_until(boundaries[1]).await;
        Self { cell, load, phases }
    }

    /// Waits until the end of the fault phase.
    async fn wait_for_fault_end(&self) {
        self.cell.clock.sleep_until(self.phases[1].until).await;
    }

    /// Waits for all calls, then prints the violations found in the event logs of the workers.
    async fn finish(self) -> (Vec<Sample>, Vec<FakeWorker>, [Phase; 3]) {
        let samples = self.load.finish().await;
        let workers = self.cell.cluster.workers();
        let over = checker::over_capacity(&workers).len();
        let overlapping = checker::overlapping_runs(&workers).len();
        println!("workers over capacity: {over}, work in two places: {overlapping}");
        (samples, workers, self.phases)
    }
}

/// Runs the experiment with this name.
///
/// # Panics
///
/// Panics if the name is not in [`NAMES`].
pub(crate) async fn run(name: &str, seed: u64, short: bool) {
    let long = if short {
        Millis::secs(15)
    } else {
        Millis::secs(60)
    };
    match name {
        "outage" => outage(seed, long).await,
        "cut" => partition(seed, long).await,
        "failing" => failing(seed, long).await,
        "death" => crash(seed).await,
        "stop" => stop(seed).await,
        other => unreachable!("{other} is not in NAMES"),
    }
}

/// The table, the store and the VM list are down.
async fn outage(seed: u64, span: Millis) {
    let run = Run::start(seed, HALF_LOAD, span).await;
    let [_, during, _] = run.phases;
    run.cell
        .platform_faults(|faults| faults.down_until = during.until);
    run.wait_for_fault_end().await;
    let (samples, _, phases) = run.finish().await;
    print_table("Platform outage", &samples, &phases);
    recovery(&samples, &during);
}

/// Prints when unrepeatable calls recovered after the fault.
fn recovery(samples: &[Sample], fault: &Phase) {
    let unrepeatable = || samples.iter().filter(|sample| !sample.repeatable);
    let ran = unrepeatable().filter(|sample| sample.end == End::Ran && sample.ended >= fault.until);
    let not_run =
        unrepeatable().filter(|sample| sample.end != End::Ran && sample.due >= fault.until);
    let first = ran.map(|sample| sample.ended.since(fault.until)).min();
    let last = not_run.map(|sample| sample.due.since(fault.until)).max();
    println!(
        "\nunrepeatable calls, in time since the end of the fault: first success {}, last unsuccessful call sent {}",
        format_time(first),
        format_time(last),
    );
}

fn format_time(time: Option<Millis>) -> String {
    time.map_or_else(|| "never".into(), |time| time.to_string())
}

/// Data centre `b` is partitioned from the platform and from data centre `a`.
async fn partition(seed: u64, span: Millis) {
    let mut run = Run::start(seed, HALF_LOAD, span).await;
    run.cell.partition_peers("b");
    run.cell.partition_platform("b");
    run.wait_for_fault_end().await;
    run.cell.clear_faults();
    let (samples, _, phases) = run.finish().await;
    for side in ["a", "b"] {
        let side_samples = samples
            .iter()
            .filter(|sample| sample.node.starts_with(side));
        let side_samples: Vec<Sample> = side_samples.cloned().collect();
        let title = format!("Data-centre partition, calls to nodes of {side} (partitioned: b)");
        print_table(&title, &side_samples, &phases);
        recovery(&side_samples, &phases[1]);
    }
}

/// Every third worker fails each task that it starts.
async fn failing(seed: u64, span: Millis) {
    let run = Run::start(seed, HALF_LOAD, span).await;
    let workers = run.cell.cluster.workers();
    let (bad, good): (Vec<_>, Vec<_>) = workers
        .iter()
        .enumerate()
        .partition(|entry| entry.0 % 3 == 0);
    let fail = |on: bool| {
        for (_, worker) in &bad {
            worker.set_faults(|faults| faults.fail_tasks = on);
        }
    };
    fail(true);
    run.wait_for_fault_end().await;
    fail(false);
    let (samples, _, phases) = run.finish().await;
    print_table("A third of the workers fail every task", &samples, &phases);
    for phase in &phases {
        let count = |part: &[(usize, &FakeWorker)]| {
            let each = part.iter().map(|entry| starts(entry.1, phase).len());
            each.sum::<usize>()
        };
        let sent = samples.iter().filter(|sample| phase.contains(sample.due));
        let sent = sent.count();
        let (failing, healthy) = (count(&bad), count(&good));
        println!(
            "{}: {sent} calls, {} starts ({}% of calls), {failing} of them on failing workers",
            phase.name,
            failing + healthy,
            percent(failing + healthy, sent),
        );
    }
    print_ejections(&bad, &workers, &phases[1]);
}

/// Prints when each failing worker was ejected, and how many of its owner's workers failed.
fn print_ejections(bad: &[(usize, &FakeWorker)], workers: &[FakeWorker], fault: &Phase) {
    let owner = |worker: &FakeWorker| owner_at(worker, fault.from).unwrap_or_default();
    let mut spans = Vec::new();
    for (_, worker) in bad {
        let (node, starts) = (owner(worker), starts(worker, fault));
        let owned = workers.iter().filter(|other| owner(other) == node);
        let failing = bad.iter().filter(|other| owner(other.1) == node);
        let ejected = ejection_time(&starts, fault).map(|at| at.since(fault.from));
        println!(
            "{}, owned by {node} with {} failing of {}: {} starts, ejected after {}",
            worker.vm(),
            failing.count(),
            owned.count(),
            starts.len(),
            format_time(ejected),
        );
        spans.extend(ejected);
    }
    println!(
        "ejected: {} of {}, {}",
        spans.len(),
        bad.len(),
        summarize(spans.clone())
    );
}

/// A node crashes; the balancer removes it immediately.
async fn crash(seed: u64) {
    let mut run = Run::start(seed, HALF_LOAD, STEADY_PHASE).await;
    let node = "a1";
    let at = run.cell.clock.now();
    run.cell.crash(node);
    let (samples, workers, phases) = run.finish().await;
    print_table("Crash of a node", &samples, &phases);
    let open = samples
        .iter()
        .filter(|sample| sample.node == node && sample.due <= at && sample.ended >= at);
    println!(
        "calls in flight at the node when it crashed: {}",
        open.count()
    );
    let grants = regrants(&workers, node, at);
    let spans = grants.iter().filter_map(|grant| grant.1);
    let spans: Vec<Millis> = spans.map(|granted| granted.since(at)).collect();
    println!(
        "takeover: {} of {} workers (lease TTL 3000 ms)",
        summarize(spans),
        grants.len()
    );
}

/// A planned stop of a node under peak load.
async fn stop(seed: u64) {
    let mut run = Run::start(seed, PEAK_LOAD, STEADY_PHASE).await;
    let node = "a1";
    let at = run.cell.clock.now();
    run.cell.stop(&[node]);
    run.cell.finish().await;
    let took = run.cell.clock.now().since(at);
    let (samples, workers, phases) = run.finish().await;
    print_table("Planned stop of a node under peak load", &samples, &phases);
    let during = samples
        .iter()
        .filter(|sample| sample.due >= phases[1].from || sample.ended >= at);
    let lost = during.filter(|sample| matches!(sample.end, End::Lost | End::Unknown | End::Failed));
    println!(
        "calls lost, failed or unknown: {}; the node stopped after {took}",
        lost.count()
    );
    let grants = regrants(&workers, node, at);
    let after_stop = grants.iter().filter_map(|grant| grant.1);
    let after_stop: Vec<Millis> = after_stop.map(|granted| granted.since(at)).collect();
    println!(
        "time from the stop to the new grant: {}",
        summarize(after_stop)
    );
    let gaps = grants.iter().filter_map(|(vm, granted)| {
        let worker = workers.iter().find(|worker| worker.vm() == *vm)?;
        Some((*granted)?.since(release_time(worker, at)?))
    });
    println!("time without an owner: {}", summarize(gaps.collect()));
}
