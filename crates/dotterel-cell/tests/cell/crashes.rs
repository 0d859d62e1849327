//! Tasks that crash the VMs that start them.

use dotterel_cell::{JobId, JobState};

use crate::crashing_vms::World;
use crate::support::{Bench, independent_tasks};

/// Runs of a task that crashes its VMs: three, and at most two more after the third crash.
const MAX_CRASHING_RUNS: usize = 5;

/// Guards against starting a task again without limit when each VM that starts it crashes.
#[test]
fn a_task_that_crashes_its_vms_is_given_up() {
    let mut world = World::new(8);
    world.submit_crashing(1, independent_tasks(2, 1000));

    world.run_for(60_000);

    assert_eq!(world.bench.cell.state(JobId(1)), Some(JobState::Failed));
    assert!(world.crashes() <= MAX_CRASHING_RUNS, "{}", world.crashes());
}

/// Guards against waiting for the lease of a VM that no longer exists.
#[test]
fn runs_are_released_once_another_vm_answers_at_the_address() {
    let mut bench = Bench::new(3);
    bench.submit(1, independent_tasks(1, 60_000));
    bench.commit_all();
    bench.plan();
    let start = bench.confirm_starts().remove(0);
    bench.advance(400);
    bench.report_running(10);

    bench.cell.vm_replaced(start.vm, bench.now);
    bench.plan();
    let again = bench.take_starts();

    assert_eq!(again.len(), 1);
    assert_ne!(again[0].vm, start.vm);
}
