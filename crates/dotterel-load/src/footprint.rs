//! The command that measures the memory of a scheduler's state.

use std::fs;

use anyhow::{Context, Result};
use dotterel_kernel::{Millis, Scheduler, Service, Size, Team};

use crate::decision::{scheduler, task};

const PAGE_BYTES: u64 = 4096;
const NOW: Millis = Millis::secs(1);

/// Prints the memory of VMs, of running and queued tasks and of teams, each at three sizes.
///
/// # Errors
///
/// Returns an error when the process cannot read its own memory use.
pub fn run() -> Result<()> {
    println!(
        "{:<16} {:>8} {:>10} {:>12}",
        "state", "count", "KB", "bytes each"
    );
    for count in [1_000, 3_400, 10_000] {
        report("VMs", count, || scheduler(count))?;
    }
    for count in [4_000, 16_000, 64_000] {
        report("running tasks", count, || full(count))?;
    }
    for count in [5_000, 10_000, 20_000] {
        report("queued tasks", count, || queue(count))?;
    }
    for count in [90, 360, 1_440] {
        report("teams", count, || teams(count))?;
    }
    Ok(())
}

fn report(state: &str, count: u32, build: impl FnOnce() -> Scheduler) -> Result<()> {
    let before = resident()?;
    let scheduler = build();
    let bytes = resident()?.saturating_sub(before);
    let each = bytes / u64::from(count);
    println!("{state:<16} {count:>8} {:>10} {each:>12}", bytes / 1000);
    // Kept for good, so that later states do not reuse the memory.
    std::mem::forget(scheduler);
    Ok(())
}

/// Returns a scheduler with as many running tasks, eight on each VM.
fn full(tasks: u32) -> Scheduler {
    let mut scheduler = scheduler(tasks.div_ceil(8));
    for index in 0..tasks as usize {
        let mut task = task(index, NOW);
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

/// Returns a scheduler with as many queued tasks, of 360 services.
fn queue(tasks: u32) -> Scheduler {
    let mut scheduler = scheduler(1);
    let mut index = 0;
    while scheduler.load().queued + 1 < tasks {
        let mut task = task(index, NOW);
        task.spec.expected_run = Millis(1);
        scheduler.submit(task, NOW);
        index += 1;
    }
    scheduler
}

fn teams(count: u32) -> Scheduler {
    let mut scheduler = scheduler(1);
    for number in 0..count {
        let team = Team(format!("team-{number}").into());
        let key = scheduler.quotas_mut().set(&team, Size::ZERO);
        let service = Service(format!("service-{number}").into());
        scheduler.quotas_mut().assign(&service, key);
    }
    scheduler
}

fn resident() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).context("resident pages")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
