//! Gangs that work faster within one rack.

use std::collections::BTreeSet;

use compact_str::CompactString;
use dotterel_cell::cell::CellEvent;
use dotterel_cell::{JobRecord, Limits, RunOutcome, VmKey};

use dotterel_kernel::Millis;

use crate::support::{
    Bench, Start, advice_requests, answer, ended, gang, independent_tasks, size, starts, task,
    vm_info, with_advice,
};

const GANG: u64 = 9;
/// Bound on the wait of work that could run while much of the cell is idle.
const MAX_WAIT: u64 = 3000;
/// Time between two passes.
const BEAT: u64 = 50;

/// Returns a gang that prefers one rack; a rack has 8 VMs of 32 cores.
fn rack_gang(count: u32, cores: u32, estimate: u64) -> JobRecord {
    let mut record = gang(count, estimate);
    record.spec.steps[0].one_rack = true;
    record.spec.steps[0].size = size(cores * 1000, 1024);
    record
}

/// Occupies all cores of some VMs with work that lasts.
fn occupy(bench: &mut Bench, vms: &[usize]) -> Vec<Start> {
    let mut blockers = independent_tasks(u32::try_from(vms.len()).expect("few VMs"), 600_000);
    blockers.spec.steps[0].size = size(32_000, 1024);
    let idle: Vec<usize> = (0..bench.vms.len())
        .filter(|index| !vms.contains(index))
        .collect();
    for index in &idle {
        let mut info = vm_info(*index);
        info.draining = true;
        bench.cell.vm_listed(info, bench.now);
    }
    bench.submit(1, blockers);
    bench.commit_all();
    bench.plan();
    let started = bench.confirm_starts();
    assert_eq!(started.len(), vms.len());
    for index in idle {
        let info = vm_info(index);
        bench.cell.vm_listed(info, bench.now);
    }
    started
}

/// Has all VMs report some progress, so that no run counts as stalled.
fn keep_running(bench: &mut Bench) {
    let percent = bench.now.0 / 1000 % 100;
    bench.report_running(u8::try_from(percent).expect("a percentage"));
}

fn submit_gang(bench: &mut Bench, record: JobRecord) {
    bench.submit(GANG, record);
    bench.commit_all();
}

/// Plans until the gang has started, for `ms` at most; returns the wait and its starts.
fn await_gang(bench: &mut Bench, ms: u64) -> Option<(u64, Vec<Start>)> {
    for waited in (0..=ms / BEAT).map(|beat| beat * BEAT) {
        bench.cell.tick(bench.now);
        bench.plan();
        let members: Vec<Start> = bench.confirm_starts();
        if !members.is_empty() {
            return Some((waited, members));
        }
        bench.advance(BEAT);
        keep_running(bench);
    }
    None
}

fn racks(bench: &Bench, members: &[Start]) -> BTreeSet<CompactString> {
    let rack = |start: &Start| {
        let vm = bench.cell.vm(start.vm).expect("the VM is known");
        vm.info.rack.clone()
    };
    members.iter().map(rack).collect()
}

// Guards against a gang that waits for ever for a rack as large as itself.
#[test]
fn a_gang_wider_than_a_rack_starts_at_once() {
    let mut bench = Bench::new(16);
    submit_gang(&mut bench, rack_gang(20, 15, 2000));

    let (waited, members) = await_gang(&mut bench, 0).expect("the gang starts");
    let events = bench.cell.take_events();

    assert_eq!((waited, members.len()), (0, 20));
    let logged = CellEvent::GangAcrossRacks {
        task: task(GANG, 0),
        racks: 2,
        waited: Millis::ZERO,
    };
    assert!(events.contains(&logged), "{events:?}");
}

// The same when each rack has been large enough before it lost a VM.
#[test]
fn a_gang_starts_on_several_racks_once_each_has_lost_a_vm() {
    let mut bench = Bench::new(16);
    for index in [0, 8] {
        let id = bench.vm(index).info.id.clone();
        let (key, now) = (bench.vms[index], bench.now);
        bench.cell.vm_unresponsive(key, Some(now), now);
        bench.cell.vm_unlisted(&id, now);
    }
    submit_gang(&mut bench, rack_gang(16, 15, 2000));

    let started = await_gang(&mut bench, 0);

    let (_, members) = started.expect("the gang starts");
    assert_eq!(racks(&bench, &members).len(), 2);
}

