//! Watching the directory: the configuration, the replicas and the nodes.
//!
//! Invariants: a configuration older than the one in force is never taken; an error of the directory
//! changes nothing but the trust in lapsed entries.

mod config;
mod nodes;
mod paces;
mod pieces;
mod quarantine;
mod replicas;
mod retry;
mod shared;

pub use config::watch_config;
pub use nodes::watch_nodes;
pub use paces::{answers, watch_paces};
pub use quarantine::{store_quarantine, watch_quarantine};
pub use replicas::watch_replicas;
pub use shared::{ReplicasTold, Watching};
