//! How streams begin, start and end.
//!
//! Invariants: an attempt is begun at most once; an attempt that was cancelled before its call
//! came is refused; whatever a stream holds is free once it has ended.

use super::stream::{Phase, Stream, StreamKey};
use super::{Due, EngineModel};
use crate::engine::call::{Admission, Ending, ModelCall, ModelEvent, ModelEventKind, ReaderId};
use bluebell_base::prelude::*;
use bluebell_upstreams::prompt::expected_count;
use bluebell_upstreams::{FinishReason, Role};

/// When a refused call may come back.
const RETRY_AFTER_MS: SpanMs = SpanMs(1000);

impl EngineModel {
    /// Takes a call: new work is admitted, a known attempt is attached to, all else is refused.
    ///
    /// # Errors
    /// `NotRun` where the engine takes no such work now or the attempt was cancelled before it
    /// came; another verdict where another attempt of the request is or was here.
    pub fn generate(&mut self, now_us: u64, call: ModelCall) -> Result<Admission, Error> {
        if let Some(key) = self.streams.find(call.request) {
            if let Some(reader) = self.known(key, &call, now_us)? {
                return Ok(Admission::Attached(reader));
            }
            self.forget(key);
        }
        self.check_tombstone(&call)?;
        self.check_served(&call)?;
        let need_tokens = self.need_tokens(&call);
        self.check_room(need_tokens)?;
        let reader = self.admit(call, need_tokens, now_us);
        self.start_waiting(now_us);
        self.begin_step(now_us);
        self.snapshot(now_us);
        Ok(Admission::Admitted(reader))
    }

    /// The reader of an attempt that is known already; none where a newer attempt may begin.
    fn known(
        &mut self,
        key: StreamKey,
        call: &ModelCall,
        now_us: u64,
    ) -> Result<Option<ReaderId>, Error> {
        let Some(stream) = self.streams.get(key) else {
            return Ok(None);
        };
        // A call can arrive twice, by a duplicate or a retry of the caller. It shows as the same
        // attempt number; reading the stream there is, instead of beginning one, keeps the work
        // from running twice.
        if stream.call.attempt == call.attempt {
            if stream.call.owner != call.owner {
                return Err(conflict("another owner has the stream"));
            }
            return Ok(Some(self.attach(key, now_us)));
        }
        if stream.call.attempt > call.attempt {
            return Err(conflict("a newer attempt was here"));
        }
        match &stream.ending {
            Some((Ending::Failed(_), _)) => Ok(None),
            Some((Ending::Finished(..), _)) => Err(Error::ran(
                ErrorKind::Conflict,
                "an earlier attempt gave a whole answer",
            )),
            None => Err(conflict("an earlier attempt is here")),
        }
    }

    fn check_tombstone(&self, call: &ModelCall) -> Result<(), Error> {
        // A cancel can overtake the call it cancels. It shows as a cancel of an unknown stream;
        // the mark it left makes the late call fail, so that nobody's work begins.
        let cancelled = self.tombstones.get(&call.request);
        if cancelled.is_some_and(|attempt| *attempt >= call.attempt) {
            let text = "the attempt was cancelled before its call came";
            return Err(Error::not_run(ErrorKind::Cancelled, text));
        }
        Ok(())
    }

    fn check_served(&self, call: &ModelCall) -> Result<(), Error> {
        let refuse = |text: &str| {
            let error = Error::not_run(ErrorKind::Unavailable, text);
            Err(error.retry_after(RETRY_AFTER_MS))
        };
        if self.leaving {
            return refuse("the engine is leaving");
        }
        if self.served.role == Role::Member {
            return refuse("the engine only lends memory to groups");
        }
        if !self.serves(&call.model) {
            return refuse("the engine does not serve the model");
        }
        if call.skip_events > self.answer_events(call) {
            let text = "the text to go on from is longer than the answer";
            return Err(Error::not_run(ErrorKind::Invalid, text));
        }
        Ok(())
    }

    fn answer_events(&self, call: &ModelCall) -> u64 {
        expected_count(call.prompt_hash, call.max_tokens)
    }

    fn need_tokens(&self, call: &ModelCall) -> u64 {
        let reserved_tokens = self.reserved_tokens(call);
        if reserved_tokens > 0 {
            return reserved_tokens;
        }
        let whole_tokens = call.prompt_tokens.0 + call.max_tokens.0;
        whole_tokens.saturating_sub(call.lent_tokens.0)
    }

