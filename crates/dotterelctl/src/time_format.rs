//! Formats times and durations for operators.

use dotterel_kernel::Millis;

const SECONDS_PER_DAY: u64 = 86_400;

/// Formats a duration in milliseconds, seconds, minutes or hours, depending on its length.
#[must_use]
pub fn duration(duration: Millis) -> String {
    match duration.0 {
        ms @ 0..=9_999 => format!("{ms} ms"),
        ms @ 10_000..=599_999 => format!("{}.{} s", ms / 1000, ms % 1000 / 100),
        ms @ 600_000..=35_999_999 => format!("{} min", ms / 60_000),
        ms => format!("{} h", ms / 3_600_000),
    }
}

/// Formats the time of day in UTC.
#[must_use]
pub fn time_of_day(time: Millis) -> String {
    let second = time.0 / 1000 % SECONDS_PER_DAY;
    format!(
        "{:02}:{:02}:{:02}",
        second / 3600,
        second / 60 % 60,
        second % 60
    )
}

/// Formats the hour of the day in UTC.
#[must_use]
pub fn hour(time: Millis) -> String {
    format!("{:02}:00", time.0 / 1000 % SECONDS_PER_DAY / 3600)
}
