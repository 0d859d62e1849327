//! The `footprint` command: measures the memory used by the scheduler's state.

use std::fs;

use anyhow::{Context, Result};
use dotterel_kernel::{Millis, Scheduler, Service, Size, Team};

use crate::decision::{build_scheduler, build_task};

const PAGE_BYTES: u64 = 4096;
const NOW: Millis = Millis::secs(1);

/// Prints the memory used by VMs, running tasks, queued tasks and teams, each for three counts.
///
/// # Errors
///
/// Returns an error when the memory use of the process cannot be read from `/proc`.
pub fn run() -> Result<()> {
    println!(
        "{:<16} {:>8} {:>10} {:>12}",
        "state", "count", "KB", "bytes each"
    );
    for count in [1_000, 3_400, 10_000] {
        print_usage("VMs", count, || build_scheduler(count))?;
    }
    for count in [4_000, 16_000, 64_000] {
        print_usage("running tasks", count, || with_running_tasks(count))?;
    }
    for count in [5_000, 10_000, 20_000] {
        print_usage("queued tasks", count, || with_queued_tasks(count))?;
    }
    for count in [90, 360, 1_440] {
        print_usage("teams", count, || with_teams(count))?;
    }
    Ok(())
}

fn print_usage(state: &str, count: u32, build: impl FnOnce() -> Scheduler) -> Result<()> {
    let before = resident_bytes()?;
    let scheduler = build();
    let bytes = resident_bytes()?.saturating_sub(before);
    let bytes_each = bytes / u64::from(count);
    println!(
        "{state:<16} {count:>8} {:>10} {bytes_each:>12}",
        bytes / 1000
    );
    // Leaked on purpose: a later state that reused freed memory would appear too small.
    std::mem::forget(scheduler);
    Ok(())
}

/// Returns a scheduler with `tasks` running tasks, eight per VM.
fn with_running_tasks(tasks: u32) -> Scheduler {
    let mut scheduler = build_scheduler(tasks.div_ceil(8));
    for index in 0..tasks as usize {
        let mut task = build_task(index, NOW);
        task.spec.size = Size {
            milli_cores: 1000,
            memory_mb: 1024,
            accelerators: 0,
            ..task.spec.size
        };
        task.spec.is_long = false;
        scheduler.submit(task, NOW);
    }
    scheduler
}

/// Returns a scheduler with about `tasks` queued tasks, of 360 services.
fn with_queued_tasks(tasks: u32) -> Scheduler {
    let mut scheduler = build_scheduler(1);
    let mut index = 0;
    while scheduler.load().queued + 1 < tasks {
        let mut task = build_task(index, NOW);
        task.spec.expected_run = Millis(1);
        scheduler.submit(task, NOW);
        index += 1;
    }
    scheduler
}

fn with_teams(count: u32) -> Scheduler {
    let mut scheduler = build_scheduler(1);
    for number in 0..count {
        let team = Team(format!("team-{number}").into());
        let key = scheduler.quotas_mut().set(&team, Size::ZERO);
        let service = Service(format!("service-{number}").into());
        scheduler.quotas_mut().assign(&service, key);
    }
    scheduler
}

fn resident_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).context("resident pages")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
