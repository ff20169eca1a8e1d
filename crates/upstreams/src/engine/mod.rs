//! The engine port: streams, reservations, cache events, load and orders of one model engine.
//!
//! Terms: a *priority* orders waiting and running work on an engine, larger first; an *order*
//! changes what an engine serves and carries a fencing number, which some engines check.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use stakker::{Core, Fwd, Ret};

/// An engine-side priority; larger is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub i32);

/// What an engine serves as.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Lends its memory to groups; takes no streams of its own.
    Member,
}

/// A call to begin an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// The request.
    pub request: RequestId,
    /// Which attempt at it this is.
    pub attempt: AttemptNo,
    /// Who owns the stream; only the owner's cancel is obeyed.
    pub owner: Incarnation,
    /// The model to run.
    pub model: ModelName,
    /// The whole prompt.
    pub prompt: Arc<str>,
    /// The most tokens to generate.
    pub max_tokens: Tokens,
    /// The order among the engine's work.
    pub priority: Priority,
    /// How long the engine keeps the stream with no reader before it frees the memory.
    pub hold_ms: SpanMs,
    /// When the engine gives up by itself, counted from the call.
    pub deadline_ms: SpanMs,
    /// Text already delivered by an earlier attempt; generation goes on behind it and events are
    /// numbered from its count of events on.
    #[serde(default)]
    pub continue_from: Vec<Arc<str>>,
    /// The reservation under which the other engines of a group hold memory, if it is a group.
    #[serde(default)]
    pub group: Option<ReservationId>,
    /// How much the other engines of the group hold; this one holds the rest.
    #[serde(default)]
    pub group_kv_tokens: Tokens,
}

/// A call to read a running or finished stream from an event on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The request.
    pub request: RequestId,
    /// The attempt whose stream it is.
    pub attempt: AttemptNo,
    /// Who owns the stream from now on.
    pub owner: Incarnation,
    /// The first event wanted.
    pub from: EventSeq,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended it.
    Stop,
    /// The token limit was reached.
    Length,
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// The request it belongs to.
    pub request: RequestId,
    /// The attempt it belongs to.
    pub attempt: AttemptNo,
    /// What happened.
    pub body: EventBody,
}

/// What an event says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum EventBody {
    /// The engine took the work; from here on it may have run.
    Accepted {
        /// The prompt's length by the engine's tokenizer.
        prompt_tokens: Tokens,
        /// How many of them a cached prefix covers.
        cached_tokens: Tokens,
        /// The engine's load at that moment.
        load: LoadReport,
    },
    /// One token (or piece) of the answer.
    Token {
        /// Its position in the answer.
        seq: EventSeq,
        /// Its text.
        text: Arc<str>,
    },
    /// The answer is whole.
    Finished {
        /// The number of token events of the answer.
        count: u64,
        /// Why it ended.
        reason: FinishReason,
        /// The engine's load at that moment.
        load: LoadReport,
    },
    /// The stream ended without an answer; also made by the client where the connection breaks.
    Failed {
        /// Why, with the verdict.
        error: Error,
    },
}

/// What an engine reports of its load; late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Prompt tokens admitted or waiting whose prefill is not done.
    pub prefill_backlog_tokens: Tokens,
    /// Streams that are generating.
    pub decoding: u32,
    /// Requests waiting for memory or a slot.
    pub waiting: u32,
    /// KV memory in use, in tokens.
    pub kv_used_tokens: Tokens,
    /// KV memory in all, in tokens.
    pub kv_capacity_tokens: Tokens,
    /// KV memory reserved for groups, in tokens; part of the used one.
    pub kv_reserved_tokens: Tokens,
    /// The duration of the last step.
    pub step_ms: f64,
    /// How old the report was when sent.
    pub age_ms: SpanMs,
    /// Whether the engine is leaving and takes no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// What an engine knows of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum StreamState {
    /// It never saw the request, or has forgotten it; not a proof that it did not run.
    Unknown,
    /// It refused or dropped the request before any work.
    NotRun,
    /// It is waiting or running.
    Running {
        /// The attempt in progress.
        attempt: AttemptNo,
        /// Events produced so far.
        events: u64,
    },
    /// It is whole and can still be read.
    Finished {
        /// The attempt that finished.
        attempt: AttemptNo,
        /// Events produced.
        events: u64,
    },
    /// It was cancelled or expired.
    Ended,
}

/// The answer to a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelAnswer {
    /// It was cancelled before any work was done.
    NotRun,
    /// It was cancelled while running, or had finished.
    Ran,
    /// The caller does not own the stream; nothing was done.
    NotOwner,
    /// The engine does not know the stream; a later arrival of its call will be refused.
    Unknown,
}

