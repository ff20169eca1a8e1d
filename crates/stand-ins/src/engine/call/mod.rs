//! The data that go into and come out of the engine model; none of them holds a prompt's text.

use bluebell_base::prelude::*;
use bluebell_upstreams::prompt::{self, PrefixHash};
use bluebell_upstreams::{FinishReason, Generate, LoadReport, Priority};

/// A call to begin an answer, with the prompt reduced to lengths and hashes.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelCall {
    /// The request.
    pub request: RequestId,
    /// Which attempt at it this is.
    pub attempt: AttemptNo,
    /// Who owns the stream.
    pub owner: Incarnation,
    /// The model to run.
    pub model: ModelName,
    /// The prompt's length.
    pub prompt_tokens: Tokens,
    /// The prompt's hash; decides the answer.
    pub prompt_hash: u64,
    /// The prompt's beginnings, by ascending length.
    pub prefixes: Vec<PrefixHash>,
    /// The most tokens to generate.
    pub max_tokens: Tokens,
    /// The order among the engine's work.
    pub priority: Priority,
    /// How long memory is kept with no reader.
    pub hold_ms: SpanMs,
    /// When the engine gives up, counted from the call.
    pub deadline_ms: SpanMs,
    /// Events of the answer that an earlier attempt delivered already.
    pub skip_events: u64,
    /// The reservation that this engine made for the group, which the stream takes over.
    pub group: Option<ReservationId>,
    /// KV memory that other engines of the group lend, in tokens.
    pub lent_tokens: Tokens,
}

impl ModelCall {
    /// Reduces a call with text; the prefixes have blocks of `block_tokens`.
    pub fn from_generate(call: &Generate, block_tokens: u64) -> Self {
        Self {
            request: call.request,
            attempt: call.attempt,
            owner: call.owner,
            model: call.model.clone(),
            prompt_tokens: prompt::count_tokens(&call.prompt),
            prompt_hash: prompt::prompt_hash(&call.prompt),
            prefixes: prompt::prefix_hashes(&call.prompt, block_tokens),
            max_tokens: call.max_tokens,
            priority: call.priority,
            hold_ms: call.hold_ms,
            deadline_ms: call.deadline_ms,
            skip_events: call.continue_from.len() as u64,
            group: call.group,
            lent_tokens: call.group_kv_tokens,
        }
    }
}

/// What the model answers to a call that begins or resumes an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// New work; it waits for memory and a slot, or runs.
    Admitted(ReaderId),
    /// The same attempt is known already; its events are read, nothing runs again.
    Attached(ReaderId),
}

impl Admission {
    /// The reader that the call opened.
    pub fn reader(self) -> ReaderId {
        match self {
            Self::Admitted(reader) | Self::Attached(reader) => reader,
        }
    }
}

bluebell_base::define_id! {
    /// One reader of a stream; a later reader of the same stream takes its place.
    ReaderId(u64) = "reader";
}

/// Something that happened to a stream at an instant.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelEvent {
    /// When, in microseconds of the model's clock.
    pub at_us: u64,
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// What happened.
    pub kind: ModelEventKind,
}

/// What happened to a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum ModelEventKind {
    /// It got its memory and a slot.
    Started {
        /// Prompt tokens that the prefix cache covers.
        cached_tokens: Tokens,
    },
    /// A token of the answer is there.
    Token(EventSeq),
    /// The answer is whole.
    Finished {
        /// Its number of token events.
        count: u64,
    },
    /// It ended without a whole answer.
    Failed(Error),
}

/// What a reader can know of a stream at an instant.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamView {
    /// The prompt's length.
    pub prompt_tokens: Tokens,
    /// The prompt's hash.
    pub prompt_hash: u64,
    /// Prompt tokens that the prefix cache covered when the call came.
    pub cached_tokens: Tokens,
    /// The load when the call came.
    pub load: LoadReport,
    /// Events of the answer that exist, those of earlier attempts included.
    pub produced: u64,
    /// How it ended, where it has.
    pub ending: Option<Ending>,
}

/// How a stream ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// With a whole answer of that many events.
    Finished(u64, FinishReason),
    /// Without one.
    Failed(Error),
}

/// What an engine has computed and holds.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EngineStats {
    /// Requests whose work was begun at least once.
    pub requests_run: u64,
    /// Requests whose work was begun more than once.
    pub repeated: Vec<RepeatedRun>,
    /// Prompt and answer tokens computed.
    pub computed_tokens: Tokens,
    /// Of them, those of streams that ended without a whole answer.
    pub wasted_tokens: Tokens,
    /// Prompt tokens taken from the prefix cache.
    pub cached_tokens: Tokens,
    /// KV memory held by streams, reservations and exports.
    pub held_tokens: Tokens,
    /// The most KV memory ever held.
    pub peak_held_tokens: Tokens,
    /// KV memory of the prefix cache that nobody holds.
    pub reclaimable_tokens: Tokens,
    /// Streams that run or wait.
    pub open_streams: u64,
    /// Whole answers given.
    pub finished: u64,
}

/// How often work of a request was begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RepeatedRun {
    /// The request.
    pub request: RequestId,
    /// How often its work was begun.
    pub runs: u32,
}
