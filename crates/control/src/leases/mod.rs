//! The two sides of a lease: the holder, which decides how long the lease is valid, and the nodes
//! that wait to take the duty.
//!
//! Invariants: a holder's lease starts before its append was sent and ends, on the holder's clock,
//! `margin` before `ttl` has passed. Another node waits `ttl` and `margin` from the time at which
//! it read the last renewal, which is later than the time of sending. So the holder has stopped
//! when the next one starts, as long as the rates of their clocks differ by less than two margins
//! in a lease.

mod holder;
mod spread;
mod watch;

pub use holder::{Change, Holder};
pub use spread::{Candidate, take_delay_ms, weight};
pub use watch::Availability;
