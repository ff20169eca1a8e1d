//! The two sides of a lease: its holder, who judges how long it is valid, and the nodes that
//! wait to take it.
//!
//! Invariants: a holder's lease ends, on its own clock, `margin` before `ttl` has passed since
//! before the append was sent; a taker waits `ttl` and `margin` from when it read the last
//! renewal, which is later than its sending. So the holder has stopped when the taker starts, as
//! long as the clocks' rates differ by less than two margins in a lease.

mod holder;
mod spread;
mod watch;

pub use holder::{Change, Holder};
pub use spread::{Taker, take_delay_ms, weight};
pub use watch::Watch;
