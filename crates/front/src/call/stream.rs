//! Serves requests whose answer is a stream of events, up to the first event.

use super::Call;
use super::answers::Answer;
use super::body::FrontBody;
use super::choose::{Chosen, choose_waiting, has_alternative};
use super::events::EventSplitter;
use super::fatal::{self, Disconnect};
use super::hop::{self, HopCause, HopError};
use super::plain::{fail, refuse};
use super::pump::{EventSource, Pump};
use super::reserve::ReservedMemory;
use super::server::StreamServer;
use super::tries::{self, Reply, SilentAttempt, Tries, TryError, has_retry_left, record_symptom};
use crate::forward::Outcome;
use crate::journal::ConnectionKind;
use bluebell_base::prelude::*;
use bluebell_fleet::placement::Refusal;
use bluebell_fleet::prelude::*;
use bluebell_fleet::silence;
use bluebell_quarantine::prelude::*;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// The shortest silence, in milliseconds, that counts as a symptom of an engine. A pass that reads
/// prompts may take as long.
const MIN_SILENCE_SYMPTOM_MS: u64 = 1_000;

/// The interval at which a silent attempt checks if another engine would accept its request.
const ALTERNATIVE_POLL_MS: SpanMs = SpanMs(250);

/// Returns true if a silent attempt should be kept because its request can't be sent to another
/// engine.
///
/// Slow engines look silent. If all other engines are full, giving up a slow one discards what it
/// has read, and the caller receives a failure: on a day with 69 engines, some of them slow, that
/// ended 47 of 336 long prompts after three seconds or more.
fn has_no_alternative(call: &Call, avoid: &[ReplicaKey]) -> bool {
    !has_retry_left(call) || !has_alternative(call, avoid)
}

/// Serves a request whose answer is a stream, with further attempts while the first event is
/// missing.
pub(super) async fn serve(call: &Rc<Call>) -> Answer {
    let mut tries = Tries::default();
    let last_event = call
        .resume()
        .and_then(|resume| resume.last_event.as_deref());
    let mut may_forward = call.forwarded.is_none();
    loop {
        fatal::wait_for_trial(call).await;
        if hop::is_needed(call) {
            match serve_at_peer(call, &mut tries, &HopCause::LinksLost).await {
                Some(answer) => return answer,
                None => continue,
            }
        }
        let mut chosen = match choose_waiting(call, &tries.avoid, may_forward).await {
            Ok(chosen) => chosen,
            Err(refusal @ (Refusal::Limited { .. } | Refusal::Suspected { .. })) if may_forward => {
                // If no peer serves it either, the request waits or is refused here.
                may_forward = false;
                if let Some(cause) = HopCause::of_refusal(call, &tries.avoid, refusal)
                    && let Some(answer) = serve_at_peer(call, &mut tries, &cause).await
                {
                    return answer;
                }
                continue;
            }
            Err(refusal) => return refuse(call, tries.verdict(), &refusal),
        };
        let attempt = tries.begin(&chosen);
        let first = first_event(
            call,
            &mut chosen,
            &tries.avoid,
            attempt,
            tries.delivered,
            last_event,
        );
        let error = match first.await {
            Ok(started) => {
                record_symptom(call, chosen.key, Symptom::Good, "", chosen.began_ms);
                let server = StreamServer::Engine(Box::new(chosen));
                return started.answer(call, server, tries.delivered + 1);
            }
            Err(error) => error,
        };
        if !tries.failed(call, &chosen, &error).await {
            return fail(call, tries.verdict(), &error.why);
        }
    }
}

/// Serves a request through a peer. Returns `None` if this node may still serve it.
async fn serve_at_peer(call: &Rc<Call>, tries: &mut Tries, cause: &HopCause) -> Option<Answer> {
    let resume = call.resume().cloned();
    match hop::first_event(call, tries.delivered, resume, cause).await {
        Ok((started, peer, delivered)) => {
            Some(started.answer(call, StreamServer::Peer(peer), delivered))
        }
        Err(HopError::NoPeer(_)) if matches!(cause, HopCause::Limited { .. }) => None,
        Err(error) => hop::final_answer(call, tries, error),
    }
}

/// A stream whose first event has arrived.
pub(super) struct StartedStream {
    /// The status and the headers of the replica's answer.
    pub reply: Response<()>,
    /// The rest of the stream.
    pub source: EventSource,
    /// The events that have arrived so far, at least one.
    pub first: super::events::Events,
}

