//! The JSON types of the callers' interface, with the fields that the load generator uses.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The data of the last event of a complete answer.
pub const DONE: &str = "[DONE]";

/// The body of `POST /v1/completions`.
#[derive(Serialize)]
pub struct CompletionBody<'a> {
    /// The model's name.
    pub model: &'a str,
    /// The name of the class of work.
    pub class: &'a str,
    /// The prompt's text.
    pub prompt: &'a str,
    /// The maximum number of answer tokens.
    pub max_tokens: u64,
    /// True if the answer is streamed as events.
    pub stream: bool,
}

/// One chunk of a streamed answer.
#[derive(Debug, Default, Deserialize)]
pub struct Chunk {
    /// The request's id.
    #[serde(default)]
    pub id: Option<String>,
    /// The pieces of the answer, one per chunk.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// The answer's token count, in the last chunk.
    #[serde(default)]
    pub usage: Option<Usage>,
    /// The failure, if the stream ends with one.
    #[serde(default)]
    pub error: Option<ErrorBody>,
}

/// One piece of an answer.
#[derive(Debug, Default, Deserialize)]
pub struct Choice {
    /// The text of the piece.
    #[serde(default)]
    pub text: Option<String>,
}

/// The token count of a complete answer.
#[derive(Debug, Deserialize)]
pub struct Usage {
    /// The number of tokens in the answer.
    pub completion_tokens: u64,
}

/// The body of an answer with an error status.
#[derive(Debug, Deserialize)]
pub struct ErrorAnswer {
    /// The failure.
    pub error: ErrorBody,
}

/// A failure as reported to callers.
#[derive(Clone, Debug, Deserialize)]
pub struct ErrorBody {
    /// The verdict on whether the request ran.
    #[serde(default)]
    pub verdict: Option<Verdict>,
    /// The kind of failure.
    #[serde(default)]
    pub kind: Option<ErrorKind>,
    /// The error message.
    #[serde(default)]
    pub message: Option<String>,
    /// The request's id, if one was assigned.
    #[serde(default)]
    pub request: Option<String>,
}
