//! The log of the process.

use logforth::append::Stderr;
use logforth::layout::{JsonLayout, TextLayout};

use crate::settings::{LogFormat, LogSettings};

/// Sends the log to the standard error stream as the settings say.
///
/// # Errors
///
/// Returns an error when the process has a log already.
pub fn init(settings: LogSettings) -> Result<(), logforth::Error> {
    let stderr = match settings.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(stderr))
        .try_apply()?;
    log::set_max_level(settings.level);
    Ok(())
}
