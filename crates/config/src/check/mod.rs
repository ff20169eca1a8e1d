//! The check of a configuration. It reports every fault with its path and reason.
//!
//! Invariants: a configuration without faults can be applied by every part of a node; the faults
//! are in the order of the file's fields and are the same on every run.

mod classes;
mod names;
mod routes;

use crate::fleet::{Account, Deployment, FleetConfig, Limits, Model};
use bluebell_base::prelude::*;
use std::collections::HashMap;
use std::fmt;
use std::ops::RangeInclusive;

/// Maximum length of a configuration text, in bytes.
pub const MAX_CONFIG_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of classes of work.
pub const MAX_CLASSES: usize = 64;

/// Maximum number of client accounts.
pub const MAX_ACCOUNTS: usize = 10_000;

/// Maximum number of entries in each of the lists of models, services and deployments.
pub const MAX_LIST_ENTRIES: usize = 1000;

/// Range of `limits.body_bytes`.
///
/// The upper end is the size of a body that the callers' interface can still read and discard after
/// it has refused the request.
pub const BODY_BYTES_RANGE: RangeInclusive<u64> = 1024..=64 * 1024 * 1024;

/// Range of `limits.answer_tokens`.
pub const ANSWER_TOKENS_RANGE: RangeInclusive<u64> = 1..=1_000_000;

/// SHA-256 of the empty key.
const EMPTY_KEY_SHA256: &str = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

/// A fault of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// Path of the faulty value, such as `classes[2].end_ms`; `.` is the whole file.
    pub path: Arc<str>,
    /// Description of the fault and of the expected value.
    pub reason: Arc<str>,
}

impl Fault {
    /// Creates a fault.
    pub fn new(path: impl Into<Arc<str>>, reason: impl Into<Arc<str>>) -> Self {
        Self {
            path: path.into(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// Parses and checks a configuration file.
///
/// # Errors
/// Returns all faults found. If the text is not JSON of the expected structure, only the first
/// fault is returned.
pub fn parse(text: &str) -> Result<FleetConfig, Vec<Fault>> {
    if text.len() > MAX_CONFIG_BYTES {
        let reason = format!(
            "has {} bytes; at most {MAX_CONFIG_BYTES} are taken",
            text.len()
        );
        return Err(vec![Fault::new(".", reason)]);
    }
    let config = decode(text).map_err(|fault| vec![fault])?;
    let faults = check(&config);
    if faults.is_empty() {
        return Ok(config);
    }
    Err(faults)
}

/// Decodes a configuration without checking it.
///
/// # Errors
/// Returns the first place where the text is not JSON of the expected structure.
pub fn decode(text: &str) -> Result<FleetConfig, Fault> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let config = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| Fault::new(error.path().to_string(), error.inner().to_string()))?;
    let rest = deserializer.end();
    rest.map_err(|error| Fault::new(".", error.to_string()))?;
    Ok(config)
}

/// Checks a configuration and returns its faults. A configuration without faults may be put in
/// force.
pub fn check(config: &FleetConfig) -> Vec<Fault> {
    let mut faults = Faults::default();
    classes::check(&config.classes, &mut faults);
    check_accounts(&config.accounts, &mut faults);
    check_models(&config.models, &mut faults);
    routes::check(&config.services, &mut faults);
    check_deployments(&config.deployments, &mut faults);
    check_limits(&config.limits, &mut faults);
    faults.list
}

/// Collects the faults found so far.
#[derive(Debug, Default)]
struct Faults {
    list: Vec<Fault>,
}

impl Faults {
    fn add(&mut self, path: impl Into<Arc<str>>, reason: impl Into<Arc<str>>) {
        self.list.push(Fault::new(path, reason));
    }

    /// Adds a fault if a list is too long.
    fn check_count(&mut self, path: &str, count: usize, max: usize) {
        if count > max {
            self.add(
                path,
                format!("has {count} entries; at most {max} are taken"),
            );
        }
    }

    /// Adds a fault if a number is out of its range.
    fn check_range(&mut self, path: impl Into<Arc<str>>, value: u64, range: RangeInclusive<u64>) {
        if !range.contains(&value) {
            let (first, last) = range.into_inner();
            self.add(path, format!("is {value}; must be from {first} to {last}"));
        }
    }
}

/// Finds values that an earlier entry also has. It takes one pass, for lists of thousands of
/// entries.
#[derive(Debug, Default)]
struct Duplicates<'a> {
    seen: HashMap<&'a str, usize>,
}

impl<'a> Duplicates<'a> {
    /// Returns the index of the earlier entry with the same value.
    fn earlier_index(&mut self, value: &'a str, index: usize) -> Option<usize> {
        let first = *self.seen.entry(value).or_insert(index);
        (first != index).then_some(first)
    }
}

fn check_accounts(accounts: &[Account], faults: &mut Faults) {
    faults.check_count("accounts", accounts.len(), MAX_ACCOUNTS);
    let mut names = Duplicates::default();
    let mut keys = Duplicates::default();
    for (i, account) in accounts.iter().enumerate() {
        let path = format!("accounts[{i}]");
        names::check(
            &path,
            "accounts",
            account.name.as_str(),
            i,
            &mut names,
            faults,
        );
        check_key(&path, &account.key_sha256, faults);
        if let Some(first) = keys.earlier_index(&account.key_sha256, i) {
            let reason = format!("is the key of accounts[{first}] too; a key names one account");
            faults.add(format!("{path}.key_sha256"), reason);
        }
    }
}

fn check_key(path: &str, key_sha256: &str, faults: &mut Faults) {
    let is_digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let path = format!("{path}.key_sha256");
    if key_sha256.len() != 64 || !key_sha256.bytes().all(is_digit) {
        faults.add(path, "must be 64 lower-case hexadecimal digits");
    } else if key_sha256 == EMPTY_KEY_SHA256 {
        faults.add(path, "is the hash of the empty key");
    }
}

fn check_models(models: &[Model], faults: &mut Faults) {
    faults.check_count("models", models.len(), MAX_LIST_ENTRIES);
    let mut seen = Duplicates::default();
    for (i, model) in models.iter().enumerate() {
        let path = format!("models[{i}]");
        names::check_model(&path, model.name.as_str(), i, &mut seen, faults);
        faults.check_range(format!("{path}.version"), model.version, 1..=u64::MAX);
    }
}

fn check_deployments(deployments: &[Deployment], faults: &mut Faults) {
    faults.check_count("deployments", deployments.len(), MAX_LIST_ENTRIES);
    let mut seen = Duplicates::default();
    for (i, deployment) in deployments.iter().enumerate() {
        let path = format!("deployments[{i}]");
        names::check(
            &path,
            "deployments",
            deployment.name.as_str(),
            i,
            &mut seen,
            faults,
        );
    }
}

fn check_limits(limits: &Limits, faults: &mut Faults) {
    faults.check_range("limits.body_bytes", limits.body_bytes.0, BODY_BYTES_RANGE);
    faults.check_range(
        "limits.answer_tokens",
        limits.answer_tokens.0,
        ANSWER_TOKENS_RANGE,
    );
}
