//! Serves requests whose answer is a stream of events, up to the first event.

use super::Call;
use super::answers::Answer;
use super::attempts::{self, AttemptSteps, Attempts, Progress, on_step};
use super::choose::{Chosen, Target, choose_waiting, has_alternative};
use super::events::{EventSplitter, next_events};
use super::fatal::{self, Disconnect};
use super::hop::{self, HopCause, HopError, PeerLease, PeerWatch};
use super::plain::{fail, refuse};
use super::pump::{EventSource, Pump};
use super::race::NextAttempt;
use super::reserve::ReservedMemory;
use super::server::StreamServer;
use super::tries::{self, Reply, Tries, TryError, has_retry_left, record_symptom};
use crate::forward::Outcome;
use crate::journal::ConnectionKind;
use bluebell_base::prelude::*;
use bluebell_fleet::placement::Refusal;
use bluebell_fleet::prelude::*;
use bluebell_fleet::silence;
use bluebell_quarantine::prelude::*;
use hyper::{Response, StatusCode};
use std::future::pending;
use std::ops::ControlFlow;
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

/// The end of an attempt to begin a stream.
enum AttemptEnd {
    /// At an engine; the attempt has this number.
    Engine(Box<Chosen>, u32, Result<StartedStream, TryError>),
    /// At a peer.
    Peer(HopCause, Result<(StartedStream, PeerLease, u32), HopError>),
}

/// The place of the next attempt.
enum Place {
    Engine(Box<Chosen>),
    Peer(HopCause),
}

/// Serves a request whose answer is a stream, with further attempts while the first event is
/// missing.
pub(super) async fn serve(call: &Rc<Call>) -> Answer {
    let mut request = StreamRequest {
        attempts: Attempts::new(call),
        may_forward: call.forwarded.is_none(),
    };
    attempts::serve(&mut request).await
}

/// A request whose answer is a stream that hasn't begun.
struct StreamRequest {
    attempts: Attempts<AttemptEnd>,
    /// True if the request may be forwarded because of the replicas' limits or a trial.
    may_forward: bool,
}

impl AttemptSteps for StreamRequest {
    type End = AttemptEnd;

    fn attempts(&mut self) -> &mut Attempts<AttemptEnd> {
        &mut self.attempts
    }

    async fn begin(&mut self) -> Progress {
        let attempts = &mut self.attempts;
        if !attempts.retry.is_available(&attempts.call) {
            return ControlFlow::Continue(NextAttempt::Later);
        }
        let place = tokio::select! {
            biased;
            step = attempts.race.next(NextAttempt::NotDue) => {
                return on_step(self, step, NextAttempt::Now).await;
            }
            place = find_place(&attempts.call, &attempts.tries, &mut self.may_forward) => place,
        };
        match place {
            Ok(place) if attempts.retry.take(&attempts.call) => {
                self.begin_at(place);
                ControlFlow::Continue(NextAttempt::NotDue)
            }
            Err(refusal) if attempts.race.is_empty() => {
                ControlFlow::Break(refuse(&attempts.call, attempts.tries.verdict(), &refusal))
            }
            Ok(_) | Err(_) => ControlFlow::Continue(NextAttempt::Later),
        }
    }

    async fn on_ended(&mut self, end: AttemptEnd, next: NextAttempt) -> Progress {
        match end {
            AttemptEnd::Engine(chosen, number, result) => {
                self.on_engine_ended(chosen, number, result, next).await
            }
            AttemptEnd::Peer(_, Ok((started, peer, delivered))) => {
                let server = StreamServer::Peer(peer);
                ControlFlow::Break(started.answer(&self.attempts.call, server, delivered))
            }
            AttemptEnd::Peer(cause, Err(error)) => self.on_peer_failed(&cause, error, next),
        }
    }
}

impl StreamRequest {
    fn begin_at(&mut self, place: Place) {
        let attempts = &mut self.attempts;
        let call = attempts.call.clone();
        let delivered = attempts.delivered();
        match place {
            Place::Engine(chosen) => {
                let number = attempts.tries.begin(&chosen);
                let target = chosen.target();
                let last_event = call.resume().and_then(|resume| resume.last_event.clone());
                let avoid = &attempts.tries.avoid;
                let (first, silence) =
                    attempt(&call, *chosen, avoid, number, delivered, last_event);
                let end = async move {
                    let (chosen, result) = first.await;
                    AttemptEnd::Engine(Box::new(chosen), number, result)
                };
                attempts.add(Some(target), end, silence);
            }
            Place::Peer(cause) => {
                let watch = PeerWatch::default();
                let silence = hop::silence(call.clone(), watch.clone());
                let end = async move {
                    let resume = call.resume().cloned();
                    let result = hop::first_event(&call, delivered, resume, &cause, &watch).await;
                    AttemptEnd::Peer(cause, result)
                };
                attempts.add(None, end, silence);
            }
        }
    }

