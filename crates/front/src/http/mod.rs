//! Connections to replicas and to the platform: opening, keeping and dropping them.
//!
//! Terms: a *link* is a connection leased for one exchange; it goes back to the pool only once its
//! answer was read whole.
//!
//! Invariants: a link that is dropped is closed, so that the other side stops working for it; at
//! most one exchange uses a link.

mod link;
mod pool;

pub use link::{IncomingAnswer, Link, SendError};
pub use pool::{Freshness, Pool};
