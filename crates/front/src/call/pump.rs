//! Forwards a stream's events to the caller as they arrive, and resumes the stream at another
//! engine if one breaks off.
//!
//! A source that is merely silent stays open while another engine is looked for. Whichever sends the
//! next event goes on with the stream.
//!
//! Invariants: only complete events are forwarded. Each event is forwarded once. A stream that
//! broke off and can't be resumed ends as broken off; one whose source is silent ends so at its
//! deadline only.

use super::Call;
use super::body::{BrokenOff, FrontBody};
use super::choose::Chosen;
use super::events::{self, EventSplitter, Events};
use super::fatal::{self, Disconnect};
use super::resumption::{Resumption, Successor};
use super::server::StreamServer;
use super::stream::StartedStream;
use super::tries::{TryError, cut_by_crash};
use crate::http::bounds::AnswerPart;
use crate::http::{AnswerBody, Holding, Link};
use crate::journal::Event;
use crate::links;
use crate::quarantine::ESTABLISHED_MS;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_fleet::silence;
use bluebell_quarantine::prelude::*;
use bytes::Bytes as Buffer;
use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// The number of event batches that are queued for a slow caller before reading from the engine
/// pauses.
const MAX_QUEUED_BATCHES: usize = 16;

/// The engine's answer that events are read from.
pub(super) struct EventSource {
    /// The rest of the answer's body.
    pub body: AnswerBody,
    /// The splitter, which holds the beginning of an incomplete event.
    pub splitter: EventSplitter,
    /// The connection that the answer arrives on.
    pub link: Link,
    /// The time for which the engine keeps the idle connection open, or `None` if it states none.
    pub keep_alive_ms: Option<SpanMs>,
    /// True if only the end of the connection ends the stream.
    pub ends_with_connection: bool,
}

impl EventSource {
    /// Waits for the next events. Returns `None` at the regular end. `engine` writes the stream, unless a
    /// peer forwards it.
    async fn next(
        &mut self,
        call: &Call,
        engine: Option<&Chosen>,
    ) -> Result<Option<Events>, TryError> {
        match events::next_events(&mut self.body, &mut self.splitter, &self.link).await {
            Ok(Some(events)) => Ok(Some(events)),
            Ok(None) => self.end(call, engine).await.map(|()| None),
            Err(why) => Err(broken(&why)),
        }
    }

    /// Checks that a stream that has no more events is complete.
    async fn end(&self, call: &Call, engine: Option<&Chosen>) -> Result<(), TryError> {
        if self.splitter.is_mid_event() {
            return Err(broken("the stream ended in the middle of an event"));
        }
        match engine {
            Some(engine) if self.ends_with_connection && fatal::has_crashed(call, engine).await => {
                Err(cut_by_crash())
            }
            _ => Ok(()),
        }
    }
}

/// Returns the failure of a stream that broke off.
fn broken(why: &str) -> TryError {
    let error = TryError::new(why, Verdict::Ran, Symptom::Failed);
    error.with_disconnect(Disconnect::of_connection(Evidence::Running))
}

/// The reason for which events are no longer forwarded from a source alone.
enum SourceEnd {
    /// The stream is complete.
    Complete,
    /// The source is silent and may still go on.
    Silent(TryError),
    /// The stream broke off.
    Broken(TryError),
    /// The caller closed its connection.
    CallerGone,
    /// The stream went on for too long after the request's deadline.
    Overdue,
    /// The caller didn't take the events until too long after its deadline.
    CallerOverdue,
}

/// The result of forwarding events.
enum Forwarded {
    /// They were sent.
    Sent,
    /// The caller closed its connection, or it was closed.
    CallerGone,
    /// The caller didn't take them until too long after its deadline.
    Overdue,
}

/// The reason of a stream that ends because its caller doesn't read.
const CALLER_OVERDUE: &str = "the caller didn't take the answer in time";

/// The result of looking for another engine.
enum Resumed {
    /// The silent source goes on with these events.
    WentOn(Events),
    /// The silent source ended the stream regularly.
    Complete,
    /// Another engine or a peer goes on.
    Replaced(Box<Successor>),
    /// Nothing can resume the stream, for this reason.
    Refused(Arc<str>),
    /// The caller closed its connection.
    CallerGone,
}

