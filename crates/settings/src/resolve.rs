//! Resolution of the settings of a table: finds the value of each and collects all errors.

use crate::check::SettingError;
use crate::table::{Fallback, SettingInfo};
use crate::value::SettingValue;
use std::fmt;
use std::sync::Arc;

/// An environment variable. Its value may be a secret and is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct EnvVar {
    /// The name.
    pub name: String,
    /// The value.
    pub value: String,
}

impl fmt::Debug for EnvVar {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EnvVar")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}

impl EnvVar {
    /// Returns the variables of the process that have the prefix of settings. Invalid UTF-8 in a value is
    /// replaced, and the value then fails its check.
    pub fn of_process() -> Vec<EnvVar> {
        std::env::vars_os()
            .map(|(name, value)| EnvVar {
                name: name.to_string_lossy().into_owned(),
                value: value.to_string_lossy().into_owned(),
            })
            .filter(|var| var.name.starts_with(ENV_PREFIX))
            .collect()
    }
}

/// The prefix of the environment variables of all settings.
const ENV_PREFIX: &str = "BLUEBELL_";

/// The source of a setting's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The command line.
    Flag,
    /// The environment.
    Environment,
    /// The default in the table.
    Default,
    /// None: the setting is optional and has no value.
    Unset,
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Source::Flag => "flag",
            Source::Environment => "environment",
            Source::Default => "default",
            Source::Unset => "unset",
        })
    }
}

/// A setting with its effective value, for display.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effective {
    /// The setting.
    pub info: SettingInfo,
    /// The displayed value; a placeholder for a secret.
    pub shown: Arc<str>,
    /// The source of the value.
    pub source: Source,
}

/// The result of parsing a program's arguments.
#[derive(Clone, Debug, PartialEq)]
pub enum Parsed<S> {
    /// The program is to run with these settings.
    Run {
        /// The settings with their types.
        settings: S,
        /// The effective settings, for display.
        effective: Vec<Effective>,
        /// The environment variables with the prefix of settings that belong to no setting of the program.
        unknown_env: Vec<Arc<str>>,
    },
    /// The program is to print the effective settings and exit.
    Check(Vec<Effective>),
    /// The program is to print this help and exit.
    Help(String),
}

/// Resolves the settings of one table, in the order of the table.
pub(crate) struct Resolver<'a> {
    table: &'static [SettingInfo],
    next: usize,
    env: &'a [EnvVar],
    effective: Vec<Effective>,
    errors: Vec<SettingError>,
}

impl<'a> Resolver<'a> {
    /// Starts at the first setting of the table.
    pub(crate) fn new(table: &'static [SettingInfo], env: &'a [EnvVar]) -> Self {
        Self {
            table,
            next: 0,
            env,
            effective: Vec::with_capacity(table.len()),
            errors: Vec::new(),
        }
    }

    /// Resolves the next setting. Returns `None` and records the error if it is invalid.
    pub(crate) fn take<T: SettingValue>(&mut self, flag: Option<String>) -> Option<T> {
        let info = self.table[self.next];
        self.next += 1;
        let var = self.env.iter().find(|var| var.name == info.env);
        let from_env = var.map(|var| var.value.as_str());
        let (text, source, given_as) = match (flag.as_deref(), from_env, info.fallback) {
            (Some(text), _, _) => (text, Source::Flag, format!("--{}", info.flag)),
            (None, Some(text), _) => (text, Source::Environment, info.env.to_owned()),
            (None, None, Fallback::Default(text)) => (text, Source::Default, "default".to_owned()),
            (None, None, Fallback::Unset | Fallback::Required) => return self.take_unset(info),
        };
        match T::read(text) {
            Ok(value) => Some(self.keep(info, value, source)),
            Err(reason) => {
                self.errors.push(SettingError::Invalid {
                    given_as: given_as.into(),
                    reason: reason.into(),
                });
                None
            }
        }
    }

    fn take_unset<T: SettingValue>(&mut self, info: SettingInfo) -> Option<T> {
        if let Some(value) = T::unset() {
            return Some(self.keep(info, value, Source::Unset));
        }
        self.errors.push(SettingError::Missing {
            flag: info.flag,
            env: info.env,
            description: info.description.trim(),
        });
        None
    }

    fn keep<T: SettingValue>(&mut self, info: SettingInfo, value: T, source: Source) -> T {
        self.effective.push(Effective {
            info,
            shown: value.show().into(),
            source,
        });
        value
    }

    /// Returns the effective settings, or all errors.
    pub(crate) fn finish(self) -> Result<Vec<Effective>, Vec<SettingError>> {
        if self.errors.is_empty() {
            return Ok(self.effective);
        }
        Err(self.errors)
    }
}

/// Returns the variables with the prefix of settings that belong to no setting of the table, which are often
/// misspelled.
pub(crate) fn unknown_env(table: &[SettingInfo], env: &[EnvVar]) -> Vec<Arc<str>> {
    let known = |var: &&EnvVar| table.iter().any(|info| info.env == var.name);
    let ours = |var: &&EnvVar| var.name.starts_with(ENV_PREFIX);
    env.iter()
        .filter(ours)
        .filter(|var| !known(var))
        .map(|var| var.name.as_str().into())
        .collect()
}
