//! The wait of a node that stops for the requests in flight.

use std::rc::Rc;
use std::time::Duration;

use dotterel_kernel::{Clock, Millis};
use dotterel_node::http::InFlight;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep};

const QUIET: Millis = Millis(200);

/// Waits for requests that begin after `delays` ms and last for `length` ms each; returns how long that took and
/// whether none was in flight at its end.
async fn wait_beside(delays: &[u64], length: u64, limit: u64) -> (Duration, bool) {
    let in_flight = Rc::new(InFlight::default());
    let clock = Clock::system();
    let local = LocalSet::new();
    for delay in delays.iter().copied() {
        let in_flight = Rc::clone(&in_flight);
        local.spawn_local(async move {
            sleep(Duration::from_millis(delay)).await;
            let _counted = in_flight.begin();
            sleep(Duration::from_millis(length)).await;
        });
    }
    let started = Instant::now();
    let deadline = clock.now() + Millis(limit);
    let wait = in_flight.wait_until_quiet(clock, QUIET, deadline);
    local.run_until(wait).await;
    (started.elapsed(), in_flight.count() == 0)
}

// Guards against a process that ends while it handles a request which it has read after the last look.
#[tokio::test(flavor = "current_thread")]
async fn a_request_that_begins_late_is_waited_for() {
    let (waited, is_idle) = wait_beside(&[100], 400, 5000).await;

    assert!(is_idle);
    assert!(waited >= Duration::from_millis(700), "{waited:?}");
}

// Guards against a reply that is still being written when the process ends.
#[tokio::test(flavor = "current_thread")]
async fn the_end_of_a_short_request_is_followed_by_a_pause() {
    let (waited, is_idle) = wait_beside(&[150], 1, 5000).await;

    assert!(is_idle);
    assert!(waited >= Duration::from_millis(350), "{waited:?}");
}

// Guards against a process that is killed since requests keep coming.
#[tokio::test(flavor = "current_thread")]
async fn the_wait_ends_at_the_deadline() {
    let (waited, is_idle) = wait_beside(&[0], 60_000, 500).await;

    assert!(!is_idle);
    assert!(waited >= Duration::from_millis(500), "{waited:?}");
}