/// Runs one attempt up to its first event.
///
/// The head of the answer is held back until then, so that a replica that fails between the head
/// and the first event can still be replaced.
pub(super) async fn first_event(
    call: &Call,
    chosen: &mut Chosen,
    avoid: &[ReplicaKey],
    attempt: u32,
    delivered_tries: u32,
    last_event: Option<&str>,
) -> Result<StartedStream, TryError> {
    let left_ms = call.left_ms();
    let may_try_others = call.route.kind.repeatable() && delivered_tries + 1 < call.max_attempts();
    let limit_ms = match may_try_others {
        true => silence::first_event_timeout(chosen.expected_ms).min(left_ms),
        false => left_ms,
    };
    let sent_ms = call.node.now_ms();
    let mut until_ms = sent_ms + limit_ms;
    let expected_ms = chosen.expected_ms;
    let work = chosen.guard.work_id();
    let reserves_memory = !chosen.memory.is_empty();
    let replica = chosen.replica.clone();
    let connection = chosen.connection.clone();
    let reading_left_ms = || {
        let now_ms = call.node.now_ms();
        work.and_then(|id| call.node.with(|s| s.ledger.reading_left_ms(id, now_ms)))
    };
    let begin = async {
        chosen.reserved = Some(ReservedMemory::open(call, chosen).await?);
        let reply = tries::send(call, chosen, attempt, last_event).await?;
        read_first_event(reply).await
    };
    let begin = async {
        tokio::select! {
            result = begin => result,
            error = tries::restarted(call, &replica, Verdict::MayHaveRun, Evidence::Present) => Err(error),
            error = tries::links_lost(call, &connection), if may_try_others => Err(error),
        }
    };
    // An attempt without reserved memory waits for as long as its engine may be silent.
    let memory_left_ms = |silent_ms| match reserves_memory {
        true => silence::memory_extension(reading_left_ms(), call.node.now_ms().since(sent_ms)),
        false => Some(silent_ms),
    };
    tokio::pin!(begin);
    loop {
        let silent_ms = until_ms.since(call.node.now_ms());
        let Some(memory_ms) = memory_left_ms(silent_ms) else {
            break;
        };
        let wait_ms = silent_ms.min(memory_ms);
        if let Ok(result) = tokio::time::timeout(Duration::from(wait_ms), &mut begin).await {
            return result;
        }
        if memory_ms < silent_ms {
            continue;
        }
        let left_ms = call.left_ms().min(call.caller_timeout_left_ms());
        match silence::timeout_extension(reading_left_ms(), left_ms, expected_ms) {
            Some(more_ms) if may_try_others => until_ms = call.node.now_ms() + more_ms,
            _ if may_try_others && left_ms > SpanMs::ZERO && has_no_alternative(call, avoid) => {
                until_ms = call.node.now_ms() + ALTERNATIVE_POLL_MS.min(left_ms);
            }
            _ => break,
        }
    }
    let why = "the engine is silent";
    let expected_ms = SpanMs(expected_ms as u64).max(SpanMs(MIN_SILENCE_SYMPTOM_MS));
    let symptom = Symptom::of_silence(call.node.now_ms().since(sent_ms), expected_ms);
    if reserves_memory && connection.get() == ConnectionKind::None {
        // The order to reserve memory may have been silent, so this shows nothing of the engine.
        return Err(TryError {
            delivered: false,
            ..TryError::new(why, Verdict::NotRun, Symptom::Inconclusive)
        });
    }
    let silent = SilentAttempt {
        replica: &replica,
        connection: connection.get(),
        began_ms: sent_ms,
        symptom,
    };
    Err(silent.error(call, why))
}

/// Reads an answer's body up to the first complete event.
pub(super) async fn read_first_event(reply: Reply) -> Result<StartedStream, TryError> {
    let Reply { answer, head, link } = reply;
    let (parts, mut body) = answer.into_parts();
    if parts.status != StatusCode::OK {
        let why = format!("the engine failed with status {}", parts.status);
        return Err(TryError::new(&why, Verdict::Ran, Symptom::Failed));
    }
    let ends_with_connection = tries::ends_with_connection(&parts.headers, &body);
    let mut splitter = EventSplitter::default();
    let broken = |why: &str| {
        TryError::new(why, Verdict::MayHaveRun, Symptom::Failed)
            .with_disconnect(Disconnect::of_connection(Evidence::Running))
    };
    let first = loop {
        let Some(frame) = body.frame().await else {
            return Err(broken("the stream ended before its first event"));
        };
        let frame = frame.map_err(|error| broken(&error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if let Some(events) = splitter.push(&data) {
            break events;
        }
    };
    Ok(StartedStream {
        reply: Response::from_parts(parts, ()),
        source: EventSource {
            body,
            splitter,
            link,
            keep_alive_ms: head.keep_alive_ms,
            ends_with_connection,
        },
        first,
    })
}

impl StartedStream {
    /// Returns the answer to the caller; a separate task forwards the rest of the stream.
    fn answer(self, call: &Rc<Call>, server: StreamServer, tries: u32) -> Answer {
        let headers = call
            .node
            .platform
            .dialect
            .end_to_end_headers(self.reply.headers());
        let pieces = Pump::spawn(call.clone(), server, tries, self.source, self.first);
        let mut answer = Response::new(FrontBody::Pieces(pieces));
        *answer.status_mut() = self.reply.status();
        *answer.headers_mut() = headers;
        let outcome = Outcome::Replica { attempts: tries };
        answer.extensions_mut().insert(outcome);
        answer
    }
}
