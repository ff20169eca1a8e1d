//! HTTP connections to replicas, peers and the directory: opens them, keeps them for reuse and
//! closes them. Bounds what arrives on them and what is held for readers ([`bounds`]).
//!
//! Terms: an *exchange* is one request and its answer. A *link* is a connection leased for one
//! exchange; it returns to the pool only once the answer has been read completely.
//!
//! Invariants: a link that is dropped is closed, so that the other side stops working on the
//! request. At most one exchange uses a link at a time.

pub mod bounds;

mod answer_body;
mod guarded;
mod held;
mod link;
mod pool;

pub use answer_body::{AnswerBody, BodyError};
pub use guarded::CutAnswer;
pub use held::{Closed, HeldMemory, Holding, Reader};
pub use link::{IncomingAnswer, Link, SendError};
pub use pool::{Freshness, Pool};
