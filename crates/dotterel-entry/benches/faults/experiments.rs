//! The experiments, each on a cell of its own.

use dotterel_kernel::{Millis, Size};
use dotterel_standin::{FakeWorker, checker};

use crate::cell::{Cell, Plan};
use crate::load::{End, Load, Sample};
use crate::report::{Phase, percent, spread, table};
use crate::takeover::{owner_at, regrants, released, set_aside, starts};

/// The names of the experiments.
pub(crate) const NAMES: [&str; 5] = ["outage", "cut", "failing", "death", "stop"];

/// The default terms of leases.
const PLAN: Plan = Plan {
    worker: Size {
        milli_cores: 32_000,
        memory_mb: 64 << 10,
        accelerators: 0,
        slots: 8,
        connections: 64,
    },
    lease: "",
};

/// Calls a second that take about half of the slots: 200 calls of 480 ms on 192 slots.
const HALF: f64 = 200.0;

/// Calls a second at the crest, at about nine tenths of the slots.
const CREST: f64 = 360.0;

/// The length of the phases before and after a fault.
const CALM: Millis = Millis::secs(15);

/// How long a cell runs under load before anything counts.
const WARM: Millis = Millis::secs(5);

/// A run of a cell under load with three phases.
struct Run {
    cell: Cell,
    load: Load,
    phases: [Phase; 3],
}

impl Run {
    /// Starts the cell and its load, and returns when the fault has to begin.
    async fn start(seed: u64, per_second: f64, fault: Millis) -> Self {
        let cell = Cell::planned(2, 2, 12, PLAN).await;
        let clock = cell.clock;
        let begin = clock.now() + WARM;
        let cuts = [
            begin,
            begin + CALM,
            begin + CALM + fault,
            begin + CALM + fault + CALM,
        ];
        let span = cuts[3] - clock.now();
        let load = Load::start(
            cell.balancer.clone(),
            clock,
            per_second,
            span.duration(),
            seed,
        );
        let phase = |index: usize, name| Phase {
            name,
            from: cuts[index],
            until: cuts[index + 1],
        };
        let phases = [phase(0, "before"), phase(1, "during"), phase(2, "after")];
        clock.sleep_until(cuts[1]).await;
        Self { cell, load, phases }
    }

    async fn fault_over(&self) {
        self.cell.clock.sleep_until(self.phases[1].until).await;
    }

    /// Waits for all calls and judges what the workers saw.
    async fn finish(self) -> (Vec<Sample>, Vec<FakeWorker>, [Phase; 3]) {
        let samples = self.load.finish().await;
        let workers = self.cell.cluster.workers();
        let over = checker::over_capacity(&workers).len();
        let twice = checker::overlapping_runs(&workers).len();
        println!("workers over capacity: {over}, work in two places: {twice}");
        (samples, workers, self.phases)
    }
}

/// Runs an experiment by its name.
pub(crate) async fn run(name: &str, seed: u64, short: bool) {
    let long = if short {
        Millis::secs(15)
    } else {
        Millis::secs(60)
    };
    match name {
        "outage" => outage(seed, long).await,
        "cut" => cut(seed, long).await,
        "failing" => failing(seed, long).await,
        "death" => death(seed).await,
        "stop" => stop(seed).await,
        other => unreachable!("{other} was checked"),
    }
}

/// The table, the store and the list are down.
async fn outage(seed: u64, span: Millis) {
    let run = Run::start(seed, HALF, span).await;
    let [_, during, _] = run.phases;
    run.cell
        .platform_faults(|faults| faults.down_until = during.until);
    run.fault_over().await;
    let (samples, _, phases) = run.finish().await;
    table("Platform outage", &samples, &phases);
    recovery(&samples, &during);
}

/// Prints when unrepeatable calls ran again.
fn recovery(samples: &[Sample], fault: &Phase) {
    let claims = || samples.iter().filter(|sample| !sample.repeatable);
    let ran = claims().filter(|sample| sample.end == End::Ran && sample.ended >= fault.until);
    let held = claims().filter(|sample| sample.end != End::Ran && sample.due >= fault.until);
    let first = ran.map(|sample| sample.ended.since(fault.until)).min();
    let last = held.map(|sample| sample.due.since(fault.until)).max();
    println!(
        "\nunrepeatable calls after the end of the fault: first run ended after {}, last call that did not run left after {}",
        text(first),
        text(last),
    );
}

fn text(time: Option<Millis>) -> String {
    time.map_or_else(|| "never".into(), |time| time.to_string())
}

