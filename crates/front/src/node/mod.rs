//! One node: its state, its listeners and its planned stop.
//!
//! Invariants: the state in `Node` is never borrowed across an await.

mod clock;
mod connections;
mod listen;
mod run;
mod state;
mod stream;

pub use clock::Clock;
pub(crate) use listen::{accept, log_connection_end};
pub use run::{FrontError, FrontHandle, FrontSettings, Stopper};
pub use state::{Node, State};
