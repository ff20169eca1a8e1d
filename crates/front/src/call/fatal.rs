//! Requests that crash the replicas that run them: records the evidence of failed attempts, and
//! decides if a request may be sent.

use super::Call;
use super::choose::Chosen;
use super::guards::SuspectTrial;
use super::tries::TryError;
use crate::crash_checks::{CrashState, CrashWatch};
use crate::journal::Event;
use crate::node::Node;
use crate::quarantine::{self, ObservedCrash};
use bluebell_base::prelude::*;
use bluebell_fleet::placement::Refusal;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// The longest time for which a failed attempt waits to learn if its replica has crashed: two hops
/// to the replica's VM. A crash found later is still recorded for the next arrival of the request.
const CRASH_CHECK_WAIT_MS: SpanMs = SpanMs(100);

/// A connection that broke while it carried a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Disconnect {
    /// The evidence that the replica was running the request.
    pub evidence: Evidence,
    /// True if the replica is known to have crashed.
    pub crashed: bool,
    /// The time from the first to the last event of the answer, or `None` if no event arrived.
    pub writing_ms: Option<SpanMs>,
}

impl Disconnect {
    /// Returns the description of a broken connection whose replica may still be alive.
    pub fn of_connection(evidence: Evidence) -> Self {
        Self {
            evidence,
            crashed: false,
            writing_ms: None,
        }
    }

    /// Returns the description of a replica that is known to have restarted.
    pub fn of_restart(evidence: Evidence) -> Self {
        Self {
            evidence,
            crashed: true,
            writing_ms: None,
        }
    }
}

/// Returns the evidence about a request whose answer's head hasn't arrived. A stream's head arrives
/// once the request runs, the head of a whole answer only after it has run.
pub(super) fn evidence_before_head(call: &Call) -> Evidence {
    match call.route.kind {
        RouteKind::Stream { .. } => Evidence::Present,
        RouteKind::Idempotent | RouteKind::AtMostOnce => Evidence::Running,
    }
}

/// Records what a failed attempt shows about its request.
///
/// A request that crashes its replica arrives again at any node, and each time the next replica
/// loses all its other work. One such request was sent 49 times within nine seconds by eight nodes;
/// 31 of these attempts broke off, and none was answered. Crashes are therefore counted by request
/// and reported to the peers before the request is sent again.
pub(super) async fn on_failed(call: &Call, replica: &Arc<Replica>, error: &TryError) {
    let Some(disconnect) = error.disconnect else {
        return;
    };
    // A part in quarantine is sent once in a trial, whatever is known of the replica by now.
    call.is_part_trial.set(false);
    let node = call.node.clone();
    let trial = call.suspect_trial.take();
    let crash = ObservedCrash {
        request: call.head.request.clone(),
        digest: call.digest(),
        parts: call.head.parts.clone(),
        replica: replica.clone(),
        evidence: disconnect.evidence,
        writing_ms: disconnect.writing_ms,
        at_ms: node.now_ms(),
        in_trial: trial.is_some(),
    };
    if disconnect.crashed {
        quarantine::on_crash(&node, crash);
        spawn_local(end_judged_trial(trial));
        return;
    }
    let state = node.crash_checks.check(&node, replica);
    // The directory's report arrives later, and the caller may leave before it.
    spawn_local(record_crash(
        node.clone(),
        crash.clone(),
        state.clone(),
        trial,
    ));
    // The crash must be recorded before the request is sent again. What the task above records as well
    // counts once.
    match once_probed(state).await {
        Some(CrashState::Crashed) => quarantine::on_crash(&node, crash),
        Some(CrashState::Alive | CrashState::Answering) => {}
        _ => quarantine::on_undecided(&node, &crash),
    }
}

/// Returns true if the replica of an attempt has crashed or refuses connections. An answer that ends with its
/// connection is cut by a crash without any other sign.
pub(super) async fn has_crashed(call: &Call, chosen: &Chosen) -> bool {
    let state = call.node.crash_checks.check(&call.node, &chosen.replica);
    let probed = once_probed(state).await;
    probed.is_some_and(|state| state.refuses())
}