/// The nodes of data centre `b` reach neither the platform nor the nodes of `a`.
async fn cut(seed: u64, span: Millis) {
    let mut run = Run::start(seed, HALF, span).await;
    run.cell.cut_peers("b");
    run.cell.cut_platform("b");
    run.fault_over().await;
    run.cell.heal();
    let (samples, _, phases) = run.finish().await;
    for side in ["a", "b"] {
        let side_samples = samples
            .iter()
            .filter(|sample| sample.node.starts_with(side));
        let side_samples: Vec<Sample> = side_samples.cloned().collect();
        let title = format!("Data-centre cut, calls to nodes of {side} (cut off: b)");
        table(&title, &side_samples, &phases);
        recovery(&side_samples, &phases[1]);
    }
}

/// Every third worker fails all that it starts.
async fn failing(seed: u64, span: Millis) {
    let run = Run::start(seed, HALF, span).await;
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
    run.fault_over().await;
    fail(false);
    let (samples, _, phases) = run.finish().await;
    table(
        "A third of the workers fail what they start",
        &samples,
        &phases,
    );
    for phase in &phases {
        let count = |part: &[(usize, &FakeWorker)]| {
            let each = part.iter().map(|entry| starts(entry.1, phase).len());
            each.sum::<usize>()
        };
        let sent = samples.iter().filter(|sample| phase.holds(sample.due));
        let sent = sent.count();
        let (failing, sound) = (count(&bad), count(&good));
        println!(
            "{}: {sent} calls, {} starts ({}% of calls), {failing} of them on failing workers",
            phase.name,
            failing + sound,
            percent(failing + sound, sent),
        );
    }
    standing(&bad, &workers, &phases[1]);
}

/// Prints when each failing worker was set aside, with the share of failing ones at its owner.
fn standing(bad: &[(usize, &FakeWorker)], workers: &[FakeWorker], fault: &Phase) {
    let owner = |worker: &FakeWorker| owner_at(worker, fault.from).unwrap_or_default();
    let mut spans = Vec::new();
    for (_, worker) in bad {
        let (node, starts) = (owner(worker), starts(worker, fault));
        let owned = workers.iter().filter(|other| owner(other) == node);
        let failing = bad.iter().filter(|other| owner(other.1) == node);
        let aside = set_aside(&starts, fault).map(|at| at.since(fault.from));
        println!(
            "{}, owned by {node} with {} failing of {}: {} starts, set aside after {}",
            worker.vm(),
            failing.count(),
            owned.count(),
            starts.len(),
            text(aside),
        );
        spans.extend(aside);
    }
    println!(
        "set aside: {} of {}, {}",
        spans.len(),
        bad.len(),
        spread(spans.clone())
    );
}

/// A node dies as a crashed process does; the balancer knows at once.
async fn death(seed: u64) {
    let mut run = Run::start(seed, HALF, CALM).await;
    let node = "a1";
    let at = run.cell.clock.now();
    run.cell.die(node);
    let (samples, workers, phases) = run.finish().await;
    table("Death of a node", &samples, &phases);
    let open = samples
        .iter()
        .filter(|sample| sample.node == node && sample.due <= at && sample.ended >= at);
    println!("calls open at the node when it died: {}", open.count());
    let grants = regrants(&workers, node, at);
    let spans = grants.iter().filter_map(|grant| grant.1);
    let spans: Vec<Millis> = spans.map(|granted| granted.since(at)).collect();
    println!(
        "takeover: {} of {} workers (lease TTL 3000 ms)",
        spread(spans),
        grants.len()
    );
}

/// A node stops as planned at the crest.
async fn stop(seed: u64) {
    let mut run = Run::start(seed, CREST, CALM).await;
    let node = "a1";
    let at = run.cell.clock.now();
    run.cell.stop(&[node]);
    run.cell.finish().await;
    let took = run.cell.clock.now().since(at);
    let (samples, workers, phases) = run.finish().await;
    table("Planned stop of a node at the crest", &samples, &phases);
    let during = samples
        .iter()
        .filter(|sample| sample.due >= phases[1].from || sample.ended >= at);
    let cut = during.filter(|sample| matches!(sample.end, End::Lost | End::Unknown | End::Failed));
    println!(
        "calls cut: {}; the node had stopped after {took}",
        cut.count()
    );
    let grants = regrants(&workers, node, at);
    let after_stop = grants.iter().filter_map(|grant| grant.1);
    let after_stop: Vec<Millis> = after_stop.map(|granted| granted.since(at)).collect();
    println!("hand-over from the stop on: {}", spread(after_stop));
    let gaps = grants.iter().filter_map(|(vm, granted)| {
        let worker = workers.iter().find(|worker| worker.vm() == *vm)?;
        Some((*granted)?.since(released(worker, at)?))
    });
    println!("without an owner: {}", spread(gaps.collect()));
}
