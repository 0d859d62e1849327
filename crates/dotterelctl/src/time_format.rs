//! Times and spans as operators read them.

use dotterel_kernel::Millis;

const DAY_S: u64 = 86_400;

/// Formats a span with a unit that fits it.
#[must_use]
pub fn span(span: Millis) -> String {
    match span.0 {
        ms @ 0..=9_999 => format!("{ms} ms"),
        ms @ 10_000..=599_999 => format!("{}.{} s", ms / 1000, ms % 1000 / 100),
        ms @ 600_000..=35_999_999 => format!("{} min", ms / 60_000),
        ms => format!("{} h", ms / 3_600_000),
    }
}

/// Formats a time of day in UTC.
#[must_use]
pub fn time_of_day(time: Millis) -> String {
    let second = time.0 / 1000 % DAY_S;
    format!(
        "{:02}:{:02}:{:02}",
        second / 3600,
        second / 60 % 60,
        second % 60
    )
}

/// Formats an hour of the day in UTC.
#[must_use]
pub fn hour(time: Millis) -> String {
    format!("{:02}:00", time.0 / 1000 % DAY_S / 3600)
}