/// The task that forwards one stream, with its state.
pub(super) struct Pump {
    call: Rc<Call>,
    server: StreamServer,
    resumption: Resumption,
    out: mpsc::Sender<Result<Buffer, BrokenOff>>,
    /// The memory that holds the pieces in `out`.
    holding: Rc<Holding>,
    /// The id of the last event that was passed on, or `None` if no event had one.
    last_id: Option<Arc<str>>,
    /// The time from the request's arrival to its first event.
    first_ms: SpanMs,
    /// The time of the first event from the current server.
    began_ms: MonoMs,
    /// True once the current server has written for [`ESTABLISHED_MS`].
    is_established: bool,
    last_event_ms: MonoMs,
    longest_pause_ms: SpanMs,
}

impl Pump {
    /// Starts a task that forwards events, and returns the answer's body.
    pub fn spawn(
        call: Rc<Call>,
        server: StreamServer,
        tries: u32,
        source: EventSource,
        first: Events,
    ) -> FrontBody {
        let (out, pieces) = mpsc::channel(MAX_QUEUED_BATCHES);
        let holding = call.node.held.open_stream();
        let body = FrontBody::Pieces(pieces, holding.clone());
        let pump = Self {
            first_ms: call.age_ms(),
            began_ms: call.node.now_ms(),
            is_established: false,
            last_event_ms: call.node.now_ms(),
            longest_pause_ms: SpanMs::ZERO,
            resumption: Resumption::new(call.clone(), tries),
            call,
            server,
            out,
            holding,
            last_id: None,
        };
        spawn_local(pump.run(source, first));
        body
    }

    /// Forwards events until the stream is complete, can't be resumed, or the caller leaves.
    async fn run(mut self, mut source: EventSource, first: Events) {
        source = match self.forward_first(first, source).await {
            Some(source) => source,
            None => return,
        };
        loop {
            let resumed = match self.forward_until_end(&mut source).await {
                SourceEnd::Complete => return self.complete(source),
                SourceEnd::CallerGone => return self.record_cancelled(),
                SourceEnd::Overdue => return self.end_overdue(source).await,
                SourceEnd::CallerOverdue => {
                    drop(source);
                    return self.abort(CALLER_OVERDUE).await;
                }
                SourceEnd::Silent(error) => {
                    self.server.on_silent(&self.call, &error);
                    self.resume(Some(source), error).await
                }
                SourceEnd::Broken(error) => {
                    drop(source);
                    let error = error.after_writing(self.last_event_ms.since(self.began_ms));
                    let attempt = self.resumption.delivered();
                    self.server.on_failed(&self.call, attempt, &error).await;
                    self.resume(None, error).await
                }
            };
            match resumed {
                Some(next) => source = next,
                None => return,
            }
        }
    }

    /// Records that the stream is complete, and keeps its connection.
    fn complete(&self, source: EventSource) {
        self.record_answered(200);
        fatal::on_served(&self.call, self.began_ms);
        let EventSource {
            link,
            keep_alive_ms,
            ..
        } = source;
        self.call.node.pool.give_back(link, keep_alive_ms);
    }

    /// Forwards events until the source ends or is silent for too long.
    async fn forward_until_end(&mut self, source: &mut EventSource) -> SourceEnd {
        loop {
            let next = tokio::select! {
                next = source.next(&self.call, self.server.engine()) => next,
                () = self.out.closed() => return SourceEnd::CallerGone,
                error = self.restarted() => return SourceEnd::Broken(error),
                error = self.silence() => return SourceEnd::Silent(error),
            };
            if self.is_overdue() {
                return SourceEnd::Overdue;
            }
            let events = match next {
                Ok(Some(events)) => events,
                Ok(None) => return SourceEnd::Complete,
                Err(error) => return SourceEnd::Broken(error),
            };
            match self.forward(events).await {
                Forwarded::Sent => {}
                Forwarded::CallerGone => return SourceEnd::CallerGone,
                Forwarded::Overdue => return SourceEnd::CallerOverdue,
            }
        }
    }

    /// Waits until the other side has been silent for too long, and returns what that shows.
    async fn silence(&self) -> TryError {
        if let StreamServer::Peer(peer) = &self.server
            && self.may_resume()
        {
            let error = peer.lost().await;
            self.wait_until_late().await;
            return error;
        }
        self.engine_silence().await;
        let silent_ms = self.call.node.now_ms().since(self.last_event_ms);
        let symptom = Symptom::of_silence(silent_ms, self.gap_ms());
        let why = "the engine sent no event for too long";
        TryError::new(why, Verdict::Ran, symptom)
    }

    /// Returns the longest pause between two events that is on time.
    fn gap_ms(&self) -> SpanMs {
        match self.call.route.kind {
            RouteKind::Stream { gap_ms, .. } => gap_ms,
            RouteKind::Idempotent | RouteKind::AtMostOnce => SpanMs::ZERO,
        }
    }

