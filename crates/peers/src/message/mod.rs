//! The messages between nodes.
//!
//! Invariants: an older version ignores fields that a newer one added; a call of an unknown kind is
//! answered with an error, never with a crash.

use bluebell_base::prelude::*;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// A node's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeCard {
    /// The name of the node's VM.
    pub name: VmName,
    /// The current run of the node's process.
    pub incarnation: Incarnation,
    /// The address of the node's peer interface.
    pub address: Address,
    /// The failure domain of the node.
    pub domain: DomainName,
    /// The version of the configuration in force at the node.
    pub config: ConfigVersion,
    /// True if the node is stopping and accepts no new work.
    pub leaving: bool,
}

/// The identity of an idempotency key: a hash of the client account and the key.
///
/// It is sent as 32 hexadecimal digits, because JSON numbers of 128 bits can't be decoded into a
/// tagged enum.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey(pub u128);

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for ClaimKey {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let key = u128::from_str_radix(text, 16).map(Self);
        match key {
            // Only the printed form is accepted, so that each key has exactly one text.
            Ok(key) if key.to_string() == text => Ok(key),
            _ => Err(ParseError::new("ClaimKey", text)),
        }
    }
}

impl Serialize for ClaimKey {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ClaimKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A call that claims a key for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCall {
    /// The key.
    pub key: ClaimKey,
    /// A hash of the work to run, which distinguishes a retry from another use of the key.
    pub fingerprint: u64,
    /// The request that claims the key.
    pub request: RequestId,
}

/// The state of the request that holds a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request holds the key and may have run.
    Pending,
    /// The request ran.
    Ran,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "claim", rename_all = "snake_case")]
pub enum ClaimAnswer {
    /// The request holds the key and may run, once.
    Granted,
    /// Another request holds the key.
    Held {
        /// The request that holds the key.
        by: RequestId,
        /// The state of the request.
        state: ClaimState,
        /// True if both requests have the same fingerprint.
        same: bool,
    },
}

/// The outcome of a request that claimed a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settlement {
    /// The request ran, so the key can't be claimed again.
    Ran,
    /// The request certainly did not run, so the key can be claimed again.
    NotRun,
}

/// A call that settles a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleCall {
    /// The key.
    pub key: ClaimKey,
    /// The request that holds the key.
    pub request: RequestId,
    /// The outcome of the request.
    pub settlement: Settlement,
}

/// The state of a request as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// The request was not sent to an upstream yet.
    Queued,
    /// The request was sent to an upstream.
    Running,
    /// The request ended with a complete answer.
    Finished,
    /// The request ended without a complete answer.
    Failed,
}

impl RequestState {
    /// Returns true if the request has ended.
    pub fn is_ended(self) -> bool {
        matches!(self, Self::Finished | Self::Failed)
    }
}

/// A report on a request by the node that admitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    /// The request.
    pub request: RequestId,
    /// The account that made the request. Other accounts receive "not found".
    pub account: AccountName,
    /// The state of the request.
    pub state: RequestState,
    /// The current verdict.
    pub verdict: Verdict,
    /// The number of events delivered so far.
    pub events: u64,
    /// The upstream that runs the request. `None` if it was not sent to one yet.
    pub upstream: Option<UpstreamName>,
    /// The number of the attempt at that upstream.
    pub attempt: AttemptNo,
}

/// A call from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "snake_case")]
pub enum PeerCall {
    /// Checks that the peer is alive. Sends the caller's card and the upstreams that it knows to be
    /// leaving.
    Probe {
        /// The caller's card.
        card: NodeCard,
        /// The upstreams that recently refused work because they are leaving.
        leaving: Vec<UpstreamName>,
    },
    /// Claims an idempotency key. It is sent to the owner of the key's shard.
    Claim(ClaimCall),
    /// Settles a claim.
    Settle(SettleCall),
    /// Requests the configuration if the peer's one is newer than the caller's.
    Config {
        /// The version of the caller's configuration.
        have: ConfigVersion,
    },
    /// Requests a report on a request.
    Request {
        /// The request.
        request: RequestId,
    },
}

/// The answer to a [`PeerCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum PeerAnswer {
    /// The answer to `Probe`.
    Probe {
        /// The answering node's card.
        card: NodeCard,
        /// The upstreams that recently refused the answering node's work because they are leaving.
        leaving: Vec<UpstreamName>,
    },
    /// The answer to `Claim`.
    Claim(ClaimAnswer),
    /// The answer to `Settle`.
    Settled,
    /// The answer to `Config`.
    Config {
        /// The version in force at the answering node.
        version: ConfigVersion,
        /// The text of the configuration. `None` if the version isn't newer than the caller's.
        body: Option<Arc<str>>,
    },
    /// The answer to `Request`.
    Request {
        /// The report. `None` if the answering node doesn't know the request.
        report: Option<RequestReport>,
    },
}
