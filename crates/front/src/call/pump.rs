//! Passing a stream's events on as they come, and going on at another engine where one breaks off.
//!
//! Invariants: only whole events are passed on; an event is passed on once; a stream that can't go
//! on ends as broken off.

use super::Call;
use super::body::BrokenOff;
use super::choose::{Chosen, choose_for_rest};
use super::events::{EventSplitter, Events};
use super::fatal::{self, Break};
use super::stream::{Begun, first_event};
use super::tries::{TryError, may_try_again, note_failure, restarted};
use crate::http::Link;
use crate::journal::Event;
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

/// How many events wait for a caller that reads slowly before its engine waits as well.
const WAITING_EVENTS: usize = 16;

/// Where events come from.
pub(super) struct Source {
    pub body: Incoming,
    pub splitter: EventSplitter,
    pub link: Link,
    pub keep_alive_ms: Option<SpanMs>,
}

/// Why a source gives no more events.
enum Stop {
    /// It ended as it should.
    Complete,
    /// It broke off.
    Broken(TryError),
    /// The caller is gone.
    CallerGone,
}

/// The state of one stream.
pub(super) struct Pump {
    call: Rc<Call>,
    chosen: Chosen,
    tries: u32,
    out: mpsc::Sender<Result<Buffer, BrokenOff>>,
    last_id: Option<Arc<str>>,
    first_ms: SpanMs,
    last_event_ms: MonoMs,
    longest_pause_ms: SpanMs,
}

impl Pump {
    /// Starts passing events on; returns where they come out.
    pub fn spawn(
        call: Rc<Call>,
        chosen: Chosen,
        tries: u32,
        source: Source,
        first: Events,
    ) -> mpsc::Receiver<Result<Buffer, BrokenOff>> {
        let (out, pieces) = mpsc::channel(WAITING_EVENTS);
        let pump = Self {
            first_ms: call.age_ms(),
            last_event_ms: call.node.now_ms(),
            longest_pause_ms: SpanMs::ZERO,
            call,
            chosen,
            tries,
            out,
            last_id: None,
        };
        spawn_local(pump.run(source, first));
        pieces
    }

    async fn run(mut self, mut source: Source, first: Events) {
        if !self.pass_on(first).await {
            return;
        }
        loop {
            match self.drain(&mut source).await {
                Stop::Complete => {
                    self.note_end(200);
                    fatal::on_served(&self.call);
                    let Source {
                        link,
                        keep_alive_ms,
                        ..
                    } = source;
                    self.call.node.pool.give_back(link, keep_alive_ms);
                    return;
                }
                Stop::CallerGone => return self.note_gone(),
                Stop::Broken(error) => {
                    drop(source);
                    note_failure(&self.call, &self.chosen, self.tries, &error);
                    fatal::on_failed(&self.call, &self.chosen, &error).await;
                    match self.resume(error).await {
                        Some(next) => source = next,
                        None => return,
                    }
                }
            }
        }
    }

    /// Passes events on until the source stops.
    async fn drain(&mut self, source: &mut Source) -> Stop {
        loop {
            let frame = tokio::select! {
                frame = source.body.frame() => frame,
                () = self.out.closed() => return Stop::CallerGone,
                error = restarted(&self.call, &self.chosen.replica, Verdict::Ran, Evidence::Running) => {
                    return Stop::Broken(error);
                }
                () = self.silence() => {
                    let error = TryError::new(
                        "the engine fell silent",
                        Verdict::Ran,
                        Symptom::Silent,
                    );
                    return Stop::Broken(error);
                }
            };
            let broken = |why: &str| {
                let error = TryError::new(why, Verdict::Ran, Symptom::Failed);
                Stop::Broken(error.broken(Break::of_connection(Evidence::Running)))
            };
            let data = match frame {
                None if source.splitter.is_amid() => return broken("it ended amid an event"),
                None => return Stop::Complete,
                Some(Err(error)) => return broken(&error.to_string()),
                Some(Ok(frame)) => frame.into_data(),
            };
            let Ok(data) = data else {
                continue;
            };
            if let Some(events) = source.splitter.push(&data)
                && !self.pass_on(events).await
            {
                return Stop::CallerGone;
            }
        }
    }

