//! The engine port: streams, reservations, cache events, load and orders of one model engine.
//!
//! Terms: a *priority* orders waiting and running work on an engine, and larger ones are served
//! first; an *order* changes what an engine serves and carries a fencing number, which some engines
//! check.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use stakker::{Core, Fwd, Ret};

/// A priority on an engine. Larger priorities are served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub i32);

/// The role of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Performs prefill and decode.
    #[default]
    Mixed,
    /// Provides its memory to groups and accepts no streams of its own.
    Member,
}

/// A call that begins an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Generate {
    /// The request.
    pub request: RequestId,
    /// The number of this attempt at the request.
    pub attempt: AttemptNo,
    /// The owner of the stream. Only the owner can cancel it.
    pub owner: Incarnation,
    /// The model to run.
    pub model: ModelName,
    /// The whole prompt.
    pub prompt: Arc<str>,
    /// The maximum number of tokens to generate.
    pub max_tokens: Tokens,
    /// The priority among the engine's work.
    pub priority: Priority,
    /// The time that the engine keeps the stream without a reader before it frees the memory.
    pub hold_ms: SpanMs,
    /// The time after the call at which the engine aborts the work.
    pub deadline_ms: SpanMs,
    /// The text events that an earlier attempt already delivered. Generation continues after them,
    /// and the number of the next event is their count.
    #[serde(default)]
    pub continue_from: Vec<Arc<str>>,
    /// The reservation under which the other engines of a group hold memory. `None` if no group is
    /// used.
    #[serde(default)]
    pub group: Option<ReservationId>,
    /// The memory that the other engines of the group hold, in tokens. This engine holds the rest.
    #[serde(default)]
    pub group_kv_tokens: Tokens,
}

/// A call that reads a running or finished stream from a given event on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    /// The request.
    pub request: RequestId,
    /// The attempt whose stream it is.
    pub attempt: AttemptNo,
    /// The owner of the stream from now on.
    pub owner: Incarnation,
    /// The first event to send.
    pub from: EventSeq,
}

/// The reason for the end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
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
    /// The content of the event.
    pub body: EventBody,
}

/// The content of an event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum EventBody {
    /// The engine accepted the work. From here on it may have run.
    Accepted {
        /// The prompt's length by the engine's tokenizer.
        prompt_tokens: Tokens,
        /// The number of these tokens that a cached prefix covers.
        cached_tokens: Tokens,
        /// The engine's load at that moment.
        load: LoadReport,
    },
    /// One token or other piece of the answer.
    Token {
        /// The position of the event in the answer.
        seq: EventSeq,
        /// The text of the token.
        text: Arc<str>,
    },
    /// The answer is complete.
    Finished {
        /// The number of token events of the answer.
        count: u64,
        /// The reason for the end.
        reason: FinishReason,
        /// The engine's load at that moment.
        load: LoadReport,
    },
    /// The stream ended without a complete answer. The client also generates this event if the
    /// connection breaks.
    Failed {
        /// The error, with its verdict.
        error: Error,
    },
}

/// The load that an engine reports. The report lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of admitted or waiting prompt tokens whose prefill is not done.
    pub prefill_backlog_tokens: Tokens,
    /// The number of streams that are generating.
    pub decoding: u32,
    /// The number of requests that wait for memory or a slot.
    pub waiting: u32,
    /// The KV memory in use, in tokens.
    pub kv_used_tokens: Tokens,
    /// The total KV memory, in tokens.
    pub kv_capacity_tokens: Tokens,
    /// The KV memory reserved for groups, in tokens. It is included in the memory in use.
    pub kv_reserved_tokens: Tokens,
    /// The duration of the last step, in milliseconds.
    pub step_ms: f64,
    /// The age of the report when it was sent.
    pub age_ms: SpanMs,
    /// True if the engine is about to be stopped and accepts no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// The state of a stream as an engine knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum StreamState {
    /// The engine never received the request or has forgotten it. This doesn't prove that the
    /// request did not run.
    Unknown,
    /// The engine refused or dropped the request before any work on it.
    NotRun,
    /// The request is waiting or running.
    Running {
        /// The attempt in progress.
        attempt: AttemptNo,
        /// The number of events produced so far.
        events: u64,
    },
    /// The answer is complete and can still be read.
    Finished {
        /// The attempt that finished.
        attempt: AttemptNo,
        /// The number of events produced.
        events: u64,
    },
    /// The stream was cancelled or has expired.
    Ended,
}

/// The answer to a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelAnswer {
    /// The attempt was cancelled before any work on it.
    NotRun,
    /// The attempt was cancelled while it was running, or it had already finished.
    Ran,
    /// The caller doesn't own the stream. Nothing was changed.
    NotOwner,
    /// The engine doesn't know the stream. It will refuse the call that begins the stream if that
    /// arrives later.
    Unknown,
}