    /// Waits until the next event is late.
    async fn wait_until_late(&self) {
        let late_ms = self.last_event_ms + self.gap_ms();
        let wait_ms = late_ms.since(self.call.node.now_ms());
        tokio::time::sleep(wait_ms.into()).await;
    }

    /// Waits until the engine is known to have started again and the next event is late. While events arrive in time, their
    /// connection leads to the new start.
    async fn restarted(&self) -> TryError {
        let error = self.server.restarted(&self.call).await;
        self.wait_until_late().await;
        error
    }

    /// Returns true if another engine may go on with the stream.
    fn may_resume(&self) -> bool {
        self.call.route.kind.repeatable() && self.resumption.delivered() < self.call.max_attempts()
    }

    /// Returns once the engine has been silent for too long: at the deadline if the stream can't be
    /// resumed elsewhere, and later than usual if the engine is known to be reading prompts.
    async fn engine_silence(&self) {
        if !self.may_resume() {
            return tokio::time::sleep(self.call.left_ms().into()).await;
        }
        let mut limit_ms = silence::pause_timeout(self.gap_ms()).min(self.call.left_ms());
        loop {
            tokio::select! {
                () = tokio::time::sleep(limit_ms.into()) => {}
                () = self.links_lost() => return,
            }
            match self.extra_silence_ms() {
                Some(more_ms) => limit_ms = more_ms,
                None => return,
            }
        }
    }

    /// Returns once the links to the engines are lost and the next event is late.
    async fn links_lost(&self) {
        links::wait_until_lost(&self.call.node, &self.call.service.name).await;
        self.wait_until_late().await;
    }

    /// Returns the further time for which the engine may stay silent, or `None` if it is given up.
    fn extra_silence_ms(&self) -> Option<SpanMs> {
        let node = &self.call.node;
        let now_ms = node.now_ms();
        let engine = self.server.engine()?;
        let reading_ms = node.with(|s| s.ledger.backlog_ms(engine.key, now_ms));
        let given_up_ms = self.last_event_ms + self.call.wait_timeouts().caller_timeout_ms;
        let left_ms = self.call.left_ms().min(given_up_ms.since(now_ms));
        silence::timeout_extension(Some(reading_ms), left_ms, engine.expected_ms)
    }

    /// Forwards events as the caller takes them.
    async fn forward(&mut self, events: Events) -> Forwarded {
        let now_ms = self.call.node.now_ms();
        let pause_ms = now_ms.since(self.last_event_ms);
        self.last_event_ms = now_ms;
        self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        if !self.is_established && now_ms.since(self.began_ms) >= ESTABLISHED_MS {
            self.is_established = true;
            fatal::on_established(&self.call, self.began_ms);
        }
        let stage = self.stage();
        self.server.set_stage(stage);
        if events.last_id.is_some() {
            self.last_id = events.last_id;
        }
        tokio::select! {
            biased;
            is_sent = self.send(events.bytes) => match is_sent {
                true => Forwarded::Sent,
                false => Forwarded::CallerGone,
            },
            () = self.out.closed() => Forwarded::CallerGone,
            () = tokio::time::sleep(self.until_overdue_ms().into()) => Forwarded::Overdue,
        }
    }

    /// Sends a piece once its memory is free; returns false if the caller has left or is closed.
    async fn send(&self, bytes: Buffer) -> bool {
        self.holding.add(bytes.len()).await.is_ok() && self.out.send(Ok(bytes)).await.is_ok()
    }

    /// Returns the time until the stream has gone on for as long after its request's deadline as before it.
    fn until_overdue_ms(&self) -> SpanMs {
        let call = &self.call;
        let limit_ms = call.deadline_ms.since(call.arrived_ms);
        (call.deadline_ms + limit_ms).since(call.node.now_ms())
    }

    fn is_overdue(&self) -> bool {
        self.until_overdue_ms() == SpanMs::ZERO
    }

    /// Ends a stream that went on for too long after its request's deadline.
    async fn end_overdue(&mut self, source: EventSource) {
        let why = source.link.cut(AnswerPart::Stream).to_string();
        drop(source);
        let error = TryError::new(&why, Verdict::Ran, Symptom::Failed);
        let attempt = self.resumption.delivered();
        self.server.on_failed(&self.call, attempt, &error).await;
        self.abort(&why).await;
    }

    /// Returns the stage of the work: late once a pause or the first event was late.
    fn stage(&self) -> Stage {
        let is_first_late = self.first_ms > self.call.route.target_ms;
        match is_first_late || self.longest_pause_ms > self.gap_ms() {
            true => Stage::Late,
            false => Stage::Writing,
        }
    }

