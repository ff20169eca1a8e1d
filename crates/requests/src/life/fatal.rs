//! Requests that end the engines that generate for them: what the end of an attempt shows of that,
//! and whether the request goes on.
//!
//! Invariants: an end counts only where the engine had accepted the work and is gone, or knows
//! nothing of it any more.

use super::{Context, Life, Phase};
use bluebell_base::prelude::*;
use bluebell_quarantine::prelude::*;
use rustc_hash::FxHasher;
use std::hash::Hasher;

/// What ends on one engine within this time ended with one run of it: an engine takes longer to
/// start.
const ONE_RUN_MS: u64 = 1_000;

impl Life {
    /// The engine that has the request lost it, with its process or its VM.
    ///
    /// A prompt that ends its engine goes on to the next, and comes again from its caller: within
    /// twelve seconds of repeats each quarter of a second 56 engines ended. So ends are counted by
    /// what was asked for, over all requests that ask for the same.
    pub(crate) fn on_engine_lost(&mut self, cx: &mut Context<'_>) {
        let Phase::Running(run) = &self.phase else {
            return;
        };
        let Some(digest) = self.digest.filter(|_| run.accepted) else {
            return;
        };
        let lost = run_of(run.upstream, cx.now_ms);
        cx.quarantine
            .on_crash(digest, lost, Evidence::Running, cx.now_ms);
    }

    /// The request was answered whole.
    pub(crate) fn on_served(&self, cx: &mut Context<'_>) {
        if let Some(digest) = self.digest {
            cx.quarantine.clear(digest, cx.now_ms);
        }
    }

    /// Why the request may go to no other engine; none where it may.
    pub(crate) fn quarantined(&self, cx: &mut Context<'_>) -> Option<Error> {
        quarantined(cx.quarantine, self.digest.as_ref()?, cx.now_ms)
    }
}

/// Why a request isn't run; none where it may be. At its review one is run all the same.
pub(crate) fn quarantined(
    quarantine: &mut Quarantine,
    digest: &RequestDigest,
    now_ms: MonoMs,
) -> Option<Error> {
    quarantine.expire(now_ms);
    quarantine.judge(now_ms);
    let QuarantineStatus::Quarantined { review_in_ms } = quarantine.status(digest, now_ms) else {
        return None;
    };
    if quarantine.begin_trial(digest, now_ms) {
        return None;
    }
    let why = "each engine that ran it has ended";
    let error = Error::not_run(ErrorKind::Unavailable, why);
    Some(error.retry_after(review_in_ms.max(LEAST_RETRY_MS)))
}

/// When a caller is asked back whose request is being tried: a trial ends within seconds.
const LEAST_RETRY_MS: SpanMs = SpanMs(10_000);

/// The run of an engine that ended now.
fn run_of(upstream: UpstreamId, now_ms: MonoMs) -> ServerRun {
    let mut hasher = FxHasher::default();
    hasher.write_usize(upstream.index());
    hasher.write_u64(now_ms.0 / ONE_RUN_MS);
    ServerRun((hasher.finish() >> 32) as u32)
}
