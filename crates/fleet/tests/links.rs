//! Decisions about the links to replicas and about the peers that serve for a node that lost them.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;

fn service() -> ServiceName {
    ServiceName("board".into())
}

const REPLICAS: usize = 20;

/// Lets attempts at `count` different replicas fail, 100 ms each, from `at_ms` on. Returns true if the links
/// are lost by the last one.
fn fail(links: &mut Links, count: u32, at_ms: u64) -> bool {
    let mut lost = false;
    for number in 0..count {
        let began_ms = MonoMs(at_ms + u64::from(number) * 100);
        let replica = ReplicaKey(number);
        let now_ms = began_ms + SpanMs(100);
        lost = links.on_unreachable(&service(), replica, began_ms, REPLICAS, now_ms);
    }
    lost
}

/// Guards against a node going on with its own attempts while it reaches no replica.
#[test]
fn replicas_that_fail_together_are_lost_links() {
    let mut links = Links::default();
    links.on_answer(&service(), MonoMs(900));
    assert!(fail(&mut links, 3, 1_000));
    assert!(links.is_lost(&service()));
}

/// Guards against replicas that crash taking a node's links for lost while others answer.
#[test]
fn failures_between_answers_are_not_lost_links() {
    let mut links = Links::default();
    for round in 0..50 {
        let at_ms = 1_000 + round * 1_000;
        assert!(!fail(&mut links, 2, at_ms), "round {round}");
        links.on_answer(&service(), MonoMs(at_ms + 300));
    }
    assert!(!links.is_lost(&service()));
}

/// Guards against an attempt that began before a replica answered counting against the links.
#[test]
fn an_attempt_that_began_before_an_answer_is_no_evidence() {
    let mut links = Links::default();
    links.on_answer(&service(), MonoMs(1_500));
    for number in 0..5 {
        let replica = ReplicaKey(number);
        let lost = links.on_unreachable(&service(), replica, MonoMs(1_400), 5, MonoMs(1_700));
        assert!(!lost);
    }
}

/// Guards against one replica that is gone, tried again and again, counting as several.
#[test]
fn one_replica_that_fails_often_is_not_lost_links() {
    let mut links = Links::default();
    for attempt in 0..50 {
        let began_ms = MonoMs(1_000 + attempt * 100);
        let now_ms = began_ms + SpanMs(50);
        assert!(!links.on_unreachable(&service(), ReplicaKey(1), began_ms, REPLICAS, now_ms));
    }
}

/// Guards against failures that lie hours apart being taken for one cut at a node with kept connections only.
#[test]
fn old_failures_are_no_evidence() {
    let mut links = Links::default();
    for number in 0..10 {
        let began_ms = MonoMs(1_000 + u64::from(number) * 10_000);
        let replica = ReplicaKey(number);
        assert!(!links.on_unreachable(&service(), replica, began_ms, REPLICAS, began_ms));
    }
}

/// Guards against a node staying away from replicas that it reaches again.
#[test]
fn any_contact_restores_the_links() {
    let mut links = Links::default();
    fail(&mut links, 3, 1_000);
    assert_eq!(
        links.on_contact(&service(), MonoMs(2_300)),
        Some(SpanMs(1_000))
    );
    assert!(!links.is_lost(&service()));
    assert_eq!(links.on_contact(&service(), MonoMs(2_400)), None);
}

/// Guards against checks that run beside each other, and against checks after contact.
#[test]
fn one_check_runs_at_a_time() {
    let mut links = Links::default();
    assert!(links.begin_check(&service(), MonoMs(1_000)));
    assert!(!links.begin_check(&service(), MonoMs(1_000)));
    links.end_check(&service());
    links.on_contact(&service(), MonoMs(1_100));
    assert!(!links.begin_check(&service(), MonoMs(1_050)));
    assert!(links.begin_check(&service(), MonoMs(1_200)));
}

fn peers(own_domain: u64, others: u64) -> Vec<PeerCandidate> {
    let all = (0..own_domain + others).map(|number| PeerCandidate {
        owner: OwnerId(number),
        same_domain: number < own_domain,
    });
    all.collect()
}

/// Guards against a failure domain that is cut off as a whole asking itself first for each request, at 9 and
/// at 985 nodes: the peers of other domains serve from the second request on.
#[test]
fn a_domain_that_is_cut_off_forwards_to_others() {
    for (own_domain, others) in [(3, 5), (110, 874)] {
        let candidates = peers(own_domain, others);
        let mut peers = ForwardPeers::default();
        let mut in_vain = 0;
        for request in 0..1_000_u64 {
            let now_ms = MonoMs(1_000 + request);
            let draw = request.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            let chosen = peers.choose(&service(), &candidates, &[], SpanMs::ZERO, draw, now_ms);
            let chosen = chosen.expect("others are usable");
            if chosen.0 < own_domain {
                peers.on_unusable(chosen, &service(), now_ms);
                in_vain += 1;
            }
        }
        let share = own_domain as f64 / (own_domain + others) as f64;
        let expected = 1 + (1_000.0 * share).ceil() as u64;
        let most = expected.min(own_domain * 2);
        assert!(
            in_vain <= most,
            "{in_vain} of {most} with {own_domain} in the domain"
        );
    }
}

/// Guards against one peer getting all requests of a node.
#[test]
fn forwarded_requests_are_spread_over_peers() {
    let candidates = peers(0, 8);
    let mut peers = ForwardPeers::default();
    let mut counts = [0; 8];
    for _ in 0..800 {
        let chosen = peers.choose(&service(), &candidates, &[], SpanMs::ZERO, 0, MonoMs(1_000));
        let chosen = chosen.expect("all are usable");
        peers.begin(chosen);
        counts[chosen.0 as usize] += 1;
    }
    assert_eq!(counts, [100; 8]);
}

/// Guards against asking peers again and again that can't serve.
#[test]
fn no_peer_is_chosen_while_none_can_serve() {
    let candidates = peers(2, 2);
    let mut peers = ForwardPeers::default();
    for candidate in &candidates {
        peers.on_unusable(candidate.owner, &service(), MonoMs(1_000));
    }
    let patient_ms = SpanMs(5_000);
    let choose = |at_ms| peers.choose(&service(), &candidates, &[], patient_ms, 0, MonoMs(at_ms));
    assert_eq!(choose(1_500), None);
    assert!(choose(2_100).is_some());
}

/// Guards against refusing requests that may wait at a peer until its share of the limits grows, and against sending
/// others there, or sending them to such a peer while another can serve at once.
#[test]
fn only_requests_that_may_wait_go_to_a_peer_whose_share_is_used_up() {
    let candidates = peers(0, 2);
    let mut peers = ForwardPeers::default();
    let (limited, other) = (candidates[0].owner, candidates[1].owner);
    peers.on_limited(limited, &service(), SpanMs(200), MonoMs(1_000));
    let choose = |peers: &ForwardPeers, patience_ms, draw| {
        let patience_ms = SpanMs(patience_ms);
        let now_ms = MonoMs(1_050);
        peers.choose(&service(), &candidates, &[], patience_ms, draw, now_ms)
    };
    for draw in 0..4 {
        assert_eq!(choose(&peers, 300, draw), Some(other), "it serves at once");
    }
    peers.on_unusable(other, &service(), MonoMs(1_000));
    assert_eq!(choose(&peers, 300, 0), Some(limited));
    assert_eq!(choose(&peers, 100, 0), None, "it waits for too short");
    assert_eq!(choose(&peers, 0, 0), None, "it may not wait");
}
