//! Serves requests whose answer is returned whole, not streamed.

use super::Call;
use super::answers::{self, Answer};
use super::attempts::{self, AttemptSteps, Attempts, Progress, on_step};
use super::body::FrontBody;
use super::choose::{Chosen, Target, choose};
use super::fatal::{self, Disconnect};
use super::hop::{self, HopCause, HopError, PeerWatch};
use super::race::NextAttempt;
use super::tries::{self, Reply, TryError, record_symptom};
use crate::forward::Outcome;
use crate::http::bounds::AnswerPart;
use crate::http::{AnswerBody, Closed, Holding, Link};
use crate::journal::{Event, PromiseKind};
use crate::returns::{self, Promised};
use bluebell_base::prelude::*;
use bluebell_fleet::placement::Refusal;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use bytes::{Bytes as Buffer, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::{Response, StatusCode};
use std::fmt::Display;
use std::future::pending;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;

/// The largest size of a whole answer, in bytes. The users' plain answers are a few KB.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The multiple of the route's target after which a repeatable request is sent to another replica.
const MAX_SILENCE_TARGETS: u64 = 2;

/// The most that is allocated for an answer before it arrives. Most answers are smaller.
const FIRST_CAPACITY_BYTES: usize = 16 * 1024;

/// The interval at which a silent attempt checks if this node has memory for answers again.
const FULL_POLL_MS: SpanMs = SpanMs(100);

/// The end of an attempt to get a whole answer.
enum AttemptEnd {
    /// At a replica; the attempt has this number.
    Replica(Box<Chosen>, u32, Result<WholeAnswer, TryError>),
    /// At a peer, with the number of attempts there.
    Peer(Result<(WholeAnswer, u32), HopError>),
}

/// Serves a request with one whole answer.
pub(super) async fn serve(call: &Rc<Call>) -> Answer {
    let mut request = PlainRequest {
        attempts: Attempts::new(call),
        failure: None,
    };
    attempts::serve(&mut request).await
}

/// A request with one whole answer.
struct PlainRequest {
    attempts: Attempts<AttemptEnd>,
    /// The last failure that a replica itself reported. It is the answer if no other attempt has one.
    failure: Option<WholeAnswer>,
}

impl AttemptSteps for PlainRequest {
    type End = AttemptEnd;

    fn attempts(&mut self) -> &mut Attempts<AttemptEnd> {
        &mut self.attempts
    }

    async fn begin(&mut self) -> Progress {
        let attempts = &mut self.attempts;
        if !attempts.retry.is_available(&attempts.call) {
            return ControlFlow::Continue(NextAttempt::Later);
        }
        tokio::select! {
            biased;
            step = attempts.race.next(NextAttempt::NotDue) => {
                return on_step(self, step, NextAttempt::Now).await;
            }
            () = fatal::wait_for_trial(&attempts.call) => {}
        }
        if hop::is_needed(&attempts.call) {
            return ControlFlow::Continue(self.begin_at_peer(HopCause::LinksLost));
        }
        let refusal = match choose(&attempts.call, &attempts.tries.avoid) {
            Ok(chosen) => return ControlFlow::Continue(self.begin_at(chosen)),
            Err(refusal) => refusal,
        };
        match HopCause::of_refusal(&attempts.call, &attempts.tries.avoid, refusal) {
            Some(cause) => ControlFlow::Continue(self.begin_at_peer(cause)),
            None if attempts.race.is_empty() => ControlFlow::Break(self.refuse(&refusal)),
            None => ControlFlow::Continue(NextAttempt::Later),
        }
    }

    async fn on_ended(&mut self, end: AttemptEnd, next: NextAttempt) -> Progress {
        match end {
            AttemptEnd::Replica(chosen, number, result) => {
                self.on_replica_ended(&chosen, number, result, next).await
            }
            AttemptEnd::Peer(Ok((whole, attempts))) => {
                ControlFlow::Break(whole.pass_on(&self.attempts.call, attempts))
            }
            AttemptEnd::Peer(Err(error)) => self.attempts.on_peer_failed(error, next),
        }
    }
}

impl PlainRequest {
    fn begin_at(&mut self, chosen: Chosen) -> NextAttempt {
        let attempts = &mut self.attempts;
        if !attempts.retry.take(&attempts.call) {
            return NextAttempt::Later;
        }
        let call = attempts.call.clone();
        let delivered = attempts.delivered();
        let number = attempts.tries.begin(&chosen);
        let target = chosen.target();
        let may_try_others = call.route.kind.repeatable() && delivered + 1 < call.max_attempts();
        let silence = silence(call.clone(), target.clone(), may_try_others);
        let end = async move {
            let gives_up_lost_links = may_try_others && call.forwarded.is_some();
            let result = try_once(&call, &chosen, number, gives_up_lost_links).await;
            AttemptEnd::Replica(Box::new(chosen), number, result)
        };
        attempts.add(Some(target), end, silence);
        NextAttempt::NotDue
    }

    fn begin_at_peer(&mut self, cause: HopCause) -> NextAttempt {
        let attempts = &mut self.attempts;
        if !attempts.retry.take(&attempts.call) {
            return NextAttempt::Later;
        }
        let call = attempts.call.clone();
        let delivered = attempts.delivered();
        let watch = PeerWatch::default();
        let silence = hop::silence(call.clone(), watch.clone());
        let end = async move {
            AttemptEnd::Peer(hop::whole_answer(&call, delivered, &cause, &watch).await)
        };
        attempts.add(None, end, silence);
        NextAttempt::NotDue
    }

    async fn on_replica_ended(
        &mut self,
        chosen: &Chosen,
        number: u32,
        result: Result<WholeAnswer, TryError>,
        next: NextAttempt,
    ) -> Progress {
        let call = &self.attempts.call;
        let (error, whole) = match result {
            Ok(whole) => match whole.failure(call) {
                Some(error) => (error, Some(whole)),
                None => return ControlFlow::Break(forward(call, chosen, number, whole)),
            },
            Err(error) => (error, None),
        };
        self.failure = whole.or(self.failure.take());
        let target = chosen.target();
        let failed = self.attempts.on_failed(&target, number, &error, next);
        match failed.await {
            Some(next) => ControlFlow::Continue(next),
            None => ControlFlow::Break(self.fail(&error.why)),
        }
    }

    /// Returns the answer to a request that no replica accepts.
    fn refuse(&mut self, refusal: &Refusal) -> Answer {
        let Attempts { call, tries, .. } = &self.attempts;
        match self.failure.take() {
            Some(failure) => failure.pass_on(call, tries.delivered),
            None => refuse(call, tries.verdict(), refusal),
        }
    }

    /// Returns the answer to a request whose last attempt failed.
    fn fail(&mut self, why: &str) -> Answer {
        let Attempts { call, tries, .. } = &self.attempts;
        match self.failure.take() {
            Some(failure) => failure.pass_on(call, tries.delivered),
            None => fail(call, tries.verdict(), why),
        }
    }
}

/// Waits until an attempt has been silent for so long that the request is sent to another replica as well, if it
/// `may_try_others`. The attempt may still go on.
async fn silence(call: Rc<Call>, target: Target, may_try_others: bool) -> TryError {
    if !may_try_others {
        return pending().await;
    }
    let target_ms = call.route.target_ms;
    let limit_ms = SpanMs(target_ms.0 * MAX_SILENCE_TARGETS).min(SpanMs(call.left_ms().0 / 2));
    tokio::select! {
        () = tokio::time::sleep(Duration::from(limit_ms)) => {}
        error = tries::links_lost(&call, &target) => return error,
    }
    tries::wait_until_connected(&target).await;
    while call.node.held.is_full() {
        // The answer may wait for memory of this node.
        tokio::time::sleep(Duration::from(FULL_POLL_MS)).await;
    }
    let symptom = Symptom::of_silence(limit_ms, target_ms);
    tries::silent(&call, &target, symptom, SILENT)
}

/// The reason of an attempt that ends without an answer.
const SILENT: &str = "the replica is silent";

/// A replica's answer with its complete body.
pub(super) struct WholeAnswer {
    /// The status and the headers of the answer.
    reply: Response<()>,
    body: Buffer,
    /// The memory that holds the body.
    holding: Rc<Holding>,
    /// True if only the end of its connection ended the answer.
    ends_with_connection: bool,
}

impl WholeAnswer {
    /// Passes on an answer that a peer returned, or a failure that has been recorded for its replica.
    pub fn pass_on(self, call: &Call, attempts: u32) -> Answer {
        record_answered(call, self.reply.status(), attempts);
        self.into_answer(call, attempts)
    }

    fn into_answer(self, call: &Call, attempts: u32) -> Answer {
        let Self {
            reply,
            body,
            holding,
            ..
        } = self;
        let mut answer = Response::new(FrontBody::Held(body, holding));
        *answer.status_mut() = reply.status();
        *answer.headers_mut() = call
            .node
            .platform
            .dialect
            .end_to_end_headers(reply.headers());
        answer
            .extensions_mut()
            .insert(Outcome::Replica { attempts });
        answer
    }

    /// Returns the failure that the replica itself reported, if the request may be sent to another
    /// replica.
    fn failure(&self, call: &Call) -> Option<TryError> {
        let status = self.reply.status();
        if !status.is_server_error() || !call.route.kind.repeatable() {
            return None;
        }
        let why = format!("the replica failed with status {status}");
        Some(TryError::new(&why, Verdict::Ran, Symptom::Failed))
    }
}

/// Runs one attempt until the deadline, and reads the whole answer. If it `gives_up_lost_links`, it ends once the links to the
/// replicas are lost: a peer forwarded the request, and has other peers.
async fn try_once(
    call: &Call,
    chosen: &Chosen,
    number: u32,
    gives_up_lost_links: bool,
) -> Result<WholeAnswer, TryError> {
    let exchange = async {
        let reply = tries::send(call, chosen, number, None).await?;
        let whole = read_whole(call, reply).await?;
        match whole.ends_with_connection && fatal::has_crashed(call, chosen).await {
            true => Err(tries::cut_by_crash()),
            false => Ok(whole),
        }
    };
    let exchange = async {
        tokio::select! {
            result = exchange => result,
            error = tries::restarted(call, &chosen.replica, Verdict::MayHaveRun, Evidence::Running) => Err(error),
        }
    };
    let target = chosen.target();
    let exchange = async {
        tokio::select! {
            result = exchange => result,
            error = tries::links_lost(call, &target), if gives_up_lost_links => Err(error),
        }
    };
    let left_ms = call.left_ms();
    match tokio::time::timeout(Duration::from(left_ms), exchange).await {
        Ok(result) => result,
        Err(_) => {
            let symptom = match call.node.held.is_full() {
                true => Symptom::Inconclusive,
                false => Symptom::of_silence(left_ms, call.route.target_ms),
            };
            Err(tries::silent(call, &target, symptom, SILENT))
        }
    }
}

/// Reads the body of an answer.
pub(super) async fn read_whole(call: &Call, reply: Reply) -> Result<WholeAnswer, TryError> {
    let Reply { answer, head, link } = reply;
    let (parts, body) = answer.into_parts();
    let ends_with_connection = tries::ends_with_connection(&parts.headers, &body);
    let holding = call.node.held.open_whole();
    let body = read_body(body, &link, &holding).await?;
    call.node.pool.give_back(link, head.keep_alive_ms);
    Ok(WholeAnswer {
        reply: Response::from_parts(parts, ()),
        body,
        holding,
        ends_with_connection,
    })
}

/// Reads a body as its memory becomes free.
async fn read_body(
    mut body: AnswerBody,
    link: &Link,
    holding: &Holding,
) -> Result<Buffer, TryError> {
    let broken = |error: &dyn Display| {
        let why = format!("the answer broke off: {error}");
        TryError::new(&why, Verdict::Ran, Symptom::Failed)
            .with_disconnect(Disconnect::of_connection(Evidence::Running))
    };
    let too_large = || broken(&link.cut(AnswerPart::Body));
    // Memory for a declared length is taken at once, so that answers don't wait for each other's memory half-read.
    let mut reserved = body.size_hint().exact().unwrap_or(0) as usize;
    if reserved > MAX_ANSWER_BYTES {
        return Err(too_large());
    }
    holding.add(reserved).await.map_err(not_held)?;
    let mut whole = BytesMut::with_capacity(reserved.min(FIRST_CAPACITY_BYTES));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| broken(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = whole.len() + data.len();
        if length > MAX_ANSWER_BYTES {
            return Err(too_large());
        }
        let more = length.saturating_sub(reserved);
        holding.add(more).await.map_err(not_held)?;
        reserved += more;
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

/// Returns the failure of an attempt whose answer the node has no memory for.
fn not_held(error: Closed) -> TryError {
    TryError::new(&error.to_string(), Verdict::Ran, Symptom::Inconclusive)
}

/// Records an answer and passes it on to the caller.
fn forward(call: &Call, chosen: &Chosen, attempts: u32, whole: WholeAnswer) -> Answer {
    // A failure that allowed another attempt has been recorded already.
    if whole.failure(call).is_none() {
        let symptom = match whole.reply.status().is_server_error() {
            true => Symptom::Failed,
            false => Symptom::Good,
        };
        let status = whole.reply.status();
        record_symptom(call, chosen.key, symptom, status.as_str(), chosen.began_ms);
    }
    if whole.reply.status().is_success() {
        fatal::on_served(call, chosen.began_ms);
    }
    record_answered(call, whole.reply.status(), attempts);
    whole.into_answer(call, attempts)
}

fn record_answered(call: &Call, status: StatusCode, attempts: u32) {
    let age_ms = call.age_ms();
    call.node.journal.record(&Event::Answered {
        request: call.head.request.clone(),
        status: status.as_u16(),
        attempts,
        prompt_tokens: Tokens::ZERO,
        first_ms: age_ms,
        end_ms: age_ms,
        longest_pause_ms: SpanMs::ZERO,
    });
}

/// Returns the answer to a request that no replica accepts. `ran` states if an earlier attempt may
/// have run it.
pub(super) fn refuse(call: &Call, ran: Verdict, refusal: &Refusal) -> Answer {
    if ran == Verdict::NotRun
        && let Some(promise) = returns::promise(call, refusal)
    {
        return refuse_until(call, &refusal.to_string(), &promise);
    }
    let retry_after_ms = match refusal {
        Refusal::Overloaded { retry_after_ms, .. }
        | Refusal::NoRoom { retry_after_ms }
        | Refusal::Limited { retry_after_ms, .. }
        | Refusal::Unreachable { retry_after_ms }
        | Refusal::Evacuated { retry_after_ms }
        | Refusal::Suspected { retry_after_ms }
        | Refusal::Quarantined { retry_after_ms }
        | Refusal::PartQuarantined { retry_after_ms, .. } => *retry_after_ms,
        Refusal::NoReplica | Refusal::TooLong => NO_REPLICA_RETRY_MS,
    };
    let why = refusal.to_string();
    if ran == Verdict::NotRun && call.forwarded.is_some() {
        // Other nodes may have a share of the limits, or know replicas that this node doesn't.
        let unavailable = |ms| answers::unavailable(&call.node, &call.head, &why, ms);
        match refusal {
            Refusal::Limited { .. } => return unavailable(retry_after_ms),
            Refusal::NoReplica => return unavailable(SpanMs::ZERO),
            _ => {}
        }
    }
    let retry_after_ms = retry_after_ms.mul_f64(rand::random_range(1.0..MAX_RETRY_FACTOR));
    match ran {
        Verdict::NotRun => {
            answers::refused(&call.node, &call.head, &why, call.age_ms(), retry_after_ms)
        }
        _ => fail(call, ran, &why),
    }
}

/// Refuses a request that returns before its promised moment.
pub(super) fn refuse_early(call: &Call, promise: &Promised) -> Answer {
    refuse_until(call, "its promised return time hasn't come", promise)
}

/// Returns the answer to a request that has been promised a return time.
fn refuse_until(call: &Call, why: &str, promise: &Promised) -> Answer {
    let why = match promise.kind {
        PromiseKind::LoadLasts => {
            format!("{why}; the load lasts, and no slot is expected to be free by the time named")
        }
        PromiseKind::SlotFree | PromiseKind::Kept => why.into(),
    };
    answers::promised(&call.node, &call.head, &why, call.age_ms(), promise)
}

/// The upper bound of the random factor on a retry time, so that callers refused in one peak don't
/// return together and cause another.
const MAX_RETRY_FACTOR: f64 = 1.5;

/// The retry time if no replica is known. Restarts take a few seconds, and another node may know a
/// replica.
const NO_REPLICA_RETRY_MS: SpanMs = SpanMs(300);

/// Returns the answer to a request that isn't tried again: a refusal if it has not run, otherwise a
/// failure.
pub(super) fn fail(call: &Call, ran: Verdict, why: &str) -> Answer {
    let node = &call.node;
    let request = &call.head.request;
    if ran == Verdict::NotRun {
        return answers::refused(node, &call.head, why, call.age_ms(), NO_REPLICA_RETRY_MS);
    }
    let status = match call.left_ms() {
        SpanMs::ZERO => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    answers::failed(node, request, status, why, call.age_ms())
}