// Guards against a long wait beside idle VMs for a rack whose work goes on for minutes.
#[test]
fn a_gang_that_would_gain_much_waits_for_a_rack_only_briefly() {
    let mut bench = Bench::new(32);
    occupy(&mut bench, &[0, 8, 16, 24]);
    submit_gang(&mut bench, rack_gang(16, 15, 60_000));

    let (waited, members) = await_gang(&mut bench, MAX_WAIT).expect("the gang starts");

    assert!(waited > 1000, "it waited for {waited} ms");
    assert!(racks(&bench, &members).len() > 1);
}

// Guards against a wait that costs the caller more than a rack saves.
#[test]
fn a_gang_waits_for_a_rack_no_longer_than_it_saves() {
    let limits = Limits {
        cross_rack_pct: 150,
        ..Limits::default()
    };
    let mut bench = Bench::with_limits(16, 1, limits);
    occupy(&mut bench, &[0, 8]);
    submit_gang(&mut bench, rack_gang(16, 15, 800));

    let (waited, _) = await_gang(&mut bench, MAX_WAIT).expect("the gang starts");

    assert!((400..=500).contains(&waited), "it waited for {waited} ms");
}

// Guards against slower work on several racks although a rack is about to be free.
#[test]
fn a_gang_takes_a_rack_that_is_free_in_time() {
    let mut bench = Bench::new(16);
    let blockers = occupy(&mut bench, &[0, 8]);
    submit_gang(&mut bench, rack_gang(16, 15, 60_000));
    let early = await_gang(&mut bench, 1000);
    let freed = &blockers[0];
    let index = bench.index_of(freed.vm);
    let done = ended(1, freed.task, freed.run, RunOutcome::Done);
    bench.report(index, &[], &[done]);

    let (_, members) = await_gang(&mut bench, BEAT).expect("the gang starts");

    assert_eq!(early, None);
    assert_eq!(racks(&bench, &members).len(), 1);
}

// Guards against a choice of several racks while one has room.
#[test]
fn a_gang_prefers_one_rack_after_a_long_wait() {
    let mut bench = Bench::new(16);
    let blockers = occupy(&mut bench, &(0..16).collect::<Vec<_>>());
    submit_gang(&mut bench, rack_gang(16, 15, 1000));
    let early = await_gang(&mut bench, 5000);
    for start in &blockers {
        let index = bench.index_of(start.vm);
        let done = ended(1, start.task, start.run, RunOutcome::Done);
        bench.report(index, &[], &[done]);
    }

    let (_, members) = await_gang(&mut bench, BEAT).expect("the gang starts");

    assert_eq!(early, None);
    assert_eq!(racks(&bench, &members).len(), 1);
}

// Guards against a gang that starves behind small work because it reserves capacity in one rack only.
#[test]
fn a_gang_wider_than_a_rack_reserves_capacity_on_several() {
    let mut bench = Bench::new(16);
    let blockers = occupy(&mut bench, &(0..16).collect::<Vec<_>>());
    submit_gang(&mut bench, rack_gang(16, 30, 2000));
    let mut small = independent_tasks(64, 600_000);
    small.policy.priority = 2;
    bench.submit(20, small);
    bench.commit_all();

    let mut members = Vec::new();
    for start in &blockers {
        let index = bench.index_of(start.vm);
        let done = ended(1, start.task, start.run, RunOutcome::Done);
        bench.advance(BEAT);
        bench.report(index, &[], &[done]);
        if let Some((_, started)) = await_gang(&mut bench, BEAT) {
            members.extend(started);
        }
    }

    let own = members
        .iter()
        .filter(|start| start.task.job == task(GANG, 0).job);
    assert_eq!(own.count(), 16);
}

// Guards against a gang whose approved VMs are spread over the racks, so that none has enough of them.
#[test]
fn a_gang_starts_on_the_approved_vms_of_several_racks() {
    let mut bench = Bench::new(16);
    bench.cell.adviser_joined(1);
    submit_gang(&mut bench, with_advice(rack_gang(8, 20, 60_000)));

    let mut members = Vec::new();
    for _ in 0..MAX_WAIT / BEAT {
        bench.cell.tick(bench.now);
        bench.plan();
        let orders = bench.cell.take_orders();
        members.extend(starts(&orders));
        for request in advice_requests(&orders) {
            let approved: Vec<VmKey> = request.vms.iter().copied().step_by(2).collect();
            answer(&mut bench, &request, &approved, 2500);
        }
        bench.advance(BEAT);
        keep_running(&mut bench);
    }

    assert_eq!(members.len(), 8);
}
