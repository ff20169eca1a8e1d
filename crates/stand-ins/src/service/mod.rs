//! The stand-in plain service: a model that counts effects, a process that serves it over HTTP,
//! and an in-process port for tests under virtual time.
//!
//! Terms: an *effect* is what a call that is not a mere read leaves behind, such as a published
//! notice; a *key* is the caller's idempotency key or, without one, the request id.
//!
//! Invariants: every effect is counted by its key, so that one made twice can be seen.

pub mod fake;
pub mod model;
pub mod server;

pub use fake::FakeService;
pub use model::{KeyEffects, ServiceModel, ServiceSettings, ServiceStats};
pub use server::ServiceServer;
