//! Forwards a stream's events to the caller as they arrive, and resumes the stream at another
//! engine if one breaks off.
//!
//! Invariants: only complete events are forwarded. Each event is forwarded once. A stream that
//! can't be resumed ends as broken off.

use super::Call;
use super::body::BrokenOff;
use super::choose::choose_for_resume;
use super::events::{EventSplitter, Events};
use super::fatal::{self, Disconnect};
use super::hop::{self, HopCause, HopError};
use super::server::StreamServer;
use super::stream::{StartedStream, first_event};
use super::tries::{TryError, cut_by_crash, may_try_again};
use crate::forward::ResumePoint;
use crate::http::Link;
use crate::journal::Event;
use crate::links;
use crate::quarantine::ESTABLISHED_MS;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use bluebell_fleet::silence;
use bluebell_quarantine::prelude::*;
use bytes::Bytes as Buffer;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// The number of event batches that are queued for a slow caller before reading from the engine
/// pauses.
const MAX_QUEUED_BATCHES: usize = 16;

/// The engine's answer that events are read from.
pub(super) struct EventSource {
    /// The rest of the answer's body.
    pub body: Incoming,
    /// The splitter, which holds the beginning of an incomplete event.
    pub splitter: EventSplitter,
    /// The connection that the answer arrives on.
    pub link: Link,
    /// The time for which the engine keeps the idle connection open, or `None` if it states none.
    pub keep_alive_ms: Option<SpanMs>,
    /// True if only the end of the connection ends the stream.
    pub ends_with_connection: bool,
}

/// The reason for which an event source ended.
enum SourceEnd {
    /// The stream is complete.
    Complete,
    /// The stream broke off.
    Broken(TryError),
    /// The caller closed its connection.
    CallerGone,
}

/// The result of resuming a stream.
enum Resumed {
    /// The rest of the stream has begun.
    Started(Box<StartedStream>),
    /// The attempt failed; another may follow.
    Failed(TryError),
    /// Nothing can resume the stream, for this reason.
    Refused(Arc<str>),
    /// The caller closed its connection.
    CallerGone,
}

/// The task that forwards one stream, with its state.
pub(super) struct Pump {
    call: Rc<Call>,
    server: StreamServer,
    /// The number of attempts whose replica received the request.
    tries: u32,
    out: mpsc::Sender<Result<Buffer, BrokenOff>>,
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
    /// Starts a task that forwards events, and returns the receiver of the answer's body.
    pub fn spawn(
        call: Rc<Call>,
        server: StreamServer,
        tries: u32,
        source: EventSource,
        first: Events,
    ) -> mpsc::Receiver<Result<Buffer, BrokenOff>> {
        let (out, pieces) = mpsc::channel(MAX_QUEUED_BATCHES);
        let pump = Self {
            first_ms: call.age_ms(),
            began_ms: call.node.now_ms(),
            is_established: false,
            last_event_ms: call.node.now_ms(),
            longest_pause_ms: SpanMs::ZERO,
            call,
            server,
            tries,
            out,
            last_id: None,
        };
        spawn_local(pump.run(source, first));
        pieces
    }

    /// Forwards events until the stream is complete, can't be resumed, or the caller leaves.
    async fn run(mut self, mut source: EventSource, first: Events) {
        if !self.forward(first).await {
            self.record_cancelled();
            return;
        }
        loop {
            match self.forward_until_end(&mut source).await {
                SourceEnd::Complete => {
                    self.record_answered(200);
                    fatal::on_served(&self.call, self.began_ms);
                    let EventSource {
                        link,
                        keep_alive_ms,
                        ..
                    } = source;
                    self.call.node.pool.give_back(link, keep_alive_ms);
                    return;
                }
                SourceEnd::CallerGone => return self.record_cancelled(),
                SourceEnd::Broken(error) => {
                    drop(source);
                    let error = error.after_writing(self.last_event_ms.since(self.began_ms));
                    self.server.on_failed(&self.call, self.tries, &error).await;
                    match self.resume(error).await {
                        Some(next) => source = next,
                        None => return,
                    }
                }
            }
        }
    }

    /// Forwards events until the source ends.
    async fn forward_until_end(&mut self, source: &mut EventSource) -> SourceEnd {
        loop {
            let frame = tokio::select! {
                frame = source.body.frame() => frame,
                () = self.out.closed() => return SourceEnd::CallerGone,
                error = self.server.lost(&self.call) => return SourceEnd::Broken(error),
                () = self.silence() => {
                    let error = TryError::new(
                        "the engine sent no event for too long",
                        Verdict::Ran,
                        Symptom::Silent,
                    );
                    return SourceEnd::Broken(error);
                }
            };
            let broken = |why: &str| {
                let error = TryError::new(why, Verdict::Ran, Symptom::Failed);
                SourceEnd::Broken(
                    error.with_disconnect(Disconnect::of_connection(Evidence::Running)),
                )
            };
            let data = match frame {
                None if source.splitter.is_mid_event() => {
                    return broken("the stream ended in the middle of an event");
                }
                None if source.ends_with_connection && self.has_crashed().await => {
                    return SourceEnd::Broken(cut_by_crash());
                }
                None => return SourceEnd::Complete,
                Some(Err(error)) => return broken(&error.to_string()),
                Some(Ok(frame)) => frame.into_data(),
            };
            let Ok(data) = data else {
                continue;
            };
            if let Some(events) = source.splitter.push(&data)
                && !self.forward(events).await
            {
                return SourceEnd::CallerGone;
            }
        }
    }

    /// Returns true if the engine that writes the stream is known to have crashed.
    async fn has_crashed(&self) -> bool {
        match self.server.engine() {
            Some(engine) => fatal::has_crashed(&self.call, engine).await,
            None => false,
        }
    }

