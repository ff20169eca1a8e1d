//! The node's side of the quarantine of parts of prompts.
//!
//! Load pattern: requests that share a fatal part come at any node, and no two are alike. Their replica
//! crashes within some 100 ms of the first token. Requests that share their other parts are served all the
//! time by other replicas.
//!
//! Reason for the limits: a crash blames all parts of all requests that had hardly begun to be written on the
//! replica. The parts that are sound are told apart by answers that begin after the crash, so judging waits
//! for reports of these.

use super::{JUDGEMENT_INTERVAL_MS, ObservedCrash, QuarantineCause, is_reviewer, on_change};
use crate::node::Node;
use bluebell_base::prelude::*;
use bluebell_quarantine::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// The time from its first event for which an answer must be written to show that its parts don't crash
/// replicas. A replica that crashes under a part does so within some 100 ms.
pub const ESTABLISHED_MS: SpanMs = SpanMs(300);

/// The longest delay after which a node reports that it has served a suspected part. Hundreds of nodes may
/// have, and the first report spares the others theirs.
const MAX_REPORT_DELAY_MS: u64 = 200;

/// Records that a replica crashed under a request of this node, if an answer had hardly begun.
pub(super) fn on_crash(node: &Rc<Node>, crash: &ObservedCrash) {
    if crash.writing_ms.is_some_and(|ms| ms >= ESTABLISHED_MS) {
        return;
    }
    let run = ServerRun(crash.replica.key().0);
    let request = crash.digest.number();
    let sighting = CrashSighting {
        at_ms: crash.at_ms,
        known_ms: node.now_ms(),
        in_trial: crash.in_trial,
    };
    for part in crash.parts.iter().copied() {
        let change = node.with(|state| state.parts.on_crash(part, run, request, sighting));
        if change == QuarantineChange::None {
            continue;
        }
        let notice = PartQuarantine::crash_notice(part, run, request, sighting);
        node.outbox.part(notice);
        report_success(node, part);
        on_change(node, part.into(), change, QuarantineCause::Judged);
    }
}

/// Handles a peer's notice.
pub fn on_part_notified(node: &Rc<Node>, notice: PartNotice) {
    let now_ms = node.now_ms();
    let (part, change) = node.with(|state| state.parts.on_notified(notice, now_ms));
    let cause = match notice {
        PartNotice::Ended { .. } => QuarantineCause::Judged,
        PartNotice::Quarantined { .. } | PartNotice::Cleared { .. } => QuarantineCause::Peer,
    };
    if change != QuarantineChange::None {
        report_success(node, part);
    }
    on_change(node, part.into(), change, cause);
}

/// Records that an answer to a prompt with these parts began at `began_ms` and was written for a while.
pub fn on_parts_served(node: &Rc<Node>, parts: &[PartId], began_ms: MonoMs) {
    let changes = node.with(|state| state.parts.on_served(parts, began_ms));
    for (part, change) in changes {
        on_change(node, part.into(), change, QuarantineCause::Served);
    }
}

/// Reports to the peers, after a random delay, that this node has served a suspected part, unless another
/// node has reported as much by then.
fn report_success(node: &Rc<Node>, part: PartId) {
    if !node.with(|state| state.parts.was_served(&part)) {
        return;
    }
    let node = node.clone();
    spawn_local(async move {
        let delay_ms = SpanMs(rand::random_range(0..MAX_REPORT_DELAY_MS));
        tokio::time::sleep(Duration::from(delay_ms)).await;
        let now_ms = node.now_ms();
        let notice = node.with(|state| {
            let reports = state.parts.apply_success(part);
            reports.then(|| state.parts.success_notice(&part, now_ms))
        });
        if let Some(notice) = notice.flatten() {
            node.outbox.part(notice);
        }
    });
}

/// Judges the suspected parts once the last crash is old enough, and again while some have enough crashes.
pub(super) fn schedule_judgement(node: &Rc<Node>) {
    if node.with(|state| std::mem::replace(&mut state.judges_parts, true)) {
        return;
    }
    let node = node.clone();
    spawn_local(async move {
        tokio::time::sleep(Duration::from(PART_DETECTION_DELAY_MS)).await;
        loop {
            let now_ms = node.now_ms();
            let judged = node.with(|state| state.parts.judge(&state.quarantine, now_ms));
            for (part, change) in judged {
                on_change(&node, part.into(), change, QuarantineCause::Judged);
            }
            if !node.with(|state| state.parts.has_candidates()) {
                node.with(|state| state.judges_parts = false);
                return;
            }
            tokio::time::sleep(Duration::from(JUDGEMENT_INTERVAL_MS)).await;
        }
    });
}

/// Returns true if an arrival with a quarantined part whose review is due may run as its trial here.
pub fn begin_part_trial(node: &Rc<Node>, part: PartId) -> bool {
    let now_ms = node.now_ms();
    is_reviewer(node, &part.into()) && node.with(|state| state.parts.begin_trial(&part, now_ms))
}
