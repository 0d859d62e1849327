//! A successor finds out what is running before it starts anything.

use crate::support::{self, Bench, ended, independent_tasks, running, task};
use compact_str::CompactString;
use dotterel_cell::cell::{Batch, VmRecord};
use dotterel_cell::record::{Progress, decode};
use dotterel_cell::{JobId, RowWrite, RunOutcome};
use dotterel_kernel::Millis;

#[test]
fn a_running_task_of_an_earlier_term_is_adopted_not_restarted() {
    let mut bench = Bench::successor(1);
    bench
        .cell
        .restore_job(JobId(1), independent_tasks(1, 1000), None, 0, bench.now);
    bench.advance(10);

    bench.report(0, &[running(task(1, 0), 1, 30)], &[]);
    bench.cell.tick(bench.now);
    bench.plan();

    assert!(
        bench.cell.take_orders().is_empty(),
        "the task is already running"
    );
    bench.advance(600);
    bench.report(0, &[], &[ended(1, task(1, 0), 1, RunOutcome::Failed)]);
    bench.plan();
    let again = bench.take_starts();
    assert!(
        again[0].run > 64,
        "run numbers of the earlier term are not reused"
    );
}

#[test]
fn tasks_of_an_earlier_term_wait_until_every_vm_has_replied() {
    let mut bench = Bench::successor(2);
    bench
        .cell
        .restore_job(JobId(1), independent_tasks(1, 1000), None, 0, bench.now);
    bench.submit(2, independent_tasks(1, 1000));
    bench.commit_all();
    bench.advance(10);
    bench.report(0, &[], &[]);
    bench.advance(500);
    bench.report(0, &[], &[]);
    bench.cell.tick(bench.now);

    bench.plan();
    let first = bench.take_starts();
    bench.advance(10);
    bench.report(1, &[], &[]);
    bench.advance(500);
    bench.report(0, &[], &[]);
    bench.report(1, &[], &[]);
    bench.cell.tick(bench.now);
    bench.plan();
    let second = bench.take_starts();

    assert_eq!(
        first.iter().map(|start| start.task.job).collect::<Vec<_>>(),
        [JobId(2)]
    );
    assert_eq!(
        second
            .iter()
            .map(|start| start.task.job)
            .collect::<Vec<_>>(),
        [JobId(1)]
    );
}

#[test]
fn recovery_waits_for_an_unresponsive_vm_for_one_lease_only() {
    let mut bench = Bench::successor(2);
    bench
        .cell
        .restore_job(JobId(1), independent_tasks(1, 1000), None, 0, bench.now);
    let lease = bench.cell.limits().lease_ttl;

    bench.advance(lease.0 - 100);
    bench.report(0, &[], &[]);
    bench.cell.tick(bench.now);
    bench.plan();
    let early = bench.take_starts();
    bench.advance(1000);
    bench.report(0, &[], &[]);
    bench.cell.tick(bench.now);
    bench.plan();
    let late = bench.take_starts();

    assert!(early.is_empty(), "the unresponsive VM may still run it");
    assert_eq!(late.len(), 1);
}

#[test]
fn tasks_recorded_as_done_are_not_restarted() {
    let mut first = Bench::new(1);
    first.submit(1, independent_tasks(3, 1000));
    first.commit_all();
    first.plan();
    first.confirm_starts();
    first.advance(300);
    first.report(0, &[], &[ended(1, task(1, 1), 1, RunOutcome::Done)]);
    first.advance(300);
    let batch = first.cell.take_batch(0, first.now);
    let progress = batch.writes.iter().find_map(|write| match write {
        RowWrite::Progress(_, bytes) => decode::<Progress>(bytes),
        _ => None,
    });

    let mut second = Bench::with_term(1, 2);
    second.cell.restore_job(
        JobId(1),
        independent_tasks(3, 1000),
        progress.as_ref(),
        0,
        second.now,
    );
    second.advance(Millis::secs(5).0);
    second.report_running(0);
    second.advance(600);
    second.report_running(0);
    second.cell.tick(second.now);
    second.plan();
    let starts = second.take_starts();

    let indices: Vec<u32> = starts.iter().map(|start| start.task.index).collect();
    assert_eq!(indices, [0, 2]);
}

