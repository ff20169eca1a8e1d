//! Who is there: nodes and upstreams, live or leaving, from the platform's lagging list, the
//! directory stream of the log, probes of peers and the upstreams' own refusals.
//!
//! Terms: the *directory* is the reduced state of the list; *evidence* is one source's word.

use bluebell_base::prelude::*;
use bluebell_platform::VmEntry;

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
    Nodes(Vec<bluebell_peers::NodeCard>),
}
