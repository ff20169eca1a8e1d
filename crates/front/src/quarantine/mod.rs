//! The node's side of the quarantine, which keeps fatal requests away from replicas. It records crashes
//! under the node's own requests, notifies peers, and stores the result in the directory.
//!
//! Invariants: each change that puts a request into quarantine or lets it out is logged; what is stored
//! in the directory is the state at the time of the write.

use crate::journal::Event;
use crate::node::Node;
use crate::watch::store_quarantine;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use bluebell_quarantine::review::reviews;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// The cause of a change to a request's quarantine, or the way in which it became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineCause {
    /// Replicas crashed under the request.
    Judged,
    /// A peer sent a notice.
    Peer,
    /// The quarantine was read from the directory.
    Stored,
    /// The request was served.
    Served,
    /// An operator lifted the quarantine.
    Lifted,
    /// The request didn't arrive again for a long time.
    Forgotten,
}

impl QuarantineCause {
    /// Returns the cause's name in the log and the metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            QuarantineCause::Judged => "judged",
            QuarantineCause::Peer => "told",
            QuarantineCause::Stored => "stored",
            QuarantineCause::Served => "served",
            QuarantineCause::Lifted => "lifted",
            QuarantineCause::Forgotten => "forgotten",
        }
    }

    /// Returns true if this node notifies its peers of the change.
    fn notifies_peers(self, change: QuarantineChange) -> bool {
        match change {
            // All nodes reach the same verdict, so only those that saw a crash notify the others.
            // Most nodes don't read the directory, so those that do notify the others too.
            QuarantineChange::Quarantined { seen, .. } => match self {
                QuarantineCause::Judged => seen,
                cause => cause == QuarantineCause::Stored,
            },
            _ => matches!(self, QuarantineCause::Served | QuarantineCause::Lifted),
        }
    }
}

/// A crash of a replica under an attempt of this node.
#[derive(Clone, Debug)]
pub struct ObservedCrash {
    /// The id of the call that made the attempt.
    pub request: Arc<str>,
    /// The digest of the request.
    pub digest: RequestDigest,
    /// The parts of the prompt that other requests may share.
    pub parts: Vec<PartId>,
    /// The replica that crashed.
    pub replica: Arc<Replica>,
    /// The evidence of what the request did on the replica.
    pub evidence: Evidence,
    /// The time from the first to the last event of the answer on this replica, or `None` if no event
    /// arrived.
    pub writing_ms: Option<SpanMs>,
    /// The time at which the connection broke, which may be seconds before that is known to be a
    /// crash.
    pub at_ms: MonoMs,
}

/// Records that a replica crashed under a request of this node.
pub fn on_crash(node: &Rc<Node>, crash: ObservedCrash) {
    let ObservedCrash {
        request,
        digest,
        parts,
        replica,
        evidence,
        writing_ms,
        at_ms,
    } = crash;
    let run = ServerRun(replica.key().0);
    let change = node.with(|state| state.quarantine.on_crash(digest, run, evidence, at_ms));
    if change == QuarantineChange::None {
        return;
    }
    let times = (at_ms, node.now_ms());
    node.outbox
        .request(Quarantine::crash_notice(digest, run, evidence, times));
    node.journal.record(&Event::ReplicaEnded {
        instance: replica.instance.clone(),
        request,
        digest,
        evidence,
        parts,
        writing_ms,
    });
    on_change(node, digest, change, QuarantineCause::Judged);
}

/// Records that a request was served completely, so that it isn't fatal to every replica that runs it.
pub fn on_served(node: &Rc<Node>, digest: RequestDigest) {
    clear(node, digest, QuarantineCause::Served);
}

/// Lifts a request's quarantine on an operator's order. Returns true if there was one.
pub fn lift(node: &Rc<Node>, digest: RequestDigest) -> bool {
    clear(node, digest, QuarantineCause::Lifted)
}

/// Clears a request's crashes and its quarantine. Returns true if it was in quarantine.
fn clear(node: &Rc<Node>, digest: RequestDigest, cause: QuarantineCause) -> bool {
    let now_ms = node.now_ms();
    let change = node.with(|state| state.quarantine.clear(digest, now_ms));
    on_change(node, digest, change, cause);
    change == QuarantineChange::Cleared { quarantined: true }
}

