//! The stand-in engine: a model of continuous batching that runs under any clock, a process that
//! serves it over HTTP, and an in-process port for tests under virtual time.
//!
//! Terms: a *step* computes one token for each generating stream and a chunk of prefill; *held*
//! memory belongs to a stream, a reservation or an export; *reclaimable* memory holds only blocks
//! of the prefix cache and gives way to whoever needs it.
//!
//! Invariants: held and reclaimable memory together never exceed the capacity; memory of a stream
//! is free again as soon as the stream ends; the same calls at the same instants give the same
//! events.

pub mod call;
pub mod fake;
pub mod feed;
pub mod model;
pub mod server;
pub mod settings;

pub use call::{
    Admission, EngineStats, ModelCall, ModelEvent, ModelEventKind, ReaderId, StreamView,
};
pub use fake::FakeEngine;
pub use model::EngineModel;
pub use server::{EngineServer, ServerOptions};
pub use settings::EngineSettings;