    /// Returns once the engine has been silent for too long: at the deadline if the stream can't be
    /// resumed elsewhere, and later than usual if the engine is known to be reading prompts.
    async fn silence(&self) {
        let RouteKind::Stream { resumable, gap_ms } = self.call.route.kind else {
            return tokio::time::sleep(self.call.left_ms().into()).await;
        };
        let is_last = self.tries >= self.call.max_attempts();
        // A peer watches its engine by itself.
        if !resumable || is_last || self.server.engine().is_none() {
            return tokio::time::sleep(self.call.left_ms().into()).await;
        }
        let mut limit_ms = silence::pause_timeout(gap_ms).min(self.call.left_ms());
        loop {
            tokio::select! {
                () = tokio::time::sleep(limit_ms.into()) => {}
                () = self.links_lost(gap_ms) => return,
            }
            match self.extra_silence_ms() {
                Some(more_ms) => limit_ms = more_ms,
                None => return,
            }
        }
    }

    /// Returns once the links to the engines are lost and no event has arrived for longer than `gap_ms`.
    async fn links_lost(&self, gap_ms: SpanMs) {
        let node = &self.call.node;
        links::wait_until_lost(node, &self.call.service.name).await;
        let late_ms = self.last_event_ms + gap_ms;
        tokio::time::sleep(late_ms.since(node.now_ms()).into()).await;
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

    /// Forwards events; returns false if the caller has left.
    async fn forward(&mut self, events: Events) -> bool {
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
        self.out.send(Ok(events.bytes)).await.is_ok()
    }

    /// Returns the stage of the work: late once a pause or the first event was late.
    fn stage(&self) -> Stage {
        let RouteKind::Stream { gap_ms, .. } = self.call.route.kind else {
            return Stage::Writing;
        };
        let late = self.longest_pause_ms > gap_ms || self.first_ms > self.call.route.target_ms;
        match late {
            true => Stage::Late,
            false => Stage::Writing,
        }
    }

    /// Resumes the stream at another engine, or at a peer if this node reaches no engine. Returns `None` if
    /// the stream has ended.
    async fn resume(&mut self, error: TryError) -> Option<EventSource> {
        let mut error = error;
        let mut avoid: Vec<ReplicaKey> = self.server.engine().map(|e| e.key).into_iter().collect();
        loop {
            if self.call.left_ms() == SpanMs::ZERO || !may_try_again(&self.call, self.tries, &error)
            {
                self.abort(&error.why).await;
                return None;
            }
            let started = match hop::is_needed(&self.call) {
                true => self.resume_at_peer(&HopCause::LinksLost).await,
                false => self.resume_at_engine(&mut avoid).await,
            };
            match started {
                Resumed::Started(started) => {
                    let StartedStream { source, first, .. } = *started;
                    self.began_ms = self.call.node.now_ms();
                    self.is_established = false;
                    self.last_event_ms = self.began_ms;
                    return self.forward(first).await.then_some(source);
                }
                Resumed::Failed(failed) => error = failed,
                Resumed::Refused(why) => {
                    self.abort(&why).await;
                    return None;
                }
                Resumed::CallerGone => {
                    self.record_cancelled();
                    return None;
                }
            }
        }
    }

    /// Resumes the stream at an engine that isn't in `avoid`.
    async fn resume_at_engine(&mut self, avoid: &mut Vec<ReplicaKey>) -> Resumed {
        let mut chosen = match choose_for_resume(&self.call, avoid) {
            Ok(chosen) => chosen,
            Err(refusal) => match HopCause::of_refusal(&self.call, avoid, refusal) {
                Some(cause) => return self.resume_at_peer(&cause).await,
                None => return Resumed::Refused(refusal.to_string().into()),
            },
        };
        avoid.push(chosen.key);
        self.record_resumed();
        let begin = first_event(
            &self.call,
            &mut chosen,
            avoid,
            self.tries + 1,
            self.tries,
            self.last_id.as_deref(),
        );
        let started = tokio::select! {
            started = begin => started,
            () = self.out.closed() => return Resumed::CallerGone,
        };
        self.server = StreamServer::Engine(Box::new(chosen));
        match started {
            Ok(started) => {
                self.tries += 1;
                Resumed::Started(Box::new(started))
            }
            Err(failed) => {
                self.server
                    .on_failed(&self.call, self.tries + 1, &failed)
                    .await;
                self.tries += u32::from(failed.delivered);
                Resumed::Failed(failed)
            }
        }
    }

    /// Resumes the stream at a peer.
    async fn resume_at_peer(&mut self, cause: &HopCause) -> Resumed {
        self.record_resumed();
        let resume = ResumePoint {
            last_event: self.last_id.clone(),
        };
        let begin = hop::first_event(&self.call, self.tries, Some(resume), cause);
        let started = tokio::select! {
            started = begin => started,
            () = self.out.closed() => return Resumed::CallerGone,
        };
        match started {
            Ok((started, peer, tries)) => {
                self.server = StreamServer::Peer(peer);
                self.tries = tries;
                Resumed::Started(Box::new(started))
            }
            Err(HopError::NoPeer(refusal)) => Resumed::Refused(refusal.to_string().into()),
            Err(HopError::Answered(answer)) => Resumed::Refused(answer.why().into()),
            Err(HopError::Failed(failed)) => {
                // The peer may have used all attempts that were left.
                self.tries = self.call.max_attempts();
                Resumed::Failed(failed)
            }
        }
    }

    fn record_resumed(&self) {
        self.call.node.journal.record(&Event::Resumed {
            request: self.call.head.request.clone(),
            last_event: self.last_id.clone(),
        });
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
            attempts: self.tries,
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
