//! Refusals of upstreams, and peers' reports of them.

use bluebell_base::prelude::*;
use bluebell_members::refusals::Refusals;

const KEEP_MS: SpanMs = SpanMs(60_000);

fn name() -> UpstreamName {
    "writers-1".into()
}

/// An upstream refused work and came back. The nodes report the refusal to each other with every
/// probe, each a little later than the one before. The upstream must not stay excluded forever.
#[test]
fn peer_reports_end() {
    let mut nodes: Vec<Refusals> = (0..5).map(|_| Refusals::new(KEEP_MS)).collect();
    nodes[0].on_refusal(&name(), MonoMs(0));
    let mut last_ms = MonoMs(0);
    for second in 0..1_200u64 {
        let now_ms = MonoMs(second * 1_000);
        for node in &mut nodes {
            node.expire(MonoMs(now_ms.0.saturating_sub(1_000)), now_ms);
        }
        let (from, to) = (second as usize % 5, (second as usize * 2 + 1) % 5);
        for reported in nodes[from].names_for_peers(now_ms) {
            nodes[to].on_peer_report(&reported, now_ms);
        }
        if nodes.iter().any(|node| node.is_leaving(&name(), now_ms)) {
            last_ms = now_ms;
        }
    }
    // A refusal is reported for a third of the time in force, so the last node to receive it drops
    // it after 4/3 of that time.
    assert!(last_ms <= MonoMs(80_000), "{last_ms}");
}

/// An upstream keeps refusing. Each refusal restarts the time in force.
#[test]
fn each_refusal_restarts_the_time() {
    let mut refusals = Refusals::new(KEEP_MS);
    assert!(refusals.on_refusal(&name(), MonoMs(0)));
    assert!(
        !refusals.on_refusal(&name(), MonoMs(50_000)),
        "already known"
    );
    assert!(refusals.is_leaving(&name(), MonoMs(100_000)));
    assert_eq!(
        refusals.expire(MonoMs(109_000), MonoMs(111_000)),
        vec![name()]
    );
    assert!(
        !refusals.on_peer_report(&name(), MonoMs(115_000)),
        "repeated report"
    );
    assert!(
        refusals.on_refusal(&name(), MonoMs(116_000)),
        "refused again by the upstream"
    );
}