    fn check_room(&self, need_tokens: u64) -> Result<(), Error> {
        if need_tokens > self.settings.kv_capacity_tokens.0 {
            let text = "prompt and answer are longer than the engine's memory";
            return Err(Error::not_run(ErrorKind::TooLarge, text));
        }
        if self.waiting.len() >= self.settings.waiting_limit as usize {
            let error = Error::not_run(ErrorKind::Overloaded, "too many requests wait");
            return Err(error.retry_after(RETRY_AFTER_MS));
        }
        Ok(())
    }

    fn admit(&mut self, call: ModelCall, need_tokens: u64, now_us: u64) -> ReaderId {
        let covered = self.cache.covered(&call.prefixes);
        let reader = ReaderId(self.next_number());
        let deadline_us = now_us.saturating_add(call.deadline_ms.0.saturating_mul(1000));
        let stream = Stream {
            phase: Phase::Waiting,
            arrival: reader.0,
            deadline_us,
            context_tokens: (call.prompt_tokens.0 + call.skip_events).max(1),
            prefilled_tokens: 0,
            cached_tokens: covered
                .checked_sub(1)
                .map_or(0, |last| call.prefixes[last].tokens.0),
            kept_prefixes: 0,
            need_tokens,
            produced: call.skip_events,
            total: self.answer_events(&call),
            begun: false,
            computed_tokens: 0,
            load: self.load_now(),
            reader: Some(reader),
            unread_since_us: now_us,
            ending: None,
            call,
        };
        let rank = stream.rank();
        let key = self.streams.insert(stream);
        let streams = &self.streams;
        let place = self
            .waiting
            .partition_point(|other| streams.get(*other).is_some_and(|s| s.rank() < rank));
        self.waiting.insert(place, key);
        self.watch(key);
        reader
    }

    /// Starts waiting streams in order, until one finds no memory; after it only those whose group
    /// has reserved all they need.
    ///
    /// Two requests could wait for each other for ever: one for the memory that a group reserved,
    /// the group's stream behind it for its turn. It shows as an idle engine with streams waiting.
    /// Letting reserved streams pass breaks the circle, as they take no memory from the first.
    pub(super) fn start_waiting(&mut self, now_us: u64) {
        if self.frozen_since_us.is_some() {
            return;
        }
        let mut place = 0;
        let mut blocked = false;
        while place < self.waiting.len() && self.running.len() < self.settings.slots as usize {
            let key = self.waiting[place];
            let missing_tokens = self.missing_tokens(key);
            blocked |= missing_tokens > self.free_tokens();
            if blocked && missing_tokens > 0 {
                place += 1;
                continue;
            }
            self.waiting.remove(place);
            self.running.push(key);
            self.start(key, now_us);
        }
    }

    /// Memory that a waiting stream needs beyond what its group has reserved here.
    fn missing_tokens(&self, key: StreamKey) -> u64 {
        let stream = self.streams.get(key);
        stream.map_or(0, |stream| {
            let reserved_tokens = self.reserved_tokens(&stream.call);
            stream.need_tokens.saturating_sub(reserved_tokens)
        })
    }

    fn reserved_tokens(&self, call: &ModelCall) -> u64 {
        let own = call.group.and_then(|id| self.reservations.get(&id));
        own.filter(|reserved| reserved.what.request == call.request)
            .map_or(0, |reserved| reserved.what.kv_tokens.0)
    }

    fn start(&mut self, key: StreamKey, now_us: u64) {
        let Some(stream) = self.streams.get(key) else {
            return;
        };
        // The group's memory here was reserved beforehand; the stream takes it over.
        let reserved_tokens = self.reserved_tokens(&stream.call);
        if let Some(id) = stream.call.group.filter(|_| reserved_tokens > 0) {
            self.reservations.remove(&id);
        }
        let Some(stream) = self.streams.get_mut(key) else {
            return;
        };
        stream.phase = Phase::Prefill;
        let covered = self.cache.covered(&stream.call.prefixes);
        let kept = &stream.call.prefixes[..covered];
        let cached_tokens = kept.last().map_or(0, |prefix| prefix.tokens.0);
        self.cache.keep(kept, 0, now_us);
        stream.kept_prefixes = covered;
        // At least one token is computed anew: it gives the first token of the answer.
        stream.cached_tokens = cached_tokens.min(stream.context_tokens - 1);
        stream.prefilled_tokens = stream.cached_tokens;
        stream.need_tokens = stream.need_tokens.max(reserved_tokens);
        self.counts.cached_tokens += stream.cached_tokens;
        let cached_tokens = Tokens(stream.cached_tokens);
        let need_tokens = stream.need_tokens;
        self.hold(need_tokens - reserved_tokens, now_us);
        self.report(key, ModelEventKind::Started { cached_tokens }, now_us);
    }

