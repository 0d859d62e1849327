//! Time taken by single decisions of the scheduler.

use std::time::Instant;

use clap::Args;
use dotterel_kernel::{
    DataCentre, Epoch, HoldKey, Kind, Millis, PendingTask, Scheduler, Service, Size, SubmitOutcome,
    TaskSpec, Urgency, Vm, VmId,
};
use hdrhistogram::Histogram;

const SLOTS: u32 = 8;
const CLASSES: usize = 360;

/// What to time.
#[derive(Args)]
pub struct Options {
    /// Numbers of VMs.
    #[arg(long, value_delimiter = ',', default_value = "48,480,3400")]
    vms: Vec<u32>,
    /// Decisions for each number.
    #[arg(long, default_value_t = 100_000)]
    rounds: usize,
}

/// What decisions took.
#[derive(Clone, Debug)]
pub struct Cost {
    /// Nanoseconds of each submission.
    pub submits: Histogram<u64>,
    /// Nanoseconds of each finish with the start of the next queued task.
    pub handovers: Histogram<u64>,
    /// Placements per second of processor time.
    pub rate: f64,
}

/// Returns a scheduler with `vms` equal VMs under the standard policy.
#[must_use]
pub fn scheduler(vms: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(dotterel_policies::standard());
    for number in 0..vms {
        let capacity = Size {
            milli_cores: 32_000,
            memory_mb: 65_536,
            // Every third VM has some, as in a fleet of unlike machines.
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

/// Returns the task number `index` of a mix of short, long and accelerated work.
#[must_use]
pub fn task(index: usize, now: Millis) -> PendingTask {
    let is_long = index.is_multiple_of(3);
    let accelerators = u32::from(index.is_multiple_of(12));
    PendingTask {
        service: Service(format!("service-{}", index % CLASSES).into()),
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

/// Measures decisions with this part of all slots taken and this many tasks queued.
///
/// # Panics
///
/// Never: the bounds of the histograms are constants that the library accepts.
#[must_use]
pub fn measure(vms: u32, fill: f64, queued: usize, rounds: usize) -> Cost {
    let histogram = || Histogram::new_with_bounds(1, 10_000_000_000, 3).expect("valid bounds");
    let mut scheduler = scheduler(vms);
    let mut holds = Vec::new();
    let mut index = 0;
    let now = Millis::secs(1);
    let goal = (f64::from(vms * SLOTS) * fill) as usize;
    let mut waiting = 0;
    while (holds.len() < goal || waiting < queued) && index < 4 * goal + queued {
        match scheduler.submit(task(index, now), now) {
            SubmitOutcome::Placed(placement) => holds.push(placement.hold),
            SubmitOutcome::Queued(_) => waiting += 1,
            SubmitOutcome::Refused(_) => {}
        }
        index += 1;
    }
    let mut cost = Cost {
        submits: histogram(),
        handovers: histogram(),
        rate: 0.0,
    };
    let mut spent = 0;
    let mut placed = 0_u64;
    for round in 0..rounds {
        let now = now + Millis(round as u64 / 10);
        let next = task(index + round, now);
        let begun = Instant::now();
        let answer = scheduler.submit(next, now);
        spent += note(&mut cost.submits, begun);
        if let SubmitOutcome::Placed(placement) = answer {
            placed += 1;
            holds.push(placement.hold);
        }
        if holds.is_empty() {
            continue;
        }
        let hold: HoldKey = holds.swap_remove(round * 7919 % holds.len());
        let begun = Instant::now();
        scheduler.release(hold);
        let started = scheduler.place_next(now);
        spent += note(&mut cost.handovers, begun);
        if let Some((_, _, placement)) = started {
            placed += 1;
            holds.push(placement.hold);
        }
    }
    cost.rate = placed as f64 / (spent as f64 / 1e9);
    cost
}

fn note(histogram: &mut Histogram<u64>, begun: Instant) -> u64 {
    let span = u64::try_from(begun.elapsed().as_nanos()).unwrap_or(u64::MAX);
    histogram.saturating_record(span.max(1));
    span
}

/// Times decisions at several fills of several fleets and prints a table.
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
    for count in &options.vms {
        for (fill, queued) in [(0.5, 0), (0.9, 0), (1.0, 10_000)] {
            let cost = measure(*count, fill, queued, options.rounds);
            println!(
                "{count:>6} {fill:>6.2} {queued:>8} {:>8.1} us {:>8.1} us {:>10.1} us {:>10.1} us {:>13.0}",
                micros(&cost.submits, 0.5),
                micros(&cost.submits, 0.99),
                micros(&cost.handovers, 0.5),
                micros(&cost.handovers, 0.99),
                cost.rate,
            );
        }
    }
}

fn micros(histogram: &Histogram<u64>, rank: f64) -> f64 {
    histogram.value_at_quantile(rank) as f64 / 1000.0
}
