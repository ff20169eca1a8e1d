//! Refuses replayed calls by remembering the nonces of calls whose time is still accepted.
//!
//! Guards against somebody on the network who records a call, such as an old probe, and sends it
//! again. A call's time is signed with it: after the allowed skew the call is refused because of
//! its time, and until then its nonce is remembered. If more calls arrive than nonces are kept, the
//! older half is discarded. Every call is idempotent, so a replay then repeats an effect but adds
//! none.

use super::EnvelopeError;
use bluebell_base::prelude::*;
use std::collections::HashSet;

/// The maximum number of nonces in each of the two generations.
const MAX_NONCES_PER_GENERATION: usize = 64 * 1024;

/// The recently received nonces in two generations. The older one is discarded when the current one
/// is full or has expired.
#[derive(Debug)]
pub struct ReplayGuard {
    max_skew_ms: SpanMs,
    rotated_ms: WallMs,
    current: HashSet<u64>,
    previous: HashSet<u64>,
}

impl ReplayGuard {
    /// Returns a guard that accepts calls whose time differs from its own by at most `max_skew_ms`.
    pub fn new(max_skew_ms: SpanMs) -> Self {
        Self {
            max_skew_ms,
            rotated_ms: WallMs::ZERO,
            current: HashSet::new(),
            previous: HashSet::new(),
        }
    }

    /// Accepts a call's nonce once.
    ///
    /// # Errors
    /// `BadTime` if the call's time is outside the skew, `Replayed` if the nonce is remembered.
    pub fn take(
        &mut self,
        now_ms: WallMs,
        sent_ms: WallMs,
        nonce: u64,
    ) -> Result<(), EnvelopeError> {
        if now_ms.0.abs_diff(sent_ms.0) > self.max_skew_ms.0 {
            return Err(EnvelopeError::BadTime);
        }
        self.rotate(now_ms);
        if self.previous.contains(&nonce) || !self.current.insert(nonce) {
            return Err(EnvelopeError::Replayed);
        }
        Ok(())
    }

    /// Starts a new generation if the current one is full or has expired.
    ///
    /// A call is accepted from its time minus the skew to its time plus the skew. A generation that
    /// lasts twice the skew thus outlives every call accepted in the previous one.
    fn rotate(&mut self, now_ms: WallMs) {
        let expired = now_ms.saturating_sub(self.rotated_ms).0 > 2 * self.max_skew_ms.0;
        if !expired && self.current.len() < MAX_NONCES_PER_GENERATION {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
        self.rotated_ms = now_ms;
    }
}
