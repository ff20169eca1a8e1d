//! Tests of the routes of a node's gossip.

use bluebell_base::prelude::*;
use bluebell_fleet::fanout::{
    GossipKind, GossipPeer, Presence, Route, batch_delay, digest_interval, routes,
};
use bluebell_fleet::prelude::*;
use std::collections::BTreeMap;

fn domain(number: u64) -> DomainName {
    DomainName(format!("domain-{number}").into())
}

/// Returns a fleet of nodes in five failure domains; node `n` is in domain `n % 5`.
fn nodes(count: u64) -> Vec<GossipPeer> {
    let node = |n: u64| GossipPeer {
        owner: OwnerId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        domain: Some(domain(n % 5)),
        presence: Presence::Live,
    };
    (0..count).map(node).collect()
}

fn routes_of(nodes: &[GossipPeer], at: usize, gossip_kind: GossipKind) -> Vec<Route> {
    let mut peers = nodes.to_vec();
    let own = peers.remove(at);
    routes(own.owner, &domain(at as u64 % 5), &peers, gossip_kind)
}

const DIGEST: GossipKind = GossipKind::Digest { draw: 7 };

/// Returns how many copies each node receives of gossip that is sent by these routes.
fn copies(nodes: &[GossipPeer], own: OwnerId, routes: &[Route]) -> BTreeMap<OwnerId, u32> {
    let mut copies = BTreeMap::new();
    for route in routes {
        match route {
            Route::Direct(peer) => *copies.entry(*peer).or_default() += 1,
            Route::Relay(relay) => {
                let at = nodes.iter().find(|node| node.owner == *relay);
                let domain = at.and_then(|node| node.domain.clone());
                let there = nodes.iter().filter(|node| node.domain == domain);
                for node in there.filter(|node| node.owner != own) {
                    *copies.entry(node.owner).or_default() += 1;
                }
            }
        }
    }
    copies
}

/// Guards against a peer that never receives a node's gossip, because each node assumes that another one
/// relays it: two nodes then choose the same engine again and again. Every peer receives all gossip, and
/// exactly one copy if it is live and its failure domain is known.
#[test]
fn every_peer_receives_all_gossip() {
    for count in [2, 3, 9, 11, 60, 195] {
        let mut nodes = nodes(count);
        for silent in 0..3 {
            for at in 0..count as usize {
                let own = nodes[at].owner;
                let copies = copies(&nodes, own, &routes_of(&nodes, at, DIGEST));
                assert_eq!(copies.len() as u64, count - 1, "{count} nodes");
                let sound = nodes
                    .iter()
                    .filter(|n| n.presence == Presence::Live && n.domain.is_some());
                let mut sound = sound.filter(|node| node.owner != own);
                assert!(sound.all(|node| copies[&node.owner] == 1), "{count} nodes");
            }
            let at = (silent * 7) % count as usize;
            nodes[at].presence = Presence::Silent;
            nodes[(at + 1) % count as usize].domain = None;
        }
    }
}

/// Guards against links between failure domains that fill up as the fleet grows. One copy goes to each
/// other failure domain, however many nodes it has.
#[test]
fn one_copy_crosses_to_each_failure_domain() {
    for count in [60, 195, 400] {
        let nodes = nodes(count);
        let crossing = routes_of(&nodes, 0, GossipKind::Change).into_iter();
        let crossing = crossing.filter(|route| matches!(route, Route::Relay(_)));
        assert_eq!(crossing.count(), 4);
    }
}

/// Guards against a node of a small fleet that doesn't know of placements because a relay died. The few
/// peers of a small failure domain get direct copies.
#[test]
fn the_few_nodes_of_a_small_failure_domain_get_direct_copies() {
    for count in [9, 22, 40] {
        let nodes = nodes(count);
        let routes = routes_of(&nodes, 0, GossipKind::Change);
        assert!(
            routes.iter().all(|route| matches!(route, Route::Direct(_))),
            "{count} nodes"
        );
    }
}

/// Guards against one node that relays the gossip of all others to its failure domain and is late with
/// everything. Relays are spread over the nodes of a domain.
#[test]
fn no_node_is_the_relay_of_many() {
    let nodes = nodes(200);
    let mut relays: BTreeMap<Route, u32> = BTreeMap::new();
    for at in 0..nodes.len() {
        for route in routes_of(&nodes, at, GossipKind::Change) {
            if matches!(route, Route::Relay(_)) {
                *relays.entry(route).or_default() += 1;
            }
        }
    }
    let most = relays.values().max().copied();
    // Each node is the relay of four others on average.
    assert!(most <= Some(16), "{most:?}");
}

