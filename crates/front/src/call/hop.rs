//! Forwards a request to a peer, because this node reaches no replica of its service, or may send no more
//! requests to those that it reaches.

use super::Call;
use super::answers::{self, Answer};
use super::fatal;
use super::plain::{self, WholeAnswer};
use super::stream::{StartedStream, read_first_event};
use super::tries::{Reply, Tries, TryError};
use crate::forward::{HopHead, Outcome, ResumePoint};
use crate::http::{Freshness, IncomingAnswer, Link, SendError};
use crate::journal::Event;
use crate::limits;
use crate::links;
use crate::node::Node;
use bluebell_base::prelude::*;
use bluebell_fleet::placement::Refusal;
use bluebell_fleet::prelude::*;
use bytes::Bytes as Buffer;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::RETRY_AFTER;
use hyper::{Request, StatusCode, Version};
use serde::Deserialize;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The maximum number of peers that are asked to serve a request. One that can't says so at once.
const MAX_PEERS: usize = 4;

/// The interval at which an exchange with a peer checks that the peer is still live.
const LIVENESS_POLL_MS: SpanMs = SpanMs(250);

/// The maximum size of the body of a node's own answer, in bytes.
const MAX_NODE_ANSWER_BYTES: usize = 64 * 1024;

/// A peer that serves a request of this node, until it is dropped.
pub(super) struct PeerLease {
    node: Rc<Node>,
    /// The id of the peer's run.
    pub owner: OwnerId,
}

impl PeerLease {
    fn begin(node: &Rc<Node>, owner: OwnerId) -> Self {
        node.with(|state| state.forward_peers.begin(owner));
        Self {
            node: node.clone(),
            owner,
        }
    }

    /// Waits until the peer is no longer heard, and returns the resulting failure.
    pub async fn lost(&self) -> TryError {
        self.wait_until_lost().await;
        peer_lost()
    }

    /// Waits until the peer is no longer heard.
    async fn wait_until_lost(&self) {
        while self.node.outbox.is_live(self.owner) {
            tokio::time::sleep(Duration::from(LIVENESS_POLL_MS)).await;
        }
    }
}

impl Drop for PeerLease {
    fn drop(&mut self) {
        let owner = self.owner;
        self.node.with(|state| state.forward_peers.end(owner));
    }
}

/// Names the peer that a request is being forwarded to, so that its silence can be watched beside the exchange.
#[derive(Clone, Default)]
pub(super) struct PeerWatch(Rc<Cell<Option<OwnerId>>>);

impl PeerWatch {
    /// Waits until the peer is no longer heard, and returns what that shows. The exchange with it may still go on.
    pub async fn lost(&self, node: &Node) -> TryError {
        loop {
            if self
                .0
                .get()
                .is_some_and(|owner| !node.outbox.is_live(owner))
            {
                return peer_lost();
            }
            tokio::time::sleep(Duration::from(LIVENESS_POLL_MS)).await;
        }
    }
}

/// A replica's answer that a peer passed back.
pub(super) struct PeerReply {
    /// The replica's answer.
    pub reply: Reply,
    /// The number of attempts whose replica received the request.
    pub attempts: u32,
    /// The peer, for as long as the body is read.
    pub peer: PeerLease,
}

/// The end of an attempt to forward a request.
pub(super) enum HopError {
    /// No peer took the request.
    NoPeer(Refusal),
    /// The peer's own answer, which is final.
    Answered(NodeAnswer),
    /// The exchange with the peer failed.
    Failed(TryError),
}

/// An answer that a peer itself gave.
#[derive(Debug)]
pub(super) struct NodeAnswer {
    status: StatusCode,
    ran: Verdict,
    why: Arc<str>,
    retry_after_ms: SpanMs,
}

impl NodeAnswer {
    /// Returns the reason that the peer gave.
    pub fn why(&self) -> &str {
        &self.why
    }