/// Waits until the replica's address has been probed, and returns the state of the check, or `None` if that takes
/// too long.
async fn once_probed(mut state: CrashWatch) -> Option<CrashState> {
    let probed = state.wait_for(CrashState::is_probed);
    let probed = tokio::time::timeout(Duration::from(CRASH_CHECK_WAIT_MS), probed).await;
    Some(*probed.ok()?.ok()?)
}

/// Records a crash once the check has found one. Until then another trial of the same request would show no
/// more.
async fn record_crash(
    node: Rc<Node>,
    crash: ObservedCrash,
    mut state: CrashWatch,
    trial: Option<Rc<SuspectTrial>>,
) {
    // The check outlives the tasks that wait for it, so it always gives a result.
    let settled = state.wait_for(CrashState::is_settled).await;
    let crashed = settled.is_ok_and(|state| *state == CrashState::Crashed);
    let trial = trial.filter(|_| crashed);
    if !crashed {
        quarantine::on_alive(&node, &crash);
    }
    let found = state.wait_for(CrashState::is_final).await;
    if found.is_ok_and(|state| *state == CrashState::Crashed) {
        quarantine::on_crash(&node, crash);
        end_judged_trial(trial).await;
    }
}

/// Ends a trial once the crash of its replica has been judged.
async fn end_judged_trial(trial: Option<Rc<SuspectTrial>>) {
    if trial.is_some() {
        tokio::time::sleep(Duration::from(JUDGEMENT_MS)).await;
    }
}

/// Records that an answer that began at `began_ms` has been written for long enough that its parts don't
/// crash replicas.
pub(super) fn on_established(call: &Call, began_ms: MonoMs) {
    call.suspect_trial.take();
    let streams = matches!(call.route.kind, RouteKind::Stream { .. });
    if streams || !call.head.parts.is_empty() {
        quarantine::on_parts_served(&call.node, &call.head.parts, began_ms);
    }
}

/// Records that a request was served completely by an answer that began at `began_ms`.
pub(super) fn on_served(call: &Call, began_ms: MonoMs) {
    on_established(call, began_ms);
    if may_be_recorded(call) {
        quarantine::on_served(&call.node, call.digest());
    }
}

/// Returns true if the quarantine may have a record of the request.
fn may_be_recorded(call: &Call) -> bool {
    call.node
        .with(|state| state.quarantine.may_contain(&call.body))
}

/// Returns the refusal of a request that is in quarantine, or whose prompt has a part that is, or `None` if
/// the request may run.
pub(super) fn refusal(call: &Call) -> Option<Refusal> {
    part_refusal(call).or_else(|| request_refusal(call))
}

/// Returns the refusal of a request whose prompt has a part in quarantine.
fn part_refusal(call: &Call) -> Option<Refusal> {
    if call.is_part_trial.get() {
        return None;
    }
    let node = &call.node;
    let now_ms = node.now_ms();
    let parts = &call.head.parts;
    let quarantined = node.with(|state| state.parts.quarantined_of(parts, now_ms));
    let (part, review_in_ms) = quarantined.iter().max_by_key(|(_, review_ms)| *review_ms)?;
    if *review_in_ms == SpanMs::ZERO {
        let mut parts = quarantined.iter().map(|(part, _)| *part);
        let is_trial = parts.all(|part| quarantine::begin_part_trial(node, part));
        call.is_part_trial.set(is_trial);
        if is_trial {
            return None;
        }
    }
    Some(Refusal::PartQuarantined {
        part: part.id(),
        retry_after_ms: (*review_in_ms).max(MIN_QUARANTINE_RETRY_MS),
    })
}

/// Returns the refusal of a request that is in quarantine.
fn request_refusal(call: &Call) -> Option<Refusal> {
    if !may_be_recorded(call) {
        return None;
    }
    let node: &Rc<Node> = &call.node;
    let digest = call.digest();
    let now_ms = node.now_ms();
    let status = node.with(|state| state.quarantine.status(&digest, now_ms));
    let review_in_ms = match status {
        QuarantineStatus::Free => return None,
        QuarantineStatus::Suspected => return suspect_refusal(call, digest),
        QuarantineStatus::Quarantined { review_in_ms } => review_in_ms,
    };
    if review_in_ms == SpanMs::ZERO && may_run_as_trial(call, &digest) {
        return None;
    }
    let retry_after_ms = review_in_ms.max(MIN_QUARANTINE_RETRY_MS);
    Some(Refusal::Quarantined { retry_after_ms })
}

