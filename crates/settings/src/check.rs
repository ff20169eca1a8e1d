//! The faults of settings.

use std::sync::Arc;

/// One fault of the settings as given.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingError {
    /// The command line has a wrong shape.
    #[error("{0}")]
    Usage(Arc<str>),
    /// A setting without default was not given.
    #[error("--{flag} (or {env}) is needed: {description}")]
    Missing {
        /// The flag.
        flag: &'static str,
        /// The environment variable.
        env: &'static str,
        /// What the setting is for.
        description: &'static str,
    },
    /// A value doesn't fit its setting.
    #[error("{given_as}: {reason}")]
    Invalid {
        /// The flag or environment variable through which it came.
        given_as: Arc<str>,
        /// What is wrong and what is wanted.
        reason: Arc<str>,
    },
    /// Values that don't go together.
    #[error("{0}")]
    Clash(Arc<str>),
}
