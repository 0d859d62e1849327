//! Sets up the logging of the process.

use logforth::append::Stderr;
use logforth::layout::{JsonLayout, TextLayout};

use crate::settings::{LogFormat, LogSettings};

/// Starts logging to standard error with the level and format of the settings.
///
/// # Errors
///
/// Returns an error if the process has a logger already.
pub fn start(settings: LogSettings) -> Result<(), logforth::Error> {
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
