//! Restarts of VMs, and registry entries that only look like one.

use dotterel_cell::{JobId, Order, Report, Step, TaskName, VmInfo};
use dotterel_kernel::Millis;

use crate::support::{
    Bench, Start, independent_tasks, record, restarted_info, running, size, step, task, vm_info,
};

const MISLEADING_ENTRIES: usize = 4;

/// Returns a cell of two VMs with one run, its start, and the index of its VM.
fn with_run() -> (Bench, Start, usize) {
    let mut bench = Bench::new(2);
    bench.submit(1, independent_tasks(1, 60_000));
    bench.commit_all();
    bench.plan();
    let start = bench.confirm_starts().remove(0);
    bench.advance(800);
    bench.report_running(10);
    let vm = bench.index_of(start.vm);
    (bench, start, vm)
}

/// Lets time pass while all VMs report, and returns the starts that were ordered.
fn run_for(bench: &mut Bench, ms: u64) -> Vec<Start> {
    let mut starts = Vec::new();
    for _ in 0..ms / 200 {
        bench.advance(200);
        bench.report_running(20);
        bench.cell.tick(bench.now);
        bench.commit_all();
        bench.plan();
        starts.append(&mut bench.take_starts());
    }
    starts
}

/// Returns odd entries under a VM's id that might be taken for its restart.
fn misleading_entries(vm: usize) -> [VmInfo; MISLEADING_ENTRIES] {
    let restarted = restarted_info(vm);
    let moved = VmInfo {
        address: vm_info(1 - vm).address,
        ..vm_info(vm)
    };
    let both = VmInfo {
        address: vm_info(1 - vm).address,
        ..restarted_info(vm)
    };
    let last = VmInfo {
        incarnation: u64::MAX,
        ..vm_info(vm)
    };
    [restarted, moved, both, last]
}

/// Guards against a task that runs twice: an odd entry under a VM's id read as its restart.
#[test]
fn an_entry_alone_releases_no_run() {
    for number in 0..MISLEADING_ENTRIES {
        let (mut bench, start, vm) = with_run();
        let entry = misleading_entries(vm)[number].clone();
        bench.cell.vm_listed(entry.clone(), bench.now);
        bench.cell.entry_refuted(start.vm, &vm_info(1 - vm).address);

        let starts = run_for(&mut bench, 12_000);

        assert!(starts.is_empty(), "{entry:?}: {starts:?}");
        assert_eq!(bench.vm(vm).runs.len(), 1);
        assert_eq!(bench.vm(vm).info, vm_info(vm));
    }
}

/// Guards against starts on a VM whose entry is in doubt, and against its loss once it isn't.
#[test]
fn a_vm_is_used_again_once_its_own_entry_is_back() {
    for entry in misleading_entries(0) {
        let mut bench = Bench::new(1);
        bench.cell.vm_listed(entry, bench.now);
        bench.submit(1, independent_tasks(1, 1000));
        bench.commit_all();

        let early = run_for(&mut bench, 1000);
        bench.cell.vm_listed(vm_info(0), bench.now);
        let late = run_for(&mut bench, 1000);

        assert_eq!((early.len(), late.len()), (0, 1));
    }
}

/// Guards against an entry of a life that is over, or of another writer.
#[test]
fn an_entry_of_an_earlier_life_changes_nothing() {
    let (mut bench, _, vm) = with_run();
    let older = VmInfo {
        incarnation: 6,
        address: "127.0.0.1:1".into(),
        service: "other".into(),
        capacity: size(1, 1),
        draining: true,
        ..vm_info(vm)
    };

    bench.cell.vm_listed(older, bench.now);

    let listed = bench.vm(vm);
    assert_eq!(listed.info, vm_info(vm));
    assert!(listed.listed && listed.unconfirmed.is_none());
}

/// Guards against work that waits for a VM which has restarted.
#[test]
fn a_restart_that_the_vm_reports_releases_its_runs_at_once() {
    let (mut bench, start, vm) = with_run();
    bench.cell.vm_listed(restarted_info(vm), bench.now);

    bench.reply_restarted(vm, &[]);
    bench.plan();
    let starts = bench.take_starts();

    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task, start.task);
    assert_eq!(bench.vm(vm).info, restarted_info(vm));
}

/// Guards against a VM that is lost for good when it returns at another address and its former life
/// never replies.
#[test]
fn the_entry_of_a_silent_vm_counts_once_its_lease_has_expired() {
    let (mut bench, start, vm) = with_run();
    let moved = VmInfo {
        address: "127.0.0.1:1".into(),
        ..restarted_info(vm)
    };
    bench.cell.vm_listed(moved.clone(), bench.now);
    let expiry = bench.vm(vm).lease_expiry();
    let before = bench.now;

    let mut starts = Vec::new();
    while starts.is_empty() && bench.now.since(before) < Millis::secs(20) {
        bench.advance(200);
        bench.report_runs(1 - vm, 10);
        bench.cell.tick(bench.now);
        bench.commit_all();
        bench.plan();
        starts = bench.take_starts();
    }

    assert!(bench.now >= expiry, "its runs may go on until then");
    assert_eq!(starts.len(), 1);
    assert_eq!(starts[0].task, start.task);
    let key = bench.cell.vm_by_id(&moved.id).expect("the VM is known");
    assert_eq!(bench.cell.vm(key).expect("it is known").info, moved);
}