#[test]
fn failed_runs_of_earlier_terms_count_as_attempts() {
    let mut first = Bench::new(2);
    let mut record = support::gang(2, 1000);
    record.policy.max_attempts = 3;
    first.submit(1, record.clone());
    first.commit_all();
    let mut rows = Vec::new();
    for run in 1..=2 {
        first.advance(300);
        first.plan();
        let starts = first.confirm_starts();
        assert_eq!(starts.len(), 2);
        first.advance(300);
        let vm_index = first.index_of(starts[0].vm);
        let first_end = u64::from(run * 2 - 1);
        first.report(
            vm_index,
            &[],
            &[
                ended(first_end, task(1, 0), run, RunOutcome::Failed),
                ended(first_end + 1, task(1, 1), run, RunOutcome::Broken),
            ],
        );
        first.advance(300);
        let batch = first.cell.take_batch(0, first.now);
        first.cell.batch_committed(&batch);
        rows.extend(batch.writes);
    }
    let progress = rows.iter().rev().find_map(|write| match write {
        RowWrite::Progress(_, bytes) => decode::<Progress>(bytes),
        _ => None,
    });

    let mut second = Bench::with_term(2, 2);
    second
        .cell
        .restore_job(JobId(1), record, progress.as_ref(), 0, second.now);
    second.advance(600);
    second.plan();
    let starts = second.confirm_starts();
    let vm_index = second.index_of(starts[0].vm);
    second.report(
        vm_index,
        &[],
        &[ended(1, task(1, 0), starts[0].run, RunOutcome::Failed)],
    );
    second.commit_all();

    assert_eq!(
        second.cell.state(JobId(1)),
        Some(dotterel_cell::JobState::Failed)
    );
}

#[test]
fn renewal_attempts_do_not_extend_an_unresponsive_vms_lease() {
    let mut bench = Bench::new(2);
    bench.submit(1, independent_tasks(1, 60_000));
    bench.commit_all();
    bench.plan();
    let start = bench.confirm_starts().remove(0);
    let unresponsive = bench.index_of(start.vm);
    let mut starts = Vec::new();

    for _ in 0..16 {
        bench.advance(500);
        bench.report(1 - unresponsive, &[], &[]);
        bench.cell.extend_lease(bench.vms[unresponsive], bench.now);
        bench.cell.tick(bench.now);
        bench.plan();
        starts.extend(bench.take_starts());
    }

    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].vm, start.vm);
}

#[test]
fn an_end_reported_twice_counts_once() {
    let mut first = Bench::new(1);
    let mut record = independent_tasks(1, 1000);
    record.policy.max_attempts = 2;
    first.submit(1, record.clone());
    first.commit_all();
    first.plan();
    first.confirm_starts();
    let end = ended(1, task(1, 0), 1, RunOutcome::Failed);
    first.report(0, &[], std::slice::from_ref(&end));
    first.advance(300);
    let batch = first.cell.take_batch(0, first.now);
    let progress = batch.writes.iter().find_map(|write| match write {
        RowWrite::Progress(_, bytes) => decode::<Progress>(bytes),
        _ => None,
    });

    let mut second = Bench::successor(1);
    second
        .cell
        .restore_job(JobId(1), record, progress.as_ref(), 0, second.now);
    second.advance(10);
    second.report(0, &[], &[end]);
    second.commit_all();

    assert_eq!(
        second.cell.state(JobId(1)),
        Some(dotterel_cell::JobState::Running)
    );
}

