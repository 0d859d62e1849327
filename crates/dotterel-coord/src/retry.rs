//! A budget for retries.

use dotterel_kernel::Millis;

/// The number of slices that make up the window.
const SLICES: usize = 10;

/// The length of a slice in milliseconds.
const SLICE_MS: u64 = 1_000;

/// One retry for so many requests.
const REQUESTS_PER_RETRY: u64 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    requests: u64,
    retries: u64,
}

/// Allows retries up to a tenth of the requests of the last ten seconds, and a small floor.
///
/// The floor lets a quiet node retry at all; it is per window, so it does not grow with load.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    floor: u64,
    slices: [Slice; SLICES],
}

impl RetryBudget {
    /// Returns a budget that allows at least `floor` retries in ten seconds.
    #[must_use]
    pub fn new(floor: u64) -> Self {
        Self {
            floor,
            ..Self::default()
        }
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self, now: Millis) {
        self.slice(now).requests += 1;
    }

    /// Takes one retry from the budget, or returns false when it is used up.
    #[must_use]
    pub fn try_retry(&mut self, now: Millis) -> bool {
        self.slice(now);
        let requests: u64 = self.recent(now).map(|slice| slice.requests).sum();
        let retries: u64 = self.recent(now).map(|slice| slice.retries).sum();
        let allowed = (requests / REQUESTS_PER_RETRY).max(self.floor);
        if retries >= allowed {
            return false;
        }
        self.slice(now).retries += 1;
        true
    }

    fn recent(&self, now: Millis) -> impl Iterator<Item = &Slice> {
        let number = number(now);
        let oldest = number.saturating_sub(SLICES as u64 - 1);
        self.slices
            .iter()
            .filter(move |slice| (oldest..=number).contains(&slice.number))
    }

    fn slice(&mut self, now: Millis) -> &mut Slice {
        let number = number(now);
        let slice = &mut self.slices[(number % SLICES as u64) as usize];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        slice
    }
}

const fn number(now: Millis) -> u64 {
    now.0 / SLICE_MS
}
