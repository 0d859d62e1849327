//! A VM that restarts under its id between two polls.

use std::time::Duration;

use tokio::time::sleep;

use crate::support::{OneVm, connect, run, start_scheduler, submit};

#[test]
fn ends_of_a_restarted_vm_are_not_acknowledged_before_they_are_read() {
    let platform = OneVm::new();
    run(async {
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;
        for id in 1..=3 {
            submit(&mut front, id).await;
            sleep(Duration::from_millis(150)).await;
        }

        // The scheduler has acknowledged three ends; the restarted VM numbers its ends from 1.
        platform.restarts.set(true);
        submit(&mut front, 4).await;
        sleep(Duration::from_millis(1500)).await;
    });

    assert_eq!(platform.incarnation.get(), 8, "the VM has restarted");
    let done = platform.done.borrow();
    assert_eq!(done.len(), 4);
    assert!(
        done.values().all(|runs| *runs == 1),
        "a task ran again: {done:?}"
    );
}
