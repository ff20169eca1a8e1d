//! A client of the administration API.

use crate::args::Ctl;
use crate::outcome::CommandError;
use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use std::time::Duration;
use ureq::Body;
use ureq::http::Response;

/// The default address of the administration API.
const DEFAULT_ADDRESS: &str = "127.0.0.1:8081";

/// Names of environment variables.
const ADDRESS_ENV: &str = "BLUEBELL_ADMIN_ADDRESS";
const CREDENTIAL_ENV: &str = "BLUEBELL_ADMIN_CREDENTIAL";

/// The status of a publication that came too late.
const CONFLICT: u16 = 409;

/// The timeout of a call. A publication waits for the log.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// A configuration with its version.
#[derive(Debug, Deserialize, Serialize)]
pub struct ConfigAnswer {
    /// The version.
    pub version: ConfigVersion,
    /// The configuration.
    pub config: Box<RawValue>,
}

/// A publication.
#[derive(Serialize)]
pub struct Publication {
    /// The version it is based on.
    pub base: ConfigVersion,
    /// The configuration.
    pub config: Box<RawValue>,
}

/// The administration API of one node.
pub struct Admin {
    agent: ureq::Agent,
    address: Address,
    credential: Arc<str>,
}

impl Admin {
    /// Reads address and credential from flags, then from the environment.
    ///
    /// # Errors
    /// A usage error that names everything missing or wrong.
    pub fn open(ctl: &Ctl) -> Result<Self, CommandError> {
        let mut faults = Vec::new();
        let address = ctl.admin_address.clone().or_else(|| env(ADDRESS_ENV));
        let address = address.unwrap_or_else(|| DEFAULT_ADDRESS.into());
        if address.parse::<std::net::SocketAddr>().is_err() {
            faults.push(format!(
                "--admin-address: {address:?} is not of the form ip:port"
            ));
        }
        let credential = ctl.admin_credential.clone().or_else(|| env(CREDENTIAL_ENV));
        if credential.is_none() {
            faults.push(format!(
                "--admin-credential (or {CREDENTIAL_ENV}) is needed"
            ));
        }
        let Some(credential) = credential.filter(|_| faults.is_empty()) else {
            return Err(CommandError::usage(faults.join("\n")));
        };
        Ok(Self::at(Address(address.into()), credential.into()))
    }

    /// The administration API at an address.
    pub fn at(address: Address, credential: Arc<str>) -> Self {
        Self {
            agent: agent(CALL_TIMEOUT),
            address,
            credential,
        }
    }

    /// Gets a path's JSON.
    pub fn get(&self, path: &str) -> Result<String, CommandError> {
        let request = self.agent.get(self.url(path));
        let answer = request.header("authorization", self.bearer()).call();
        self.text(answer)
    }

    /// Posts JSON to a path; with an empty body where there is nothing to say.
    pub fn post(&self, path: &str, body: &str) -> Result<String, CommandError> {
        let request = self.agent.post(self.url(path));
        let request = request.header("content-type", "application/json");
        let answer = request.header("authorization", self.bearer()).send(body);
        self.text(answer)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.credential)
    }

    fn text(&self, answer: Result<Response<Body>, ureq::Error>) -> Result<String, CommandError> {
        let failed = |error| CommandError::failed(format!("{}: {error}", self.address));
        let mut answer = answer.map_err(failed)?;
        let text = answer.body_mut().read_to_string().map_err(failed)?;
        let status = answer.status().as_u16();
        // A conflict is an answer to a publication like an acceptance, not an error of the node.
        if answer.status().is_success() || is_conflict(status, &text) {
            return Ok(text);
        }
        Err(CommandError::failed(error_text(status, &text)))
    }
}

/// A client for the pages of nodes.
pub fn agent(timeout: Duration) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .timeout_global(Some(timeout));
    config.build().new_agent()
}

fn env(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Returns true if an answer reports that another publication came first.
fn is_conflict(status: u16, text: &str) -> bool {
    let body: Value = serde_json::from_str(text).unwrap_or_default();
    status == CONFLICT && body["result"] == "conflict"
}

/// An error answer as text: its message, its verdict, and the faults of a configuration.
fn error_text(status: u16, text: &str) -> String {
    let Ok(body) = serde_json::from_str::<Value>(text) else {
        return format!("the node answered {status}: {text}");
    };
    let message = body["error"]["message"].as_str().unwrap_or("no message");
    let verdict = body["error"]["verdict"].as_str().unwrap_or("no verdict");
    let mut lines = vec![format!("the node answered {status}: {message} ({verdict})")];
    for fault in body["faults"].as_array().into_iter().flatten() {
        let path = fault["path"].as_str().unwrap_or_default();
        let reason = fault["reason"].as_str().unwrap_or_default();
        lines.push(format!("{path}: {reason}"));
    }
    lines.join("\n")
}
