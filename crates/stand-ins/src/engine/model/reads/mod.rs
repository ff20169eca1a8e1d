//! Readers, cancels and look-ups of streams.
//!
//! Invariants: a stream has at most one reader; only the owner's cancel is obeyed.

use super::stream::{Phase, Stream, StreamKey};
use super::{Due, EngineModel};
use crate::engine::call::{Ending, ReaderId, StreamView};
use bluebell_base::prelude::*;
use bluebell_upstreams::engine::CacheEvents;
use bluebell_upstreams::{CancelAnswer, Resume, StreamState};

impl EngineModel {
    /// Begins to read a stream anew; from now on its owner is the one given.
    ///
    /// # Errors
    /// `NotFound` with `MayHaveRun` where the engine does not know (or no longer knows) the
    /// attempt.
    pub fn resume(&mut self, now_us: u64, call: &Resume) -> Result<ReaderId, Error> {
        let key = self.streams.find(call.request);
        let known = key.filter(|key| {
            let stream = self.streams.get(*key);
            stream.is_some_and(|stream| stream.call.attempt == call.attempt)
        });
        let Some(key) = known else {
            let text = "the engine does not know the attempt";
            return Err(Error::may_have_run(ErrorKind::NotFound, text));
        };
        if let Some(stream) = self.streams.get_mut(key) {
            stream.call.owner = call.owner;
        }
        Ok(self.attach(key, now_us))
    }

    /// Ends a reader: without another one, the stream's hold runs out.
    pub fn detach(&mut self, now_us: u64, request: RequestId, reader: ReaderId) {
        let Some(key) = self.streams.find(request) else {
            return;
        };
        let Some(stream) = self.streams.get_mut(key) else {
            return;
        };
        if stream.reader != Some(reader) {
            return;
        }
        stream.reader = None;
        stream.unread_since_us = now_us;
        self.watch(key);
    }

    /// What a reader can know now; none once another reader took its place or the record is gone.
    pub fn view(&self, request: RequestId, reader: ReaderId) -> Option<StreamView> {
        let stream = self.streams.get(self.streams.find(request)?)?;
        if stream.reader != Some(reader) {
            return None;
        }
        Some(StreamView {
            prompt_tokens: stream.call.prompt_tokens,
            prompt_hash: stream.call.prompt_hash,
            cached_tokens: Tokens(stream.cached_tokens),
            load: stream.load,
            produced: stream.produced,
            ending: stream.ending.as_ref().map(|(ending, _)| ending.clone()),
        })
    }

    /// Cancels an attempt, where `owner` owns it.
    pub fn cancel(
        &mut self,
        now_us: u64,
        request: RequestId,
        attempt: AttemptNo,
        owner: Incarnation,
    ) -> CancelAnswer {
        let found = self.streams.find(request);
        let known = found.and_then(|key| Some((key, self.streams.get(key)?)));
        let Some((key, stream)) = known.filter(|(_, s)| s.call.attempt >= attempt) else {
            self.bury(request, attempt, now_us);
            return CancelAnswer::Unknown;
        };
        if stream.call.attempt > attempt {
            // A newer attempt begins only once this one has ended; whether it ran is forgotten.
            return CancelAnswer::Ran;
        }
        if stream.call.owner != owner {
            return CancelAnswer::NotOwner;
        }
        let answer = match has_run(stream) {
            true => CancelAnswer::Ran,
            false => CancelAnswer::NotRun,
        };
        self.fail(key, ErrorKind::Cancelled, "cancelled by its owner", now_us);
        self.start_waiting(now_us);
        self.snapshot(now_us);
        answer
    }

    /// Looks a request up.
    pub fn lookup(&self, request: RequestId) -> StreamState {
        let found = self.streams.find(request);
        let Some(stream) = found.and_then(|key| self.streams.get(key)) else {
            return match self.tombstones.contains_key(&request) {
                true => StreamState::Ended,
                false => StreamState::Unknown,
            };
        };
        let (attempt, events) = (stream.call.attempt, stream.produced);
        match &stream.ending {
            None => StreamState::Running { attempt, events },
            Some((Ending::Finished(..), _)) => StreamState::Finished { attempt, events },
            Some(_) if has_run(stream) => StreamState::Ended,
            // An earlier attempt may have run here, and its record is gone.
            Some(_) if attempt > AttemptNo(1) => StreamState::Ended,
            Some(_) => StreamState::NotRun,
        }
    }

    /// The cache events from a position on: late, and with gaps.
    pub fn cache_events(&self, now_us: u64, from: u64) -> CacheEvents {
        let lag_us = self.settings.cache_lag_ms.0 * 1000;
        let Some(until_us) = now_us.checked_sub(lag_us) else {
            return CacheEvents {
                next: from,
                gap: false,
                events: Vec::new(),
            };
        };
        let loss_per_mille = self.settings.cache_loss_per_mille;
        self.cache.events(from, until_us, self.seed, loss_per_mille)
    }

    pub(super) fn attach(&mut self, key: StreamKey, now_us: u64) -> ReaderId {
        let reader = ReaderId(self.next_number());
        if let Some(stream) = self.streams.get_mut(key) {
            stream.reader = Some(reader);
            stream.unread_since_us = now_us;
        }
        reader
    }

    fn bury(&mut self, request: RequestId, attempt: AttemptNo, now_us: u64) {
        let newest = self.tombstones.entry(request).or_insert(attempt);
        *newest = attempt.max(*newest);
        let due_us = now_us + self.remember_us();
        self.due.insert((due_us, Due::Tombstone(request)));
    }
}

fn has_run(stream: &Stream) -> bool {
    stream.begun || matches!(stream.phase, Phase::Decode)
}
