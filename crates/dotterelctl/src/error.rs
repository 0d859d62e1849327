//! The errors of commands and their exit codes.

use std::fmt;
use std::process::ExitCode;

use dotterel_kernel::ErrorBody;

/// The error of a command, which determines the exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// Exit code 1: the node refused the request.
    Refused(ErrorBody),
    /// Exit code 1: a checked configuration has errors. Holds the report, which is the command's output.
    Unsound(String),
    /// Exit code 2: an argument or a local file is invalid.
    Usage(String),
    /// Exit code 3: the entry node could not be reached, or its response was invalid.
    Unreachable(String),
    /// Exit code 4: another operator changed the document first.
    Conflict(String),
}

impl CommandError {
    /// Returns the exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) | Self::Unsound(_) => 1,
            Self::Usage(_) => 2,
            Self::Unreachable(_) => 3,
            Self::Conflict(_) => 4,
        })
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(body) => {
                write!(f, "refused: {}: {}", body.field, body.reason)?;
                match &body.allowed {
                    Some(allowed) => write!(f, " (allowed: {allowed})"),
                    None => Ok(()),
                }
            }
            Self::Unsound(text)
            | Self::Usage(text)
            | Self::Unreachable(text)
            | Self::Conflict(text) => f.write_str(text),
        }
    }
}
