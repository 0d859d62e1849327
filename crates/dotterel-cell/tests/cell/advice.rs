//! A backlog of jobs that each need a call to a slow advice service.

use dotterel_cell::{AdviceRequest, JobRecord};

use crate::support::{self, Bench, advised, loose, slowly_advised};

fn asks(bench: &mut Bench) -> Vec<AdviceRequest> {
    support::asks(&bench.cell.take_orders())
}

fn slow(priority: u8) -> JobRecord {
    let mut record = slowly_advised(loose(2, 3000), 400, 100);
    record.policy.priority = priority;
    record
}

/// Returns a cell with a backlog of jobs that need long calls, and four advisers.
fn backlog() -> Bench {
    let mut bench = Bench::new(16);
    for adviser in 0..4 {
        bench.cell.adviser_joined(adviser);
    }
    for id in 0..100 {
        bench.submit(id, slow(1));
    }
    bench.store();
    bench.plan();
    bench
}

fn quick() -> JobRecord {
    let mut record = advised(loose(2, 500));
    record.policy.priority = 0;
    record
}

#[test]
fn calls_do_not_wait_in_line_behind_a_backlog() {
    let mut bench = backlog();

    let first = asks(&mut bench);

    assert!(!first.is_empty());
    for adviser in 0..4 {
        let made = first.iter().filter(|ask| ask.adviser == adviser);
        let cost: u64 = made.map(|ask| ask.cost.0).sum();
        assert!(cost <= 500, "adviser {adviser} has {cost} ms of calls");
    }
}

#[test]
fn an_urgent_job_finds_an_adviser_among_long_calls() {
    let mut bench = backlog();
    let long = asks(&mut bench);
    bench.submit(1000, quick());
    bench.plan();

    let short = asks(&mut bench);

    assert_eq!(short.len(), 1);
    assert!(
        long.iter().all(|ask| ask.adviser != short[0].adviser),
        "the short call doesn't wait behind a long one"
    );
}

#[test]
fn an_adviser_takes_the_next_call_as_soon_as_it_is_through() {
    let mut bench = Bench::new(16);
    bench.cell.adviser_joined(7);
    bench.submit(1, slow(1));
    bench.submit(2, slow(1));
    bench.store();
    bench.plan();
    let first = asks(&mut bench);
    bench.advance(100);
    bench.cell.adviser_finished(7, bench.now);
    bench.plan();

    let second = asks(&mut bench);

    assert_eq!((first.len(), second.len()), (1, 1));
}
