//! Streams of events, up to their first event.

use super::Call;
use super::answers::Answer;
use super::body::FrontBody;
use super::choose::{Chosen, choose_waiting, is_taken_elsewhere};
use super::events::EventSplitter;
use super::fatal::Break;
use super::plain::{end, give_up};
use super::pump::{Pump, Source};
use super::reserve::Reserved;
use super::tries::{self, Reply, Tries, TryError, note_symptom};
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_fleet::silence;
use bluebell_quarantine::prelude::*;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use std::rc::Rc;
use std::time::Duration;

/// The shortest silence of an engine that says anything of it: a pass with reading may take as long.
const LONG_SILENCE_MS: u64 = 1_000;

/// How often a silent try looks whether another engine takes its request.
const LOOK_ELSEWHERE_MS: SpanMs = SpanMs(250);

/// Whether a silent try is to be waited for all the same, since its request can go nowhere else.
///
/// Slow engines seem silent. Where every other one is full, giving them up throws away what they have
/// read, and the caller gets a failure.
fn has_no_other_place(call: &Call, avoid: &[ReplicaKey]) -> bool {
    let node = &call.node;
    let now_ms = node.now_ms();
    let nodes = node.node_count();
    let budget = node.with(|s| s.budget.has_left(&call.service.name, nodes, now_ms));
    !budget || !is_taken_elsewhere(call, avoid)
}

/// Serves a request whose answer is a stream.
pub(super) async fn serve(call: &Rc<Call>) -> Answer {
    let mut tries = Tries::default();
    loop {
        let mut chosen = match choose_waiting(call, &tries.avoid).await {
            Ok(chosen) => chosen,
            Err(refusal) => return give_up(call, tries.verdict(), &refusal),
        };
        let attempt = tries.begin(&chosen);
        let first = first_event(
            call,
            &mut chosen,
            &tries.avoid,
            attempt,
            tries.arrived,
            None,
        );
        let error = match first.await {
            Ok(begun) => return begun.answer(call, chosen, tries.arrived + 1),
            Err(error) => error,
        };
        if !tries.failed(call, &chosen, &error).await {
            return end(call, tries.verdict(), &error.why);
        }
    }
}

/// A stream whose first event is there.
pub(super) struct Begun {
    pub reply: Response<()>,
    pub source: Source,
    pub first: super::events::Events,
}

/// One try, up to its first event.
///
/// The head is held back until then: a replica that fails between the two can still be replaced.
pub(super) async fn first_event(
    call: &Call,
    chosen: &mut Chosen,
    avoid: &[ReplicaKey],
    attempt: u32,
    arrived_tries: u32,
    last_event: Option<&str>,
) -> Result<Begun, TryError> {
    let left_ms = call.left_ms();
    let others = call.route.kind.repeatable() && arrived_tries + 1 < call.route.max_attempts;
    let limit_ms = match others {
        true => silence::first_event_timeout(chosen.expected_ms).min(left_ms),
        false => left_ms,
    };
    let sent_ms = call.node.now_ms();
    let mut until_ms = sent_ms + limit_ms;
    let expected_ms = chosen.expected_ms;
    let work = chosen.held.work_id();
    let sets_aside = !chosen.memory.is_empty();
    let replica = chosen.replica.clone();
    let reading_left_ms = || {
        let now_ms = call.node.now_ms();
        work.and_then(|id| call.node.with(|s| s.ledger.reading_left_ms(id, now_ms)))
    };
    let begin = async {
        chosen.reserved = Some(Reserved::open(call, chosen).await?);
        let reply = tries::send(call, chosen, attempt, last_event).await?;
        begin_stream(reply).await
    };
    let begin = async {
        tokio::select! {
            result = begin => result,
            error = tries::restarted(call, &replica, Verdict::MayHaveRun, Evidence::Present) => Err(error),
        }
    };
    // A try that sets no memory aside waits as long as its engine may be silent.
    let memory_left_ms = |silent_ms| match sets_aside {
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
            Some(more_ms) if others => until_ms = call.node.now_ms() + more_ms,
            _ if others && left_ms > SpanMs::ZERO && has_no_other_place(call, avoid) => {
                until_ms = call.node.now_ms() + LOOK_ELSEWHERE_MS.min(left_ms);
            }
            _ => break,
        }
    }
    let why = "the engine is silent";
    let expected_ms = SpanMs(expected_ms as u64).max(SpanMs(LONG_SILENCE_MS));
    let symptom = Symptom::of_silence(call.node.now_ms().since(sent_ms), expected_ms);
    Err(TryError::new(why, Verdict::MayHaveRun, symptom))
}

async fn begin_stream(reply: Reply) -> Result<Begun, TryError> {
    let Reply { answer, head, link } = reply;
    let (parts, mut body) = answer.into_parts();
    if parts.status != StatusCode::OK {
        let why = format!("the engine failed with status {}", parts.status);
        return Err(TryError::new(&why, Verdict::Ran, Symptom::Failed));
    }
    let mut splitter = EventSplitter::default();
    let broken = |why: &str| {
        TryError::new(why, Verdict::MayHaveRun, Symptom::Failed)
            .broken(Break::of_connection(Evidence::Running))
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
    Ok(Begun {
        reply: Response::from_parts(parts, ()),
        source: Source {
            body,
            splitter,
            link,
            keep_alive_ms: head.keep_alive_ms,
        },
        first,
    })
}

impl Begun {
    /// The answer to the caller; its rest is pumped by a task of its own.
    fn answer(self, call: &Rc<Call>, chosen: Chosen, tries: u32) -> Answer {
        note_symptom(call, chosen.key, Symptom::Good, "");
        let headers = call
            .node
            .platform
            .dialect
            .answer_headers(self.reply.headers());
        let pieces = Pump::spawn(call.clone(), chosen, tries, self.source, self.first);
        let mut answer = Response::new(FrontBody::Pieces(pieces));
        *answer.status_mut() = self.reply.status();
        *answer.headers_mut() = headers;
        answer
    }
}
