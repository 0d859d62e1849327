//! Tests of retry budgets, adaptive concurrency limits and outlier ejection of VMs.

use dotterel_coord::{
    AdaptiveLimit, CallOutcome, EjectionState, Health, OutlierDetector, RetryBudget,
};
use dotterel_kernel::{Millis, VmId};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 20_261_204;

/// The number of retries that the budget allows in ten seconds whatever the number of requests.
const MIN_RETRIES: u64 = 3;

fn vm(index: usize) -> VmId {
    format!("w{index:02}").as_str().into()
}

/// Counts the events of the last ten seconds.
fn recent(times: &[Millis], now: Millis) -> u64 {
    let in_window = |time: &&Millis| now.0 / 1_000 - time.0 / 1_000 < 10;
    times.iter().filter(in_window).count() as u64
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests_in_the_window() {
    fn holds(events: Vec<(u8, u16)>) -> bool {
        let mut budget = RetryBudget::new(MIN_RETRIES);
        let mut now = Millis::secs(100);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (count, gap_ms) in events {
            for _ in 0..count {
                budget.record_request(now);
                requests.push(now);
            }
            while budget.try_retry(now) {
                retries.push(now);
                let allowed = (recent(&requests, now) / 10).max(MIN_RETRIES);
                if recent(&retries, now) > allowed {
                    return false;
                }
            }
            now += Millis((gap_ms % 3_000).into());
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(300)
        .quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn limit_shrinks_under_overload_and_grows_back_when_used() {
    let mut limit = AdaptiveLimit::new(2, 64);
    let mut now = Millis::ZERO;
    for _ in 0..100 {
        now += Millis(100);
        limit.record(CallOutcome::Overload, 64, now);
    }
    assert_eq!(limit.limit(), 2);
    assert!(limit.admits(1) && !limit.admits(2));

    let took = Millis(40);
    for _ in 0..10_000 {
        let expected = took;
        limit.record(CallOutcome::Ended { took, expected }, limit.limit(), now);
    }

    assert_eq!(limit.limit(), 64);
}

#[test]
fn slow_calls_shrink_the_limit_but_one_straggler_does_not() {
    let mut limit = AdaptiveLimit::new(1, 64);
    let slow = |factor: u64| CallOutcome::Ended {
        took: Millis(40 * factor),
        expected: Millis(40),
    };
    limit.record(slow(100), 64, Millis(1));
    assert_eq!(limit.limit(), 64);

    (0..100_u64).for_each(|round| limit.record(slow(3), 64, Millis(1_000 * round)));

    assert!(limit.limit() < 32);
}

/// Records one ended task on each of eight VMs, `rounds` times; tasks fail on the first `failing`
/// VMs.
fn end_tasks(vms: &mut OutlierDetector, failing: usize, rounds: usize, now: Millis) {
    for index in (0..rounds).flat_map(|_| 0..8) {
        vms.record_end(&vm(index), index < failing, now);
    }
}

#[test]
fn failing_vm_is_ejected_until_probes_succeed() {
    let mut vms = OutlierDetector::default();
    end_tasks(&mut vms, 1, 10, Millis::ZERO);
    let EjectionState::Ejected(until) = vms.state(&vm(0), Millis::ZERO) else {
        panic!("a VM that fails all tasks is ejected");
    };
    assert_eq!(vms.state(&vm(1), Millis::ZERO), EjectionState::Normal);
    assert_eq!(vms.state(&vm(0), until), EjectionState::Probe);

    vms.probe_started(&vm(0), until);
    assert!(matches!(
        vms.state(&vm(0), until),
        EjectionState::Ejected(_)
    ));
    vms.record_end(&vm(0), false, until);
    vms.record_end(&vm(0), false, until);

    assert_eq!(vms.state(&vm(0), until), EjectionState::Normal);
}

#[test]
fn no_vm_is_ejected_when_all_fail_at_the_same_rate() {
    let mut vms = OutlierDetector::default();

    end_tasks(&mut vms, 8, 50, Millis::ZERO);

    assert!((0..8).all(|index| vms.state(&vm(index), Millis::ZERO) == EjectionState::Normal));
}

#[test]
fn at_most_half_of_the_vms_are_ejected() {
    let mut vms = OutlierDetector::default();

    // The VMs start to fail one after another, so that each is far worse than its peers.
    (1..=6).for_each(|failing| end_tasks(&mut vms, failing, 50, Millis::ZERO));

    let not_normal =
        (0..8).filter(|index| vms.state(&vm(*index), Millis::ZERO) != EjectionState::Normal);
    assert_eq!(not_normal.count(), 4);
}

#[test]
fn healthy_peers_allow_more_than_half_to_be_ejected() {
    let mut vms = OutlierDetector::default();
    vms.set_peer_health(Health {
        vms: 16,
        ejected: 0,
        starts: 320,
        failures: 0,
    });

    end_tasks(&mut vms, 6, 50, Millis::ZERO);

    let not_normal =
        (0..8).filter(|index| vms.state(&vm(*index), Millis::ZERO) != EjectionState::Normal);
    assert_eq!(not_normal.count(), 6);
}
