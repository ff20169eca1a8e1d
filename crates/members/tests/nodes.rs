//! Which nodes answer, and which are known to be dead.

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

/// A process is replaced at its address: the one that answers later is the live one.
#[test]
fn a_replaced_process_is_dead() {
    let mut nodes = nodes();
    assert_eq!(nodes.on_answer(&card(1), MonoMs(10), MonoMs(20)), None);
    assert_eq!(nodes.on_answer(&card(1), MonoMs(30), MonoMs(40)), None);
    let dead = nodes.on_answer(&card(2), MonoMs(50), MonoMs(60));
    assert_eq!(dead, Some(Incarnation(1)));
}

/// Two probes were under way while the process was replaced, and the answer of the old one comes
/// last. The new one must not be taken for dead.
#[test]
fn crossed_answers_prove_nothing() {
    let mut nodes = nodes();
    assert_eq!(nodes.on_answer(&card(2), MonoMs(15), MonoMs(20)), None);
    assert_eq!(nodes.on_answer(&card(1), MonoMs(10), MonoMs(30)), None);
    assert_eq!(nodes.on_answer(&card(2), MonoMs(40), MonoMs(50)), None);
}

/// A peer's card that waited in a queue says who it was, but is no proof of a death.
#[test]
fn suspicion_takes_three_failures() {
    let mut nodes = nodes();
    assert!(nodes.on_card(&card(1)));
    assert!(!nodes.on_failure(&card(1).address));
    assert!(!nodes.on_failure(&card(1).address));
    assert!(nodes.on_failure(&card(1).address), "suspected now");
    assert!(nodes.live().is_empty());
    assert!(nodes.on_card(&card(1)), "it is back");
    assert_eq!(nodes.live(), vec![card(1)]);
    assert!(
        !nodes.on_unlisted(&card(1).address),
        "it answers, whatever the list says"
    );
    assert_eq!(nodes.live(), vec![card(1)]);
}
