//! Serves requests whose answer is returned whole, not streamed.

use super::Call;
use super::answers::{self, Answer};
use super::body::FrontBody;
use super::choose::{Chosen, choose};
use super::fatal::{self, Disconnect};
use super::hop::{self, HopCause};
use super::tries::{self, Reply, SilentAttempt, Tries, TryError, record_symptom};
use crate::forward::Outcome;
use crate::journal::Event;
use bluebell_base::prelude::*;
use bluebell_fleet::placement::Refusal;
use bluebell_fleet::prelude::*;
use bluebell_quarantine::prelude::*;
use bytes::Bytes as Buffer;
use http_body_util::{BodyExt, Limited};
use hyper::{Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// The largest size of a whole answer, in bytes. The users' plain answers are a few KB.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The multiple of the route's target after which a repeatable request is sent to another replica.
const MAX_SILENCE_TARGETS: u64 = 2;

/// Serves a request with one whole answer.
pub(super) async fn serve(call: &Rc<Call>) -> Answer {
    let mut tries = Tries::default();
    loop {
        fatal::wait_for_trial(call).await;
        if hop::is_needed(call) {
            return hop::serve_plain(call, &mut tries, &HopCause::LinksLost).await;
        }
        let chosen = match choose(call, &tries.avoid) {
            Ok(chosen) => chosen,
            Err(refusal) => match HopCause::of_refusal(call, &tries.avoid, refusal) {
                Some(cause) => return hop::serve_plain(call, &mut tries, &cause).await,
                None => return refuse(call, tries.verdict(), &refusal),
            },
        };
        let attempt = tries.begin(&chosen);
        let (error, whole) = match try_once(call, &chosen, attempt).await {
            Ok(whole) => match whole.failure(call) {
                Some(error) => (error, Some(whole)),
                None => return forward(call, &chosen, attempt, whole),
            },
            Err(error) => (error, None),
        };
        if tries.failed(call, &chosen, &error).await {
            continue;
        }
        return match whole {
            Some(whole) => forward(call, &chosen, attempt, whole),
            None => fail(call, tries.verdict(), &error.why),
        };
    }
}

/// A replica's answer with its complete body.
pub(super) struct WholeAnswer {
    /// The status and the headers of the answer.
    reply: Response<()>,
    body: Buffer,
    /// True if only the end of its connection ended the answer.
    ends_with_connection: bool,
}

impl WholeAnswer {
    /// Passes on an answer that a peer returned.
    pub fn pass_on(self, call: &Call, attempts: u32) -> Answer {
        record_answered(call, self.reply.status(), attempts);
        self.into_answer(call, attempts)
    }

    fn into_answer(self, call: &Call, attempts: u32) -> Answer {
        let Self { reply, body, .. } = self;
        let mut answer = Response::new(FrontBody::Whole(Some(body)));
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

/// Runs one attempt and reads the whole answer.
async fn try_once(call: &Call, chosen: &Chosen, attempt: u32) -> Result<WholeAnswer, TryError> {
    let left_ms = call.left_ms();
    let mut limit_ms = left_ms;
    if call.route.kind.repeatable() && attempt < call.max_attempts() {
        let silent_ms = SpanMs(call.route.target_ms.0 * MAX_SILENCE_TARGETS);
        limit_ms = silent_ms.min(SpanMs(left_ms.0 / 2));
    }
    let exchange = async {
        let reply = tries::send(call, chosen, attempt, None).await?;
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
    let is_last = limit_ms == left_ms;
    let exchange = async {
        tokio::select! {
            result = exchange => result,
            error = tries::links_lost(call, &chosen.connection), if !is_last => Err(error),
        }
    };
    match tokio::time::timeout(Duration::from(limit_ms), exchange).await {
        Ok(result) => result,
        Err(_) => {
            let silent = SilentAttempt {
                replica: &chosen.replica,
                connection: chosen.connection.get(),
                began_ms: chosen.began_ms,
                symptom: Symptom::of_silence(limit_ms, call.route.target_ms),
            };
            Err(silent.error(call, "the replica is silent"))
        }
    }
}

/// Reads the body of an answer.
pub(super) async fn read_whole(call: &Call, reply: Reply) -> Result<WholeAnswer, TryError> {
    let Reply { answer, head, link } = reply;
    let (parts, body) = answer.into_parts();
    let ends_with_connection = tries::ends_with_connection(&parts.headers, &body);
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|error| {
        let why = format!("the answer broke off: {error}");
        TryError::new(&why, Verdict::Ran, Symptom::Failed)
            .with_disconnect(Disconnect::of_connection(Evidence::Running))
    })?;
    call.node.pool.give_back(link, head.keep_alive_ms);
    Ok(WholeAnswer {
        reply: Response::from_parts(parts, ()),
        body: body.to_bytes(),
        ends_with_connection,
    })
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
