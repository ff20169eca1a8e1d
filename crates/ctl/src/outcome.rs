//! The results of commands.

use std::fmt::Display;
use std::sync::Arc;

/// All went as asked.
pub const EXIT_OK: u8 = 0;
/// It did not.
const EXIT_FAILED: u8 = 1;
/// The command line was wrong.
const EXIT_USAGE: u8 = 2;

/// The error of a command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The command line was wrong; all its faults.
    #[error("{0}")]
    Usage(Arc<str>),
    /// It was tried and failed.
    #[error("{0}")]
    Failed(Arc<str>),
}

impl CommandError {
    /// A fault of the command line.
    pub fn usage(why: impl Display) -> Self {
        Self::Usage(why.to_string().into())
    }

    /// A failure of what was tried.
    pub fn failed(why: impl Display) -> Self {
        Self::Failed(why.to_string().into())
    }

    /// The process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => EXIT_USAGE,
            Self::Failed(_) => EXIT_FAILED,
        }
    }
}
