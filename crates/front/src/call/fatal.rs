//! Requests that end the replicas that run them: what a try shows of that, and whether the request
//! may be sent.

use super::Call;
use super::choose::Chosen;
use super::tries::TryError;
use crate::crash_checks::{CrashState, CrashWatch};
use crate::node::Node;
use crate::quarantine::{self, ObservedCrash};
use bluebell_base::prelude::*;
use bluebell_fleet::placement::Refusal;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// How long a failed try waits to know whether its replica has ended before it goes on: two hops to
/// the replica's VM. What comes later counts as well, for the next arrival.
const WAIT_MS: SpanMs = SpanMs(100);

/// How a connection broke under a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Break {
    /// What is known of the request there.
    pub evidence: Evidence,
    /// Whether the replica is known to have ended.
    pub ended: bool,
}

impl Break {
    /// The connection broke; the replica may live.
    pub fn of_connection(evidence: Evidence) -> Self {
        Self {
            evidence,
            ended: false,
        }
    }

    /// The replica is known to have started again.
    pub fn of_restart(evidence: Evidence) -> Self {
        Self {
            evidence,
            ended: true,
        }
    }
}

/// What is known of a request before its answer's head: streams have a head once they run, whole
/// answers only once they have run.
pub(super) fn before_head(call: &Call) -> Evidence {
    match call.route.kind {
        RouteKind::Stream { .. } => Evidence::Present,
        RouteKind::Idempotent | RouteKind::AtMostOnce => Evidence::Running,
    }
}

/// Takes down what a failed try shows of its request.
///
/// A request that ends its replica comes again at any node, and each time takes along all that the
/// next replica has in hand: one was sent 49 times within nine seconds by eight nodes, 31 of these tries
/// broke under it, and none was answered. So ends are counted by request, and told, before anything is sent again.
pub(super) async fn on_failed(call: &Call, chosen: &Chosen, error: &TryError) {
    let Some(broken) = error.broken else {
        return;
    };
    let node = call.node.clone();
    let end = ObservedCrash {
        request: call.head.request.clone(),
        digest: call.digest(),
        replica: chosen.replica.clone(),
        evidence: broken.evidence,
        at_ms: node.now_ms(),
    };
    if broken.ended {
        quarantine::on_crash(&node, end);
        return;
    }
    let found = node.crash_checks.ask(&node, &chosen.replica);
    let mut asked = found.clone();
    // What the directory has to tell comes later, and the caller may leave before.
    spawn_local(note_end(node.clone(), end.clone(), found));
    let asked = asked.wait_for(CrashState::is_asked);
    let asked = tokio::time::timeout(Duration::from(WAIT_MS), asked).await;
    if matches!(asked, Ok(Ok(state)) if *state == CrashState::Ended) {
        // Noted twice it counts once, and has to be before the request goes on.
        quarantine::on_crash(&node, end);
    }
}

/// Notes an end once it is known for one.
async fn note_end(node: Rc<Node>, end: ObservedCrash, mut found: CrashWatch) {
    // The check outlives whoever asks, so it is never gone without an answer.
    let found = found.wait_for(CrashState::is_final).await;
    let ended = matches!(found, Ok(state) if *state == CrashState::Ended);
    if ended {
        quarantine::on_crash(&node, end);
    }
}

/// Takes down that a request was served whole.
pub(super) fn on_served(call: &Call) {
    if may_be_known(call) {
        quarantine::on_served(&call.node, call.digest());
    }
}

fn may_be_known(call: &Call) -> bool {
    call.node
        .with(|state| state.quarantine.may_contain(&call.body))
}

/// Why the request isn't run; none where it may be.
pub(super) fn refusal(call: &Call) -> Option<Refusal> {
    if !may_be_known(call) {
        return None;
    }
    let node: &Rc<Node> = &call.node;
    let digest = call.digest();
    let now_ms = node.now_ms();
    let status = node.with(|state| state.quarantine.status(&digest, now_ms));
    let QuarantineStatus::Quarantined { review_in_ms } = status else {
        return None;
    };
    if review_in_ms == SpanMs::ZERO && is_tried(call, &digest) {
        return None;
    }
    let retry_after_ms = review_in_ms.max(LEAST_RETRY_MS);
    Some(Refusal::Quarantined { retry_after_ms })
}

/// When a caller is asked back whose request is being tried: a trial ends within seconds.
const LEAST_RETRY_MS: SpanMs = SpanMs(10_000);

/// Whether this arrival is the one that tries the request again.
fn is_tried(call: &Call, digest: &RequestDigest) -> bool {
    if call.on_trial.get() {
        return true;
    }
    let node = &call.node;
    if !quarantine::is_reviewer(node, digest) {
        return false;
    }
    let now_ms = node.now_ms();
    let begun = node.with(|state| state.quarantine.begin_trial(digest, now_ms));
    call.on_trial.set(begun);
    begun
}