    /// Returns true if the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.ran != Verdict::NotRun
    }

    /// Builds the same answer to the caller. `before` is the verdict of this node's own attempts.
    fn to_caller(&self, call: &Call, before: Verdict) -> Answer {
        let node = &call.node;
        let ran = self.ran.max(before);
        match ran {
            Verdict::NotRun if self.status == StatusCode::SERVICE_UNAVAILABLE => answers::refused(
                node,
                &call.head,
                &self.why,
                call.age_ms(),
                self.retry_after_ms,
            ),
            Verdict::NotRun => answers::rejected(node, &call.head.request, self.status, &self.why),
            _ => plain::fail(call, ran, &self.why),
        }
    }
}

/// The part of a node's own answer that other nodes read.
#[derive(Deserialize)]
struct NodeAnswerBody {
    error: Arc<str>,
}

/// The reason for which a request is forwarded.
pub(super) enum HopCause {
    /// This node reaches no replica of the service.
    LinksLost,
    /// This node has used up its share of the replicas' limits.
    Limited {
        /// The refusal of the request if no peer serves it.
        refusal: Refusal,
        /// Peers that have a share of the limits, in the order of their ids.
        holders: Vec<OwnerId>,
    },
    /// The request is suspected of crashing replicas, and a peer runs the trials of its service.
    Suspected {
        /// The refusal of the request if that peer doesn't serve it.
        refusal: Refusal,
        /// The peer.
        peer: OwnerId,
    },
}

impl HopCause {
    /// Returns the cause to forward a request that this node refuses, or `None` if no peer can do more. The
    /// replicas in `avoid` have been tried.
    pub fn of_refusal(call: &Call, avoid: &[ReplicaKey], refusal: Refusal) -> Option<Self> {
        if call.forwarded.is_some() {
            return None;
        }
        match refusal {
            Refusal::Limited { .. } => {
                let holders = limits::holding_peers(&call.node, &call.service.name, avoid);
                (!holders.is_empty()).then_some(Self::Limited { refusal, holders })
            }
            refusal => Self::of_suspect(call, refusal),
        }
    }

    /// Returns the cause to forward a suspected request that this node refuses, or `None` if the request is
    /// refused for another reason, or no peer runs its trials.
    fn of_suspect(call: &Call, refusal: Refusal) -> Option<Self> {
        if !matches!(refusal, Refusal::Suspected { .. }) {
            return None;
        }
        let peer = fatal::trial_peer(call)?;
        Some(Self::Suspected { refusal, peer })
    }

    /// Returns true if a peer may serve the request.
    fn admits(&self, peer: OwnerId) -> bool {
        match self {
            Self::LinksLost => true,
            Self::Limited { holders, .. } => holders.binary_search(&peer).is_ok(),
            Self::Suspected { peer: trying, .. } => peer == *trying,
        }
    }

    /// Returns the time for which a request may wait at a peer for its share of the replicas' limits. A node that
    /// reaches replicas lets requests wait itself.
    fn patience_ms(&self, call: &Call) -> SpanMs {
        match (self, &call.route.kind) {
            (Self::LinksLost, RouteKind::Stream { .. }) => {
                let max_wait_ms = call.wait_timeouts().max_wait_ms;
                SpanMs(max_wait_ms.0.saturating_sub(call.age_ms().0))
            }
            _ => SpanMs::ZERO,
        }
    }

    /// Returns the refusal of a request that no peer serves.
    fn refusal(&self) -> Refusal {
        match self {
            Self::LinksLost => Refusal::Unreachable {
                retry_after_ms: links::RETRY_INTERVAL_MS,
            },
            Self::Limited { refusal, .. } | Self::Suspected { refusal, .. } => *refusal,
        }
    }
}

/// Returns true if a request must be forwarded to be served.
pub(super) fn is_needed(call: &Call) -> bool {
    call.node
        .with(|state| state.links.is_lost(&call.service.name))
}

