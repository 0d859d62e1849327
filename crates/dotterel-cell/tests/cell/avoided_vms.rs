//! Tasks that have failed on a VM, and prefer others.

use dotterel_cell::vm::VmInfo;
use dotterel_cell::{JobId, JobRecord, JobState, RunOutcome};
use dotterel_kernel::Millis;

use crate::support::{Bench, Start, ended, gang, independent_tasks, size, task, vm_info};

const JOB: u64 = 1;
const BEAT: u64 = 50;
/// Bound on the wait of work that could run while much of the cell is idle.
const MAX_WAIT: u64 = 3000;

/// Returns a cell with one VM of 64 cores, and others of 16.
fn mixed(vms: usize) -> Bench {
    let mut bench = Bench::new(vms);
    for index in 0..vms {
        let cores = if index == 0 { 64 } else { 16 };
        let info = VmInfo {
            capacity: size(cores * 1000, 131_072),
            ..vm_info(index)
        };
        bench.cell.vm_listed(info, bench.now);
    }
    bench
}

/// Returns a job whose tasks need more than a small VM has.
fn large(mut record: JobRecord) -> JobRecord {
    record.spec.steps[0].size = size(20_000, 1024);
    record.policy.max_attempts = 4;
    record
}

/// Plans until a task has started, for `ms` at most; returns the wait and the starts.
fn await_start(bench: &mut Bench, ms: u64) -> Option<(u64, Vec<Start>)> {
    for waited in (0..=ms / BEAT).map(|beat| beat * BEAT) {
        bench.cell.tick(bench.now);
        bench.plan();
        let started = bench.confirm_starts();
        if !started.is_empty() {
            return Some((waited, started));
        }
        bench.advance(BEAT);
        let percent = bench.now.0 / 1000 % 100;
        bench.report_running(u8::try_from(percent).expect("a percentage"));
        bench.commit_all();
    }
    None
}

/// Fails runs right after their start.
fn fail(bench: &mut Bench, started: &[Start]) {
    bench.advance(100);
    let mut vms: Vec<usize> = started
        .iter()
        .map(|start| bench.index_of(start.vm))
        .collect();
    vms.sort_unstable();
    vms.dedup();
    for index in vms {
        let first = bench.vm(index).last_end + 1;
        let own = started
            .iter()
            .filter(|start| bench.index_of(start.vm) == index);
        let ends: Vec<_> = (first..)
            .zip(own)
            .map(|(number, start)| ended(number, start.task, start.run, RunOutcome::Failed))
            .collect();
        bench.report(index, &[], &ends);
    }
}

fn submit(bench: &mut Bench, record: JobRecord) {
    bench.submit(JOB, record);
    bench.commit_all();
}

// Guards against a task that waits for ever since it has failed on the only VM that fits it, while VMs that
// are too small for it count as others.
#[test]
fn a_task_returns_to_the_only_vm_that_fits() {
    let mut bench = mixed(12);
    submit(&mut bench, large(independent_tasks(1, 2000)));
    let (_, first) = await_start(&mut bench, 0).expect("the task starts");
    fail(&mut bench, &first);

    let (waited, again) = await_start(&mut bench, MAX_WAIT).expect("the task starts again");

    assert_eq!(again[0].vm, first[0].vm);
    // Its attempts would be used up while the VM fails all that it starts.
    assert!(waited >= 1000, "it waited for {waited} ms");
}

// The same for a gang.
#[test]
fn a_gang_returns_to_the_only_vm_that_fits() {
    let mut bench = mixed(12);
    submit(&mut bench, large(gang(3, 2000)));
    let (_, first) = await_start(&mut bench, 0).expect("the gang starts");
    fail(&mut bench, &first);

    let (_, again) = await_start(&mut bench, MAX_WAIT).expect("the gang starts again");

    assert_eq!(again.len(), 3);
}

// Guards against a job that fails since a VM fails all of its attempts within a moment.
#[test]
fn attempts_outlast_a_vm_that_fails_all_for_some_seconds() {
    let mut bench = mixed(12);
    submit(&mut bench, large(independent_tasks(1, 2000)));
    let sound_from = bench.now + Millis(5000);

    let mut attempts = 0;
    while attempts < 4 {
        let (_, started) = await_start(&mut bench, 12_000).expect("the task starts again");
        attempts += 1;
        if bench.now >= sound_from {
            break;
        }
        fail(&mut bench, &started);
    }

    assert!(bench.now >= sound_from);
    let state = bench.cell.state(JobId(JOB));
    assert_eq!(state, Some(JobState::Running));
}

// Guards against a wait for other VMs that fit, but are full for minutes, while the cell is mostly idle.
#[test]
fn a_task_returns_to_a_vm_if_the_others_stay_full() {
    let mut bench = Bench::new(3);
    let mut blocker = independent_tasks(1, 600_000);
    blocker.spec.steps[0].size = size(14_000, 1024);
    for id in [10, 11] {
        bench.submit(id, blocker.clone());
        bench.commit_all();
        bench.plan();
        bench.confirm_starts();
        // Best fit places both on one VM.
    }
    let mut wide = large(independent_tasks(1, 2000));
    wide.spec.steps[0].label = "wide".into();
    for index in [0, 1] {
        let mut info = vm_info(index);
        info.labels.push("wide".into());
        bench.cell.vm_listed(info, bench.now);
    }
    submit(&mut bench, wide);
    let (_, first) = await_start(&mut bench, 0).expect("the task starts");
    fail(&mut bench, &first);

    let (_, again) = await_start(&mut bench, MAX_WAIT).expect("the task starts again");

    assert_eq!(again[0].vm, first[0].vm);
}

// Guards against a second failure on a VM while another one has room.
#[test]
fn a_task_prefers_other_vms_however_long_ago_it_failed() {
    let mut bench = Bench::new(2);
    submit(&mut bench, large(independent_tasks(1, 2000)));
    let (_, first) = await_start(&mut bench, 0).expect("the task starts");
    fail(&mut bench, &first);

    let (waited, again) = await_start(&mut bench, MAX_WAIT).expect("the task starts again");

    assert_eq!(waited, 0);
    assert_ne!(again[0].vm, first[0].vm);
    assert_eq!(again[0].task, task(JOB, 0));
}
