//! The state of a running node that a starting one copies.

use super::engines::EngineBaselines;
use crate::gossip::Origin;
use crate::gossip::replicas::{ChangeGossip, change_gossip};
use crate::node::Node;
use crate::platform::Cursor;
use crate::{quarantine, watch};
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The version of the format. A copy of any other version isn't used, so that nodes of two releases can
/// run in one fleet.
const FORMAT: u8 = 1;

/// The replica list as a node knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicaList {
    cursor: Cursor,
    /// The time since the list was last confirmed, in milliseconds.
    age_ms: u32,
    /// The time for which entries that are missing after an outage may still return, in milliseconds.
    relist_left_ms: u32,
    listed: Vec<ChangeGossip>,
    /// The positions at which the entries of `listed` were written, in the same order. Encoded after the
    /// work on engines. Empty in states of earlier releases.
    #[serde(skip)]
    written_at: Vec<Cursor>,
}

/// The state of a running node, without its configuration.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeState {
    format: u8,
    /// The replicas, or `None` if the requesting node knows the list up to the same position.
    pub replicas: Option<ReplicaList>,
    peers: Vec<Origin>,
    quarantine: Vec<QuarantineNotice>,
    evacuations: Vec<EvacuationEntry>,
    /// Encoded after all other fields, as states of earlier releases end there.
    #[serde(skip)]
    parts: Vec<PartNotice>,
    /// The work on engines, encoded after the parts. `None` in states of earlier releases.
    #[serde(skip)]
    engines: Option<EngineBaselines>,
}

impl NodeState {
    /// Returns the state of `node`, with or without the replicas.
    pub(super) fn of(node: &Node, with_replicas: bool) -> Self {
        let now_ms = node.now_ms();
        let cursor = node.directory_watch.cursor();
        let age_ms = node.directory_watch.age_ms(now_ms).unwrap_or_default();
        let mut peers = node.outbox.listed_origins(now_ms);
        peers.push(Origin::of(node));
        node.with(|state| Self {
            engines: Some(EngineBaselines::of(state, now_ms)),
            format: FORMAT,
            replicas: cursor.filter(|_| with_replicas).map(|cursor| {
                let (written_at, listed) = listed(&state.replicas, now_ms).unzip();
                ReplicaList {
                    cursor,
                    age_ms: age_ms.0 as u32,
                    relist_left_ms: state.replicas.relist_left_ms(now_ms).0 as u32,
                    listed,
                    written_at,
                }
            }),
            peers,
            quarantine: state.quarantine.quarantine_notices(now_ms, || true),
            evacuations: state.replicas.evacuations.entries(),
            parts: state.parts.quarantine_notices(now_ms, || true),
        })
    }

    /// Encodes the state.
    pub(super) fn encode(&self) -> Vec<u8> {
        let list = self.replicas.as_ref();
        let written_at = list.map_or(&[][..], |list| &list.written_at);
        postcard::to_allocvec(&(self, &self.parts, &self.engines, written_at))
            .expect("postcard can encode a state")
    }

