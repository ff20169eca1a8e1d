//! The engine's streams: started, read, computed one token per step, broken and stopped.

use super::{Engine, NETWORK_DELAY_MS, STEP_MS, Stream, finished, load};
use bluebell_base::prelude::*;
use bluebell_upstreams::prompt::{expected_count, expected_token, prompt_hash};
use bluebell_upstreams::{CancelAnswer, Event, EventBody, Generate, LoadReport};
use stakker::{Core, Fwd};

impl Engine {
    pub(super) fn begin(&self, core: &mut Core, call: Generate, events: Fwd<Event>) {
        let id = (call.request, call.attempt);
        let refusal = {
            let state = self.state.borrow();
            let known = state.streams.get(&call.request);
            let cancelled = state.tombstones.get(&call.request);
            if known.is_some_and(|s| s.call.attempt == call.attempt) {
                None
            } else if known.is_some_and(|s| s.ended.is_none() || matches!(s.ended, Some(Ok(())))) {
                let text = "another attempt is here";
                Some(Error::may_have_run(ErrorKind::Conflict, text))
            } else if cancelled.is_some_and(|a| *a >= call.attempt) {
                Some(Error::not_run(
                    ErrorKind::Cancelled,
                    "cancelled before it came",
                ))
            } else {
                None
            }
        };
        if let Some(error) = refusal {
            return Self::fail(core, &events, id, error);
        }
        let fresh = {
            let mut state = self.state.borrow_mut();
            let known = state.streams.get(&call.request);
            let fresh = known.is_none_or(|s| s.call.attempt != call.attempt);
            if fresh {
                *state.runs.entry(call.request).or_default() += 1;
                state.generated.push(call.clone());
                if let Some(group) = call.group {
                    state.reserved.remove(&group);
                }
                let stream = Stream {
                    owner: call.owner,
                    total: expected_count(prompt_hash(&call.prompt), call.max_tokens),
                    produced: call.continue_from.len() as u64,
                    reader: None,
                    unread_since_ms: 0,
                    ended: None,
                    call,
                };
                state.streams.insert(id.0, stream);
            }
            fresh
        };
        self.read(core, id.0, 0, events);
        if fresh {
            let generation = self.state.borrow().generation;
            self.after(core, STEP_MS, move |e, core| {
                e.step(core, id.0, id.1, generation)
            });
        }
    }

    /// Attaches a reader and sends it the events from event `from` on.
    pub(super) fn read(&self, core: &mut Core, request: RequestId, from: u64, events: Fwd<Event>) {
        let (call, texts, whole) = {
            let mut state = self.state.borrow_mut();
            state.readers += 1;
            let reader = state.readers;
            let Some(stream) = state.streams.get_mut(&request) else {
                return;
            };
            stream.reader = Some((reader, events.clone()));
            let hash = prompt_hash(&stream.call.prompt);
            let skip = stream.call.continue_from.len() as u64;
            let texts: Vec<_> = (from.max(skip)..stream.produced)
                .map(|seq| (seq, expected_token(hash, seq)))
                .collect();
            let whole = matches!(stream.ended, Some(Ok(()))).then_some(stream.total);
            (stream.call.clone(), texts, whole)
        };
        let accepted = EventBody::Accepted {
            prompt_tokens: Tokens(call.prompt.len() as u64 / 4),
            cached_tokens: Tokens(0),
            load: LoadReport {
                prefill_backlog_tokens: self.state.borrow().backlog_tokens,
                ..load()
            },
        };
        self.deliver(core, &events, &call, accepted);
        for (seq, text) in texts {
            let (seq, text) = (EventSeq(seq), text.into());
            self.deliver(core, &events, &call, EventBody::Token { seq, text });
        }
        if let Some(count) = whole {
            let finished = finished(count);
            self.deliver(core, &events, &call, finished);
        }
    }

    /// Produces one token of a stream, or ends it.
    pub(super) fn step(
        &self,
        core: &mut Core,
        request: RequestId,
        attempt: AttemptNo,
        generation: u64,
    ) {
        let now_ms = self.now_ms(core);
        let stopped = {
            let state = self.state.borrow();
            state.frozen || state.idle || state.queued
        };
        if stopped {
            self.after(core, STEP_MS, move |e, core| {
                e.step(core, request, attempt, generation)
            });
            return;
        }
        if self.chance(|f| f.break_stream) {
            self.break_stream(core, request);
        }
        let sent = {
            let mut state = self.state.borrow_mut();
            if state.generation != generation {
                return;
            }
            let Some(stream) = state.streams.get_mut(&request) else {
                return;
            };
            if stream.ended.is_some() || stream.call.attempt != attempt {
                return;
            }
            let hold_ms = stream.call.hold_ms.0;
            if stream.reader.is_none() && now_ms > stream.unread_since_ms + hold_ms {
                stream.ended = Some(Err(Error::ran(ErrorKind::Cancelled, "nobody reads")));
                return;
            }
            let hash = prompt_hash(&stream.call.prompt);
            let body = if stream.produced < stream.total {
                let seq = EventSeq(stream.produced);
                let text = expected_token(hash, stream.produced).into();
                stream.produced += 1;
                EventBody::Token { seq, text }
            } else {
                stream.ended = Some(Ok(()));
                finished(stream.total)
            };
            (stream.reader.clone(), stream.call.clone(), body)
        };
        if let (Some((_, fwd)), call, body) = sent {
            self.deliver(core, &fwd, &call, body);
        }
        self.after(core, STEP_MS, move |e, core| {
            e.step(core, request, attempt, generation)
        });
    }

    pub(super) fn break_stream(&self, core: &mut Core, request: RequestId) {
        let now_ms = self.now_ms(core);
        let broken = {
            let mut state = self.state.borrow_mut();
            let Some(stream) = state.streams.get_mut(&request) else {
                return;
            };
            stream.unread_since_ms = now_ms;
            stream
                .reader
                .take()
                .map(|(_, fwd)| (fwd, stream.call.clone()))
        };
        if let Some((fwd, call)) = broken {
            let error = Error::may_have_run(ErrorKind::Upstream, "the connection broke");
            self.after(core, NETWORK_DELAY_MS, move |_, core| {
                Self::fail(core, &fwd, (call.request, call.attempt), error);
            });
        }
    }

    pub(super) fn stop(
        &self,
        request: RequestId,
        attempt: AttemptNo,
        owner: Incarnation,
    ) -> CancelAnswer {
        let mut state = self.state.borrow_mut();
        let queued = state.queued;
        let Some(stream) = state.streams.get_mut(&request) else {
            state.tombstones.insert(request, attempt);
            return CancelAnswer::Unknown;
        };
        if stream.call.attempt < attempt {
            state.tombstones.insert(request, attempt);
            return CancelAnswer::Unknown;
        }
        if stream.call.attempt > attempt {
            return CancelAnswer::Ran;
        }
        if stream.owner != owner {
            return CancelAnswer::NotOwner;
        }
        stream.reader = None;
        let is_queued = queued && stream.ended.is_none();
        if is_queued && stream.produced == stream.call.continue_from.len() as u64 {
            let error = Error::not_run(ErrorKind::Cancelled, "cancelled");
            stream.ended = Some(Err(error));
            *state.runs.entry(request).or_default() -= 1;
            return CancelAnswer::NotRun;
        }
        let error = Error::ran(ErrorKind::Cancelled, "cancelled");
        match stream.ended.get_or_insert(Err(error)) {
            Err(error) if error.verdict == Verdict::NotRun => CancelAnswer::NotRun,
            _ => CancelAnswer::Ran,
        }
    }
}