#[test]
fn a_failure_counts_even_if_a_later_run_was_reported_first() {
    let mut bench = Bench::successor(2);
    let mut record = independent_tasks(1, 1000);
    record.policy.max_attempts = 2;
    bench.cell.restore_job(JobId(1), record, None, 0, bench.now);
    bench.advance(10);

    bench.report(0, &[running(task(1, 0), 2, 30)], &[]);
    bench.report(1, &[], &[ended(1, task(1, 0), 1, RunOutcome::Failed)]);
    bench.advance(500);
    bench.report(0, &[], &[ended(1, task(1, 0), 2, RunOutcome::Failed)]);
    bench.commit_all();

    assert_eq!(
        bench.cell.state(JobId(1)),
        Some(dotterel_cell::JobState::Failed)
    );
}

#[test]
fn a_new_leader_delays_reuse_of_capacity_of_stopping_runs() {
    let mut bench = successor_with_stop_list(&["vm-000"]);

    bench.plan();
    let early = bench.take_starts();
    bench.advance(bench.cell.limits().stop_timeout.0 + 100);
    bench.report(0, &[], &[]);
    bench.plan();
    let late = bench.take_starts();

    assert!(
        early.is_empty(),
        "a stopping run occupies capacity without being listed"
    );
    assert_eq!(late.len(), 1);
}

/// Returns a cell in its second term with a waiting job and a VM that has just replied.
fn successor_with_stop_list(ids: &[&str]) -> Bench {
    let mut bench = Bench::successor(1);
    let ids: Vec<CompactString> = ids.iter().map(|id| CompactString::from(*id)).collect();
    bench.cell.restore_stop_list(&ids);
    bench.advance(10);
    bench.report(0, &[], &[]);
    bench.submit(1, independent_tasks(1, 1000));
    bench.commit_all();
    bench
}

/// Pattern: after each takeover all VMs stand idle for as long as a stop can take.
#[test]
fn a_new_leader_uses_vms_without_stopping_runs_at_once() {
    let mut bench = successor_with_stop_list(&["vm-777"]);

    bench.plan();

    assert_eq!(bench.take_starts().len(), 1);
}

#[test]
fn a_second_takeover_spares_the_same_vms() {
    let mut bench = Bench::successor(1);
    bench
        .cell
        .restore_stop_list(&[CompactString::from("vm-000")]);
    bench.advance(10);
    bench.report(0, &[], &[]);

    let batch = bench.cell.take_batch(0, bench.now);

    assert_eq!(stop_list(&batch), Some(vec!["vm-000".to_owned()]));
}

fn stop_list(batch: &Batch) -> Option<Vec<String>> {
    batch.writes.iter().find_map(|write| match write {
        RowWrite::StopList(bytes) => decode::<Vec<String>>(bytes),
        _ => None,
    })
}

#[test]
fn a_stop_waits_until_the_store_names_its_vm() {
    let mut bench = Bench::new(1);
    bench.submit(1, independent_tasks(1, 60_000));
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();
    bench.cell.cancel(JobId(1), bench.now);
    let stops = |bench: &mut Bench| {
        let orders = bench.cell.take_orders();
        let stops = orders
            .iter()
            .filter(|order| matches!(order, dotterel_cell::Order::Stop { .. }));
        stops.count()
    };

    let early = stops(&mut bench);
    let batch = bench.cell.take_batch(0, bench.now);
    let in_flight = stops(&mut bench);
    bench.cell.batch_committed(&batch);
    let late = stops(&mut bench);

    assert_eq!(stop_list(&batch), Some(vec!["vm-000".to_owned()]));
    assert_eq!((early, in_flight, late), (0, 0, 1));
}