    /// Ends once the engine has been silent for too long: at the deadline where nobody else could go
    /// on, later where it is known to read.
    async fn silence(&self) {
        let RouteKind::Stream { resumable, gap_ms } = self.call.route.kind else {
            return tokio::time::sleep(self.call.left_ms().into()).await;
        };
        if !resumable || self.tries >= self.call.route.max_attempts {
            return tokio::time::sleep(self.call.left_ms().into()).await;
        }
        let mut limit_ms = silence::pause_timeout(gap_ms).min(self.call.left_ms());
        loop {
            tokio::time::sleep(limit_ms.into()).await;
            match self.more_silence() {
                Some(more_ms) => limit_ms = more_ms,
                None => return,
            }
        }
    }

    fn more_silence(&self) -> Option<SpanMs> {
        let node = &self.call.node;
        let now_ms = node.now_ms();
        let reading_ms = node.with(|s| s.ledger.backlog_ms(self.chosen.key, now_ms));
        let given_up_ms = self.last_event_ms + self.call.wait_timeouts().caller_timeout_ms;
        let left_ms = self.call.left_ms().min(given_up_ms.since(now_ms));
        silence::timeout_extension(Some(reading_ms), left_ms, self.chosen.expected_ms)
    }

    /// Passes events on; returns whether the caller is still there.
    async fn pass_on(&mut self, events: Events) -> bool {
        let now_ms = self.call.node.now_ms();
        let pause_ms = now_ms.since(self.last_event_ms);
        self.last_event_ms = now_ms;
        self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        self.chosen.held.set_stage(self.stage());
        if events.last_id.is_some() {
            self.last_id = events.last_id;
        }
        self.out.send(Ok(events.bytes)).await.is_ok()
    }

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

    /// Goes on at another engine; none where the stream has ended as broken off.
    async fn resume(&mut self, error: TryError) -> Option<Source> {
        let mut error = error;
        let mut avoid = vec![self.chosen.key];
        loop {
            if self.call.left_ms() == SpanMs::ZERO || !may_try_again(&self.call, self.tries, &error)
            {
                self.break_off(&error.why).await;
                return None;
            }
            let chosen = match choose_for_rest(&self.call, &avoid) {
                Ok(chosen) => chosen,
                Err(refusal) => {
                    self.break_off(&refusal.to_string()).await;
                    return None;
                }
            };
            avoid.push(chosen.key);
            self.chosen = chosen;
            self.call.node.journal.record(&Event::Resumed {
                request: self.call.head.request.clone(),
                last_event: self.last_id.clone(),
            });
            let last_id = self.last_id.clone();
            let begin = first_event(
                &self.call,
                &mut self.chosen,
                &avoid,
                self.tries + 1,
                self.tries,
                last_id.as_deref(),
            );
            let begun = tokio::select! {
                begun = begin => begun,
                () = self.out.closed() => {
                    self.note_gone();
                    return None;
                }
            };
            match begun {
                Ok(Begun { source, first, .. }) => {
                    self.tries += 1;
                    return self.pass_on(first).await.then_some(source);
                }
                Err(failed) => {
                    note_failure(&self.call, &self.chosen, self.tries + 1, &failed);
                    fatal::on_failed(&self.call, &self.chosen, &failed).await;
                    self.tries += u32::from(failed.arrived);
                    error = failed;
                }
            }
        }
    }

    async fn break_off(&self, why: &str) {
        self.call.node.journal.record(&Event::Failed {
            request: self.call.head.request.clone(),
            status: 200,
            why: why.into(),
            age_ms: self.call.age_ms(),
        });
        // A caller that is gone needs no notice.
        let _ = self.out.send(Err(BrokenOff)).await;
    }

    fn note_end(&self, status: u16) {
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

    fn note_gone(&self) {
        self.call.node.journal.record(&Event::Cancelled {
            request: self.call.head.request.clone(),
            age_ms: self.call.age_ms(),
        });
    }
}
