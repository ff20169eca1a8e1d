//! Who is there: nodes and upstreams, live or leaving, from the platform's lagging list, the
//! directory stream of the log, probes of peers and the upstreams' own refusals.
//!
//! Terms: the *directory* is the reduced state of the list; *evidence* is one source's word.
//!
//! Invariants: a node's silence takes it out of the live ones and proves nothing; an entry is gone
//! only once several lists in a row lack it, or the directory's writer says so; of the list's word
//! and an upstream's own, the one that it leaves counts.

pub mod actor;
pub mod directory;
pub mod evidence;
pub mod listing;
pub mod nodes;
pub mod settings;

pub use actor::Members;
pub use settings::{MembersPorts, MembersSettings};

use bluebell_base::prelude::*;
use bluebell_peers::NodeCard;
use bluebell_platform::VmEntry;
use serde::{Deserialize, Serialize};

/// A change of what is known of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    /// An upstream is there and takes work.
    UpstreamLive(VmEntry),
    /// An upstream leaves: no new work for it; what it runs goes on.
    UpstreamLeaving(UpstreamName),
    /// An upstream is gone.
    UpstreamGone(UpstreamName),
    /// The live nodes changed, by their cards.
    Nodes(Vec<NodeCard>),
    /// An incarnation is certainly dead: its address answered as another one.
    NodeReplaced {
        /// The dead one.
        dead: Incarnation,
    },
}

/// What membership knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersDump {
    /// This node's own card.
    pub card: NodeCard,
    /// The live peers.
    pub nodes: Vec<NodeCard>,
    /// The list as believed.
    pub listed: Vec<VmEntry>,
    /// Upstreams that lately said themselves that they leave.
    pub refused: Vec<UpstreamName>,
    /// Whether this node writes the directory stream.
    pub writes_directory: bool,
    /// Whether the directory stream is stale and this node fetches the list itself.
    pub directory_stale: bool,
    /// Directory records that were skipped: too large, malformed or of an unknown kind.
    pub skipped_records: u64,
    /// Directory records of superseded writers.
    pub ignored_records: u64,
}