/// Handles a peer's notice.
pub fn on_notified(node: &Rc<Node>, notice: QuarantineNotice) {
    let now_ms = node.now_ms();
    let (digest, change) = node.with(|state| state.quarantine.on_notified(notice, now_ms));
    let cause = match notice {
        QuarantineNotice::Ended { .. } => QuarantineCause::Judged,
        QuarantineNotice::Quarantined { .. } | QuarantineNotice::Cleared { .. } => {
            QuarantineCause::Peer
        }
    };
    on_change(node, digest, change, cause);
}

/// Records a request's quarantine that was read from the directory.
pub fn on_stored(node: &Rc<Node>, digest: RequestDigest, term: Term) {
    let now_ms = node.now_ms();
    let change = node.with(|state| state.quarantine.on_stored(digest, term, now_ms));
    on_change(node, digest, change, QuarantineCause::Stored);
}

/// Drops records that no longer count, and ends quarantines of requests that never came again.
pub fn expire(node: &Rc<Node>) {
    let now_ms = node.now_ms();
    for digest in node.with(|state| state.quarantine.expire(now_ms)) {
        let change = QuarantineChange::Cleared { quarantined: true };
        on_change(node, digest, change, QuarantineCause::Forgotten);
    }
}

/// Judges the suspected requests once the last crash is old enough.
fn schedule_judgement(node: &Rc<Node>) {
    let node = node.clone();
    spawn_local(async move {
        tokio::time::sleep(Duration::from(DETECTION_DELAY_MS)).await;
        let now_ms = node.now_ms();
        for (digest, change) in node.with(|state| state.quarantine.judge(now_ms)) {
            on_change(&node, digest, change, QuarantineCause::Judged);
        }
    });
}

/// Logs a change, notifies peers of it and stores it in the directory, as far as each applies.
fn on_change(
    node: &Rc<Node>,
    digest: RequestDigest,
    change: QuarantineChange,
    cause: QuarantineCause,
) {
    let now_ms = node.now_ms();
    let quarantined = match change {
        QuarantineChange::None | QuarantineChange::Ended { judged: false } => return,
        QuarantineChange::Ended { judged: true } => return schedule_judgement(node),
        QuarantineChange::Quarantined { term, .. } => {
            node.journal.record(&Event::RequestQuarantined {
                digest,
                term,
                how: cause.as_str(),
            });
            true
        }
        QuarantineChange::Cleared { quarantined } => {
            if quarantined {
                node.journal.record(&Event::QuarantineEnded {
                    digest,
                    how: cause.as_str(),
                });
            }
            quarantined
        }
    };
    let notifies = cause.notifies_peers(change);
    if notifies && let Some(notice) = node.with(|state| state.quarantine.notice(&digest, now_ms)) {
        node.outbox.request(notice);
    }
    // The nodes that saw the crashes may be gone by now, so the node that will review the request also
    // stores it.
    let stores = cause != QuarantineCause::Stored && (notifies || is_reviewer(node, &digest));
    if quarantined && stores {
        store_quarantine(node.clone(), digest);
    }
}

/// Returns true if this node tries the request again once its term is over.
pub fn is_reviewer(node: &Node, digest: &RequestDigest) -> bool {
    let peers = node.outbox.live_peers();
    reviews(digest, node.owner.0, peers.iter().map(|owner| owner.0))
}

/// A request in quarantine, as the operators' page lists it.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct QuarantinedRequest {
    /// The digest of the request.
    pub digest: RequestDigest,
    /// The term, which grows each time that a review confirms the quarantine.
    pub term: Term,
    /// The time until its review; 0 if the review is due.
    pub review_in_ms: SpanMs,
}

/// Returns all requests in quarantine, in the order of their digests.
pub fn list(node: &Node) -> Vec<QuarantinedRequest> {
    let now_ms = node.now_ms();
    let mut listed: Vec<QuarantinedRequest> = node.with(|state| {
        let all = state.quarantine.quarantined(now_ms);
        let all = all.map(|(digest, term, review_in_ms)| QuarantinedRequest {
            digest,
            term,
            review_in_ms,
        });
        all.collect()
    });
    listed.sort_unstable_by_key(|request| request.digest);
    listed
}
