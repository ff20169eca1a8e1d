//! The JSON shapes of the callers' interface, as far as load reads and writes them.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The data of the last event of a whole answer.
pub const DONE: &str = "[DONE]";

/// The body of `POST /v1/completions`.
#[derive(Serialize)]
pub struct CompletionBody<'a> {
    /// The model.
    pub model: &'a str,
    /// The class of work.
    pub class: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// The most tokens of the answer.
    pub max_tokens: u64,
    /// Whether the answer comes as events.
    pub stream: bool,
}

/// One chunk of a streamed answer.
#[derive(Debug, Default, Deserialize)]
pub struct Chunk {
    /// The request.
    #[serde(default)]
    pub id: Option<String>,
    /// The pieces; one per chunk.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Counts, in the last chunk.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// The failure, where the stream ends with one.
    #[serde(default)]
    pub error: Option<ErrorBody>,
}

/// One piece of an answer.
#[derive(Debug, Default, Deserialize)]
pub struct Choice {
    /// Its text.
    #[serde(default)]
    pub text: Option<String>,
}

/// Counts of a whole answer.
#[derive(Debug, Deserialize)]
pub struct Usage {
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

/// The body of an answer with an error status.
#[derive(Debug, Deserialize)]
pub struct ErrorAnswer {
    /// The failure.
    pub error: ErrorBody,
}

/// A failure as callers see it.
#[derive(Clone, Debug, Deserialize)]
pub struct ErrorBody {
    /// Whether the request may have run.
    #[serde(default)]
    pub verdict: Option<Verdict>,
    /// What kind of failure it was.
    #[serde(default)]
    pub kind: Option<ErrorKind>,
    /// What happened.
    #[serde(default)]
    pub message: Option<String>,
    /// The request's identity, where it got one.
    #[serde(default)]
    pub request: Option<String>,
}
