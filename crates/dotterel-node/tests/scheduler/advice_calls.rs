//! Calls to the advice service under overload.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dotterel_cell::JobId;
use dotterel_kernel::Millis;
use dotterel_node::advice::AdviceCalls;
use tokio::time::sleep;

use crate::support::run_paused;
use crate::world::{View, World};

/// The timeout that the scheduler gives a call of 35 ms.
const TIMEOUT: Millis = Millis(735);

/// Makes calls at an interval, and returns the share that was answered within the timeout.
async fn answered(view: &Rc<View>, calls: &Rc<AdviceCalls>, interval: Duration, count: u32) -> f64 {
    let answered = Rc::new(Cell::new(0));
    for _ in 0..count {
        let (view, calls) = (Rc::clone(view), Rc::clone(calls));
        let answered = Rc::clone(&answered);
        tokio::task::spawn_local(async move {
            let clock = view.world.clock;
            let since = clock.now();
            let step = (JobId(1), 0, 0);
            let advice = calls.call(&*view, clock, step, &[], TIMEOUT).await;
            if advice.is_some() && clock.now().since(since) <= TIMEOUT {
                answered.set(answered.get() + 1);
            }
        });
        sleep(interval).await;
    }
    sleep(Duration::from_secs(3)).await;
    f64::from(answered.get()) / f64::from(count)
}

/// Guards against jobs that wait with room free: calls that were given up after an overload kept the
/// advice service busy, so that all later ones were given up as well.
#[test]
fn advice_calls_are_answered_again_after_an_overload() {
    let world = World::new();
    let view = world.view();
    let calls = Rc::new(AdviceCalls::default());
    run_paused(async {
        let overload = answered(&view, &calls, Duration::from_millis(10), 300).await;
        let after = answered(&view, &calls, Duration::from_millis(40), 100).await;

        assert!(overload > 0.25, "{overload} of the calls, 0.28 can be");
        assert!(after > 0.99, "{after} of the calls");
    });
}

#[test]
fn advice_calls_that_arrive_a_little_too_fast_are_mostly_answered() {
    let world = World::new();
    let view = world.view();
    let calls = Rc::new(AdviceCalls::default());
    run_paused(async {
        let share = answered(&view, &calls, Duration::from_millis(33), 600).await;

        assert!(share > 0.9, "{share} of the calls, 0.94 can be");
    });
}
