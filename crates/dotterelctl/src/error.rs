//! How a command ends when it does not succeed.

use std::fmt;
use std::process::ExitCode;

use dotterel_kernel::ErrorBody;

/// A command's failure, with its exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// Exit code 1: the node refused the call.
    Refused(ErrorBody),
    /// Exit code 2: the command line or a local file is at fault.
    Usage(String),
    /// Exit code 3: no entry node could be reached, or its answer was not understood.
    Unreachable(String),
    /// Exit code 4: another operator changed the document first.
    Conflict(String),
}

impl CommandError {
    /// Returns the process's exit code.
    #[must_use]
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Refused(_) => 1,
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
            Self::Usage(text) | Self::Unreachable(text) | Self::Conflict(text) => f.write_str(text),
        }
    }
}
