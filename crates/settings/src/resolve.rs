//! The pass over a table that finds each setting's value and keeps every fault.

use crate::check::SettingError;
use crate::table::{Fallback, SettingInfo};
use crate::value::SettingValue;
use std::fmt;
use std::sync::Arc;

/// An environment variable as given; its value, which may be a secret, is never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct EnvVar {
    /// Its name.
    pub name: String,
    /// Its value.
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
    /// The process's variables that are ours; values that are not UTF-8 are taken as far as
    /// possible, and then fail their check.
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

/// What the names of all our environment variables begin with.
const ENV_PREFIX: &str = "BLUEBELL_";

/// Where a setting's value came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The command line.
    Flag,
    /// The environment.
    Environment,
    /// The table.
    Default,
    /// Nowhere: it is optional and not given.
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

/// A setting as in effect, for printing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effective {
    /// The setting.
    pub info: SettingInfo,
    /// Its value as printed; a secret hides itself.
    pub shown: Arc<str>,
    /// Where the value came from.
    pub source: Source,
}

/// What a program was asked to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Parsed<S> {
    /// Run with these settings.
    Run {
        /// The typed settings.
        settings: S,
        /// The same, for printing.
        effective: Vec<Effective>,
        /// Variables that look like ours but are no setting of this program.
        unknown_env: Vec<Arc<str>>,
    },
    /// Print the effective settings and exit.
    Check(Vec<Effective>),
    /// Print this help and exit.
    Help(String),
}

/// Takes the settings of one table, in its order.
pub(crate) struct Resolver<'a> {
    table: &'static [SettingInfo],
    next: usize,
    env: &'a [EnvVar],
    effective: Vec<Effective>,
    errors: Vec<SettingError>,
}

impl<'a> Resolver<'a> {
    /// Begins at the table's first setting.
    pub(crate) fn new(table: &'static [SettingInfo], env: &'a [EnvVar]) -> Self {
        Self {
            table,
            next: 0,
            env,
            effective: Vec::with_capacity(table.len()),
            errors: Vec::new(),
        }
    }

    /// Takes the next setting; none where it is faulty, which is kept as an error.
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

    /// What was taken, or every fault found.
    pub(crate) fn finish(self) -> Result<Vec<Effective>, Vec<SettingError>> {
        if self.errors.is_empty() {
            return Ok(self.effective);
        }
        Err(self.errors)
    }
}

/// Variables with our prefix that are no setting of the table: often a misspelt one.
pub(crate) fn unknown_env(table: &[SettingInfo], env: &[EnvVar]) -> Vec<Arc<str>> {
    let known = |var: &&EnvVar| table.iter().any(|info| info.env == var.name);
    let ours = |var: &&EnvVar| var.name.starts_with(ENV_PREFIX);
    env.iter()
        .filter(ours)
        .filter(|var| !known(var))
        .map(|var| var.name.as_str().into())
        .collect()
}
