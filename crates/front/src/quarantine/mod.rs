//! The node's side of the quarantine, which keeps fatal requests and fatal parts of prompts away from
//! replicas. It records crashes under the node's own requests, notifies peers, and stores the result in the
//! directory.
//!
//! Invariants: each change that puts a request or a part into quarantine or lets it out is logged; what is stored
//! in the directory is the state at the time of the write.

mod parts;

pub use parts::{ESTABLISHED_MS, begin_part_trial, on_part_notified, on_parts_served};

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
    /// True if the request was there as the trial of a suspect.
    pub in_trial: bool,
}

impl ObservedCrash {
    /// Returns the run of the replica.
    fn run(&self) -> ServerRun {
        ServerRun(self.replica.key().0)
    }
}

/// Records that a replica crashed under a request of this node.
pub fn on_crash(node: &Rc<Node>, crash: ObservedCrash) {
    parts::on_crash(node, &crash);
    let run = crash.run();
    let ObservedCrash {
        request,
        digest,
        parts,
        replica,
        evidence,
        writing_ms,
        at_ms,
        in_trial,
    } = crash;
    let sighting = CrashSighting {
        at_ms,
        known_ms: node.now_ms(),
        in_trial,
    };
    let change = node.with(|state| state.quarantine.on_crash(digest, run, evidence, sighting));
    if change == QuarantineChange::None {
        return;
    }
    node.outbox
        .request(Quarantine::crash_notice(digest, run, evidence, sighting));
    node.journal.record(&Event::ReplicaEnded {
        instance: replica.instance.clone(),
        request,
        digest,
        evidence,
        parts,
        writing_ms,
    });
    on_change(node, digest.into(), change, QuarantineCause::Judged);
}

/// Records that the connection to a replica broke under a request of this node, and that nothing shows yet if
/// the replica crashed.
pub fn on_undecided(node: &Node, crash: &ObservedCrash) {
    let ObservedCrash { digest, at_ms, .. } = *crash;
    let run = crash.run();
    if !node.with(|state| state.quarantine.on_undecided(digest, run, at_ms)) {
        return;
    }
    node.outbox.request(QuarantineNotice::Undecided {
        digest,
        run,
        age_ms: node.now_ms().since(at_ms).0 as u32,
    });
}

/// Records that the replica of a broken connection didn't crash.
pub fn on_alive(node: &Node, crash: &ObservedCrash) {
    node.with(|state| state.quarantine.on_alive(&crash.digest, crash.run()));
}

/// Records that a request was served completely, so that it isn't fatal to every replica that runs it.
pub fn on_served(node: &Rc<Node>, digest: RequestDigest) {
    clear(node, digest.into(), QuarantineCause::Served);
}

/// Lifts a quarantine on an operator's order. Returns true if there was one.
pub fn lift(node: &Rc<Node>, subject: QuarantineSubject) -> bool {
    clear(node, subject, QuarantineCause::Lifted)
}

/// Clears the crashes and the quarantine of a request or a part. Returns true if it was in quarantine.
fn clear(node: &Rc<Node>, subject: QuarantineSubject, cause: QuarantineCause) -> bool {
    let now_ms = node.now_ms();
    let change = node.with(|state| match subject {
        QuarantineSubject::Request(digest) => state.quarantine.clear(digest, now_ms),
        QuarantineSubject::Part(part) => state.parts.lift(part, now_ms),
    });
    on_change(node, subject, change, cause);
    change == QuarantineChange::Cleared { quarantined: true }
}

/// Handles a peer's notice.
pub fn on_notified(node: &Rc<Node>, notice: QuarantineNotice) {
    let now_ms = node.now_ms();
    let (digest, change) = node.with(|state| state.quarantine.on_notified(notice, now_ms));
    let cause = match notice {
        QuarantineNotice::Ended { .. } => QuarantineCause::Judged,
        QuarantineNotice::Quarantined { .. }
        | QuarantineNotice::Cleared { .. }
        | QuarantineNotice::Undecided { .. } => QuarantineCause::Peer,
    };
    on_change(node, digest.into(), change, cause);
}

/// Records a quarantine that was read from the directory.
pub fn on_stored(node: &Rc<Node>, subject: QuarantineSubject, term: Term) {
    let now_ms = node.now_ms();
    let change = node.with(|state| match subject {
        QuarantineSubject::Request(digest) => state.quarantine.on_stored(digest, term, now_ms),
        QuarantineSubject::Part(part) => state.parts.on_stored(part, term, now_ms),
    });
    on_change(node, subject, change, QuarantineCause::Stored);
}

/// Drops records that no longer count, and ends quarantines of what never came again.
pub fn expire(node: &Rc<Node>) {
    let now_ms = node.now_ms();
    let forgotten = node.with(|state| {
        let requests = state.quarantine.expire(now_ms).into_iter();
        let parts = state.parts.expire(now_ms).into_iter();
        let requests = requests.map(QuarantineSubject::Request);
        let forgotten = requests.chain(parts.map(QuarantineSubject::Part));
        forgotten.collect::<Vec<_>>()
    });
    for subject in forgotten {
        let change = QuarantineChange::Cleared { quarantined: true };
        on_change(node, subject, change, QuarantineCause::Forgotten);
    }
}

/// The interval at which parts are judged again while some have enough crashes, and requests while a part may explain
/// the crashes of some.
const JUDGEMENT_INTERVAL_MS: SpanMs = SpanMs(200);

