//! Runs that make no progress although their VM's heartbeats look healthy.

use crate::support::{Bench, gang, independent_tasks};
use dotterel_cell::Order;

fn stops(bench: &mut Bench) -> usize {
    bench.commit_all();
    let orders = bench.cell.take_orders();
    // Unacknowledged stops are retried with a different reason.
    let stalled = orders.iter().filter(|order| {
        matches!(
            order,
            Order::Stop {
                reason: "stalled",
                ..
            }
        )
    });
    stalled.count()
}

fn count_stalled_stops(bench: &mut Bench, percent: u8) -> usize {
    let mut stopped = 0;
    for _ in 0..8 {
        bench.advance(500);
        bench.report_running(percent);
        bench.cell.tick(bench.now);
        stopped += stops(bench);
    }
    stopped
}

#[test]
fn a_task_without_progress_is_stopped() {
    let mut bench = Bench::new(2);
    bench.submit(1, independent_tasks(1, 1000));
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();

    assert_eq!(count_stalled_stops(&mut bench, 40), 1);
}

#[test]
fn finished_gang_members_wait_for_the_others() {
    let mut bench = Bench::new(2);
    bench.submit(1, gang(4, 1000));
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();

    assert_eq!(count_stalled_stops(&mut bench, 100), 0);
}

/// Pattern: the tasks of some VMs stand still, and callers wait for seconds until they are replaced.
#[test]
fn a_short_task_that_stands_still_is_stopped_after_two_reports() {
    let mut bench = Bench::new(2);
    bench.submit(1, independent_tasks(1, 1000));
    bench.commit_all();
    bench.plan();
    bench.confirm_starts();
    let mut stopped = 0;

    for _ in 0..3 {
        bench.advance(500);
        bench.report_running(0);
        bench.cell.tick(bench.now);
        stopped += stops(&mut bench);
    }

    assert_eq!(stopped, 1);
}
