//! One node: its state, its listeners and its planned stop.
//!
//! Invariants: `Node`'s state is borrowed only between two awaits, never across one.

mod clock;
mod listen;
mod run;
mod state;

pub use clock::Clock;
pub(crate) use listen::{accept, note_end};
pub use run::{FrontError, FrontHandle, FrontSettings, Stopper};
pub use state::{Node, State};
