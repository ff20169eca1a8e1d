//! Watching the directory: the configuration, the replicas and the nodes.
//!
//! Terms: an *era* is one history of the directory; one that comes back from an older copy begins another.
//!
//! Invariants: a configuration older than the one in force is never taken; an error of the directory
//! changes nothing but the trust in lapsed entries.

mod config;
mod era;
mod follow;
mod nodes;
mod paces;
mod pieces;
mod quarantine;
mod replicas;
mod retry;
mod shared;

pub use config::watch_config;
pub use era::on_notified_era;
pub use nodes::watch_nodes;
pub use paces::{is_responding, watch_paces};
pub use quarantine::{restore_quarantine, store_quarantine, watch_quarantine};
pub use replicas::watch_replicas;
pub use shared::{DirectoryWatch, ReplicasNotice};