#[test]
fn a_vm_off_the_stop_list_is_recorded_again_before_its_next_stop() {
    let mut bench = Bench::new(2);
    let mut wide = independent_tasks(1, 60_000);
    wide.spec.steps[0].size = support::size(30_000, 4096);
    bench.submit(1, wide.clone());
    bench.submit(2, wide);
    bench.commit_all();
    bench.plan();
    let started = bench.confirm_starts();
    bench.cell.cancel(started[0].task.job, bench.now);
    bench.commit_all();
    bench.cell.take_orders();
    let vm_index = bench.index_of(started[0].vm);
    let end = ended(1, started[0].task, 1, RunOutcome::Stopped);
    bench.report(vm_index, &[], &[end]);
    // Another VM's stop rewrites the list without this one.
    bench.cell.cancel(started[1].task.job, bench.now);
    bench.advance(300);

    let rewritten = bench.cell.take_batch(0, bench.now);
    bench.cell.batch_committed(&rewritten);

    let other = bench.index_of(started[1].vm);
    assert_eq!(stop_list(&rewritten), Some(vec![format!("vm-{other:03}")]));
    let vm = bench.vm(vm_index);
    assert_eq!(vm.stops, dotterel_cell::vm::StopRecord::None);
}

#[test]
fn a_start_that_may_have_reached_a_restarted_vm_is_stopped_there() {
    let mut bench = Bench::new(2);
    bench.submit(1, independent_tasks(1, 1000));
    bench.commit_all();
    bench.plan();
    let start = bench.take_starts().remove(0);
    let vm_index = bench.index_of(start.vm);
    let mut restarted = support::vm_info(vm_index);
    restarted.incarnation += 1;

    let key = bench.cell.vm_listed(restarted);
    bench.commit_all();
    bench.plan();
    let orders = bench.cell.take_orders();
    bench.vms[vm_index] = key;
    bench.cell.stop_answered(key, start.task, 1, bench.now);
    bench.advance(800);
    bench.report_running(0);
    let report = dotterel_cell::Report {
        incarnation: 8,
        clock: Millis(900),
        ..dotterel_cell::Report::default()
    };
    bench.cell.apply_report(key, &report, bench.now, bench.now);
    bench.plan();
    let again = bench.take_starts();

    assert!(
        support::starts(&orders).is_empty(),
        "the new incarnation may run it"
    );
    assert!(
        orders
            .iter()
            .any(|order| matches!(order, dotterel_cell::Order::Stop { vm, .. } if *vm == key))
    );
    assert_eq!(again.len(), 1);
}

/// Returns a cell of two VMs, the first with a start order that may have reached its new
/// incarnation, the key of that incarnation, and the index of the other VM.
fn with_start_on_restarted_vm() -> (Bench, dotterel_cell::VmKey, usize) {
    let mut bench = Bench::new(2);
    bench.submit(1, independent_tasks(1, 60_000));
    bench.commit_all();
    bench.plan();
    let start = bench.take_starts().remove(0);
    let vm_index = bench.index_of(start.vm);
    let mut restarted = support::vm_info(vm_index);
    restarted.incarnation += 1;
    let key = bench.cell.vm_listed(restarted);
    (bench, key, 1 - vm_index)
}

/// Returns how long it takes until the task starts elsewhere, in ms, while only `other` reports.
fn ms_until_restart(bench: &mut Bench, other: usize) -> Option<u64> {
    let since = bench.now;
    for _ in 0..40 {
        bench.advance(500);
        bench.report_runs(other, 10);
        bench.cell.tick(bench.now);
        bench.plan();
        if !bench.take_starts().is_empty() {
            return Some(bench.now.since(since).0);
        }
    }
    None
}

#[test]
fn a_start_on_a_restarted_vm_that_never_replies_is_given_up_after_the_longest_lease() {
    let (mut bench, _, other) = with_start_on_restarted_vm();
    let longest = bench.cell.limits().lease_max.0;

    let waited = ms_until_restart(&mut bench, other);

    let waited = waited.expect("the task starts elsewhere");
    assert!(waited > longest, "started after {waited} ms");
}

