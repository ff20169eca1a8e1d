//! HTTP connections to replicas, peers and the directory: opens them, keeps them for reuse and
//! closes them.
//!
//! Terms: an *exchange* is one request and its answer. A *link* is a connection leased for one
//! exchange; it returns to the pool only once the answer has been read completely.
//!
//! Invariants: a link that is dropped is closed, so that the other side stops working on the
//! request. At most one exchange uses a link at a time.

mod link;
mod pool;

pub use link::{IncomingAnswer, Link, SendError};
pub use pool::{Freshness, Pool};