    async fn on_engine_ended(
        &mut self,
        chosen: Box<Chosen>,
        number: u32,
        result: Result<StartedStream, TryError>,
        next: NextAttempt,
    ) -> Progress {
        let attempts = &mut self.attempts;
        let error = match result {
            Ok(started) => {
                let call = &attempts.call;
                record_symptom(call, chosen.key, Symptom::Good, "", chosen.began_ms);
                let delivered = attempts.delivered() + 1;
                let server = StreamServer::Engine(chosen);
                return ControlFlow::Break(started.answer(call, server, delivered));
            }
            Err(error) => error,
        };
        let target = chosen.target();
        match attempts.on_failed(&target, number, &error, next).await {
            Some(next) => ControlFlow::Continue(next),
            None => ControlFlow::Break(fail(&attempts.call, attempts.tries.verdict(), &error.why)),
        }
    }

    fn on_peer_failed(&mut self, cause: &HopCause, error: HopError, next: NextAttempt) -> Progress {
        let is_limited = matches!(cause, HopCause::Limited { .. });
        let is_refused = matches!(error, HopError::NoPeer(_));
        if is_limited && is_refused && self.attempts.race.is_empty() {
            // This node may still serve it.
            self.attempts.retry.give_back();
            return ControlFlow::Continue(NextAttempt::Now);
        }
        self.attempts.on_peer_failed(error, next)
    }
}

