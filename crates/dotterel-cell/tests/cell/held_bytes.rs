//! The bound on the memory of jobs.

use std::mem::size_of;

use dotterel_cell::job::{StepState, Task};

/// Guards against fields that each of hundreds of thousands of tasks pays for.
#[test]
fn tasks_and_steps_that_have_not_run_are_small() {
    assert!(size_of::<Task>() <= 64, "{}", size_of::<Task>());
    assert!(size_of::<StepState>() <= 96, "{}", size_of::<StepState>());
}
