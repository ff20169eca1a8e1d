//! Requests with one whole answer.

use super::Call;
use super::answers::{self, Answer};
use super::body::FrontBody;
use super::choose::{Chosen, choose};
use super::fatal::{self, Break};
use super::tries::{self, Reply, Tries, TryError, note_symptom};
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

/// The largest answer that is taken whole; the users' plain answers are a few KB.
const ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// How many targets a try of a repeatable request may take before another replica is asked.
const SILENT_TARGETS: u64 = 2;

/// Serves a request with one whole answer.
pub(super) async fn serve(call: &Rc<Call>) -> Answer {
    let mut tries = Tries::default();
    loop {
        let chosen = match choose(call, &tries.avoid) {
            Ok(chosen) => chosen,
            Err(refusal) => return give_up(call, tries.verdict(), &refusal),
        };
        let attempt = tries.begin(&chosen);
        let (error, whole) = match try_once(call, &chosen, attempt).await {
            Ok(whole) => match whole.failure(call) {
                Some(error) => (error, Some(whole)),
                None => return pass_on(call, &chosen, attempt, whole),
            },
            Err(error) => (error, None),
        };
        if tries.failed(call, &chosen, &error).await {
            continue;
        }
        return match whole {
            Some(whole) => pass_on(call, &chosen, attempt, whole),
            None => end(call, tries.verdict(), &error.why),
        };
    }
}

struct Whole {
    reply: Response<()>,
    body: Buffer,
}

impl Whole {
    /// The failure that a replica reports itself, where another replica may do better.
    fn failure(&self, call: &Call) -> Option<TryError> {
        let status = self.reply.status();
        if !status.is_server_error() || !call.route.kind.repeatable() {
            return None;
        }
        let why = format!("the replica failed with status {status}");
        Some(TryError::new(&why, Verdict::Ran, Symptom::Failed))
    }
}

/// One try, with its whole answer.
async fn try_once(call: &Call, chosen: &Chosen, attempt: u32) -> Result<Whole, TryError> {
    let left_ms = call.left_ms();
    let mut limit_ms = left_ms;
    if call.route.kind.repeatable() && attempt < call.route.max_attempts {
        let silent_ms = SpanMs(call.route.target_ms.0 * SILENT_TARGETS);
        limit_ms = silent_ms.min(SpanMs(left_ms.0 / 2));
    }
    let exchange = async {
        let Reply { answer, head, link } = tries::send(call, chosen, attempt, None).await?;
        let (parts, body) = answer.into_parts();
        let body = Limited::new(body, ANSWER_BYTES).collect().await;
        let body = body.map_err(|error| {
            let why = format!("the answer broke off: {error}");
            TryError::new(&why, Verdict::Ran, Symptom::Failed)
                .broken(Break::of_connection(Evidence::Running))
        })?;
        call.node.pool.give_back(link, head.keep_alive_ms);
        Ok(Whole {
            reply: Response::from_parts(parts, ()),
            body: body.to_bytes(),
        })
    };
    let exchange = async {
        tokio::select! {
            result = exchange => result,
            error = tries::restarted(call, &chosen.replica, Verdict::MayHaveRun, Evidence::Running) => Err(error),
        }
    };
    match tokio::time::timeout(Duration::from(limit_ms), exchange).await {
        Ok(result) => result,
        Err(_) => {
            let why = "the replica is silent";
            let symptom = Symptom::of_silence(limit_ms, call.route.target_ms);
            Err(TryError::new(why, Verdict::MayHaveRun, symptom))
        }
    }
}

fn pass_on(call: &Call, chosen: &Chosen, attempts: u32, whole: Whole) -> Answer {
    // A failure that let another replica be tried has been taken down already.
    if whole.failure(call).is_none() {
        let symptom = match whole.reply.status().is_server_error() {
            true => Symptom::Failed,
            false => Symptom::Good,
        };
        note_symptom(call, chosen.key, symptom, whole.reply.status().as_str());
    }
    if whole.reply.status().is_success() {
        fatal::on_served(call);
    }
    let Whole { reply, body } = whole;
    let age_ms = call.age_ms();
    call.node.journal.record(&Event::Answered {
        request: call.head.request.clone(),
        status: reply.status().as_u16(),
        attempts,
        prompt_tokens: Tokens::ZERO,
        first_ms: age_ms,
        end_ms: age_ms,
        longest_pause_ms: SpanMs::ZERO,
    });
    let mut answer = Response::new(FrontBody::Whole(Some(body)));
    *answer.status_mut() = reply.status();
    *answer.headers_mut() = call.node.platform.dialect.answer_headers(reply.headers());
    answer
}

/// No replica takes the request.
pub(super) fn give_up(call: &Call, ran: Verdict, refusal: &Refusal) -> Answer {
    let retry_after_ms = match refusal {
        Refusal::Overloaded { retry_after_ms, .. }
        | Refusal::NoRoom { retry_after_ms }
        | Refusal::Limited { retry_after_ms, .. }
        | Refusal::Quarantined { retry_after_ms } => *retry_after_ms,
        Refusal::NoReplica | Refusal::TooLong => NOBODY_RETRY_MS,
    };
    let why = refusal.to_string();
    let retry_after_ms = retry_after_ms.mul_f64(rand::random_range(1.0..RETRY_SPREAD));
    match ran {
        Verdict::NotRun => {
            answers::refused(&call.node, &call.head, &why, call.age_ms(), retry_after_ms)
        }
        _ => end(call, ran, &why),
    }
}

/// The factor up to which the time is drawn after which callers are asked back: those who were
/// refused in one peak must not come back as another.
const RETRY_SPREAD: f64 = 1.5;

/// When a caller is asked back that found no replica: restarts take a few seconds, and another node
/// may know one.
const NOBODY_RETRY_MS: SpanMs = SpanMs(300);

/// Nothing more can be done for the request.
pub(super) fn end(call: &Call, ran: Verdict, why: &str) -> Answer {
    let node = &call.node;
    let request = &call.head.request;
    if ran == Verdict::NotRun {
        return answers::refused(node, &call.head, why, call.age_ms(), NOBODY_RETRY_MS);
    }
    let status = match call.left_ms() {
        SpanMs::ZERO => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    answers::failed(node, request, status, why, call.age_ms())
}
