//! The check of a configuration: every fault, with its path and reason.

use crate::fleet::FleetConfig;
use std::fmt;
use std::sync::Arc;

/// One fault of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// Where, such as `classes[2].end_ms`.
    pub path: Arc<str>,
    /// What is wrong and what is wanted.
    pub reason: Arc<str>,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

/// Parses and checks a configuration file.
///
/// # Errors
/// All faults found; a text that is not JSON of the right shape gives the one at its position.
pub fn parse(text: &str) -> Result<FleetConfig, Vec<Fault>> {
    let config: FleetConfig = serde_json::from_str(text).map_err(|error| {
        vec![Fault {
            path: format!("line {} column {}", error.line(), error.column()).into(),
            reason: error.to_string().into(),
        }]
    })?;
    let faults = check(&config);
    if faults.is_empty() {
        return Ok(config);
    }
    Err(faults)
}

/// Checks a configuration; empty where it may come into force.
pub fn check(config: &FleetConfig) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut fault = |path: String, reason: &str| {
        faults.push(Fault {
            path: path.into(),
            reason: reason.into(),
        })
    };
    if config.classes.is_empty() {
        fault("classes".into(), "at least one class of work is needed");
    }
    for (i, class) in config.classes.iter().enumerate() {
        if config.classes[..i].iter().any(|c| c.name == class.name) {
            fault(format!("classes[{i}].name"), "the name is used twice");
        }
        if class.end_ms.0 == 0 {
            fault(format!("classes[{i}].end_ms"), "must be more than 0 ms");
        }
        if class.first_token.is_empty() {
            fault(format!("classes[{i}].first_token"), "needs one target");
        }
    }
    for (i, account) in config.accounts.iter().enumerate() {
        if config.accounts[..i].iter().any(|a| a.name == account.name) {
            fault(format!("accounts[{i}].name"), "the name is used twice");
        }
        let hex = account.key_sha256.len() == 64
            && account.key_sha256.bytes().all(|b| b.is_ascii_hexdigit());
        if !hex {
            fault(
                format!("accounts[{i}].key_sha256"),
                "must be 64 hexadecimal digits",
            );
        }
    }
    for (i, model) in config.models.iter().enumerate() {
        if config.models[..i].iter().any(|m| m.name == model.name) {
            fault(format!("models[{i}].name"), "the name is used twice");
        }
    }
    for (i, service) in config.services.iter().enumerate() {
        if !service.prefix.starts_with('/') || service.prefix.starts_with("/v1/") {
            fault(
                format!("services[{i}].prefix"),
                "must begin with / and not with /v1/",
            );
        }
    }
    faults
}