/// Waits until the peer that a request is forwarded to is no longer heard, and records that.
pub(super) async fn silence(call: Rc<Call>, watch: PeerWatch) -> TryError {
    let error = watch.lost(&call.node).await;
    if let Some(owner) = watch.0.get() {
        call.node.journal.record(&Event::PeerSilent {
            request: call.head.request.clone(),
            peer: owner.0,
            why: error.why.clone(),
            age_ms: call.age_ms(),
        });
    }
    error
}

/// Forwards a request with one whole answer to a peer. Returns the answer with the number of attempts so far.
pub(super) async fn whole_answer(
    call: &Call,
    delivered: u32,
    cause: &HopCause,
    watch: &PeerWatch,
) -> Result<(WholeAnswer, u32), HopError> {
    let whole = async {
        let reply = send(call, delivered, None, cause, watch).await?;
        let whole = plain::read_whole(call, reply.reply).await;
        Ok((whole.map_err(HopError::Failed)?, delivered + reply.attempts))
    };
    let left_ms = Duration::from(call.left_ms());
    match tokio::time::timeout(left_ms, whole).await {
        Ok(result) => result,
        Err(_) => Err(HopError::Failed(peer_silent())),
    }
}

/// Forwards a stream to a peer and waits for its first event. Returns the stream with the number of
/// attempts so far.
pub(super) async fn first_event(
    call: &Call,
    delivered: u32,
    resume: Option<ResumePoint>,
    cause: &HopCause,
    watch: &PeerWatch,
) -> Result<(StartedStream, PeerLease, u32), HopError> {
    let started = async {
        let PeerReply {
            reply,
            attempts,
            peer,
        } = send(call, delivered, resume, cause, watch).await?;
        let started = read_first_event(reply).await.map_err(HopError::Failed)?;
        Ok((started, peer, delivered + attempts))
    };
    let left_ms = Duration::from(call.left_ms());
    match tokio::time::timeout(left_ms, started).await {
        Ok(result) => result,
        Err(_) => Err(HopError::Failed(peer_silent())),
    }
}

/// Returns the answer to a request that couldn't be forwarded, or `None` if another attempt may follow.
pub(super) fn final_answer(call: &Call, tries: &mut Tries, error: HopError) -> Option<Answer> {
    match error {
        HopError::NoPeer(refusal) if call.forwarded.is_some() && tries.ran.is_none() => Some(
            answers::unavailable(&call.node, &call.head, &refusal.to_string(), SpanMs::ZERO),
        ),
        HopError::NoPeer(refusal) => Some(plain::refuse(call, tries.verdict(), &refusal)),
        HopError::Answered(answer) => Some(answer.to_caller(call, tries.verdict())),
        HopError::Failed(error) => match tries.hop_failed(call, &error) {
            true => None,
            false => Some(plain::fail(call, tries.verdict(), &error.why)),
        },
    }
}

fn peer_silent() -> TryError {
    TryError::new(
        "the peer is silent",
        Verdict::MayHaveRun,
        Symptom::Inconclusive,
    )
}

/// Returns the failure of an exchange whose peer is no longer heard.
fn peer_lost() -> TryError {
    TryError::new(
        "the peer is gone",
        Verdict::MayHaveRun,
        Symptom::Inconclusive,
    )
}

