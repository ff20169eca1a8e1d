//! Tests of the paces of engines and of the choice of the node that probes each one.

use bluebell_base::prelude::*;
use bluebell_fleet::pace::ProbeRange;
use bluebell_fleet::prelude::*;

/// Guards against engines that no node probes, so that prompts wait for a slow one, and against
/// every node paying for the probes. Of nodes that know each other exactly one must probe each
/// engine, and when a node leaves only its engines move.
#[test]
fn exactly_one_node_probes_an_engine() {
    let nodes: Vec<OwnerId> = (1..=73u64)
        .map(|n| OwnerId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
        .collect();
    let probers = |nodes: &[OwnerId], engine: u32| -> Vec<OwnerId> {
        let others = |own: &OwnerId| {
            nodes
                .iter()
                .copied()
                .filter(|n| n != own)
                .collect::<Vec<_>>()
        };
        let probing = nodes
            .iter()
            .filter(|own| ProbeRange::of(**own, &others(own)).contains(ReplicaKey(engine)));
        probing.copied().collect()
    };
    let mut moved = 0;
    for engine in 0..69 {
        let all = probers(&nodes, engine);
        assert_eq!(all.len(), 1, "engine {engine}");
        let fewer = probers(&nodes[1..], engine);
        assert_eq!(fewer.len(), 1, "engine {engine}");
        if all != fewer {
            assert_eq!(all[0], nodes[0]);
            moved += 1;
        }
    }
    assert!(moved < 10, "{moved}");
    assert!(
        ProbeRange::of(nodes[0], &[]).contains(ReplicaKey(1)),
        "a single node probes all engines"
    );
}

/// Guards against nodes that probe far more engines than others.
#[test]
fn no_node_probes_many_engines() {
    let nodes: Vec<OwnerId> = (1..=985u64)
        .map(|n| OwnerId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
        .collect();
    let engines = (0..940u32).map(|n| ReplicaKey(n.wrapping_mul(0x9e37_79b9)));
    let engines: Vec<ReplicaKey> = engines.collect();
    let probes = |own: usize| {
        let mut peers = nodes.clone();
        let own = peers.remove(own);
        let range = ProbeRange::of(own, &peers);
        engines.iter().filter(|key| range.contains(**key)).count()
    };
    let counts: Vec<usize> = (0..nodes.len()).map(probes).collect();
    assert_eq!(counts.iter().sum::<usize>(), engines.len());
    assert!(counts.iter().all(|count| *count <= 16));
}

/// Guards against an engine that gets no work for the rest of the day. It was slow once, the node
/// that had reported it was cut off, and its report never expired.
#[test]
fn a_report_that_is_not_repeated_expires() {
    let mut paces = Paces::default();
    let key = ReplicaKey(1);
    assert!(paces.note(key, Pace::new(4.0), MonoMs(1_000)));
    assert!(
        !paces.note(key, Pace::new(4.0), MonoMs(2_000)),
        "a repeated report is nothing new"
    );
    assert_eq!(paces.of(key, MonoMs(4_000)).slowdown(), 4.0);
    assert_eq!(paces.of(key, MonoMs(6_000)), Pace::CONFIGURED);
    assert!(paces.note(key, Pace::new(4.0), MonoMs(7_000)));
    assert!(paces.note(key, Pace::new(1.0), MonoMs(7_500)));
    assert_eq!(paces.of(key, MonoMs(7_600)), Pace::CONFIGURED);
}

#[test]
fn paces_parse_as_they_are_printed() {
    for (slowdown, text) in [
        (0.3, "x1.00"),
        (1.02, "x1.00"),
        (2.5, "x2.50"),
        (900.0, "x50.00"),
    ] {
        let pace = Pace::new(slowdown);
        assert_eq!(pace.to_string(), text);
        assert_eq!(text.parse(), Ok(pace));
    }
    assert!("2.5".parse::<Pace>().is_err());
    assert!("xNaN".parse::<Pace>().is_err());
}
