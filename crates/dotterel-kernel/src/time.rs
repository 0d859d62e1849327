//! Time in milliseconds, and the clock.

use std::fmt;
use std::ops::{Add, AddAssign, Sub};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// A point in time since the Unix epoch, or a duration, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Zero milliseconds.
    pub const ZERO: Self = Self(0);

    /// Later than any deadline.
    pub const MAX: Self = Self(u64::MAX);

    /// Converts whole seconds.
    #[must_use]
    pub const fn secs(count: u64) -> Self {
        Self(count * 1000)
    }

    /// Returns the duration from `earlier` to `self`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts to a [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Millis {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Millis {
    type Output = Self;

    /// Saturates at zero.
    fn sub(self, rhs: Self) -> Self {
        self.since(rhs)
    }
}

impl From<Duration> for Millis {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A monotonic clock that starts at the wall time and then follows tokio's timer.
///
/// While tokio's time is paused, the clock only moves with `tokio::time::advance`.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Instant,
    wall: Millis,
    /// Time for which the machine had been suspended when the clock was created.
    suspended: Duration,
}

impl Clock {
    /// Creates a clock that starts at the current wall time.
    #[must_use]
    pub fn system() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self::starting_at(wall.into())
    }

    /// Creates a clock that starts at `wall`; tests use it for fixed dates.
    #[must_use]
    pub fn starting_at(wall: Millis) -> Self {
        Self {
            base: Instant::now(),
            wall,
            suspended: total_suspension(),
        }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Millis {
        self.wall + self.base.elapsed().into()
    }

    /// Returns the current time, including the time for which the machine has been suspended since the
    /// clock was created. `now` doesn't count that time.
    #[must_use]
    pub fn now_with_suspension(&self) -> Millis {
        self.now() + total_suspension().saturating_sub(self.suspended).into()
    }

    /// Returns the tokio instant at which this clock shows `time`.
    #[must_use]
    pub fn instant(&self, time: Millis) -> Instant {
        self.base + time.since(self.wall).duration()
    }

    /// Sleeps until this clock shows `time`.
    pub async fn sleep_until(&self, time: Millis) {
        tokio::time::sleep_until(self.instant(time)).await;
    }
}

/// Returns the processor time that the calling thread has used, if the system counts it.
#[cfg(target_os = "linux")]
#[must_use]
pub fn thread_cpu_time() -> Option<Millis> {
    use rustix::time::{ClockId, clock_gettime};

    let used = Duration::try_from(clock_gettime(ClockId::ThreadCPUTime)).ok()?;
    Some(used.into())
}

/// Returns the processor time that the calling thread has used, if the system counts it.
#[cfg(not(target_os = "linux"))]
#[must_use]
pub const fn thread_cpu_time() -> Option<Millis> {
    None
}

/// Returns the time for which the machine has been suspended since it started.
#[cfg(target_os = "linux")]
fn total_suspension() -> Duration {
    use rustix::time::{ClockId, clock_gettime};

    let elapsed = |clock| Duration::try_from(clock_gettime(clock)).unwrap_or_default();
    // Read in this order, the difference is never too small.
    let awake = elapsed(ClockId::Monotonic);
    elapsed(ClockId::Boottime).saturating_sub(awake)
}

#[cfg(not(target_os = "linux"))]
const fn total_suspension() -> Duration {
    Duration::ZERO
}
