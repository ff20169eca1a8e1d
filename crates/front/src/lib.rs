//! The node's serving path on one thread: connections of callers, calls to replicas, and the gossip
//! between nodes.
//!
//! Terms:
//! - the *platform* is what the node runs on. It is reached through the trait objects of
//!   [`platform`], and only their implementation knows the platform's names;
//! - an *attempt* (`try` in code and logs) sends a request once to one replica and its helpers;
//! - *gossip* is what a node reports to its peers about the work that it has placed.
//!
//! Invariants: everything runs on one thread. What an attempt holds is released when its future is
//! dropped, so all work for a caller ends when the caller hangs up. An answer states that its
//! request has not run only if no replica can have started it.

pub mod call;
pub mod copies;
pub mod crash_checks;
pub mod forward;
pub mod gossip;
pub mod http;
pub mod journal;
pub mod limits;
pub mod links;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod platform;
pub mod quarantine;
mod returns;
pub mod shares;
pub mod signals;
mod startup;
pub mod watch;

/// The public items that users of this package import.
pub mod prelude {
    pub use crate::journal::{Event, Journal};
    pub use crate::node::{FrontError, FrontHandle, FrontSettings, Stopper};
    pub use crate::platform::{
        AnswerHead, CallHead, CallHeadError, ConfigUpdate, Cursor, Dialect, Directory,
        DirectoryError, EngineReport, Era, EvacuationUpdate, ForwardHead, Helper, MemoryAnswer,
        MemoryOrder, NodeEntry, PendingRead, Platform, ReplicaSignals, ReplicaUpdate,
    };
}