/// Forwards a request to one peer after the other until one takes it, and returns the replica's answer.
/// `delivered` is the number of attempts that this node has made.
async fn send(
    call: &Call,
    delivered: u32,
    resume: Option<ResumePoint>,
    cause: &HopCause,
    watch: &PeerWatch,
) -> Result<PeerReply, HopError> {
    let suspected = match fatal::refusal(call) {
        None => None,
        Some(refusal) => {
            Some(HopCause::of_suspect(call, refusal).ok_or(HopError::NoPeer(refusal))?)
        }
    };
    let cause = suspected.as_ref().unwrap_or(cause);
    let mut refusal = cause.refusal();
    // A request is never forwarded onwards.
    if call.forwarded.is_some() {
        return Err(HopError::NoPeer(refusal));
    }
    let mut asked = Vec::new();
    while asked.len() < MAX_PEERS {
        let Some((owner, address)) = choose_peer(call, &asked, cause) else {
            break;
        };
        asked.push(owner);
        let head = hop_head(call, delivered, resume.clone());
        let peer = PeerLease::begin(&call.node, owner);
        call.node.journal.record(&Event::Forwarded {
            request: call.head.request.clone(),
            peer: owner.0,
            age_ms: call.age_ms(),
        });
        let mut limited_ms = SpanMs::ZERO;
        watch.0.set(Some(owner));
        let error = match exchange(call, address, &head).await {
            Ok((answer, link)) => match check_answer(call, answer, link).await {
                Ok(Checked::Reply(reply, attempts)) => {
                    return Ok(PeerReply {
                        reply: *reply,
                        attempts,
                        peer,
                    });
                }
                Ok(Checked::Answer(answer)) => return Err(HopError::Answered(answer)),
                Ok(Checked::Unavailable(why, retry_after_ms)) => {
                    limited_ms = retry_after_ms;
                    not_run(&why)
                }
                Err(error) => error,
            },
            Err(error) => error,
        };
        if limited_ms > SpanMs::ZERO {
            refusal = Refusal::Limited {
                retry_after_ms: limited_ms,
                here: false,
            };
        }
        watch.0.set(None);
        record_failure(call, owner, limited_ms, &error);
        if error.ran != Verdict::NotRun {
            return Err(HopError::Failed(error));
        }
    }
    Err(HopError::NoPeer(refusal))
}

/// Returns the failure of a request that its peer didn't take.
fn not_run(why: &str) -> TryError {
    TryError {
        delivered: false,
        ..TryError::new(why, Verdict::NotRun, Symptom::Inconclusive)
    }
}

/// Chooses a live peer that wasn't asked yet.
fn choose_peer(call: &Call, asked: &[OwnerId], cause: &HopCause) -> Option<(OwnerId, SocketAddr)> {
    let node = &call.node;
    let mut candidates = node.outbox.forward_candidates(&node.settings.domain);
    candidates.retain(|peer| cause.admits(peer.owner));
    let now_ms = node.now_ms();
    let patience_ms = cause.patience_ms(call);
    let owner = node.with(|state| {
        let service = &call.service.name;
        let peers = &state.forward_peers;
        let draw = rand::random();
        peers.choose(service, &candidates, asked, patience_ms, draw, now_ms)
    })?;
    Some((owner, node.outbox.address_of(owner)?))
}

fn hop_head(call: &Call, delivered: u32, resume: Option<ResumePoint>) -> HopHead {
    HopHead {
        left_ms: call.left_ms(),
        age_ms: call.age_ms(),
        max_attempts: call.max_attempts().saturating_sub(delivered).max(1),
        version: call.version,
        resume,
    }
}

/// Sends the request to a peer and returns the head of its answer.
async fn exchange(
    call: &Call,
    address: SocketAddr,
    head: &HopHead,
) -> Result<(IncomingAnswer, Link), TryError> {
    let mut freshness = match call.route.kind.repeatable() {
        true => Freshness::Kept,
        false => Freshness::Recent,
    };
    loop {
        let link = call.node.pool.lease(address, freshness);
        let mut link = link.await.map_err(|error| not_run(&error.to_string()))?;
        match link.send(request(call, head)?).await {
            Ok(answer) => return Ok((answer, link)),
            Err(SendError::Unsent) if link.reused => freshness = Freshness::New,
            Err(SendError::Broken(why)) => {
                let ran = Verdict::MayHaveRun;
                return Err(TryError::new(&why, ran, Symptom::Inconclusive));
            }
            Err(error) => return Err(not_run(&error.to_string())),
        }
    }
}

