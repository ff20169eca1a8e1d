//! Serves requests whose answer is a stream of events, up to the first event.

use super::Call;
use super::answers::Answer;
use super::body::FrontBody;
use super::choose::{Chosen, Target, choose_waiting, has_alternative};
use super::events::EventSplitter;
use super::fatal::{self, Disconnect};
use super::hop::{self, HopCause, HopError, PeerLease, PeerWatch};
use super::plain::{fail, refuse};
use super::pump::{EventSource, Pump};
use super::race::{NextAttempt, Race, RaceStep};
use super::reserve::ReservedMemory;
use super::server::StreamServer;
use super::tries::{
    self, Reply, RetryPass, Tries, TryError, has_retry_left, record_silence, record_symptom,
};
use crate::forward::Outcome;
use crate::journal::ConnectionKind;
use bluebell_base::prelude::*;
use bluebell_fleet::placement::Refusal;
use bluebell_fleet::prelude::*;
use bluebell_fleet::silence;
use bluebell_quarantine::prelude::*;
use http_body_util::BodyExt;
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
    let mut attempts = Attempts::new(call);
    let mut next = NextAttempt::Now;
    loop {
        let result = match next {
            NextAttempt::Now => attempts.begin().await,
            NextAttempt::Later | NextAttempt::NotDue => {
                let step = attempts.race.next(next).await;
                attempts.on_step(step, next).await
            }
        };
        next = match result {
            ControlFlow::Continue(next) => next,
            ControlFlow::Break(answer) => return answer,
        };
    }
}

/// The attempts to begin one stream.
struct Attempts {
    call: Rc<Call>,
    tries: Tries,
    retry: RetryPass,
    race: Race<AttemptEnd>,
    /// The newest attempt at an engine.
    newest: Option<Target>,
    may_forward: bool,
}

impl Attempts {
    fn new(call: &Rc<Call>) -> Self {
        Self {
            call: call.clone(),
            tries: Tries::default(),
            retry: RetryPass::of_first_attempt(),
            race: Race::new(),
            newest: None,
            may_forward: call.forwarded.is_none(),
        }
    }

    /// Looks for a place and begins an attempt there, unless an open attempt makes a step first.
    async fn begin(&mut self) -> ControlFlow<Answer, NextAttempt> {
        if !self.retry.is_available(&self.call) {
            return ControlFlow::Continue(NextAttempt::Later);
        }
        let place = tokio::select! {
            biased;
            step = self.race.next(NextAttempt::NotDue) => {
                return self.on_step(step, NextAttempt::Now).await;
            }
            place = find_place(&self.call, &self.tries, &mut self.may_forward) => place,
        };
        match place {
            Ok(place) if self.retry.take(&self.call) => {
                self.begin_at(place);
                ControlFlow::Continue(NextAttempt::NotDue)
            }
            Err(refusal) if self.race.is_empty() => {
                ControlFlow::Break(refuse(&self.call, self.tries.verdict(), &refusal))
            }
            Ok(_) | Err(_) => ControlFlow::Continue(NextAttempt::Later),
        }
    }

    fn begin_at(&mut self, place: Place) {
        let delivered = self.tries.delivered + self.race.open();
        match place {
            Place::Engine(chosen) => {
                let number = self.tries.begin(&chosen);
                self.newest = Some(chosen.target());
                let resume = self.call.resume();
                let last_event = resume.and_then(|resume| resume.last_event.clone());
                let avoid = &self.tries.avoid;
                let (first, silence) =
                    attempt(&self.call, *chosen, avoid, number, delivered, last_event);
                let end = async move {
                    let (chosen, result) = first.await;
                    AttemptEnd::Engine(Box::new(chosen), number, result)
                };
                self.race.add(end, silence);
            }
            Place::Peer(cause) => {
                let call = self.call.clone();
                let watch = PeerWatch::default();
                let silence = hop::silence(self.call.clone(), watch.clone());
                let end = async move {
                    let resume = call.resume().cloned();
                    let result = hop::first_event(&call, delivered, resume, &cause, &watch).await;
                    AttemptEnd::Peer(cause, result)
                };
                self.newest = None;
                self.race.add(end, silence);
            }
        }
    }

    /// Returns the time of the next attempt after a step of the open ones, or the answer. Before the step it was
    /// `next`.
    async fn on_step(
        &mut self,
        step: RaceStep<AttemptEnd>,
        next: NextAttempt,
    ) -> ControlFlow<Answer, NextAttempt> {
        match step {
            RaceStep::Ended(AttemptEnd::Engine(chosen, number, result)) => {
                self.on_engine_ended(chosen, number, result, next).await
            }
            RaceStep::Ended(AttemptEnd::Peer(cause, result)) => {
                self.on_peer_ended(&cause, result, next)
            }
            RaceStep::Silent(error) => ControlFlow::Continue(self.on_silent(&error, next)),
            RaceStep::Due => ControlFlow::Continue(NextAttempt::Now),
        }
    }

    async fn on_engine_ended(
        &mut self,
        chosen: Box<Chosen>,
        number: u32,
        result: Result<StartedStream, TryError>,
        next: NextAttempt,
    ) -> ControlFlow<Answer, NextAttempt> {
        let (call, open) = (&self.call, self.race.open());
        let error = match result {
            Ok(started) => {
                record_symptom(call, chosen.key, Symptom::Good, "", chosen.began_ms);
                let server = StreamServer::Engine(chosen);
                return ControlFlow::Break(started.answer(
                    call,
                    server,
                    self.tries.delivered + open + 1,
                ));
            }
            Err(error) => error,
        };
        let target = chosen.target();
        self.tries.failed(call, &target, number, &error).await;
        if self.race.is_in_time() {
            return ControlFlow::Continue(NextAttempt::NotDue);
        }
        if self.tries.may_follow(call, open, &error) {
            self.retry.give_back();
            return ControlFlow::Continue(NextAttempt::Now);
        }
        match self.race.is_empty() {
            true => ControlFlow::Break(fail(&self.call, self.tries.verdict(), &error.why)),
            false => ControlFlow::Continue(next),
        }
    }

    fn on_peer_ended(
        &mut self,
        cause: &HopCause,
        result: Result<(StartedStream, PeerLease, u32), HopError>,
        next: NextAttempt,
    ) -> ControlFlow<Answer, NextAttempt> {
        let error = match result {
            Ok((started, peer, delivered)) => {
                return ControlFlow::Break(started.answer(
                    &self.call,
                    StreamServer::Peer(peer),
                    delivered,
                ));
            }
            Err(error) => error,
        };
        let is_limited = matches!(cause, HopCause::Limited { .. });
        let next = match (&error, self.race.is_empty()) {
            // This node may still serve it.
            (HopError::NoPeer(_), true) if is_limited => NextAttempt::Now,
            (_, true) => match hop::final_answer(&self.call, &mut self.tries, error) {
                Some(answer) => return ControlFlow::Break(answer),
                None => NextAttempt::Now,
            },
            (_, false) => match self.tries.hop_ended(&self.call, &error) {
                true => NextAttempt::Later,
                false => return ControlFlow::Continue(next),
            },
        };
        self.retry.give_back();
        ControlFlow::Continue(next)
    }

    fn on_silent(&mut self, error: &TryError, next: NextAttempt) -> NextAttempt {
        if let Some(target) = &self.newest {
            record_silence(&self.call, target, error);
        }
        match self.tries.may_try_beside(&self.call, self.race.open()) {
            true => NextAttempt::Now,
            false => next,
        }
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
