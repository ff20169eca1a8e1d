//! The node's serving path on one thread: callers' connections, calls to replicas, and the gossip
//! that nodes tell each other.
//!
//! Terms:
//! - *outside* is the platform that the node runs on, reached through the trait objects of
//!   [`platform`], whose implementation alone knows the platform's names;
//! - a *try* is one send of a request to one replica (with its helpers);
//! - *gossip* is what a node tells its peers of the work that it has placed.
//!
//! Invariants: everything runs on one thread; what a try holds is released when its future is
//! dropped, so a caller's hang-up ends all work for it; an answer is told to have not run only where
//! no replica can have started it.

pub mod call;
pub mod copies;
pub mod crash_checks;
pub mod gossip;
pub mod http;
pub mod journal;
pub mod limits;
pub mod metrics;
pub mod node;
pub mod platform;
pub mod quarantine;
pub mod signals;
pub mod watch;

/// What users of this package import.
pub mod prelude {
    pub use crate::journal::{Event, Journal};
    pub use crate::node::{FrontError, FrontHandle, FrontSettings, Stopper};
    pub use crate::platform::{
        AnswerHead, CallHead, CallHeadError, ConfigUpdate, Cursor, Dialect, Directory,
        DirectoryError, EngineReport, Era, ForwardHead, Helper, MemoryAnswer, MemoryOrder,
        NodeEntry, PendingRead, Platform, ReplicaSignals, ReplicaUpdate,
    };
}