/// Builds the request to a peer: the caller's own, with the head of the hop.
fn request(call: &Call, head: &HopHead) -> Result<Request<Full<Buffer>>, TryError> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.version_mut() = Version::HTTP_11;
    let dialect = &call.node.platform.dialect;
    *request.headers_mut() = dialect.end_to_end_headers(&call.headers);
    head.put(request.headers_mut())
        .map_err(|error| not_run(&error.to_string()))?;
    Ok(request)
}

/// A peer's answer by its outcome.
enum Checked {
    /// A replica's answer, with the number of attempts.
    Reply(Box<Reply>, u32),
    /// The peer's own answer.
    Answer(NodeAnswer),
    /// The peer can't serve the request, for this reason, and may serve others after this time; zero if it
    /// doesn't know.
    Unavailable(Arc<str>, SpanMs),
}

/// Reads the outcome of a peer's answer. A replica's answer is one only if it names this request and is
/// signed.
async fn check_answer(
    call: &Call,
    mut answer: IncomingAnswer,
    link: Link,
) -> Result<Checked, TryError> {
    let unreadable = |why: &str| TryError::new(why, Verdict::MayHaveRun, Symptom::Inconclusive);
    let status = answer.status();
    match Outcome::take(answer.headers_mut()) {
        Some(Outcome::Replica { attempts }) => {
            let dialect = &call.node.platform.dialect;
            let head = dialect.answer_head(&call.head.request, status.as_u16(), answer.headers());
            if !head.names_this_request || !head.signed || head.encoded {
                return Err(unreadable("the peer's answer isn't a replica's own"));
            }
            let reply = Box::new(Reply { answer, head, link });
            Ok(Checked::Reply(reply, attempts))
        }
        Some(Outcome::Unavailable) => {
            let (why, retry_after_ms) = read_node_answer(call, answer, link).await?;
            Ok(Checked::Unavailable(why, retry_after_ms))
        }
        Some(Outcome::Node(ran)) => {
            let (why, retry_after_ms) = read_node_answer(call, answer, link).await?;
            Ok(Checked::Answer(NodeAnswer {
                status,
                ran,
                why,
                retry_after_ms,
            }))
        }
        None => Err(unreadable("the peer's answer has no outcome")),
    }
}

/// Reads the reason and the retry time of a node's own answer.
async fn read_node_answer(
    call: &Call,
    answer: IncomingAnswer,
    link: Link,
) -> Result<(Arc<str>, SpanMs), TryError> {
    let retry_after_s = answer.headers().get(RETRY_AFTER);
    let retry_after_s = retry_after_s.and_then(|value| value.to_str().ok()?.parse::<f64>().ok());
    let retry_after_ms = SpanMs((retry_after_s.unwrap_or(0.0) * 1_000.0) as u64);
    let body = Limited::new(answer.into_body(), MAX_NODE_ANSWER_BYTES);
    let broken = |why: &str| TryError::new(why, Verdict::MayHaveRun, Symptom::Inconclusive);
    let body = body
        .collect()
        .await
        .map_err(|error| broken(&error.to_string()))?;
    call.node.pool.give_back(link, None);
    let text = serde_json::from_slice::<NodeAnswerBody>(&body.to_bytes());
    let why = text.map_or_else(|_| "the peer gave no reason".into(), |text| text.error);
    Ok((why, retry_after_ms))
}

/// Records that a peer didn't serve a request. If its share of the replicas' limits is used up, `limited_ms` is
/// the time until it has more.
fn record_failure(call: &Call, owner: OwnerId, limited_ms: SpanMs, error: &TryError) {
    let node = &call.node;
    let now_ms = node.now_ms();
    node.with(|state| {
        let service = &call.service.name;
        let peers = &mut state.forward_peers;
        match limited_ms {
            SpanMs::ZERO => peers.on_unusable(owner, service, now_ms),
            limited_ms => peers.on_limited(owner, service, limited_ms, now_ms),
        }
    });
    node.journal.record(&Event::ForwardFailed {
        request: call.head.request.clone(),
        peer: owner.0,
        why: error.why.clone(),
        ran: error.ran,
        age_ms: call.age_ms(),
    });
}
