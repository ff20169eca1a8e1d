//! The error type with its verdict: every failure says whether the request may have run upstream.
//!
//! Invariants: `NotRun` is used only if it is certain that no upstream has started the work or can
//! still start it; in case of doubt the verdict is `MayHaveRun`.

use crate::text::ParseError;
use crate::units::SpanMs;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Statement about the execution of a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The request has certainly not run and will not run.
    NotRun,
    /// The request may have run, or may still be running. This cannot be determined.
    MayHaveRun,
    /// The request has run. Its answer, or a part of it, is lost or withheld.
    Ran,
}

impl Verdict {
    /// Returns the text used in answers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::NotRun => "not_run",
            Verdict::MayHaveRun => "may_have_run",
            Verdict::Ran => "ran",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        match text {
            "not_run" => Ok(Verdict::NotRun),
            "may_have_run" => Ok(Verdict::MayHaveRun),
            "ran" => Ok(Verdict::Ran),
            _ => Err(ParseError::new("Verdict", text)),
        }
    }
}

/// Kind of a failure. It determines the status code of the answer to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed or names something unknown (400).
    Invalid,
    /// The credential is missing or wrong (401).
    Unauthenticated,
    /// The credential does not allow the request (403).
    Forbidden,
    /// The requested resource does not exist (404).
    NotFound,
    /// The request conflicts with another operation or with an earlier use of the key (409).
    Conflict,
    /// The body is over the limit (413).
    TooLarge,
    /// The request was refused for lack of capacity and may be retried later (429).
    Overloaded,
    /// An upstream sent a wrong answer, or the connection to it broke (502).
    Upstream,
    /// The node or a service that it needs is currently unavailable (503).
    Unavailable,
    /// The deadline has passed (504).
    DeadlineExceeded,
    /// The caller disconnected or cancelled the request (499).
    Cancelled,
    /// A fault in the node itself (500).
    Internal,
}

/// A failure and its verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message} ({verdict})")]
pub struct Error {
    /// Statement whether the request may have run.
    pub verdict: Verdict,
    /// Kind of the failure.
    pub kind: ErrorKind,
    /// Description of the failure for people; contains no secret.
    pub message: Arc<str>,
    /// Time after which to retry, if a retry may help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<SpanMs>,
}

impl Error {
    /// Creates a failure of a request that certainly has not run.
    pub fn not_run(kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self::new(Verdict::NotRun, kind, message)
    }

    /// Creates a failure of a request that may have run.
    pub fn may_have_run(kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self::new(Verdict::MayHaveRun, kind, message)
    }

    /// Creates a failure of a request that is known to have run.
    pub fn ran(kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self::new(Verdict::Ran, kind, message)
    }

    /// Creates a failure with the given verdict.
    pub fn new(verdict: Verdict, kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self {
            verdict,
            kind,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// Returns the failure with a retry time.
    pub fn retry_after(mut self, span_ms: SpanMs) -> Self {
        self.retry_after_ms = Some(span_ms);
        self
    }
}
