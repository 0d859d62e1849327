//! A retry budget relative to the request rate.

use dotterel_kernel::Millis;

/// The number of slices in the window.
const SLICES: usize = 10;

/// The length of a slice in milliseconds.
const SLICE_MS: u64 = 1_000;

/// One retry is allowed for this many requests.
const REQUESTS_PER_RETRY: u64 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct WindowSlice {
    index: u64,
    requests: u64,
    retries: u64,
}

/// Allows retries up to a tenth of the requests of the last ten seconds, and at least a minimum.
///
/// The minimum lets a node with few requests retry at all. It is per window, so it doesn't grow
/// with the load.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    min_retries: u64,
    slices: [WindowSlice; SLICES],
}

impl RetryBudget {
    /// Returns a budget that allows at least `min_retries` retries in ten seconds.
    #[must_use]
    pub fn new(min_retries: u64) -> Self {
        Self {
            min_retries,
            ..Self::default()
        }
    }

    /// Records the first attempt of a request; retries are not counted as requests.
    pub fn record_request(&mut self, now: Millis) {
        self.slice_at(now).requests += 1;
    }

    /// Takes one retry from the budget, or returns false if it is exhausted.
    #[must_use]
    pub fn try_retry(&mut self, now: Millis) -> bool {
        self.slice_at(now);
        let requests: u64 = self.recent(now).map(|slice| slice.requests).sum();
        let retries: u64 = self.recent(now).map(|slice| slice.retries).sum();
        let allowed = (requests / REQUESTS_PER_RETRY).max(self.min_retries);
        if retries >= allowed {
            return false;
        }
        self.slice_at(now).retries += 1;
        true
    }

    fn recent(&self, now: Millis) -> impl Iterator<Item = &WindowSlice> {
        let index = slice_index(now);
        let oldest = index.saturating_sub(SLICES as u64 - 1);
        self.slices
            .iter()
            .filter(move |slice| (oldest..=index).contains(&slice.index))
    }

    fn slice_at(&mut self, now: Millis) -> &mut WindowSlice {
        let index = slice_index(now);
        let slice = &mut self.slices[(index % SLICES as u64) as usize];
        if slice.index != index {
            *slice = WindowSlice {
                index,
                ..WindowSlice::default()
            };
        }
        slice
    }
}

const fn slice_index(now: Millis) -> u64 {
    now.0 / SLICE_MS
}
