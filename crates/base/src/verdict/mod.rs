//! The verdict error: every failure says whether the request may have run upstream.
//!
//! Invariants: `NotRun` is used only where it is certain that no upstream has begun or can still
//! begin the work; whoever is unsure says `MayHaveRun`.

use crate::text::ParseError;
use crate::units::SpanMs;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Whether a request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It is certain that it did not and will not run.
    NotRun,
    /// It may have run, or may still be running; nobody can tell.
    MayHaveRun,
    /// It ran; the answer, or part of it, is lost or withheld.
    Ran,
}

impl Verdict {
    /// The text used in answers and logs.
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

/// What kind of failure it was; decides the status code a caller sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed or names something unknown (400).
    Invalid,
    /// No or a wrong credential (401).
    Unauthenticated,
    /// The credential does not allow this (403).
    Forbidden,
    /// The thing asked for does not exist (404).
    NotFound,
    /// It clashes with another operation or with an earlier use of the key (409).
    Conflict,
    /// The body is over the limit (413).
    TooLarge,
    /// Refused for lack of capacity; come back later (429).
    Overloaded,
    /// An upstream answered wrongly or its connection broke (502).
    Upstream,
    /// The node or a service it needs can't serve now (503).
    Unavailable,
    /// The deadline passed (504).
    DeadlineExceeded,
    /// The caller went away or asked to cancel (499).
    Cancelled,
    /// A fault of the node itself (500).
    Internal,
}

/// A failure with its verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message} ({verdict})")]
pub struct Error {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What kind of failure it was.
    pub kind: ErrorKind,
    /// What happened, for a person; holds no secret.
    pub message: Arc<str>,
    /// When to come back, where that helps.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<SpanMs>,
}

impl Error {
    /// A failure before which nothing can have run.
    pub fn not_run(kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self::new(Verdict::NotRun, kind, message)
    }

    /// A failure after which it is unknown whether the request ran.
    pub fn may_have_run(kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self::new(Verdict::MayHaveRun, kind, message)
    }

    /// A failure of a request that is known to have run.
    pub fn ran(kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self::new(Verdict::Ran, kind, message)
    }

    /// A failure with the verdict given.
    pub fn new(verdict: Verdict, kind: ErrorKind, message: impl Into<Arc<str>>) -> Self {
        Self {
            verdict,
            kind,
            message: message.into(),
            retry_after_ms: None,
        }
    }

    /// The same failure with a time to come back.
    pub fn retry_after(mut self, span_ms: SpanMs) -> Self {
        self.retry_after_ms = Some(span_ms);
        self
    }
}