/// The purpose of a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HoldKind {
    /// The KV of a stream.
    Stream,
    /// The part of a group's memory that a member holds.
    Reservation,
    /// Exported KV that waits to be imported.
    Export,
}

/// Engine memory kept for an owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hold {
    /// The purpose of the hold.
    pub kind: HoldKind,
    /// The request it serves.
    pub request: RequestId,
    /// The reservation, if the kind is [`HoldKind::Reservation`].
    #[serde(default)]
    pub reservation: Option<ReservationId>,
    /// The owner.
    pub owner: Incarnation,
    /// The size of the hold, in tokens.
    pub kv_tokens: Tokens,
    /// The time from this answer until the hold expires unless it is renewed.
    pub expires_ms: SpanMs,
}

/// A call that reserves or renews memory for a group. The engine reserves all of it or nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reserve {
    /// The reservation, the same on every engine of the group.
    pub reservation: ReservationId,
    /// The request it serves.
    pub request: RequestId,
    /// The owner.
    pub owner: Incarnation,
    /// The memory to reserve on this engine, in tokens.
    pub kv_tokens: Tokens,
    /// The time that the reservation is kept unless it is renewed.
    pub hold_ms: SpanMs,
}

/// An order that changes what an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "order", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Loads a version of a model or adapter and serves it.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version.
        version: u64,
    },
    /// Changes the role.
    SetRole {
        /// The new role.
        role: Role,
    },
    /// Frees a hold whose owner has ended.
    Reclaim {
        /// The owner. The hold is kept if it has another one by now.
        owner: Incarnation,
        /// The request it serves.
        request: RequestId,
    },
}

/// The answer to an order, with the state after it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// True if the order was carried out. `false` if the engine has already received a larger
    /// fencing number.
    pub accepted: bool,
    /// The largest fencing number received, reported by engines that check it.
    pub fencing: Fencing,
    /// The role after the order.
    pub role: Role,
    /// The models and versions served after the order.
    pub models: Vec<LoadedModel>,
}

/// A model with the version that an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// The version served.
    pub version: u64,
}

/// The cache events from a position on. They arrive late and may have gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The position to request next.
    pub next: u64,
    /// True if events before the first one in `events` were lost.
    pub gap: bool,
    /// The events.
    pub events: Vec<CacheEvent>,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The hash of the prompt up to the end of the block.
    pub prefix_hash: u64,
    /// The length of the prefix.
    pub tokens: Tokens,
    /// True if the prefix was stored, `false` if it was evicted.
    pub stored: bool,
}

/// The port to one model engine.
pub trait EnginePort {
    /// Begins an answer and sends its events to `events`. The last one is `Finished` or `Failed`.
    fn generate(&self, core: &mut Core, call: Generate, events: Fwd<Event>);

    /// Reads a stream from an event on and sends its events to `events`, as for `generate`.
    fn resume(&self, core: &mut Core, call: Resume, events: Fwd<Event>);

    /// Cancels an attempt if `owner` still owns it.
    fn cancel(
        &self,
        core: &mut Core,
        request: RequestId,
        attempt: AttemptNo,
        owner: Incarnation,
        ret: Ret<Result<CancelAnswer, Error>>,
    );

    /// Returns the state of a request's stream.
    fn lookup(&self, core: &mut Core, request: RequestId, ret: Ret<Result<StreamState, Error>>);

    /// Requests the load report.
    fn load(&self, core: &mut Core, ret: Ret<Result<LoadReport, Error>>);

    /// Requests the cache events from a position on.
    fn cache_events(&self, core: &mut Core, from: u64, ret: Ret<Result<CacheEvents, Error>>);

    /// Reserves or renews memory for a group.
    fn reserve(&self, core: &mut Core, call: Reserve, ret: Ret<Result<(), Error>>);

    /// Releases a reservation. Releasing an unknown one succeeds.
    fn release(
        &self,
        core: &mut Core,
        reservation: ReservationId,
        owner: Incarnation,
        ret: Ret<Result<(), Error>>,
    );

    /// Lists the holds with their owners.
    fn holds(&self, core: &mut Core, ret: Ret<Result<Vec<Hold>, Error>>);

    /// Carries out an order under a fencing number.
    fn order(
        &self,
        core: &mut Core,
        order: EngineOrder,
        fencing: Fencing,
        ret: Ret<Result<OrderAnswer, Error>>,
    );

    /// Returns the role and the models without changing them.
    fn state(&self, core: &mut Core, ret: Ret<Result<OrderAnswer, Error>>);

    /// Exports the KV of a finished or running stream to another engine, which imports it. Returns
    /// the number of tokens transferred.
    fn transfer(
        &self,
        core: &mut Core,
        request: RequestId,
        to: &Address,
        ret: Ret<Result<Tokens, Error>>,
    );
}