/// Guards against a VM that is lost for good when it replies at its new address.
#[test]
fn a_vm_that_replies_at_the_address_of_its_new_entry_is_used_there() {
    for incarnation in [7, 8] {
        let (mut bench, _, vm) = with_run();
        let moved = VmInfo {
            address: "127.0.0.1:1".into(),
            incarnation,
            ..vm_info(vm)
        };
        bench.cell.vm_listed(moved.clone(), bench.now);
        let report = Report {
            incarnation,
            clock: bench.now,
            ..Report::default()
        };

        bench
            .cell
            .vm_replied_at(bench.vms[vm], &moved.address, bench.now);
        bench
            .cell
            .apply_report(bench.vms[vm], &report, bench.now, bench.now);

        let key = bench.cell.vm_by_id(&moved.id).expect("the VM is known");
        let vm = bench.cell.vm(key).expect("it is known");
        assert_eq!(vm.info, moved);
        assert!(vm.listed && !vm.recorded, "the stored list is rewritten");
    }
}

fn labelled(label: &str) -> Step {
    let mut step = step(1, 1000);
    step.label = label.into();
    step
}

/// Guards against starts that only the VM's former kind allows.
#[test]
fn a_new_life_starts_nothing_by_the_entry_of_its_former() {
    let mut bench = Bench::new(1);
    bench.submit(1, record(1, vec![labelled("a")]));
    bench.submit(2, record(1, vec![labelled("b")]));
    bench.commit_all();
    let mut reborn = restarted_info(0);
    reborn.labels[0] = "b".into();

    bench.reply_restarted(0, &[]);
    let replied = plan_in_steps(&mut bench);
    bench.cell.vm_listed(vm_info(0), bench.now);
    let old_entry = plan_in_steps(&mut bench);
    bench.cell.vm_listed(reborn, bench.now);
    let own_entry = plan_in_steps(&mut bench);

    assert_eq!((replied, old_entry), (Vec::new(), Vec::new()));
    assert_eq!(own_entry, [task(2, 0)]);
}

/// Guards against starts that only the VM's former capacity allows.
#[test]
fn a_new_life_that_is_smaller_gets_what_fits() {
    let mut bench = Bench::new(1);
    bench.submit(1, independent_tasks(8, 1000));
    bench.commit_all();
    let mut reborn = restarted_info(0);
    reborn.capacity = size(4000, 65_536);

    bench.reply_restarted(0, &[]);
    let replied = plan_in_steps(&mut bench);
    bench.cell.vm_listed(reborn, bench.now);
    let own_entry = plan_in_steps(&mut bench);

    assert!(replied.is_empty());
    assert_eq!(own_entry.len(), 2, "of eight tasks with two cores each");
}

/// Lets the cell plan for a second while the restarted VM reports, and returns the tasks started.
fn plan_in_steps(bench: &mut Bench) -> Vec<TaskName> {
    let mut tasks = Vec::new();
    for _ in 0..5 {
        bench.advance(200);
        let runs = bench.vm(0).runs.iter();
        let runs: Vec<_> = runs.map(|run| running(run.task, run.run, 5)).collect();
        let report = Report {
            incarnation: 8,
            clock: bench.now,
            running: runs,
            ..Report::default()
        };
        bench
            .cell
            .apply_report(bench.vms[0], &report, bench.now, bench.now);
        bench.cell.tick(bench.now);
        bench.commit_all();
        bench.plan();
        let orders = bench.cell.take_orders();
        tasks.extend(orders.iter().filter_map(|order| match order {
            Order::Start { task, .. } => Some(*task),
            _ => None,
        }));
    }
    tasks
}

/// Guards against a VM that is shut out by an odd entry that came before its own.
#[test]
fn a_vm_counts_as_the_life_that_replies() {
    for entry in misleading_entries(0) {
        let mut bench = Bench::new(0);
        let key = bench.cell.vm_listed(entry, bench.now);
        bench.vms.push(key);
        bench.submit(1, independent_tasks(1, 1000));
        bench.commit_all();

        bench
            .cell
            .vm_replied_at(key, &vm_info(0).address, bench.now);
        bench.report(0, &[], &[]);
        bench.vms[0] = bench.cell.vm_by_id("vm-000").expect("the VM is known");
        let early = run_for(&mut bench, 1000);
        bench.cell.vm_listed(vm_info(0), bench.now);
        bench.vms[0] = bench.cell.vm_by_id("vm-000").expect("the VM is known");
        let late = run_for(&mut bench, 1000);

        assert_eq!((early.len(), late.len()), (0, 1));
    }
}

/// Guards against a successor that doesn't wait for a VM because of an odd entry under its id.
#[test]
fn a_successor_adopts_the_runs_of_a_vm_with_an_odd_entry() {
    for entry in misleading_entries(0) {
        let mut bench = Bench::successor(0);
        bench.cell.vm_listed(entry, bench.now);
        bench.vms.push(bench.cell.vm_listed(vm_info(1), bench.now));
        let records: Vec<_> = (0..2).map(crate::support::vm_record).collect();
        bench.cell.restore_vm_list(&records, bench.now);
        let key = bench.cell.vm_by_id("vm-000").expect("the VM is known");
        bench.vms.insert(0, key);
        let job = independent_tasks(1, 60_000);
        bench.cell.restore_job(JobId(1), job, None, 0, bench.now);
        bench.cell.entry_refuted(key, &vm_info(1).address);
        bench.advance(10);
        bench.report(1, &[], &[]);
        bench.cell.tick(bench.now);
        bench.commit_all();
        bench.plan();
        let early = bench.take_starts();

        let address = bench.vm(0).info.address.clone();
        bench.report(0, &[running(task(1, 0), 1, 40)], &[]);
        let late = run_for(&mut bench, 2000);

        assert_eq!(address, vm_info(0).address, "it is polled where it was");
        assert!(early.is_empty() && late.is_empty(), "{early:?} {late:?}");
        assert_eq!(bench.vm(0).runs.len(), 1);
    }
}
