//! The view of the caches: bounded, forgetful after gaps, and sure of whole beginnings only.

use super::{CAPACITY, CacheView};
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
fn it_keeps_a_bounded_number_of_prefixes() {
    let mut view = CacheView::default();
    for hash in 0..3 * CAPACITY as u64 {
        view.on_events(UpstreamId(0), &[event(hash, true)], false);
    }
    assert_eq!(view.sizes(), (CAPACITY, CAPACITY));
    assert_eq!(covering(&view, &[0]), []);
}

#[test]
fn what_is_covered_ends_at_the_first_prefix_that_nobody_holds() {
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

/// Events were lost: an eviction may be among them, so nothing is believed of that engine.
#[test]
fn a_gap_makes_beliefs_of_that_engine_void() {
    let mut view = CacheView::default();
    view.on_events(UpstreamId(1), &[event(1, true)], false);
    view.on_events(UpstreamId(2), &[event(1, true)], false);
    view.on_events(UpstreamId(1), &[event(9, true)], true);
    assert_eq!(covering(&view, &[1]), [(UpstreamId(2), Tokens(512))]);
}
