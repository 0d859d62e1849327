//! Runs that make no progress although their VM's heartbeats look healthy.

use crate::support::{Bench, gang, loose};
use dotterel_cell::Order;

fn stops(bench: &mut Bench) -> usize {
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

fn run_on(bench: &mut Bench, percent: u8) -> usize {
    let mut stopped = 0;
    for _ in 0..8 {
        bench.advance(500);
        bench.beat(percent);
        bench.cell.tick(bench.now);
        stopped += stops(bench);
    }
    stopped
}

#[test]
fn a_task_that_stands_still_is_stopped() {
    let mut bench = Bench::new(2);
    bench.submit(1, loose(1, 1000));
    bench.store();
    bench.plan();
    bench.start_all();

    assert_eq!(run_on(&mut bench, 40), 1);
}

#[test]
fn members_of_a_gang_that_are_through_wait_for_the_others() {
    let mut bench = Bench::new(2);
    bench.submit(1, gang(4, 1000));
    bench.store();
    bench.plan();
    bench.start_all();

    assert_eq!(run_on(&mut bench, 100), 0);
}