/// Finds a place for the next attempt, and waits for one for as long as that may help.
async fn find_place(
    call: &Rc<Call>,
    tries: &Tries,
    may_forward: &mut bool,
) -> Result<Place, Refusal> {
    loop {
        fatal::wait_for_trial(call).await;
        if hop::is_needed(call) {
            return Ok(Place::Peer(HopCause::LinksLost));
        }
        match choose_waiting(call, &tries.avoid, *may_forward).await {
            Ok(chosen) => return Ok(Place::Engine(Box::new(chosen))),
            Err(refusal @ (Refusal::Limited { .. } | Refusal::Suspected { .. }))
                if *may_forward =>
            {
                // If no peer serves it either, the request waits or is refused here.
                *may_forward = false;
                if let Some(cause) = HopCause::of_refusal(call, &tries.avoid, refusal) {
                    return Ok(Place::Peer(cause));
                }
            }
            Err(refusal) => return Err(refusal),
        }
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

/// Prepares an attempt. Returns the future of its first event, which is missing at the deadline at the latest, and the future of
/// its silence, after which the request may be sent to another engine as well.
///
/// The head of the answer is held back until the first event, so that a replica that fails between the two can still be
/// replaced.
pub(super) fn attempt(
    call: &Rc<Call>,
    chosen: Chosen,
    avoid: &[ReplicaKey],
    number: u32,
    delivered: u32,
    last_event: Option<Arc<str>>,
) -> (
    impl Future<Output = (Chosen, Result<StartedStream, TryError>)> + use<>,
    impl Future<Output = TryError> + use<>,
) {
    let may_try_others = call.route.kind.repeatable() && delivered + 1 < call.max_attempts();
    let watch = AttemptWatch {
        call: call.clone(),
        target: chosen.target(),
        work: chosen.guard.work_id(),
        expected_ms: chosen.expected_ms,
        reserves_memory: !chosen.memory.is_empty(),
        gives_up_lost_links: may_try_others && call.forwarded.is_some(),
    };
    let avoid = avoid.to_vec();
    let silence = {
        let watch = watch.clone();
        async move {
            match may_try_others {
                true => watch.silence(&avoid).await,
                false => pending().await,
            }
        }
    };
    let first = async move {
        let mut chosen = chosen;
        let result = first_event(&watch, &mut chosen, number, last_event).await;
        (chosen, result)
    };
    (first, silence)
}

/// Waits for the first event of an attempt until its deadline.
async fn first_event(
    watch: &AttemptWatch,
    chosen: &mut Chosen,
    number: u32,
    last_event: Option<Arc<str>>,
) -> Result<StartedStream, TryError> {
    let call = &watch.call;
    let begin = async {
        chosen.reserved = Some(ReservedMemory::open(call, chosen).await?);
        let reply = tries::send(call, chosen, number, last_event.as_deref()).await?;
        read_first_event(reply).await
    };
    let replica = &watch.target.replica;
    tokio::select! {
        result = begin => result,
        error = tries::restarted(call, replica, Verdict::MayHaveRun, Evidence::Present) => Err(error),
        error = watch.expiry() => Err(error),
        error = tries::links_lost(call, &watch.target), if watch.gives_up_lost_links => Err(error),
    }
}

/// The data by which the silence of an attempt without a first event is judged.
#[derive(Clone)]
struct AttemptWatch {
    call: Rc<Call>,
    target: Target,
    work: Option<WorkId>,
    /// The expected time until the first event, in milliseconds.
    expected_ms: f64,
    reserves_memory: bool,
    /// True if the attempt ends once the links to the engines are lost: a peer forwarded the request, and has other peers.
    gives_up_lost_links: bool,
}

impl AttemptWatch {
    /// Waits until the attempt has been silent for so long that another engine should be tried: one would take the
    /// request, and there is time left. The attempt may still go on.
    async fn silence(&self, avoid: &[ReplicaKey]) -> TryError {
        let call = &self.call;
        let mut wait_ms = silence::first_event_timeout(self.expected_ms).min(call.left_ms());
        loop {
            tokio::select! {
                () = tokio::time::sleep(Duration::from(wait_ms)) => {}
                error = tries::links_lost(call, &self.target) => return error,
            }
            let left_ms = call.left_ms().min(call.caller_timeout_left_ms());
            let reading_ms = self.reading_left_ms();
            match silence::timeout_extension(reading_ms, left_ms, self.expected_ms) {
                Some(more_ms) => wait_ms = more_ms,
                None if left_ms > SpanMs::ZERO && has_no_alternative(call, avoid) => {
                    wait_ms = ALTERNATIVE_POLL_MS.min(left_ms);
                }
                None if self.target.connection.get() == ConnectionKind::None => {
                    wait_ms = ALTERNATIVE_POLL_MS.min(call.left_ms());
                }
                None => return self.silent(),
            }
        }
    }

    /// Waits until the attempt must end: at its deadline, or once memory that was reserved for it may no longer stay
    /// unused.
    async fn expiry(&self) -> TryError {
        loop {
            let left_ms = self.call.left_ms();
            let memory_ms = match self.reserves_memory {
                true => silence::memory_extension(self.reading_left_ms(), self.waited_ms()),
                false => Some(left_ms),
            };
            match memory_ms {
                Some(memory_ms) if left_ms > SpanMs::ZERO => {
                    tokio::time::sleep(Duration::from(left_ms.min(memory_ms))).await;
                }
                _ => return self.silent(),
            }
        }
    }

    /// Returns what the silence shows so far.
    fn silent(&self) -> TryError {
        let why = "the engine is silent";
        if self.reserves_memory && self.target.connection.get() == ConnectionKind::None {
            // The order to reserve memory may have been silent, so this shows nothing of the engine.
            return TryError {
                delivered: false,
                ..TryError::new(why, Verdict::NotRun, Symptom::Inconclusive)
            };
        }
        let expected_ms = SpanMs(self.expected_ms as u64).max(SpanMs(MIN_SILENCE_SYMPTOM_MS));
        let symptom = Symptom::of_silence(self.waited_ms(), expected_ms);
        tries::silent(&self.call, &self.target, symptom, why)
    }

    fn waited_ms(&self) -> SpanMs {
        self.call.node.now_ms().since(self.target.began_ms)
    }

    /// Returns the time that the engines still need to read the prompt, in milliseconds, as far as it is known.
    fn reading_left_ms(&self) -> Option<f64> {
        let node = &self.call.node;
        let now_ms = node.now_ms();
        let work = self.work?;
        node.with(|state| state.ledger.reading_left_ms(work, now_ms))
    }
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
    let first = match next_events(&mut body, &mut splitter, &link).await {
        Ok(Some(events)) => events,
        Ok(None) => return Err(broken("the stream ended before its first event")),
        Err(why) => return Err(broken(&why)),
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
        let body = Pump::spawn(call.clone(), server, tries, self.source, self.first);
        let mut answer = Response::new(body);
        *answer.status_mut() = self.reply.status();
        *answer.headers_mut() = headers;
        let outcome = Outcome::Replica { attempts: tries };
        answer.extensions_mut().insert(outcome);
        answer
    }
}