/// The retry time of a suspected request that isn't tried now. A trial takes about as long.
const SUSPECT_RETRY_MS: SpanMs = SpanMs(1_000);

/// Returns the refusal of a suspected request, or `None` if this arrival is its trial.
fn suspect_refusal(call: &Call, digest: RequestDigest) -> Option<Refusal> {
    let now_ms = call.node.now_ms();
    let mut trial = call.suspect_trial.borrow_mut();
    let awaits_judgement = call.node.with(|state| {
        let requests = &state.quarantine;
        requests.awaits_judgement(&digest, &state.parts, now_ms)
    });
    if trial.is_none() && !awaits_judgement && trial_peer(call).is_none() {
        *trial = SuspectTrial::begin(&call.node, digest).map(Rc::new);
    }
    match *trial {
        Some(_) => None,
        None => Some(Refusal::Suspected {
            retry_after_ms: SUSPECT_RETRY_MS,
        }),
    }
}

/// The longest time for which a suspected request waits for the trial of another arrival.
const MAX_TRIAL_WAIT_MS: SpanMs = SpanMs(500);

/// Waits while this node tries another arrival of the same request, which then may run or is in quarantine.
pub(super) async fn wait_for_trial(call: &Call) {
    let half_left_ms = SpanMs(call.left_ms().0 / 2);
    let until_ms = call.node.now_ms() + MAX_TRIAL_WAIT_MS.min(half_left_ms);
    loop {
        let ended = call.node.trial_ended.notified();
        let left_ms = until_ms.since(call.node.now_ms());
        if left_ms == SpanMs::ZERO || !is_tried_by_another(call) {
            return;
        }
        // The time limit is checked above.
        let _ = tokio::time::timeout(Duration::from(left_ms), ended).await;
    }
}

/// Returns true if this node tries another arrival of the request.
fn is_tried_by_another(call: &Call) -> bool {
    let has_trials = call.node.with(|state| !state.suspect_trials.is_empty());
    if !has_trials || call.suspect_trial.borrow().is_some() || !may_be_recorded(call) {
        return false;
    }
    let digest = call.digest();
    call.node
        .with(|state| state.suspect_trials.is_running(&digest))
}

/// Returns the peer that tries the suspected requests of the service, or `None` if this node does.
pub(super) fn trial_peer(call: &Call) -> Option<OwnerId> {
    let owner = quarantine::trial_node(&call.node, &call.service.name);
    (owner != call.node.owner).then_some(owner)
}

/// Returns the replicas on which other suspected requests are tried, if this one is.
pub(super) fn replicas_of_other_trials(call: &Call) -> Vec<ReplicaKey> {
    if call.suspect_trial.borrow().is_none() {
        return Vec::new();
    }
    let digest = call.digest();
    call.node.with(|state| {
        let runs = state.suspect_trials.servers_of_others(&digest);
        runs.map(|run| ReplicaKey(run.0)).collect()
    })
}

/// Records the replica that was chosen for an attempt.
pub(super) fn on_chosen(call: &Call, chosen: &Chosen) {
    if call.suspect_trial.borrow().is_none() {
        return;
    }
    let digest = call.digest();
    let run = ServerRun(chosen.key.0);
    call.node
        .with(|state| state.suspect_trials.on_sent(&digest, run));
    call.node.journal.record(&Event::SuspectTried {
        request: call.head.request.clone(),
        digest,
        instance: chosen.replica.instance.clone(),
    });
}

/// The shortest retry time of a quarantined request. A trial ends within seconds.
const MIN_QUARANTINE_RETRY_MS: SpanMs = SpanMs(10_000);

/// Returns true if this arrival of a quarantined request runs as its trial.
fn may_run_as_trial(call: &Call, digest: &RequestDigest) -> bool {
    if call.is_trial.get() {
        return true;
    }
    let node = &call.node;
    if !quarantine::is_reviewer(node, &(*digest).into()) {
        return false;
    }
    let now_ms = node.now_ms();
    let begun = node.with(|state| state.quarantine.begin_trial(digest, now_ms));
    call.is_trial.set(begun);
    begun
}
