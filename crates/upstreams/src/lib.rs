//! The ports to the upstreams (model engines and plain services) as trait objects, with their HTTP
//! clients.
//!
//! Terms: an *attempt* is one dispatch of a request to one engine; a *hold* is engine memory kept
//! for an owner (a stream, a reservation or an export) until it is released or expires; a *group*
//! is several engines that hold one long prompt together.
//!
//! Invariants: every event of a stream carries the request and attempt that it belongs to, so that
//! a late or misdirected answer can be detected; a call whose answer is lost is `MayHaveRun`.

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
