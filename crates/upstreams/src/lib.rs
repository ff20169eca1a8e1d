//! What the upstreams offer, as trait objects: model engines and plain services, with their HTTP
//! clients.
//!
//! Terms: an *attempt* is one try to run a request on one engine; a *hold* is engine memory kept
//! for an owner (a stream, a reservation, an export) until it is released or expires; a *group*
//! is several engines holding one long prompt together.
//!
//! Invariants: every event of a stream carries the request and attempt it belongs to, so that a
//! late or crossed answer can be told apart; a call whose answer is lost is `MayHaveRun`.

pub mod engine;
pub mod http;
pub mod prompt;
pub mod service;

pub use engine::{
    CacheEvents, CancelAnswer, EngineOrder, EnginePort, Event, EventBody, FinishReason, Generate,
    Hold, HoldKind, LoadReport, OrderAnswer, Priority, Reserve, Resume, Role, StreamState,
};
pub use http::{HttpEngine, HttpService};
pub use service::{ServiceAnswer, ServiceCall, ServicePort};