    /// Goes on with a stream that broke off, or whose `source` is silent, with whichever sends the next event: the source,
    /// another engine or a peer. Returns `None` if the stream has ended.
    async fn resume(
        &mut self,
        mut source: Option<EventSource>,
        error: TryError,
    ) -> Option<EventSource> {
        let attempt = self.resumption.delivered();
        match self.await_next(&mut source, &error).await {
            Resumed::WentOn(events) => {
                self.resumption.on_given_up();
                self.server.on_recovered(&self.call, self.last_event_ms);
                self.forward_first(events, source?).await
            }
            Resumed::Complete => {
                self.server.on_recovered(&self.call, self.last_event_ms);
                self.complete(source?);
                None
            }
            Resumed::Replaced(successor) => {
                if source.take().is_some() {
                    let error = error.of_replaced();
                    self.server.on_failed(&self.call, attempt, &error).await;
                }
                let Successor { server, started } = *successor;
                let StartedStream { source, first, .. } = started;
                self.server = server;
                self.began_ms = self.call.node.now_ms();
                self.is_established = false;
                self.forward_first(first, source).await
            }
            Resumed::Refused(why) => {
                self.abort(&why).await;
                None
            }
            Resumed::CallerGone => {
                self.record_cancelled();
                None
            }
        }
    }

    /// Forwards the first events after a pause, and returns their source unless the caller has left.
    async fn forward_first(&mut self, events: Events, source: EventSource) -> Option<EventSource> {
        match self.forward(events).await {
            Forwarded::Sent => return Some(source),
            Forwarded::CallerGone => self.record_cancelled(),
            Forwarded::Overdue => {
                drop(source);
                self.abort(CALLER_OVERDUE).await;
            }
        }
        None
    }

    /// Waits for the next event from the silent source, if there is one, or from another engine or a peer. A source that breaks
    /// off meanwhile is dropped.
    async fn await_next(&mut self, source: &mut Option<EventSource>, error: &TryError) -> Resumed {
        let writing_ms = self.last_event_ms.since(self.began_ms);
        let Self {
            call,
            server,
            out,
            resumption,
            last_id,
            ..
        } = self;
        let attempt = resumption.delivered();
        let is_open = Cell::new(source.is_some());
        let avoid = server.engine().map(|engine| engine.key);
        let successor = resumption.run(avoid, last_id.clone(), &is_open, error.why.clone());
        tokio::pin!(successor);
        loop {
            let broken = tokio::select! {
                biased;
                () = out.closed() => return Resumed::CallerGone,
                next = next_events(source, call, server) => match next {
                    Ok(Some(events)) => return Resumed::WentOn(events),
                    Ok(None) => return Resumed::Complete,
                    Err(error) => error,
                },
                error = server.restarted(call), if is_open.get() => error,
                successor = &mut successor => return match successor {
                    Ok(successor) => Resumed::Replaced(Box::new(successor)),
                    Err(why) => Resumed::Refused(why),
                },
            };
            drop(source.take());
            is_open.set(false);
            let broken = broken.after_writing(writing_ms);
            server.on_failed(call, attempt, &broken).await;
        }
    }

    /// Records a failure and ends the caller's stream as broken off.
    async fn abort(&self, why: &str) {
        self.call.node.journal.record(&Event::Failed {
            request: self.call.head.request.clone(),
            status: 200,
            why: why.into(),
            age_ms: self.call.age_ms(),
        });
        // The send fails only if the caller has left, who needs no notice.
        let _ = self.out.send(Err(BrokenOff)).await;
    }

    /// Records the answer's status and times.
    fn record_answered(&self, status: u16) {
        self.call.node.journal.record(&Event::Answered {
            request: self.call.head.request.clone(),
            status,
            attempts: self.resumption.delivered(),
            prompt_tokens: self.call.head.prompt_tokens.unwrap_or_default(),
            first_ms: self.first_ms,
            end_ms: self.call.age_ms(),
            longest_pause_ms: self.longest_pause_ms,
        });
    }

    /// Records that the caller left before the end of the stream.
    fn record_cancelled(&self) {
        self.call.node.journal.record(&Event::Cancelled {
            request: self.call.head.request.clone(),
            age_ms: self.call.age_ms(),
        });
    }
}

/// Waits for the next events of a source, forever if there is none.
async fn next_events(
    source: &mut Option<EventSource>,
    call: &Call,
    server: &StreamServer,
) -> Result<Option<Events>, TryError> {
    match source {
        Some(source) => source.next(call, server.engine()).await,
        None => pending().await,
    }
}