/// What a hold is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldKind {
    /// A stream's KV.
    Stream,
    /// A member's part of a group.
    Reservation,
    /// Exported KV waiting to be imported.
    Export,
}

/// Engine memory kept for an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// What it is for.
    pub kind: HoldKind,
    /// The request it serves.
    pub request: RequestId,
    /// The reservation, for `HoldKind::Reservation`.
    #[serde(default)]
    pub reservation: Option<ReservationId>,
    /// Who owns it.
    pub owner: Incarnation,
    /// Its size.
    pub kv_tokens: Tokens,
    /// When it expires unless renewed, counted from the answer.
    pub expires_ms: SpanMs,
}

/// A call to reserve (or renew) memory for a group; all or nothing on this engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// The reservation, the same on every engine of the group.
    pub reservation: ReservationId,
    /// The request it serves.
    pub request: RequestId,
    /// Who owns it.
    pub owner: Incarnation,
    /// How much is wanted here.
    pub kv_tokens: Tokens,
    /// How long it is kept unless renewed.
    pub hold_ms: SpanMs,
}

/// An order that changes what an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load this version of the model (or adapter) and serve it.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// Change role.
    SetRole {
        /// The new role.
        role: Role,
    },
    /// Free a hold of a dead owner.
    Reclaim {
        /// The owner it must still have.
        owner: Incarnation,
        /// The request it serves.
        request: RequestId,
    },
}

/// The answer to an order, and the state read back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Whether it was carried out; `false` where a newer fencing number was seen.
    pub accepted: bool,
    /// The newest fencing number seen, by engines that check.
    pub fencing: Fencing,
    /// The role after the order.
    pub role: Role,
    /// The models and versions served after the order.
    pub models: Vec<LoadedModel>,
}

/// A model version that an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// The version served.
    pub version: u64,
}

/// Cache events from a position on; late, with gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The position to ask from next.
    pub next: u64,
    /// Whether events before the first one given were lost.
    pub gap: bool,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Hash of the prompt up to the end of the block.
    pub prefix_hash: u64,
    /// The prefix's length.
    pub tokens: Tokens,
    /// Whether it was stored (or evicted).
    pub stored: bool,
}

/// One model engine.
pub trait EnginePort {
    /// Begins an answer; its events go to `events`, the last one `Finished` or `Failed`.
    fn generate(&self, core: &mut Core, call: Generate, events: Fwd<Event>);

    /// Reads a stream from an event on; its events go to `events`, as for `generate`.
    fn resume(&self, core: &mut Core, call: Resume, events: Fwd<Event>);

    /// Cancels an attempt, where `owner` still owns it.
    fn cancel(
        &self,
        core: &mut Core,
        request: RequestId,
        attempt: AttemptNo,
        owner: Incarnation,
        ret: Ret<Result<CancelAnswer, Error>>,
    );

    /// Looks a request up.
    fn lookup(&self, core: &mut Core, request: RequestId, ret: Ret<Result<StreamState, Error>>);

    /// Asks for the load report.
    fn load(&self, core: &mut Core, ret: Ret<Result<LoadReport, Error>>);

    /// Asks for the cache events from a position on.
    fn cache_events(&self, core: &mut Core, from: u64, ret: Ret<Result<CacheEvents, Error>>);

    /// Reserves or renews memory for a group.
    fn reserve(&self, core: &mut Core, call: Reserve, ret: Ret<Result<(), Error>>);

    /// Releases a reservation; releasing an unknown one succeeds.
    fn release(
        &self,
        core: &mut Core,
        reservation: ReservationId,
        owner: Incarnation,
        ret: Ret<Result<(), Error>>,
    );

    /// Lists the memory held, with owners.
    fn holds(&self, core: &mut Core, ret: Ret<Result<Vec<Hold>, Error>>);

    /// Carries out an order under a fencing number.
    fn order(
        &self,
        core: &mut Core,
        order: EngineOrder,
        fencing: Fencing,
        ret: Ret<Result<OrderAnswer, Error>>,
    );

    /// Reads the role and models back without changing them.
    fn state(&self, core: &mut Core, ret: Ret<Result<OrderAnswer, Error>>);

    /// Exports a finished or running stream's KV to another engine, which imports it.
    fn transfer(
        &self,
        core: &mut Core,
        request: RequestId,
        to: &Address,
        ret: Ret<Result<Tokens, Error>>,
    );
}
