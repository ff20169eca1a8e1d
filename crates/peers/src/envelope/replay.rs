//! Remembers the nonces of calls whose time still counts, so that a copied call is refused.
//!
//! The failure: somebody on the network records a call, such as an old probe, and sends it again.
//! The guard holds because a call's time is signed with it: after the allowed skew it is refused
//! for its time, and until then its nonce is remembered. When more calls arrive than nonces are
//! kept, the older half is forgotten; every call is idempotent, so a replay then repeats an effect
//! but adds none.

use super::EnvelopeError;
use bluebell_base::prelude::*;
use std::collections::HashSet;

/// Nonces kept in each of the two generations.
const NONCES_KEPT: usize = 64 * 1024;

/// The nonces seen lately, in two generations that take turns.
#[derive(Debug)]
pub struct ReplayGuard {
    max_skew_ms: SpanMs,
    turned_ms: WallMs,
    current: HashSet<u64>,
    previous: HashSet<u64>,
}

impl ReplayGuard {
    /// A guard that takes calls whose time is within `max_skew_ms` of its own.
    pub fn new(max_skew_ms: SpanMs) -> Self {
        Self {
            max_skew_ms,
            turned_ms: WallMs::ZERO,
            current: HashSet::new(),
            previous: HashSet::new(),
        }
    }

    /// Takes a call's nonce once.
    pub fn take(
        &mut self,
        now_ms: WallMs,
        sent_ms: WallMs,
        nonce: u64,
    ) -> Result<(), EnvelopeError> {
        if now_ms.0.abs_diff(sent_ms.0) > self.max_skew_ms.0 {
            return Err(EnvelopeError::BadTime);
        }
        self.turn(now_ms);
        if self.previous.contains(&nonce) || !self.current.insert(nonce) {
            return Err(EnvelopeError::Replayed);
        }
        Ok(())
    }

    /// A call counts from its time less the skew to its time plus the skew, so a generation that
    /// lasts twice the skew outlives every call taken in the one before.
    fn turn(&mut self, now_ms: WallMs) {
        let aged = now_ms.saturating_sub(self.turned_ms).0 > 2 * self.max_skew_ms.0;
        if !aged && self.current.len() < NONCES_KEPT {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
        self.turned_ms = now_ms;
    }
}
