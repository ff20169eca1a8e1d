//! Watches the directory: the configuration, the evacuated failure domains, the replicas, the nodes and
//! the requests in quarantine.
//! Also probes engines for their pace.
//!
//! Terms: an *era* is one history of the directory. The directory is *renewed* if it comes back from
//! an older copy of itself, which begins a new era.
//!
//! Invariants: a configuration older than the one in force is never put in force; a directory error
//! changes nothing except how lapsed entries are treated.

mod config;
mod era;
mod evacuations;
mod follow;
mod join;
mod nodes;
mod notices;
mod paces;
mod quarantine;
mod replicas;
mod retry;
mod roles;
mod shared;

pub use config::watch_config;
pub use era::on_notified_era;
pub use evacuations::{expire_evacuations, on_notified_evacuation};
pub use join::{begin_join, join};
pub use nodes::watch_nodes;
pub use paces::{is_responding, read_engine_work, watch_paces};
pub use quarantine::{restore_quarantine, store_quarantine, watch_quarantine};
pub use replicas::watch_replicas;
pub use shared::{CopiedReplicas, DirectoryWatch, ReplicasNotice};
