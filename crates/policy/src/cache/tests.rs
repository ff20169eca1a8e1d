//! The view of the caches is bounded, drops its contents after gaps, and counts only prefixes that
//! are held without interruption.

use super::{CacheView, MAX_PREFIXES};
use crate::job::Prefix;
use bluebell_base::prelude::*;
use bluebell_upstreams::engine::CacheEvent;

fn event(hash: u64, stored: bool) -> CacheEvent {
    CacheEvent {
        prefix_hash: hash,
        tokens: Tokens(512),
        stored,
    }
}

fn covering(view: &CacheView, hashes: &[u64]) -> Vec<(UpstreamId, Tokens)> {
    let prefix = |(i, hash): (usize, &u64)| Prefix {
        hash: *hash,
        tokens: Tokens((i as u64 + 1) * 512),
    };
    let prefixes: Vec<_> = hashes.iter().enumerate().map(prefix).collect();
    let mut out = Vec::new();
    view.covering(&prefixes, &mut out);
    out
}

#[test]
fn the_number_of_prefixes_is_bounded() {
    let mut view = CacheView::default();
    for hash in 0..3 * MAX_PREFIXES as u64 {
        view.on_events(UpstreamId(0), &[event(hash, true)], false);
    }
    assert_eq!(view.sizes(), (MAX_PREFIXES, MAX_PREFIXES));
    assert_eq!(covering(&view, &[0]), []);
}

#[test]
fn coverage_ends_at_the_first_prefix_that_no_engine_holds() {
    let mut view = CacheView::default();
    let stored = [event(1, true), event(2, true), event(4, true)];
    view.on_events(UpstreamId(7), &stored, false);
    assert_eq!(
        covering(&view, &[1, 2, 3, 4]),
        [(UpstreamId(7), Tokens(1_024))]
    );
    view.on_events(UpstreamId(7), &[event(2, false)], false);
    assert_eq!(covering(&view, &[1, 2]), [(UpstreamId(7), Tokens(512))]);
}

/// An eviction may be among the lost events, so nothing may be assumed of that engine's cache.
#[test]
fn a_gap_clears_the_prefixes_of_that_engine() {
    let mut view = CacheView::default();
    view.on_events(UpstreamId(1), &[event(1, true)], false);
    view.on_events(UpstreamId(2), &[event(1, true)], false);
    view.on_events(UpstreamId(1), &[event(9, true)], true);
    assert_eq!(covering(&view, &[1]), [(UpstreamId(2), Tokens(512))]);
}