#[test]
fn a_restarted_vm_may_hold_the_longest_lease_when_it_falls_silent() {
    let (mut bench, key, other) = with_start_on_restarted_vm();
    let report = dotterel_cell::Report {
        incarnation: 8,
        clock: Millis(900),
        running: vec![running(task(1, 0), 1, 5)],
        ended: Vec::new(),
    };
    bench.cell.apply_report(key, &report, bench.now, bench.now);
    let longest = bench.cell.limits().lease_max.0;

    let waited = ms_until_restart(&mut bench, other);

    let waited = waited.expect("the task starts elsewhere");
    assert!(waited > longest, "started after {waited} ms");
}

#[test]
fn reported_runs_of_a_restarted_vm_end_at_once() {
    let mut bench = Bench::new(2);
    bench.submit(1, independent_tasks(1, 1000));
    bench.commit_all();
    bench.plan();
    let start = bench.confirm_starts().remove(0);
    let vm_index = bench.index_of(start.vm);
    bench.report_running(10);
    let mut restarted = support::vm_info(vm_index);
    restarted.incarnation += 1;

    bench.cell.vm_listed(restarted);
    bench.plan();

    assert_eq!(bench.take_starts().len(), 1);
}

#[test]
fn recovery_waits_for_a_vm_unlisted_before_it_replied() {
    let mut bench = Bench::successor(2);
    bench
        .cell
        .restore_job(JobId(1), independent_tasks(1, 1000), None, 0, bench.now);
    let report_and_plan = |bench: &mut Bench, ms: u64| {
        bench.advance(ms);
        bench.report(0, &[], &[]);
        bench.cell.tick(bench.now);
        bench.plan();
        bench.take_starts().len()
    };
    report_and_plan(&mut bench, 10);

    // The VM may still run the task and only be cut off from the registry.
    bench.cell.vm_unlisted("vm-001", bench.now);
    let early = report_and_plan(&mut bench, 600);
    let late: usize = (0..5).map(|_| report_and_plan(&mut bench, 1000)).sum();

    assert_eq!((early, late), (0, 1), "its lease has to expire first");
}

#[test]
fn a_vm_gets_no_run_before_the_store_names_it() {
    let mut bench = Bench::new(0);
    let key = bench.cell.vm_listed(support::vm_info(0));
    bench.vms.push(key);
    bench.submit(1, independent_tasks(1, 1000));
    bench.commit_all();
    bench.report(0, &[], &[]);

    bench.plan();
    let early = bench.take_starts();
    bench.commit_all();
    bench.plan();
    let late = bench.take_starts();

    assert_eq!((early.len(), late.len()), (0, 1));
}

#[test]
fn recovery_waits_only_for_vms_that_may_have_runs() {
    let mut bench = Bench::successor(1);
    let silent = bench.cell.vm_listed(support::vm_info(1));
    bench.vms.push(silent);
    bench
        .cell
        .restore_job(JobId(1), independent_tasks(1, 1000), None, 0, bench.now);
    bench.advance(10);
    bench.report(0, &[], &[]);
    bench.advance(600);
    bench.report(0, &[], &[]);
    bench.cell.tick(bench.now);

    bench.plan();

    assert_eq!(bench.take_starts().len(), 1);
}

/// Pattern: a VM is cut off from the registry, loses its entry and runs on; the leader dies.
#[test]
fn a_run_on_a_vm_missing_from_the_registry_is_adopted() {
    let mut bench = Bench::successor(1);
    let cut_off = support::vm_record(7);
    bench.cell.restore_vm_list(&[cut_off], bench.now);
    let key = bench.cell.vm_by_id("vm-007").expect("the VM is polled");
    bench.vms.push(key);
    bench
        .cell
        .restore_job(JobId(1), independent_tasks(2, 1000), None, 0, bench.now);
    bench.advance(10);
    bench.report(0, &[], &[]);
    bench.report(1, &[running(task(1, 0), 1, 30)], &[]);
    bench.advance(600);
    bench.report(0, &[], &[]);
    bench.cell.tick(bench.now);

    bench.plan();

    let starts = bench.take_starts();
    assert_eq!(starts.len(), 1, "the other task need not wait");
    assert_eq!(starts[0].task, task(1, 1));
}