/// Judges the suspected requests once the last crash has been known for long enough, and again while a part may
/// explain the crashes of some. Logs what the crashes of those show that stay free.
fn schedule_judgement(node: &Rc<Node>) {
    let node = node.clone();
    spawn_local(async move {
        tokio::time::sleep(Duration::from(DETECTION_DELAY_MS)).await;
        judge(&node);
        if !has_held_suspects(&node) {
            record_free_suspects(&node);
        } else if !node.with(|state| std::mem::replace(&mut state.judges_held_requests, true)) {
            judge_held_suspects(&node).await;
            node.with(|state| state.judges_held_requests = false);
            record_free_suspects(&node);
        }
    });
}

/// Judges the suspected requests again until no part may explain the crashes of some.
async fn judge_held_suspects(node: &Rc<Node>) {
    while has_held_suspects(node) {
        tokio::time::sleep(Duration::from(JUDGEMENT_INTERVAL_MS)).await;
        judge(node);
    }
}

/// Judges the suspected requests.
fn judge(node: &Rc<Node>) {
    let now_ms = node.now_ms();
    let judged = node.with(|state| state.quarantine.judge_beside(&state.parts, now_ms));
    for (digest, change) in judged {
        on_change(node, digest.into(), change, QuarantineCause::Judged);
    }
}

/// Logs what the crashes of the suspected requests show that stay free.
fn record_free_suspects(node: &Node) {
    let now_ms = node.now_ms();
    let free = node.with(|state| state.quarantine.free_suspects(&state.parts, now_ms));
    for (digest, finding) in free {
        node.journal.record(&Event::SuspectJudged {
            digest,
            crashes: finding.crashes,
            explained: finding.explained,
            unspecific: finding.unspecific,
            points: finding.points,
            spread_ms: finding.spread_ms,
        });
    }
}

/// Returns true if a part may explain the crashes of a suspected request, which is judged again later.
fn has_held_suspects(node: &Node) -> bool {
    let now_ms = node.now_ms();
    node.with(|state| state.quarantine.has_held_suspects(&state.parts, now_ms))
}

/// Logs a change, notifies peers of it and stores it in the directory, as far as each applies.
fn on_change(
    node: &Rc<Node>,
    subject: QuarantineSubject,
    change: QuarantineChange,
    cause: QuarantineCause,
) {
    let quarantined = match change {
        QuarantineChange::None | QuarantineChange::Ended { judged: false } => return,
        QuarantineChange::Ended { judged: true } => {
            return match subject {
                QuarantineSubject::Request(_) => schedule_judgement(node),
                QuarantineSubject::Part(_) => parts::schedule_judgement(node),
            };
        }
        QuarantineChange::Quarantined { term, .. } => {
            node.journal.record(&Event::RequestQuarantined {
                digest: subject,
                term,
                how: cause.as_str(),
            });
            true
        }
        QuarantineChange::Cleared { quarantined } => {
            if quarantined {
                node.journal.record(&Event::QuarantineEnded {
                    digest: subject,
                    how: cause.as_str(),
                });
            }
            quarantined
        }
    };
    let notifies = cause.notifies_peers(change);
    if notifies {
        notify_peers(node, &subject);
    }
    // The nodes that saw the crashes may be gone by now, so the node that will review the request also
    // stores it.
    let stores = cause != QuarantineCause::Stored && (notifies || is_reviewer(node, &subject));
    if quarantined && stores {
        store_quarantine(node.clone(), subject);
    }
}

/// Notifies the peers of a quarantine or a clearing.
fn notify_peers(node: &Node, subject: &QuarantineSubject) {
    let now_ms = node.now_ms();
    match subject {
        QuarantineSubject::Request(digest) => {
            let notice = node.with(|state| state.quarantine.notice(digest, now_ms));
            if let Some(notice) = notice {
                node.outbox.request(notice);
            }
        }
        QuarantineSubject::Part(part) => {
            let notice = node.with(|state| state.parts.notice(part, now_ms));
            if let Some(notice) = notice {
                node.outbox.part(notice);
            }
        }
    }
}

/// Returns the term of a quarantine, or `None` if there is none.
pub fn term(node: &Node, subject: &QuarantineSubject) -> Option<Term> {
    node.with(|state| match subject {
        QuarantineSubject::Request(digest) => state.quarantine.term(digest),
        QuarantineSubject::Part(part) => state.parts.term(part),
    })
}

/// Returns the node that tries the suspected requests of a service.
pub fn trial_node(node: &Node, service: &ServiceName) -> OwnerId {
    let peers = node.outbox.live_peers();
    let nodes = peers.iter().map(|owner| owner.0).chain([node.owner.0]);
    bluebell_quarantine::trial::trial_node(&service.0, nodes).map_or(node.owner, OwnerId)
}

/// Returns true if this node tries the request or the part again once its term is over.
pub fn is_reviewer(node: &Node, subject: &QuarantineSubject) -> bool {
    let peers = node.outbox.live_peers();
    reviews(subject, node.owner.0, peers.iter().map(|owner| owner.0))
}

/// A request or a part in quarantine, as the operators' page lists it.
#[derive(Debug, serde::Serialize, serde::Deserialize)]
pub struct QuarantinedRequest {
    /// The digest of the request, or the part.
    pub digest: QuarantineSubject,
    /// The term, which grows each time that a review confirms the quarantine.
    pub term: Term,
    /// The time until its review; 0 if the review is due.
    pub review_in_ms: SpanMs,
}

/// Returns all requests and parts in quarantine, in the order of their digests and ids.
pub fn list(node: &Node) -> Vec<QuarantinedRequest> {
    let now_ms = node.now_ms();
    let mut listed: Vec<QuarantinedRequest> = node.with(|state| {
        let requests = state.quarantine.quarantined(now_ms);
        let requests = requests.map(|(digest, term, ms)| (digest.into(), term, ms));
        let parts = state.parts.quarantined(now_ms);
        let parts = parts.map(|(part, term, ms)| (part.into(), term, ms));
        let all = requests.chain(parts);
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
