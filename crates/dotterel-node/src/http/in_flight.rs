//! Counts the requests in flight, which a graceful stop waits for.

use std::cell::Cell;

use dotterel_kernel::{Clock, Millis};

/// Interval between looks at the count.
const CHECK_INTERVAL: Millis = Millis(20);

/// The number of requests in flight.
#[derive(Debug, Default)]
pub struct InFlight {
    count: Cell<usize>,
    /// Requests since the start of the process.
    total: Cell<u64>,
}

/// A request in flight. It ends when this is dropped, also if its caller disconnects.
#[derive(Debug)]
pub struct Counted<'a>(&'a InFlight);

impl InFlight {
    /// Counts a request.
    #[must_use]
    pub fn begin(&self) -> Counted<'_> {
        self.count.set(self.count.get() + 1);
        self.total.set(self.total.get() + 1);
        Counted(self)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.count.get()
    }

    /// Waits until no request has been in flight for `quiet`, and until `deadline` at most. Connections that
    /// were accepted earlier may still bring requests that were on their way, and replies are still being
    /// written when their requests have ended.
    pub async fn wait_until_quiet(&self, clock: Clock, quiet: Millis, deadline: Millis) {
        let mut quiet_since = clock.now();
        let mut seen = self.total.get();
        let mut was_busy = self.count() > 0;
        while clock.now() < deadline {
            tokio::time::sleep(CHECK_INTERVAL.duration()).await;
            let now = clock.now();
            let is_busy = self.count() > 0;
            if is_busy || was_busy || self.total.get() != seen {
                seen = self.total.get();
                was_busy = is_busy;
                quiet_since = now;
            } else if now.since(quiet_since) >= quiet {
                return;
            }
        }
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.count.set(self.0.count() - 1);
    }
}
