//! The node's part in keeping requests from replicas that they end: what its tries show, what it
//! tells its peers and the directory, and what it refuses.
//!
//! Invariants: whatever puts a request into quarantine, or out of it, has a line in the log; what the
//! directory is told is what is known at the moment of telling.

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

/// How something about a request's quarantine became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum How {
    /// Replicas ended under it.
    Judged,
    /// Peers told.
    Told,
    /// It stood in the directory.
    Stored,
    /// The request was served.
    Served,
    /// An operator lifted it.
    Lifted,
    /// Nobody asked for it for long.
    Forgotten,
}

impl How {
    /// Its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            How::Judged => "judged",
            How::Told => "told",
            How::Stored => "stored",
            How::Served => "served",
            How::Lifted => "lifted",
            How::Forgotten => "forgotten",
        }
    }

    /// Whether this node's peers hear of it from here.
    fn is_notified(self, turn: QuarantineChange) -> bool {
        match turn {
            // All nodes judge alike: those that saw an end tell of it.
            QuarantineChange::Quarantined { seen, .. } => seen && self == How::Judged,
            _ => matches!(self, How::Served | How::Lifted),
        }
    }
}

/// A replica that ended under a try of this node.
#[derive(Clone, Debug)]
pub struct ObservedCrash {
    /// The id of the arrival whose try it was.
    pub request: Arc<str>,
    /// The request.
    pub digest: RequestDigest,
    /// The replica.
    pub replica: Arc<Replica>,
    /// What is known of the request there.
    pub evidence: Evidence,
    /// When the connection broke, which may be seconds before the end is known for one.
    pub at_ms: MonoMs,
}

/// A replica ended under a request of this node.
pub fn on_crash(node: &Rc<Node>, end: ObservedCrash) {
    let ObservedCrash {
        request,
        digest,
        replica,
        evidence,
        at_ms,
    } = end;
    let run = ServerRun(replica.key().0);
    let turn = node.with(|state| state.quarantine.on_crash(digest, run, evidence, at_ms));
    if turn == QuarantineChange::None {
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
    });
    on_turn(node, digest, turn, How::Judged);
}

/// A request was served whole: it doesn't end each replica that runs it.
pub fn on_served(node: &Rc<Node>, digest: RequestDigest) {
    clear(node, digest, How::Served);
}

/// An operator lifts a request's quarantine; returns whether there was one.
pub fn lift(node: &Rc<Node>, digest: RequestDigest) -> bool {
    clear(node, digest, How::Lifted)
}

fn clear(node: &Rc<Node>, digest: RequestDigest, how: How) -> bool {
    let now_ms = node.now_ms();
    let turn = node.with(|state| state.quarantine.clear(digest, now_ms));
    on_turn(node, digest, turn, how);
    turn == QuarantineChange::Cleared { quarantined: true }
}

/// A peer told something.
pub fn on_notified(node: &Rc<Node>, told: QuarantineNotice) {
    let now_ms = node.now_ms();
    let (digest, turn) = node.with(|state| state.quarantine.on_notified(told, now_ms));
    let how = match told {
        QuarantineNotice::Ended { .. } => How::Judged,
        QuarantineNotice::Quarantined { .. } | QuarantineNotice::Cleared { .. } => How::Told,
    };
    on_turn(node, digest, turn, how);
}

/// The directory remembers a request's quarantine.
pub fn on_stored(node: &Rc<Node>, digest: RequestDigest, term: Term) {
    let now_ms = node.now_ms();
    let turn = node.with(|state| state.quarantine.on_stored(digest, term, now_ms));
    on_turn(node, digest, turn, How::Stored);
}

/// Forgets what counts no more.
pub fn expire(node: &Rc<Node>) {
    let now_ms = node.now_ms();
    for digest in node.with(|state| state.quarantine.expire(now_ms)) {
        let turn = QuarantineChange::Cleared { quarantined: true };
        on_turn(node, digest, turn, How::Forgotten);
    }
}

/// Judges once the last end is old enough.
fn judge_soon(node: &Rc<Node>) {
    let node = node.clone();
    spawn_local(async move {
        tokio::time::sleep(Duration::from(DETECTION_DELAY_MS)).await;
        let now_ms = node.now_ms();
        for (digest, turn) in node.with(|state| state.quarantine.judge(now_ms)) {
            on_turn(&node, digest, turn, How::Judged);
        }
    });
}

/// Logs, tells and stores what changed.
fn on_turn(node: &Rc<Node>, digest: RequestDigest, turn: QuarantineChange, how: How) {
    let now_ms = node.now_ms();
    let quarantined = match turn {
        QuarantineChange::None | QuarantineChange::Ended { judged: false } => return,
        QuarantineChange::Ended { judged: true } => return judge_soon(node),
        QuarantineChange::Quarantined { term, .. } => {
            node.journal.record(&Event::RequestQuarantined {
                digest,
                term,
                how: how.as_str(),
            });
            true
        }
        QuarantineChange::Cleared { quarantined } => {
            if quarantined {
                node.journal.record(&Event::QuarantineEnded {
                    digest,
                    how: how.as_str(),
                });
            }
            quarantined
        }
    };
    let told = how.is_notified(turn);
    if told && let Some(told) = node.with(|state| state.quarantine.notice(&digest, now_ms)) {
        node.outbox.request(told);
    }
    // Those that saw its ends may be gone by now, so the node that will review the request stores
    // it as well.
    let stores = how != How::Stored && (told || is_reviewer(node, &digest));
    if quarantined && stores {
        store_quarantine(node.clone(), digest);
    }
}

/// Whether this node tries the request again once its term is over.
pub fn is_reviewer(node: &Node, digest: &RequestDigest) -> bool {
    let peers = node.outbox.live_peers();
    reviews(digest, node.owner.0, peers.iter().map(|owner| owner.0))
}

/// One request in quarantine, as operators see it.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct QuarantinedRequest {
    /// The request.
    pub digest: RequestDigest,
    /// How often it was confirmed.
    pub term: Term,
    /// The time until its review.
    pub review_in_ms: SpanMs,
}

/// All requests in quarantine.
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