/// Returns the ids in the rows of the VM list that the cell writes next.
fn listed_ids(bench: &mut Bench) -> Vec<String> {
    let batch = bench.cell.take_batch(0, bench.now);
    bench.cell.batch_committed(&batch);
    let rows = batch.writes.iter().filter_map(|write| match write {
        RowWrite::VmList(_, bytes) => decode::<Vec<VmRecord>>(bytes),
        _ => None,
    });
    rows.flatten().map(|record| record.id.to_string()).collect()
}

#[test]
fn a_silent_vm_stays_on_the_list_until_its_lease_has_expired() {
    let mut bench = Bench::new(1);
    bench.cell.extend_lease(bench.vms[0], bench.now);
    bench.advance(2000);
    bench.cell.tick(bench.now);
    let changed_early = bench.cell.has_rows(0, bench.now);
    bench.advance(bench.cell.limits().lease_ttl.0);

    bench.cell.tick(bench.now);

    assert!(!changed_early);
    let expired = bench.cell.take_expired_leases();
    assert_eq!(expired.len(), 1);
    assert_eq!((expired[0].vm.as_str(), expired[0].runs), ("vm-000", 0));
    assert!(bench.cell.has_rows(0, bench.now), "its row is rewritten");
    assert!(listed_ids(&mut bench).is_empty());
}

#[test]
fn a_second_takeover_waits_for_the_same_vms() {
    let mut bench = Bench::successor(2);
    bench.advance(10);
    bench.report(0, &[], &[]);
    bench.cell.tick(bench.now);

    let rewritten = listed_ids(&mut bench);

    assert!(
        rewritten.is_empty() || rewritten.contains(&"vm-001".to_owned()),
        "the VM that has not replied is still listed"
    );
    assert!(bench.vm(1).recorded);
}

#[test]
fn a_vm_that_has_left_the_registry_gets_no_new_runs_after_a_takeover() {
    let mut bench = Bench::successor(0);
    bench
        .cell
        .restore_vm_list(&[support::vm_record(0)], bench.now);
    let key = bench.cell.vm_by_id("vm-000").expect("the VM is polled");
    bench.vms.push(key);
    bench.submit(1, independent_tasks(1, 1000));
    bench.commit_all();
    bench.advance(10);
    bench.report(0, &[], &[]);
    bench.advance(600);
    bench.report(0, &[], &[]);
    bench.cell.tick(bench.now);

    bench.plan();

    assert!(bench.take_starts().is_empty());
}

#[test]
fn an_older_registry_entry_does_not_bring_back_a_previous_incarnation() {
    let mut bench = Bench::new(1);
    let mut restarted = support::vm_info(0);
    restarted.incarnation += 1;
    let current = bench.cell.vm_listed(restarted);

    let listed = bench.cell.vm_listed(support::vm_info(0));

    assert_eq!(listed, current);
    let vm = bench.cell.vm(current).expect("the VM is known");
    assert_eq!(vm.info.incarnation, 8);
}

#[test]
fn a_vm_that_is_silent_for_less_than_its_lease_keeps_its_runs() {
    let mut bench = Bench::new(2);
    bench.submit(1, independent_tasks(1, 60_000));
    bench.commit_all();
    bench.plan();
    let start = bench.confirm_starts().remove(0);
    let silent = bench.index_of(start.vm);
    bench.cell.extend_lease(start.vm, bench.now);
    let mut orders = Vec::new();

    for _ in 0..7 {
        bench.advance(500);
        bench.report_runs(1 - silent, 10);
        bench.cell.tick(bench.now);
        bench.plan();
        orders.extend(bench.cell.take_orders());
    }
    bench.report(silent, &[running(start.task, start.run, 20)], &[]);
    bench.cell.tick(bench.now);
    bench.plan();
    orders.extend(bench.cell.take_orders());

    assert!(orders.is_empty(), "{orders:?}");
    assert_eq!(bench.vm(silent).runs.len(), 1);
}
