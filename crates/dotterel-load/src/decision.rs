//! Timing of individual scheduler decisions.

use std::time::Instant;

use clap::Args;
use dotterel_kernel::{
    DataCentre, Epoch, HoldKey, Kind, Millis, PendingTask, Scheduler, Service, Size, SubmitOutcome,
    TaskSpec, Urgency, Vm, VmId,
};
use hdrhistogram::Histogram;

const SLOTS: u32 = 8;
const SERVICES: usize = 360;

/// Fleets to measure and the number of decisions.
#[derive(Args)]
pub struct Options {
    /// Fleet sizes, in VMs.
    #[arg(long, value_delimiter = ',', default_value = "48,480,3400")]
    vms: Vec<u32>,
    /// Rounds per fleet size and fill; each submits one task and finishes another.
    #[arg(long, default_value_t = 100_000)]
    rounds: usize,
}

/// Durations of decisions.
#[derive(Clone, Debug)]
pub struct Timings {
    /// Nanoseconds per submission.
    pub submit_ns: Histogram<u64>,
    /// Nanoseconds to release the hold of a finished task and place the next queued one.
    pub handover_ns: Histogram<u64>,
    /// Placements per second of time spent in the scheduler.
    pub placements_per_second: f64,
}

/// Returns a scheduler under the standard policy whose `vms` VMs differ only in their accelerators.
#[must_use]
pub fn build_scheduler(vms: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(dotterel_policies::standard());
    for number in 0..vms {
        let capacity = Size {
            milli_cores: 32_000,
            memory_mb: 65_536,
            // Every third VM has accelerators, as in a heterogeneous fleet.
            accelerators: if number % 3 == 0 { 4 } else { 0 },
            slots: SLOTS,
            connections: 64,
        };
        let id = VmId(format!("vm-{number}").into());
        let vm = Vm::new(id, DataCentre::from("a"), capacity, Epoch(1));
        scheduler.fleet_mut().insert(vm);
    }
    scheduler
}

/// Returns the task number `index` of a mix of short tasks, long tasks and tasks with accelerators.
#[must_use]
pub fn build_task(index: usize, now: Millis) -> PendingTask {
    let is_long = index.is_multiple_of(3);
    let accelerators = u32::from(index.is_multiple_of(12));
    PendingTask {
        service: Service(format!("service-{}", index % SERVICES).into()),
        class: if is_long {
            "long".into()
        } else {
            "short".into()
        },
        spec: TaskSpec {
            kind: if is_long {
                Kind::Batch
            } else {
                Kind::Interactive
            },
            urgency: if is_long {
                Urgency::Overnight
            } else {
                Urgency::Urgent
            },
            size: Size {
                milli_cores: if is_long { 4000 } else { 500 },
                memory_mb: 512 << (index % 4),
                accelerators,
                slots: 1,
                connections: 1,
            },
            expected_run: if is_long { Millis(60_000) } else { Millis(50) },
            is_long,
        },
        arrived: now,
        deadline: now + Millis::secs(36_000),
    }
}

/// Measures `rounds` rounds of decisions, aiming at a `fill` fraction of slots in use and `queued`
/// waiting tasks at the start.
///
/// # Panics
///
/// Never: the histogram bounds are valid constants.
#[must_use]
pub fn measure_decisions(vms: u32, fill: f64, queued: usize, rounds: usize) -> Timings {
    let histogram = || Histogram::new_with_bounds(1, 10_000_000_000, 3).expect("valid bounds");
    let mut scheduler = build_scheduler(vms);
    let mut holds = Vec::new();
    let mut index = 0;
    let now = Millis::secs(1);
    let target_running = (f64::from(vms * SLOTS) * fill) as usize;
    let mut queued_tasks = 0;
    while (holds.len() < target_running || queued_tasks < queued)
        && index < 4 * target_running + queued
    {
        match scheduler.submit(build_task(index, now), now) {
            SubmitOutcome::Placed(placement) => holds.push(placement.hold),
            SubmitOutcome::Queued(_) => queued_tasks += 1,
            SubmitOutcome::Refused(_) => {}
        }
        index += 1;
    }
    let mut timings = Timings {
        submit_ns: histogram(),
        handover_ns: histogram(),
        placements_per_second: 0.0,
    };
    let mut total_ns = 0;
    let mut placed = 0_u64;
    for round in 0..rounds {
        let now = now + Millis(round as u64 / 10);
        let next = build_task(index + round, now);
        let start = Instant::now();
        let outcome = scheduler.submit(next, now);
        total_ns += record_elapsed(&mut timings.submit_ns, start);
        if let SubmitOutcome::Placed(placement) = outcome {
            placed += 1;
            holds.push(placement.hold);
        }
        if holds.is_empty() {
            continue;
        }
        let hold: HoldKey = holds.swap_remove(round * 7919 % holds.len());
        let start = Instant::now();
        scheduler.release(hold);
        let started = scheduler.place_next(now);
        total_ns += record_elapsed(&mut timings.handover_ns, start);
        if let Some((_, _, placement)) = started {
            placed += 1;
            holds.push(placement.hold);
        }
    }
    timings.placements_per_second = placed as f64 / (total_ns as f64 / 1e9);
    timings
}

fn record_elapsed(histogram: &mut Histogram<u64>, start: Instant) -> u64 {
    let elapsed_ns = u64::try_from(start.elapsed().as_nanos()).unwrap_or(u64::MAX);
    histogram.saturating_record(elapsed_ns.max(1));
    elapsed_ns
}

/// Measures decisions for each fleet size at three levels of fill and prints a table.
pub fn run(options: &Options) {
    println!(
        "{:>6} {:>6} {:>8} {:>11} {:>11} {:>13} {:>13} {:>13}",
        "vms",
        "fill",
        "queued",
        "submit p50",
        "submit p99",
        "handover p50",
        "handover p99",
        "placements/s"
    );
    for vms in &options.vms {
        for (fill, queued) in [(0.5, 0), (0.9, 0), (1.0, 10_000)] {
            let timings = measure_decisions(*vms, fill, queued, options.rounds);
            println!(
                "{vms:>6} {fill:>6.2} {queued:>8} {:>8.1} us {:>8.1} us {:>10.1} us {:>10.1} us {:>13.0}",
                quantile_micros(&timings.submit_ns, 0.5),
                quantile_micros(&timings.submit_ns, 0.99),
                quantile_micros(&timings.handover_ns, 0.5),
                quantile_micros(&timings.handover_ns, 0.99),
                timings.placements_per_second,
            );
        }
    }
}

fn quantile_micros(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
