//! The liveness of nodes and the detection of dead incarnations.

use bluebell_base::prelude::*;
use bluebell_members::nodes::Nodes;
use bluebell_peers::NodeCard;

fn card(incarnation: u64) -> NodeCard {
    NodeCard {
        name: "vm-1".into(),
        incarnation: Incarnation(incarnation),
        address: "10.0.0.1:9000".into(),
        domain: "galway-a".into(),
        config: ConfigVersion(0),
        leaving: false,
    }
}

fn nodes() -> Nodes {
    let mut nodes = Nodes::new("10.0.0.9:9000".into());
    nodes.on_candidate(&card(1).address);
    nodes
}

/// A process is replaced at its address. The incarnation that answered before is dead.
#[test]
fn a_replaced_process_is_dead() {
    let mut nodes = nodes();
    assert_eq!(nodes.on_answer(&card(1), MonoMs(10), MonoMs(20)), None);
    assert_eq!(nodes.on_answer(&card(1), MonoMs(30), MonoMs(40)), None);
    let dead = nodes.on_answer(&card(2), MonoMs(50), MonoMs(60));
    assert_eq!(dead, Some(Incarnation(1)));
}

/// Two probes were under way while the process was replaced, and the old process's answer arrives
/// last. The new process must not be considered dead.
#[test]
fn crossed_answers_prove_nothing() {
    let mut nodes = nodes();
    assert_eq!(nodes.on_answer(&card(2), MonoMs(15), MonoMs(20)), None);
    assert_eq!(nodes.on_answer(&card(1), MonoMs(10), MonoMs(30)), None);
    assert_eq!(nodes.on_answer(&card(2), MonoMs(40), MonoMs(50)), None);
}

/// A node is suspected after three failed probes in a row and live again after its next card. A live
/// node that the list no longer names is kept.
#[test]
fn suspicion_takes_three_failures() {
    let mut nodes = nodes();
    assert!(nodes.on_card(&card(1)));
    assert!(!nodes.on_failure(&card(1).address));
    assert!(!nodes.on_failure(&card(1).address));
    assert!(nodes.on_failure(&card(1).address), "suspected now");
    assert!(nodes.live().is_empty());
    assert!(nodes.on_card(&card(1)), "live again");
    assert_eq!(nodes.live(), vec![card(1)]);
    assert!(
        !nodes.on_unlisted(&card(1).address),
        "a live node is kept, regardless of the list"
    );
    assert_eq!(nodes.live(), vec![card(1)]);
}
