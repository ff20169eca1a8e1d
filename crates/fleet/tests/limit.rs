//! Limits that replicas name: what nodes make of them, each by what it heard.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::collections::BTreeMap;

/// The span in which a replica counts.
const WINDOW_MS: u64 = 4_000;

/// How long after the first word on a limit it is kept.
const KEPT_AFTER_MS: u64 = 3_000;

const REPLICA: ReplicaKey = ReplicaKey(7);

/// What a replica may get within a window.
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

fn named(rate: f64) -> LimitSignal {
    LimitSignal::Set(PerSecond(rate))
}

/// Nodes that all want to send at each moment, and hear only those of their own group.
struct Fleet {
    limits: Vec<Limits>,
    /// The group of each node; none where it is gone.
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

    fn heard_by(&self, node: usize) -> Vec<OwnerId> {
        let others = (0..self.groups.len()).filter(|other| *other != node);
        let heard = others.filter(|other| self.groups[*other] == self.groups[node]);
        heard.map(owner).collect()
    }

    /// All nodes hear of the limit at once.
    fn name(&mut self, rate: f64, now_ms: u64) {
        for limits in &mut self.limits {
            limits.on_answer(REPLICA, answered(named(rate), now_ms), MonoMs(now_ms));
        }
    }

    /// Every node sends whenever it may; each answer names `rate` to whoever asked, and the nodes of
    /// its group hear of that.
    fn press(&mut self, rate: f64, from_ms: u64, to_ms: u64) {
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
            let heard = self.heard_by(node);
            let nodes = Nodes {
                own: owner(node),
                heard: &heard,
                known: self.limits.len() - 1,
            };
            self.limits[node].share(&nodes, at_ms);
        }
        while self.limits[node].admission(REPLICA, at_ms) == Admission::Now {
            self.limits[node].on_sent(REPLICA, at_ms);
            self.limits[node].on_answer(REPLICA, answered(named(rate), now_ms), at_ms);
            self.sent_ms.push(now_ms);
        }
    }

    /// The most requests in a window that ends after `from_ms`.
    fn most(&self, from_ms: u64) -> usize {
        let ends = self.sent_ms.iter().filter(|end| **end >= from_ms);
        let counts = ends.map(|end| {
            let within = |at: &&u64| **at + WINDOW_MS > *end && *at <= end;
            self.sent_ms.iter().filter(within).count()
        });
        counts.max().unwrap_or(0)
    }
}

