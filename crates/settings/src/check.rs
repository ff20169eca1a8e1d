//! The errors of settings.

use std::sync::Arc;

/// An error in the given settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingError {
    /// The command line is malformed.
    #[error("{0}")]
    Usage(Arc<str>),
    /// A required setting is missing.
    #[error("--{flag} (or {env}) is needed: {description}")]
    Missing {
        /// The flag.
        flag: &'static str,
        /// The environment variable.
        env: &'static str,
        /// The description of the setting.
        description: &'static str,
    },
    /// A value is invalid.
    #[error("{given_as}: {reason}")]
    Invalid {
        /// The flag or environment variable that has the value.
        given_as: Arc<str>,
        /// The fault and the expected form.
        reason: Arc<str>,
    },
    /// Values that contradict each other.
    #[error("{0}")]
    Clash(Arc<str>),
}
