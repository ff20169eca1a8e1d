//! Upstreams' own refusals, and what peers tell of them.

use bluebell_base::prelude::*;
use bluebell_members::evidence::Evidence;

const KEEP_MS: SpanMs = SpanMs(60_000);

fn name() -> UpstreamName {
    "writers-1".into()
}

/// An upstream refused work and came back. The nodes that heard of it tell each other at every
/// probe, each a moment later than the last; the upstream must not stay shut out for ever.
#[test]
fn hearsay_dies_out() {
    let mut nodes: Vec<Evidence> = (0..5).map(|_| Evidence::new(KEEP_MS)).collect();
    nodes[0].on_refusal(&name(), MonoMs(0));
    let mut last_ms = MonoMs(0);
    for second in 0..1_200u64 {
        let now_ms = MonoMs(second * 1_000);
        for node in &mut nodes {
            node.expire(MonoMs(now_ms.0.saturating_sub(1_000)), now_ms);
        }
        let (from, to) = (second as usize % 5, (second as usize * 2 + 1) % 5);
        for told in nodes[from].to_tell(now_ms) {
            nodes[to].on_hearsay(&told, now_ms);
        }
        if nodes.iter().any(|node| node.counts(&name(), now_ms)) {
            last_ms = now_ms;
        }
    }
    // Told for a third of the time it counts, so the last to hear forgets it after 4/3 of it.
    assert!(last_ms <= MonoMs(80_000), "{last_ms}");
}

/// The upstream goes on to refuse: each refusal counts anew.
#[test]
fn refusals_count_anew() {
    let mut evidence = Evidence::new(KEEP_MS);
    assert!(evidence.on_refusal(&name(), MonoMs(0)));
    assert!(!evidence.on_refusal(&name(), MonoMs(50_000)), "no news");
    assert!(evidence.counts(&name(), MonoMs(100_000)));
    assert_eq!(
        evidence.expire(MonoMs(109_000), MonoMs(111_000)),
        vec![name()]
    );
    assert!(
        !evidence.on_hearsay(&name(), MonoMs(115_000)),
        "old hearsay"
    );
    assert!(
        evidence.on_refusal(&name(), MonoMs(116_000)),
        "its own word again"
    );
}
