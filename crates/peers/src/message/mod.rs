//! The messages between nodes.
//!
//! Invariants: fields that a newer version added are ignored by an older one; a call of an
//! unknown kind is answered with an error, never with a crash.

use bluebell_base::prelude::*;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::str::FromStr;

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeCard {
    /// Its VM.
    pub name: VmName,
    /// This run of its process.
    pub incarnation: Incarnation,
    /// Where its peer interface listens.
    pub address: Address,
    /// Its failure domain.
    pub domain: DomainName,
    /// The configuration in force there.
    pub config: ConfigVersion,
    /// Whether it is stopping and takes no new work.
    pub leaving: bool,
}

/// An idempotency key's identity: a hash of the client account and the key.
///
/// It travels as 32 hex digits: JSON numbers of 128 bits do not survive decoding into a tagged
/// enum.
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
            // Only the printed form is accepted, so that a text and its key are one to one.
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

/// A call to claim a key for one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimCall {
    /// The key.
    pub key: ClaimKey,
    /// A hash of what is to be run, to tell a retry from another use of the key.
    pub fingerprint: u64,
    /// The request that wants to run.
    pub request: RequestId,
}

/// How far the request that holds a key has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It holds the key; it may have run.
    Pending,
    /// It ran.
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
        /// That request.
        by: RequestId,
        /// How far it has come.
        state: ClaimState,
        /// Whether the fingerprint is the same.
        same: bool,
    },
}

/// What became of a claimed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Settlement {
    /// It ran; the key is used up.
    Ran,
    /// It certainly did not run; the key is free again.
    NotRun,
}

/// A call to settle a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleCall {
    /// The key.
    pub key: ClaimKey,
    /// The request that holds it.
    pub request: RequestId,
    /// What became of it.
    pub settlement: Settlement,
}

/// How far a request has come, as a caller reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestState {
    /// No upstream has it.
    Queued,
    /// An upstream has it.
    Running,
    /// It ended with a whole answer.
    Finished,
    /// It ended without one.
    Failed,
}

impl RequestState {
    /// Whether it has ended.
    pub fn is_ended(self) -> bool {
        matches!(self, Self::Finished | Self::Failed)
    }
}

/// What a node knows of a request it admitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    /// The request.
    pub request: RequestId,
    /// Whose it is; others get "not found".
    pub account: AccountName,
    /// How far it has come.
    pub state: RequestState,
    /// The verdict so far.
    pub verdict: Verdict,
    /// Events delivered so far.
    pub events: u64,
    /// The upstream that runs it, with the attempt, where it has been sent to one.
    pub upstream: Option<UpstreamName>,
    /// That attempt.
    pub attempt: AttemptNo,
}

/// A call from one node to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "call", rename_all = "snake_case")]
pub enum PeerCall {
    /// Are you there? Tells the caller's card and what it knows of leaving upstreams.
    Probe {
        /// The caller.
        card: NodeCard,
        /// Upstreams that lately refused work because they leave.
        leaving: Vec<UpstreamName>,
    },
    /// Claim an idempotency key; for the owner of its shard.
    Claim(ClaimCall),
    /// Settle a claim.
    Settle(SettleCall),
    /// Give me the configuration if yours is newer than this version.
    Config {
        /// The caller's version.
        have: ConfigVersion,
    },
    /// What do you know of this request?
    Request {
        /// The request.
        request: RequestId,
    },
}

/// The answer to a [`PeerCall`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum PeerAnswer {
    /// To `Probe`.
    Probe {
        /// The answering node.
        card: NodeCard,
        /// Upstreams that lately refused work there because they leave.
        leaving: Vec<UpstreamName>,
    },
    /// To `Claim`.
    Claim(ClaimAnswer),
    /// To `Settle`.
    Settled,
    /// To `Config`.
    Config {
        /// The version in force there.
        version: ConfigVersion,
        /// Its text, where it is newer than the asked one.
        body: Option<Arc<str>>,
    },
    /// To `Request`; none where it is not known there.
    Request {
        /// What is known.
        report: Option<RequestReport>,
    },
}
