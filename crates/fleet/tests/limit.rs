//! Tests of the limits that replicas set, as nodes apply them.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::collections::BTreeMap;

/// The window in which a replica counts requests.
const WINDOW_MS: u64 = 4_000;

/// The time after a limit is first set from which all nodes must keep it.
const KEPT_AFTER_MS: u64 = 3_000;

const REPLICA: ReplicaKey = ReplicaKey(7);

/// Returns the number of requests that a replica may get within a window.
fn allowed(rate: f64) -> usize {
    (rate * 1.5 * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

fn owner(n: usize) -> OwnerId {
    OwnerId((n as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

fn answered(signal: LimitSignal, sent_ms: u64) -> LimitReport {
    LimitReport {
        signal,
        source: Source::Answer,
        sent_ms: MonoMs(sent_ms),
    }
}

fn set_to(rate: f64) -> LimitSignal {
    LimitSignal::Set(PerSecond(rate))
}

/// Nodes that all want to send at any time, and receive gossip only from those of their own group.
struct Fleet {
    limits: Vec<Limits>,
    /// The group of each node, or `None` if the node is gone.
    groups: Vec<Option<usize>>,
    sent_ms: Vec<u64>,
}

impl Fleet {
    fn of(nodes: usize) -> Self {
        Self {
            limits: (0..nodes).map(|_| Limits::default()).collect(),
            groups: vec![Some(0); nodes],
            sent_ms: Vec::new(),
        }
    }

    fn live_peers_of(&self, node: usize) -> Vec<OwnerId> {
        let others = (0..self.groups.len()).filter(|other| *other != node);
        let live = others.filter(|other| self.groups[*other] == self.groups[node]);
        live.map(owner).collect()
    }

    /// Reports a limit to all nodes at once.
    fn set_limit(&mut self, rate: f64, now_ms: u64) {
        for limits in &mut self.limits {
            limits.on_answer(REPLICA, answered(set_to(rate), now_ms), MonoMs(now_ms));
        }
    }

    /// Lets every node send whenever it may. Each answer carries the limit `rate` to the node that sent the
    /// request.
    fn send_all(&mut self, rate: f64, from_ms: u64, to_ms: u64) {
        for now_ms in (from_ms..to_ms).step_by(10) {
            for node in 0..self.limits.len() {
                if self.groups[node].is_some() {
                    self.step(node, rate, now_ms);
                }
            }
        }
    }

    fn step(&mut self, node: usize, rate: f64, now_ms: u64) {
        let at_ms = MonoMs(now_ms);
        if self.limits[node].has_stale_shares(at_ms) {
            let live = self.live_peers_of(node);
            let nodes = Nodes {
                own: owner(node),
                heard: &live,
                known: self.limits.len() - 1,
            };
            self.limits[node].share(&nodes, at_ms);
        }
        while self.limits[node].admission(REPLICA, at_ms) == Admission::Now {
            self.limits[node].on_sent(REPLICA, at_ms);
            self.limits[node].on_answer(REPLICA, answered(set_to(rate), now_ms), at_ms);
            self.sent_ms.push(now_ms);
        }
    }

    /// Returns the highest number of requests in a window that ends at or after `from_ms`.
    fn max_in_window(&self, from_ms: u64) -> usize {
        let ends = self.sent_ms.iter().filter(|end| **end >= from_ms);
        let counts = ends.map(|end| {
            let within = |at: &&u64| **at + WINDOW_MS > *end && *at <= end;
            self.sent_ms.iter().filter(within).count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Guards against an engine that accepts one request a second and gets one from each of three hundred
/// nodes. Whatever the limit and the number of nodes, all together stay within it and use most of it.
#[test]
fn all_nodes_together_keep_a_limit() {
    for nodes in [1, 3, 9, 73, 195] {
        for rate in [0.0, 0.3, 1.0, 1.4, 12.0, 250.0] {
            let mut fleet = Fleet::of(nodes);
            fleet.set_limit(rate, 0);
            fleet.send_all(rate, 0, 12_000);
            let most = fleet.max_in_window(KEPT_AFTER_MS);
            assert!(
                most <= allowed(rate),
                "{nodes} nodes, {rate}: {most} of {}",
                allowed(rate)
            );
            let used = fleet.sent_ms.len() as f64;
            assert!(used >= rate * 12.0 * 0.7, "{nodes} nodes, {rate}: {used}");
        }
    }
}

/// Guards against nodes that receive nothing from each other and each regard themselves as holders of a
/// limit. They know of each other, and use only their part.
#[test]
fn groups_without_contact_keep_a_limit_together() {
    for groups in [2, 3, 9] {
        for rate in [0.0, 1.0, 1.4, 12.0] {
            let mut fleet = Fleet::of(9);
            fleet.set_limit(rate, 0);
            fleet.send_all(rate, 0, 4_000);
            for (node, group) in fleet.groups.iter_mut().enumerate() {
                *group = Some(node % groups);
            }
            fleet.send_all(rate, 4_000, 12_000);
            let most = fleet.max_in_window(KEPT_AFTER_MS);
            assert!(most <= allowed(rate), "{groups} groups, {rate}: {most}");
        }
    }
}

/// Guards against an engine without work, or with a burst of it, after the node that held its limit
/// died. Another node takes over.
#[test]
fn a_holder_that_dies_is_replaced_without_a_burst() {
    let mut fleet = Fleet::of(9);
    fleet.set_limit(1.0, 0);
    fleet.send_all(1.0, 0, 4_000);
    let sent = fleet.sent_ms.len();
    let holds = |fleet: &Fleet, node: usize| {
        let admission = fleet.limits[node].admission(REPLICA, MonoMs(4_000));
        admission != Admission::OtherNodes
    };
    let holder = (0..9).find(|node| holds(&fleet, *node)).expect("a holder");
    fleet.groups[holder] = None;
    fleet.send_all(1.0, 4_000, 10_000);
    assert!(fleet.max_in_window(KEPT_AFTER_MS) <= allowed(1.0));
    assert!(fleet.sent_ms.len() >= sent + 4, "{:?}", fleet.sent_ms);
}

/// Guards against a limit that is exceeded while it changes from answer to answer, with unreadable ones in
/// between. The last readable limit applies, and earlier requests don't count against it twice.
#[test]
fn a_limit_that_changes_is_kept_as_last_set() {
    let mut fleet = Fleet::of(3);
    for (turn, rate) in [12.0, 1.0, 12.0, 0.0, 1.0].into_iter().enumerate() {
        let from_ms = turn as u64 * 8_000;
        fleet.set_limit(rate, from_ms);
        for limits in &mut fleet.limits {
            let report = answered(LimitSignal::Unreadable, from_ms + 1);
            assert_eq!(limits.on_answer(REPLICA, report, MonoMs(from_ms + 1)), None);
        }
        fleet.sent_ms.clear();
        fleet.send_all(rate, from_ms, from_ms + 8_000);
        let most = fleet.max_in_window(from_ms + KEPT_AFTER_MS);
        assert!(most <= allowed(rate), "{rate}: {most}");
        assert!(!fleet.sent_ms.is_empty(), "{rate}");
    }
}

/// Guards against answers of a recovered engine that overtake each other. Only an answer to something
/// sent after the limit was last set ends it.
#[test]
fn only_a_newer_answer_ends_a_limit() {
    let mut limits = Limits::default();
    let at = MonoMs;
    let change = limits.on_answer(REPLICA, answered(set_to(1.0), 50), at(100));
    assert_eq!(change, Some(LimitChange::Set(PerSecond(1.0))));
    let overtaken = answered(LimitSignal::Absent, 90);
    assert_eq!(limits.on_answer(REPLICA, overtaken, at(120)), None);
    assert!(limits.is_limited(REPLICA));
    let newer = answered(LimitSignal::Absent, 110);
    let change = limits.on_answer(REPLICA, newer, at(130));
    assert_eq!(change, Some(LimitChange::Ended));
    assert_eq!(limits.admission(REPLICA, at(130)), Admission::Now);
}

/// Guards against a probe's answer that ends a limit although the engine's probe answers never carry it:
/// the engine then got all its requests back after each probe. A probe's answer ends a limit only if
/// probe answers carry it; an order's answer never does.
#[test]
fn a_probe_ends_only_a_limit_that_probes_carry() {
    for (probes_carry_limit, source, ends) in [
        (false, Source::Probe, false),
        (true, Source::Probe, true),
        (true, Source::Order, false),
        (false, Source::Answer, true),
    ] {
        let mut limits = Limits::default();
        limits.on_answer(REPLICA, answered(set_to(1.0), 0), MonoMs(10));
        if probes_carry_limit {
            let probe = LimitReport {
                source: Source::Probe,
                ..answered(set_to(1.0), 20)
            };
            limits.on_answer(REPLICA, probe, MonoMs(30));
        }
        let silent = LimitReport {
            source,
            ..answered(LimitSignal::Absent, 40)
        };
        let change = limits.on_answer(REPLICA, silent, MonoMs(50));
        let expected = ends.then_some(LimitChange::Ended);
        assert_eq!(change, expected, "{probes_carry_limit} {source:?}");
    }
}

/// Guards against gossip of a limit and of its end that arrives twice or in another order. The newest
/// report of the replica applies.
#[test]
fn the_newest_report_applies_in_any_order() {
    let notice = |rate: Option<f64>, age_ms| LimitNotice {
        replica: REPLICA,
        rate: rate.map(PerSecond),
        age_ms: SpanMs(age_ms),
        probes_carry_limit: false,
    };
    let notices = [
        notice(Some(1.0), 900),
        notice(Some(2.0), 700),
        notice(None, 500),
        notice(Some(3.0), 300),
    ];
    for first in 0..4 {
        for second in 0..4 {
            let mut limits = Limits::default();
            for at in [first, second, 3, 2, 1, 0] {
                limits.on_notified(&notices[at], MonoMs(1_000));
            }
            let known = limits
                .notice(REPLICA, MonoMs(1_000))
                .expect("the limit is known");
            assert_eq!(known.rate, Some(PerSecond(3.0)), "{first} {second}");
        }
    }
    let mut limits = Limits::default();
    limits.on_notified(&notices[2], MonoMs(1_000));
    assert_eq!(limits.on_notified(&notices[1], MonoMs(1_001)), None);
    assert!(
        limits.is_empty(),
        "an end that arrives before an older limit applies"
    );
}

/// Guards against a node that missed the gossip of a limit's end. It sends nothing to the engine, so no
/// answer reports the end to it. The end is repeated for some time. A limit that no node reports any more
/// is forgotten, except by its holders.
#[test]
fn the_end_of_a_limit_reaches_every_node() {
    let peers: Vec<OwnerId> = (1..9).map(owner).collect();
    let mut holders = 0;
    for own in 0..9 {
        let live: Vec<OwnerId> = (0..9).filter(|n| *n != own).map(owner).collect();
        let mut limits = Limits::default();
        limits.on_answer(REPLICA, answered(set_to(1.0), 0), MonoMs(0));
        let nodes = Nodes {
            own: owner(own),
            heard: &live,
            known: 8,
        };
        limits.share(&nodes, MonoMs(0));
        let holds = limits.admission(REPLICA, MonoMs(0)) != Admission::OtherNodes;
        let expired = limits.expire(|_| true, MonoMs(11_000));
        assert_eq!(expired.is_empty(), holds);
        holders += usize::from(holds);
    }
    assert_eq!(holders, 1);

    let mut limits = Limits::default();
    limits.on_answer(REPLICA, answered(set_to(1.0), 0), MonoMs(0));
    let alone = Nodes {
        own: owner(0),
        heard: &[],
        known: peers.len(),
    };
    limits.share(&alone, MonoMs(0));
    limits.on_answer(REPLICA, answered(LimitSignal::Absent, 50), MonoMs(100));
    let again = limits.repeated_notices(MonoMs(1_000));
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].rate, again[0].age_ms), (None, SpanMs(900)));
    limits.expire(|_| true, MonoMs(20_000));
    assert!(limits.repeated_notices(MonoMs(20_000)).is_empty());
}

/// Guards against probes that alone use up an engine's limit. An engine with a limit is probed only if
/// it hasn't answered anything lately.
#[test]
fn a_limited_engine_is_probed_only_after_silence() {
    let mut limits = Limits::default();
    assert!(limits.admits_probe(REPLICA, MonoMs(0)));
    limits.on_answer(REPLICA, answered(set_to(1.0), 0), MonoMs(0));
    let alone = Nodes {
        own: owner(0),
        heard: &[],
        known: 0,
    };
    limits.share(&alone, MonoMs(0));
    let probed: BTreeMap<u64, bool> = [1_000, 3_000, 5_000]
        .into_iter()
        .map(|at| (at, limits.admits_probe(REPLICA, MonoMs(at))))
        .collect();
    assert_eq!(
        probed.into_values().collect::<Vec<_>>(),
        [false, false, true]
    );
    limits.on_sent(REPLICA, MonoMs(5_000));
    assert!(!limits.admits_probe(REPLICA, MonoMs(5_000)));
}

/// Guards against a limit of an earlier run that is applied after the engine started again or left.
#[test]
fn a_limit_ends_with_its_replica() {
    let mut limits = Limits::default();
    limits.on_answer(REPLICA, answered(set_to(1.0), 0), MonoMs(0));
    assert!(limits.expire(|key| key != REPLICA, MonoMs(1)).is_empty());
    assert!(limits.is_empty());
}

/// Guards against requests that are forwarded to peers without a share of the limit: all nodes agree on who holds
/// it, whatever the limit and the number of nodes.
#[test]
fn the_peers_that_hold_a_limit_are_those_with_a_share() {
    for (nodes, rate) in [(6, 0.2), (6, 2.0), (6, 40.0), (12, 3.0), (24, 9.0)] {
        let mut fleet = Fleet::of(nodes);
        fleet.set_limit(rate, 1_000);
        let now_ms = MonoMs(1_000);
        let peers: Vec<Vec<OwnerId>> = (0..nodes).map(|node| fleet.live_peers_of(node)).collect();
        let known = nodes - 1;
        let of = |node: usize| Nodes {
            own: owner(node),
            heard: &peers[node],
            known,
        };
        for (node, limits) in fleet.limits.iter_mut().enumerate() {
            limits.share(&of(node), now_ms);
        }
        let holds = |limits: &Limits| limits.admission(REPLICA, now_ms) != Admission::OtherNodes;
        let holding: Vec<bool> = fleet.limits.iter().map(holds).collect();
        for node in 0..nodes {
            let mut found = fleet.limits[node].holding_peers(&of(node), REPLICA, 5);
            found.sort_unstable();
            let held = (0..nodes).filter(|other| *other != node && holding[*other]);
            let mut held: Vec<OwnerId> = held.map(owner).collect();
            held.sort_unstable();
            assert_eq!(found, held, "{nodes} nodes, {rate} a second");
        }
    }
}

/// Guards against a look-up whose cost and result grow with the number of nodes for each refused request.
#[test]
fn a_bounded_number_of_peers_that_hold_a_limit_is_returned() {
    let peers: Vec<OwnerId> = (1..985).map(owner).collect();
    let nodes = Nodes {
        own: owner(0),
        heard: &peers,
        known: peers.len(),
    };
    let mut limits = Limits::default();
    limits.on_answer(REPLICA, answered(set_to(2_000.0), 0), MonoMs(1_000));
    limits.share(&nodes, MonoMs(1_000));
    let found = limits.holding_peers(&nodes, REPLICA, 980);
    assert_eq!(found.len(), 16);
    assert!(found.iter().all(|peer| peers.contains(peer)));
}