/// An engine that takes one request a second got one from each of three hundred nodes. Whatever the limit
/// and however many nodes there are, all together stay within it, and use most of it.
#[test]
fn all_nodes_together_keep_a_limit() {
    for nodes in [1, 3, 9, 73, 195] {
        for rate in [0.0, 0.3, 1.0, 1.4, 12.0, 250.0] {
            let mut fleet = Fleet::of(nodes);
            fleet.name(rate, 0);
            fleet.press(rate, 0, 12_000);
            let most = fleet.most(KEPT_AFTER_MS);
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

/// Nodes that don't hear each other each take themselves for those that may send. They know of each other,
/// and take only their part.
#[test]
fn groups_that_do_not_hear_each_other_keep_a_limit_together() {
    for groups in [2, 3, 9] {
        for rate in [0.0, 1.0, 1.4, 12.0] {
            let mut fleet = Fleet::of(9);
            fleet.name(rate, 0);
            fleet.press(rate, 0, 4_000);
            for (node, group) in fleet.groups.iter_mut().enumerate() {
                *group = Some(node % groups);
            }
            fleet.press(rate, 4_000, 12_000);
            let most = fleet.most(KEPT_AFTER_MS);
            assert!(most <= allowed(rate), "{groups} groups, {rate}: {most}");
        }
    }
}

/// The node that may send to an engine dies. Another takes over, and neither does the engine stay without
/// work nor do the others all send at once.
#[test]
fn a_holder_that_dies_is_replaced_without_a_burst() {
    let mut fleet = Fleet::of(9);
    fleet.name(1.0, 0);
    fleet.press(1.0, 0, 4_000);
    let sent = fleet.sent_ms.len();
    let holds = |fleet: &Fleet, node: usize| {
        let admission = fleet.limits[node].admission(REPLICA, MonoMs(4_000));
        admission != Admission::OtherNodes
    };
    let holder = (0..9).find(|node| holds(&fleet, *node)).expect("a holder");
    fleet.groups[holder] = None;
    fleet.press(1.0, 4_000, 10_000);
    assert!(fleet.most(KEPT_AFTER_MS) <= allowed(1.0));
    assert!(fleet.sent_ms.len() >= sent + 4, "{:?}", fleet.sent_ms);
}

/// A limit falls and rises from one answer to the next, and what isn't a number stands between. The last
/// that could be read holds, and nothing sent before counts against it twice.
#[test]
fn a_limit_that_changes_is_kept_as_last_named() {
    let mut fleet = Fleet::of(3);
    for (turn, rate) in [12.0, 1.0, 12.0, 0.0, 1.0].into_iter().enumerate() {
        let from_ms = turn as u64 * 8_000;
        fleet.name(rate, from_ms);
        for limits in &mut fleet.limits {
            let heard = answered(LimitSignal::Unreadable, from_ms + 1);
            assert_eq!(limits.on_answer(REPLICA, heard, MonoMs(from_ms + 1)), None);
        }
        fleet.sent_ms.clear();
        fleet.press(rate, from_ms, from_ms + 8_000);
        let most = fleet.most(from_ms + KEPT_AFTER_MS);
        assert!(most <= allowed(rate), "{rate}: {most}");
        assert!(!fleet.sent_ms.is_empty(), "{rate}");
    }
}

/// An engine recovered, and an answer from before came after the one that said so, or the other way round.
/// Only an answer to what was sent after the limit was last named ends it.
#[test]
fn only_a_newer_answer_ends_a_limit() {
    let mut limits = Limits::default();
    let at = MonoMs;
    let change = limits.on_answer(REPLICA, answered(named(1.0), 50), at(100));
    assert_eq!(change, Some(LimitChange::Set(PerSecond(1.0))));
    let overtaken = answered(LimitSignal::Absent, 90);
    assert_eq!(limits.on_answer(REPLICA, overtaken, at(120)), None);
    assert!(limits.is_limited(REPLICA));
    let newer = answered(LimitSignal::Absent, 110);
    let change = limits.on_answer(REPLICA, newer, at(130));
    assert_eq!(change, Some(LimitChange::Ended));
    assert_eq!(limits.admission(REPLICA, at(130)), Admission::Now);
}

/// Looks say nothing of limits at some engines, and those that are at their limit got all their requests
/// back at each look. A look ends a limit only where looks name it; orders never do.
#[test]
fn a_look_ends_only_what_looks_name() {
    for (probes_carry_limit, source, ends) in [
        (false, Source::Probe, false),
        (true, Source::Probe, true),
        (true, Source::Order, false),
        (false, Source::Answer, true),
    ] {
        let mut limits = Limits::default();
        limits.on_answer(REPLICA, answered(named(1.0), 0), MonoMs(10));
        if probes_carry_limit {
            let look = LimitReport {
                source: Source::Probe,
                ..answered(named(1.0), 20)
            };
            limits.on_answer(REPLICA, look, MonoMs(30));
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

/// Gossip of a limit passes gossip of its end on the way, or comes twice. Whatever the order, the newest word
/// of the replica holds.
#[test]
fn the_newest_word_holds_whatever_comes_first() {
    let told = |rate: Option<f64>, age_ms| LimitNotice {
        replica: REPLICA,
        rate: rate.map(PerSecond),
        age_ms: SpanMs(age_ms),
        probes_carry_limit: false,
    };
    let words = [
        told(Some(1.0), 900),
        told(Some(2.0), 700),
        told(None, 500),
        told(Some(3.0), 300),
    ];
    for first in 0..4 {
        for second in 0..4 {
            let mut limits = Limits::default();
            for at in [first, second, 3, 2, 1, 0] {
                limits.on_notified(&words[at], MonoMs(1_000));
            }
            let known = limits.notice(REPLICA, MonoMs(1_000)).expect("it is known");
            assert_eq!(known.rate, Some(PerSecond(3.0)), "{first} {second}");
        }
    }
    let mut limits = Limits::default();
    limits.on_notified(&words[2], MonoMs(1_000));
    assert_eq!(limits.on_notified(&words[1], MonoMs(1_001)), None);
    assert!(limits.is_empty(), "an end that was told first holds");
}

/// The gossip that a limit has ended was lost on its way to one node, which sends nothing there and so never
/// hears it from the engine. It is told again for a while; and a limit of which nobody tells any more is
/// forgotten, but by those that may send.
#[test]
fn the_end_of_a_limit_reaches_every_node() {
    let heard: Vec<OwnerId> = (1..9).map(owner).collect();
    let mut holders = 0;
    for own in 0..9 {
        let heard: Vec<OwnerId> = (0..9).filter(|n| *n != own).map(owner).collect();
        let mut limits = Limits::default();
        limits.on_answer(REPLICA, answered(named(1.0), 0), MonoMs(0));
        let nodes = Nodes {
            own: owner(own),
            heard: &heard,
            known: 8,
        };
        limits.share(&nodes, MonoMs(0));
        let holds = limits.admission(REPLICA, MonoMs(0)) != Admission::OtherNodes;
        let forgot = limits.expire(|_| true, MonoMs(11_000));
        assert_eq!(forgot.is_empty(), holds);
        holders += usize::from(holds);
    }
    assert_eq!(holders, 1);

    let mut limits = Limits::default();
    limits.on_answer(REPLICA, answered(named(1.0), 0), MonoMs(0));
    let alone = Nodes {
        own: owner(0),
        heard: &[],
        known: heard.len(),
    };
    limits.share(&alone, MonoMs(0));
    limits.on_answer(REPLICA, answered(LimitSignal::Absent, 50), MonoMs(100));
    let again = limits.repeated_notices(MonoMs(1_000));
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].rate, again[0].age_ms), (None, SpanMs(900)));
    limits.expire(|_| true, MonoMs(20_000));
    assert!(limits.repeated_notices(MonoMs(20_000)).is_empty());
}

/// Looks alone took all that an engine had named. It is looked at only where nothing else is heard of it.
#[test]
fn a_limited_engine_is_looked_at_only_where_it_is_quiet() {
    let mut limits = Limits::default();
    assert!(limits.admits_probe(REPLICA, MonoMs(0)));
    limits.on_answer(REPLICA, answered(named(1.0), 0), MonoMs(0));
    let alone = Nodes {
        own: owner(0),
        heard: &[],
        known: 0,
    };
    limits.share(&alone, MonoMs(0));
    let looked: BTreeMap<u64, bool> = [1_000, 3_000, 5_000]
        .into_iter()
        .map(|at| (at, limits.admits_probe(REPLICA, MonoMs(at))))
        .collect();
    assert_eq!(
        looked.into_values().collect::<Vec<_>>(),
        [false, false, true]
    );
    limits.on_sent(REPLICA, MonoMs(5_000));
    assert!(!limits.admits_probe(REPLICA, MonoMs(5_000)));
}

/// An engine started again, or left. What its earlier run named says nothing of the next.
#[test]
fn a_limit_goes_with_its_replica() {
    let mut limits = Limits::default();
    limits.on_answer(REPLICA, answered(named(1.0), 0), MonoMs(0));
    assert!(limits.expire(|key| key != REPLICA, MonoMs(1)).is_empty());
    assert!(limits.is_empty());
}
