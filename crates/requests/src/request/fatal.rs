//! Fatal requests: detects the crash of an engine that runs a request, and stops the request if its
//! content is quarantined.
//!
//! Invariants: a crash counts only if the engine had accepted the work and is then gone, or no
//! longer knows the request.

use super::{Context, LiveRequest, Phase};
use bluebell_base::prelude::*;
use bluebell_quarantine::prelude::*;
use rustc_hash::FxHasher;
use std::hash::Hasher;

/// The time within which all crashes of one engine belong to the same run of it; an engine takes
/// longer than this to start.
const RUN_WINDOW_MS: u64 = 1_000;

impl LiveRequest {
    /// Records that the engine crashed with the request, by the loss of its process or its VM.
    ///
    /// A prompt that crashes its engine is sent to the next one, and its caller sends it again:
    /// within twelve seconds of repeats every quarter of a second, 56 engines crashed. Crashes are
    /// therefore counted by content, over all requests with the same digest.
    pub(crate) fn on_engine_lost(&mut self, cx: &mut Context<'_>) {
        let Phase::Running(run) = &self.phase else {
            return;
        };
        let Some(digest) = self.digest.filter(|_| run.accepted) else {
            return;
        };
        let lost = server_run(run.upstream, cx.now_ms);
        cx.quarantine
            .on_crash(digest, lost, Evidence::Running, cx.now_ms);
    }

    /// Clears the quarantine of the request's content, which an engine has answered completely.
    pub(crate) fn clear_quarantine(&self, cx: &mut Context<'_>) {
        if let Some(digest) = self.digest {
            cx.quarantine.clear(digest, cx.now_ms);
        }
    }

    /// Returns the error if the request may not be sent to another engine; `None` if it may.
    pub(crate) fn quarantine_refusal(&self, cx: &mut Context<'_>) -> Option<Error> {
        quarantine_refusal(cx.quarantine, self.digest.as_ref()?, cx.now_ms)
    }
}

/// Returns the error if the request's content is quarantined. Returns `None` if it may run, which
/// includes one trial run per review.
pub(crate) fn quarantine_refusal(
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
    Some(error.retry_after(review_in_ms.max(MIN_RETRY_AFTER_MS)))
}

/// The shortest retry delay for quarantined content; a trial run that is under way ends within
/// seconds.
const MIN_RETRY_AFTER_MS: SpanMs = SpanMs(10_000);

/// Identifies the run of an engine that crashed at `now_ms`.
fn server_run(upstream: UpstreamId, now_ms: MonoMs) -> ServerRun {
    let mut hasher = FxHasher::default();
    hasher.write_usize(upstream.index());
    hasher.write_u64(now_ms.0 / RUN_WINDOW_MS);
    ServerRun((hasher.finish() >> 32) as u32)
}
