//! Who hears a node's gossip.

use bluebell_base::prelude::*;
use bluebell_fleet::fanout::{
    GossipKind, GossipPeer, Presence, Route, batch_delay, digest_interval, routes,
};
use bluebell_fleet::prelude::*;
use std::collections::BTreeMap;

fn domain(number: u64) -> DomainName {
    DomainName(format!("domain-{number}").into())
}

/// A fleet of nodes in five failure domains; node `n` is in domain `n % 5`.
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

/// Who hears gossip that goes by these routes, and how often.
fn heard(nodes: &[GossipPeer], own: OwnerId, routes: &[Route]) -> BTreeMap<OwnerId, u32> {
    let mut heard = BTreeMap::new();
    for route in routes {
        match route {
            Route::Direct(peer) => *heard.entry(*peer).or_default() += 1,
            Route::Relay(relay) => {
                let at = nodes.iter().find(|node| node.owner == *relay);
                let domain = at.and_then(|node| node.domain.clone());
                let there = nodes.iter().filter(|node| node.domain == domain);
                for node in there.filter(|node| node.owner != own) {
                    *heard.entry(node.owner).or_default() += 1;
                }
            }
        }
    }
    heard
}

/// Two nodes choose the same engine, again and again. One of them never hears the other's gossip, since each
/// third node took it for the business of some relay. Every peer hears all gossip, once where nothing is known to
/// be wrong with it, whoever is silent and whose failure domain isn't known yet.
#[test]
fn every_peer_hears_all_news() {
    for count in [2, 3, 9, 11, 60, 195] {
        let mut nodes = nodes(count);
        for silent in 0..3 {
            for at in 0..count as usize {
                let own = nodes[at].owner;
                let heard = heard(&nodes, own, &routes_of(&nodes, at, DIGEST));
                assert_eq!(heard.len() as u64, count - 1, "{count} nodes");
                let sound = nodes
                    .iter()
                    .filter(|n| n.presence == Presence::Live && n.domain.is_some());
                let mut sound = sound.filter(|node| node.owner != own);
                assert!(sound.all(|node| heard[&node.owner] == 1), "{count} nodes");
            }
            let at = (silent * 7) % count as usize;
            nodes[at].presence = Presence::Silent;
            nodes[(at + 1) % count as usize].domain = None;
        }
    }
}

/// Links between failure domains fill up as the fleet grows: each placement was told to every node there.
/// One copy goes to each other failure domain, however many nodes it has.
#[test]
fn one_copy_crosses_to_each_failure_domain() {
    for count in [60, 195, 400] {
        let nodes = nodes(count);
        let crossing = routes_of(&nodes, 0, GossipKind::Change).into_iter();
        let crossing = crossing.filter(|route| matches!(route, Route::Relay(_)));
        assert_eq!(crossing.count(), 4);
    }
}

/// A node of a small fleet places beside work that it doesn't know of, since the relay that would have told it
/// died. The few peers of a small failure domain are told directly.
#[test]
fn the_few_nodes_of_a_small_failure_domain_are_told_directly() {
    for count in [9, 22, 40] {
        let nodes = nodes(count);
        let routes = routes_of(&nodes, 0, GossipKind::Change);
        assert!(
            routes.iter().all(|route| matches!(route, Route::Direct(_))),
            "{count} nodes"
        );
    }
}

/// One small node is late with everything. It passed on the gossip of all others to its failure domain: relays
/// are spread over the nodes of a domain.
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

/// A node places beside work that it doesn't know of. Its peers' relay died, which shows only when it has been
/// silent for seconds. Digests take other relays, and a relay that is known to be silent isn't used.
#[test]
fn a_lost_relay_is_gone_round() {
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
    assert!(digest.contains(&Route::Direct(lost)), "it is told directly");
}

/// After a loss of power all drafts of half a second choose the same engines. The nodes had started again and
/// found each other in the directory, but told each other nothing until the first digest was heard. Peers that
/// only announced themselves are told of changes; those that fell silent are not.
#[test]
fn announced_peers_are_told_of_changes_and_silent_ones_are_not() {
    let mut nodes = nodes(20);
    for node in &mut nodes {
        node.presence = Presence::Announced;
        node.domain = None;
    }
    nodes[3].presence = Presence::Silent;
    let told = heard(
        &nodes,
        nodes[0].owner,
        &routes_of(&nodes, 0, GossipKind::Change),
    );
    assert_eq!(told.len(), 18);
    assert!(!told.contains_key(&nodes[3].owner));
    let told = heard(&nodes, nodes[0].owner, &routes_of(&nodes, 0, DIGEST));
    assert_eq!(told.len(), 19);
}

/// Small nodes of a large fleet spend their time on taking in what all others tell. Gossip is gathered for longer
/// where nodes are many, and a lost digest still doesn't make a peer seem gone.
#[test]
fn news_is_gathered_for_longer_where_nodes_are_many() {
    let peers = [0, 8, 59, 89, 119, 194, 399];
    let digests = peers.map(|peers| digest_interval(peers).0);
    assert_eq!(digests, [500, 500, 500, 750, 1_000, 1_000, 1_000]);
    let gathered = peers.map(|peers| batch_delay(peers).0);
    assert_eq!(gathered, [60, 60, 60, 90, 120, 195, 200]);
}
