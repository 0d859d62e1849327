//! Memory that a job takes, estimated from its specification.

use std::mem::size_of;

use dotterel_kernel::Millis;

use super::{Job, StepState, Task};
use crate::spec::{JobSpec, Step};

/// What the allocator adds to an allocation, on average.
const ALLOCATION_BYTES: usize = 24;
/// Texts up to this length are held in place.
const INLINE_TEXT_BYTES: usize = 24;

/// Estimated bytes of a job in memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Footprint {
    spec: usize,
    round: usize,
}

impl Footprint {
    /// Returns the footprint of a job with this specification.
    #[must_use]
    pub fn of(spec: &JobSpec) -> Self {
        let steps = spec.steps.iter();
        Self {
            spec: text_bytes(spec.text.len()) + steps.clone().map(step_bytes).sum::<usize>(),
            round: ALLOCATION_BYTES + steps.map(state_bytes).sum::<usize>(),
        }
    }

    /// Returns the bytes of a job with this many open rounds.
    #[must_use]
    pub const fn bytes(&self, rounds: usize) -> usize {
        size_of::<Job>() + ALLOCATION_BYTES + self.spec + rounds * self.round
    }
}

fn step_bytes(step: &Step) -> usize {
    let texts = [&step.label, &step.rack, &step.image];
    let texts: usize = texts.iter().map(|text| text_bytes(text.len())).sum();
    let after = match step.after.len() {
        0 => 0,
        priors => ALLOCATION_BYTES + priors * size_of::<u16>(),
    };
    // With its entry in the list of remaining durations.
    size_of::<Step>() + size_of::<Millis>() + texts + after
}

const fn state_bytes(step: &Step) -> usize {
    size_of::<StepState>() + ALLOCATION_BYTES + step.count as usize * size_of::<Task>()
}

const fn text_bytes(length: usize) -> usize {
    if length > INLINE_TEXT_BYTES {
        ALLOCATION_BYTES + length
    } else {
        0
    }
}