    /// Decodes a state. Returns `None` if it is malformed or has another format version.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (mut state, rest_of_state): (Self, _) = postcard::take_from_bytes(bytes).ok()?;
        // States of earlier releases end after any of these fields.
        let mut rest = rest_of_state;
        if !rest.is_empty() {
            (state.parts, rest) = postcard::take_from_bytes(rest).ok()?;
        }
        if !rest.is_empty() {
            (state.engines, rest) = postcard::take_from_bytes(rest).ok()?;
        }
        if !rest.is_empty()
            && let Some(list) = &mut state.replicas
        {
            list.written_at = postcard::from_bytes(rest).ok()?;
        }
        (state.format == FORMAT).then_some(state)
    }

    /// Adds this state to what `node` knows. Nothing newer is replaced.
    pub fn apply(self, node: &Rc<Node>) {
        let now_ms = node.now_ms();
        for peer in self.peers.iter().filter(|peer| peer.owner != node.owner.0) {
            let domain = Some(DomainName(peer.domain.clone()));
            node.outbox
                .on_announced(OwnerId(peer.owner), peer.address, domain, now_ms);
        }
        for notice in self.quarantine {
            quarantine::on_notified(node, notice);
        }
        for notice in self.parts {
            quarantine::on_part_notified(node, notice);
        }
        for entry in &self.evacuations {
            watch::on_notified_evacuation(node, entry);
        }
        if let Some(engines) = self.engines {
            engines.apply(node);
        }
        if let Some(list) = self.replicas {
            let listed = list.listed.into_iter().map(ReplicaChange::from);
            let unknown = std::iter::repeat(ChangePosition::UNKNOWN.written_at);
            let written_at = list.written_at.into_iter().chain(unknown);
            node.directory_watch.on_copied_replicas(
                node,
                watch::CopiedReplicas {
                    cursor: list.cursor,
                    confirmed_ms: now_ms - SpanMs(u64::from(list.age_ms)),
                    relist_left_ms: SpanMs(u64::from(list.relist_left_ms)),
                    listed: written_at.zip(listed).collect(),
                },
            );
        }
    }
}

/// Returns the entries of all listed replicas, with the positions at which they were written.
fn listed(replicas: &ReplicaTable, now_ms: MonoMs) -> impl Iterator<Item = (Cursor, ChangeGossip)> {
    replicas.listed().filter_map(move |replica| {
        let written_at = replicas.written_at(replica);
        let mut replica = Replica::clone(replica);
        replica.cold_ms = replicas.cold_replicas.left_ms(replica.key(), now_ms);
        Some((written_at, change_gossip(ReplicaChange::Listed(replica))?))
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn empty() -> NodeState {
        NodeState {
            format: FORMAT,
            replicas: None,
            peers: Vec::new(),
            quarantine: Vec::new(),
            evacuations: Vec::new(),
            parts: Vec::new(),
            engines: None,
        }
    }

    /// Guards against nodes of two releases that can't join each other. States of earlier releases end after the
    /// other fields or after the parts, and those releases ignore what follows.
    #[test]
    fn states_of_other_releases_can_be_read() {
        let state = empty();
        let first_release = postcard::to_allocvec(&state).expect("it can be encoded");
        let with_parts = postcard::to_allocvec(&(&state, &state.parts)).expect("it can be encoded");
        for bytes in [&first_release, &with_parts] {
            let decoded = NodeState::decode(bytes).expect("it is a state");
            assert!(decoded.engines.is_none());
        }
        let with_engines = postcard::to_allocvec(&(&state, &state.parts, &state.engines));
        let with_engines = with_engines.expect("it can be encoded");
        assert!(NodeState::decode(&with_engines).is_some());
        let own = state.encode();
        let (_, rest): (NodeState, _) = postcard::take_from_bytes(&own).expect("it is a state");
        let parts: Vec<PartNotice> =
            postcard::from_bytes(rest).expect("the rest begins with parts");
        assert!(parts.is_empty());
    }

    /// Guards against a dead replica that gets the address of a live one in a copied list: the copy has the
    /// positions of the entries, and a copy of an earlier release has none.
    #[test]
    fn a_copied_list_has_the_positions_of_its_entries() {
        let replicas = ReplicaList {
            cursor: Cursor::at(9),
            age_ms: 0,
            relist_left_ms: 0,
            listed: vec![ChangeGossip::Removed("i-1".into())],
            written_at: vec![Cursor::at(7)],
        };
        let state = NodeState {
            replicas: Some(replicas),
            ..empty()
        };
        let written_at = |bytes: &[u8]| {
            let state = NodeState::decode(bytes).expect("it is a state");
            state.replicas.expect("it has replicas").written_at
        };
        assert_eq!(written_at(&state.encode()), [Cursor::at(7)]);
        let earlier = postcard::to_allocvec(&(&state, &state.parts, &state.engines));
        assert!(written_at(&earlier.expect("it can be encoded")).is_empty());
    }
}