    /// Ends a stream whose answer is whole.
    pub(super) fn finish(&mut self, key: StreamKey, now_us: u64) {
        let Some(stream) = self.streams.get(key) else {
            return;
        };
        let count = stream.total;
        let reason = match count >= stream.call.max_tokens.0 {
            true => FinishReason::Length,
            false => FinishReason::Stop,
        };
        self.counts.finished += 1;
        self.end(key, Ending::Finished(count, reason), now_us);
        self.report(key, ModelEventKind::Finished { count }, now_us);
    }

    /// Ends a stream without a whole answer; the verdict is that of the work done so far.
    pub(super) fn fail(&mut self, key: StreamKey, kind: ErrorKind, text: &str, now_us: u64) {
        let Some(stream) = self.streams.get(key) else {
            return;
        };
        if stream.phase == Phase::Ended {
            return;
        }
        let verdict = match stream.begun {
            true => Verdict::Ran,
            false => Verdict::NotRun,
        };
        self.counts.wasted_tokens += stream.computed_tokens;
        let error = Error::new(verdict, kind, text);
        self.end(key, Ending::Failed(error.clone()), now_us);
        self.report(key, ModelEventKind::Failed(error), now_us);
    }

    fn end(&mut self, key: StreamKey, ending: Ending, now_us: u64) {
        let Some(stream) = self.streams.get_mut(key) else {
            return;
        };
        let held_tokens = if stream.runs() { stream.need_tokens } else { 0 };
        let kept = std::mem::take(&mut stream.kept_prefixes);
        stream.phase = Phase::Ended;
        stream.ending = Some((ending, now_us));
        self.cache.release(&stream.call.prefixes[..kept]);
        self.free(held_tokens);
        self.cache.shrink(self.free_tokens(), now_us);
        let vain_tokens = self.step.forget(key);
        self.counts.computed_tokens += vain_tokens;
        self.counts.wasted_tokens += vain_tokens;
        self.waiting.retain(|other| *other != key);
        self.running.retain(|other| *other != key);
        self.watch(key);
    }

    /// Drops the record of an ended stream.
    fn forget(&mut self, key: StreamKey) {
        self.streams.remove(key);
    }

    /// Looks at a stream whose time may have come.
    pub(super) fn stream_due(&mut self, key: StreamKey, now_us: u64) {
        let Some(stream) = self.streams.get(key) else {
            return;
        };
        if stream.due_us(self.remember_us()) > now_us {
            return self.watch(key);
        }
        if stream.phase == Phase::Ended {
            return self.forget(key);
        }
        if stream.deadline_us <= now_us {
            return self.fail(
                key,
                ErrorKind::DeadlineExceeded,
                "the deadline passed",
                now_us,
            );
        }
        self.fail(key, ErrorKind::Cancelled, "nobody read the stream", now_us);
    }

    /// Sees to it that the stream is looked at when its next thing is due.
    pub(super) fn watch(&mut self, key: StreamKey) {
        if let Some(stream) = self.streams.get(key) {
            let due_us = stream.due_us(self.remember_us());
            self.due.insert((due_us, Due::Stream(key)));
        }
    }

    pub(super) fn remember_us(&self) -> u64 {
        self.settings.remember_ms.0.saturating_mul(1000)
    }

    fn report(&mut self, key: StreamKey, kind: ModelEventKind, now_us: u64) {
        if let Some(stream) = self.streams.get(key) {
            self.events.push(ModelEvent {
                at_us: now_us,
                request: stream.call.request,
                attempt: stream.call.attempt,
                kind,
            });
        }
    }
}

/// A refusal where other work of the same request is or was here, so that it may have run.
fn conflict(text: &str) -> Error {
    Error::may_have_run(ErrorKind::Conflict, text)
}
