//! Retry budgets, concurrency limits and setting VMs aside.

use dotterel_coord::{
    AdaptiveLimit, CallOutcome, EjectionState, Health, OutlierDetector, RetryBudget,
};
use dotterel_kernel::{Millis, VmId};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 20_261_204;

/// The retries that a budget always allows in ten seconds.
const FLOOR: u64 = 3;

fn vm(index: usize) -> VmId {
    format!("w{index:02}").as_str().into()
}

/// Counts the events of the last ten seconds.
fn recent(times: &[Millis], now: Millis) -> u64 {
    let fresh = |time: &&Millis| now.0 / 1_000 - time.0 / 1_000 < 10;
    times.iter().filter(fresh).count() as u64
}

#[test]
fn retries_stay_within_a_tenth_of_the_requests_of_the_window() {
    fn holds(events: Vec<(u8, u16)>) -> bool {
        let mut budget = RetryBudget::new(FLOOR);
        let mut now = Millis::secs(100);
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (count, pause) in events {
            for _ in 0..count {
                budget.record_request(now);
                requests.push(now);
            }
            while budget.try_retry(now) {
                retries.push(now);
                let allowed = (recent(&requests, now) / 10).max(FLOOR);
                if recent(&retries, now) > allowed {
                    return false;
                }
            }
            now += Millis((pause % 3_000).into());
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(300)
        .quickcheck(holds as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn the_limit_shrinks_under_overload_and_grows_back_while_used() {
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
fn slow_answers_shrink_the_limit_and_one_straggler_does_not() {
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

/// Ends one task on each of eight VMs, `rounds` times; those below `failing` fail theirs.
fn play(vms: &mut OutlierDetector, failing: usize, rounds: usize, now: Millis) {
    for index in (0..rounds).flat_map(|_| 0..8) {
        vms.record_end(&vm(index), index < failing, now);
    }
}

#[test]
fn a_vm_that_fails_everything_is_set_aside_and_comes_back_by_probes() {
    let mut vms = OutlierDetector::default();
    play(&mut vms, 1, 10, Millis::ZERO);
    let EjectionState::Ejected(until) = vms.state(&vm(0), Millis::ZERO) else {
        panic!("it fails everything");
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
fn no_vm_is_set_aside_when_all_fail_alike() {
    let mut vms = OutlierDetector::default();

    play(&mut vms, 8, 50, Millis::ZERO);

    assert!((0..8).all(|index| vms.state(&vm(index), Millis::ZERO) == EjectionState::Normal));
}

#[test]
fn at_most_half_of_the_vms_are_set_aside() {
    let mut vms = OutlierDetector::default();

    // One after another starts to fail, so that each is far worse than its peers.
    (1..=6).for_each(|failing| play(&mut vms, failing, 50, Millis::ZERO));

    let aside =
        (0..8).filter(|index| vms.state(&vm(*index), Millis::ZERO) != EjectionState::Normal);
    assert_eq!(aside.count(), 4);
}

#[test]
fn most_vms_of_a_node_are_set_aside_when_those_of_other_nodes_do_well() {
    let mut vms = OutlierDetector::default();
    vms.set_peer_health(Health {
        vms: 16,
        ejected: 0,
        starts: 320,
        failures: 0,
    });

    play(&mut vms, 6, 50, Millis::ZERO);

    let aside =
        (0..8).filter(|index| vms.state(&vm(*index), Millis::ZERO) != EjectionState::Normal);
    assert_eq!(aside.count(), 6);
}