/// Guards against placements that a node doesn't know of because its peers' relay died, which shows only
/// after seconds of silence. Digests use other relays, and a relay known to be silent isn't used.
#[test]
fn a_lost_relay_is_bypassed() {
    let mut nodes = nodes(60);
    let through = |nodes: &[GossipPeer], gossip_kind| -> Vec<Route> {
        let routes = routes_of(nodes, 0, gossip_kind).into_iter();
        routes
            .filter(|route| matches!(route, Route::Relay(_)))
            .collect()
    };
    let first = through(&nodes, GossipKind::Change);
    let digests = (1..11).map(|draw| through(&nodes, GossipKind::Digest { draw }));
    assert!(digests.filter(|digest| digest[0] != first[0]).count() >= 8);
    let Route::Relay(lost) = first[0] else {
        panic!("{first:?}");
    };
    let at = nodes.iter().position(|node| node.owner == lost);
    nodes[at.expect("it is a node")].presence = Presence::Silent;
    assert!(!through(&nodes, GossipKind::Change).contains(&Route::Relay(lost)));
    let digest = routes_of(&nodes, 0, DIGEST);
    assert!(
        digest.contains(&Route::Direct(lost)),
        "the lost relay gets a direct copy"
    );
}

/// Guards against nodes that all choose the same engines after a loss of power. They had found each other
/// in the directory, but sent each other no changes until the first digest was received. Peers that only
/// announced themselves receive changes; peers that fell silent don't.
#[test]
fn announced_peers_receive_changes_and_silent_ones_do_not() {
    let mut nodes = nodes(20);
    for node in &mut nodes {
        node.presence = Presence::Announced;
        node.domain = None;
    }
    nodes[3].presence = Presence::Silent;
    let received = copies(
        &nodes,
        nodes[0].owner,
        &routes_of(&nodes, 0, GossipKind::Change),
    );
    assert_eq!(received.len(), 18);
    assert!(!received.contains_key(&nodes[3].owner));
    let received = copies(&nodes, nodes[0].owner, &routes_of(&nodes, 0, DIGEST));
    assert_eq!(received.len(), 19);
}

/// Guards against gossip between failure domains that grows with the square of the nodes at a start. No node has heard
/// another yet, and each of 985 nodes sent a copy of its digest to each of the others, every second. A few
/// copies cross to each failure domain, however many nodes it has and whatever is known of them.
#[test]
fn few_copies_cross_to_peers_that_were_not_heard() {
    for presence in [Presence::Announced, Presence::Silent] {
        for count in [60, 250, 985, 1_970] {
            let mut nodes = nodes(count);
            for node in &mut nodes {
                node.presence = presence;
            }
            let own_domain = nodes[0].domain.clone();
            let at = |owner| nodes.iter().find(|node| node.owner == owner);
            let crosses = |route: &Route| match route {
                Route::Direct(owner) | Route::Relay(owner) => {
                    at(*owner).is_some_and(|node| node.domain != own_domain)
                }
            };
            let routes = routes_of(&nodes, 0, DIGEST);
            let crossing = routes.iter().filter(|route| crosses(route)).count();
            assert!(
                crossing <= 4 * 8,
                "{crossing} copies from one of {count} nodes"
            );
            let received = copies(&nodes, nodes[0].owner, &routes);
            assert_eq!(received.len() as u64, count - 1, "{count} nodes");
        }
    }
}

/// Guards against small nodes of a large fleet that spend their time on receiving gossip. It is batched
/// for longer if there are many nodes, and a lost digest still doesn't make a peer seem gone.
#[test]
fn gossip_is_batched_for_longer_among_many_nodes() {
    let peers = [0, 8, 59, 89, 119, 194, 399];
    let digests = peers.map(|peers| digest_interval(peers).0);
    assert_eq!(digests, [500, 500, 500, 750, 1_000, 1_000, 1_000]);
    let delays = peers.map(|peers| batch_delay(peers).0);
    assert_eq!(delays, [60, 60, 60, 90, 120, 195, 200]);
}
