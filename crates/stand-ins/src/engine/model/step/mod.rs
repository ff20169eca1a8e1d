//! The batching pass: what each step computes, how long it takes and what it brings.
//!
//! Invariants: a step computes one token for every generating stream; prefill shares one budget
//! of tokens, by priority and then by arrival.

use super::EngineModel;
use super::stream::{Phase, StreamKey};
use crate::engine::call::{ModelEvent, ModelEventKind};
use bluebell_base::prelude::*;

const PICOS_PER_MICRO: u64 = 1_000_000;

/// The step being computed; its lists are cleared and used again.
#[derive(Debug, Default)]
pub(super) struct Step {
    ends_us: Option<u64>,
    duration_us: u64,
    decoding: Vec<StreamKey>,
    prefill: Vec<(StreamKey, u64)>,
}

impl Step {
    /// When it ends; none while the engine is idle.
    pub fn ends_us(&self) -> Option<u64> {
        self.ends_us
    }

    /// How long the newest step takes (or took).
    pub fn duration_us(&self) -> u64 {
        self.duration_us
    }

    /// Takes a stream that ended out of the step; returns the tokens that are computed in vain.
    pub fn forget(&mut self, key: StreamKey) -> u64 {
        let prefill_tokens = self
            .prefill
            .extract_if(.., |row| row.0 == key)
            .map(|row| row.1);
        let decode_tokens = self.decoding.extract_if(.., |row| *row == key).count();
        prefill_tokens.sum::<u64>() + decode_tokens as u64
    }

    /// Moves its end.
    pub fn delay(&mut self, span_us: u64) {
        self.ends_us = self.ends_us.map(|ends_us| ends_us + span_us);
    }
}

impl EngineModel {
    /// Begins the next step, where none is being computed and there is work.
    pub(super) fn begin_step(&mut self, now_us: u64) {
        let frozen = self.frozen_since_us.is_some();
        if frozen || self.step.ends_us.is_some() || self.running.is_empty() {
            return;
        }
        self.plan();
        self.step.duration_us = self.planned_us();
        self.step.ends_us = Some(now_us + self.step.duration_us);
    }

    /// Ends the step being computed: its tokens exist from now on.
    pub(super) fn end_step(&mut self, now_us: u64) {
        self.step.ends_us = None;
        let mut step = std::mem::take(&mut self.step);
        for (key, chunk_tokens) in step.prefill.drain(..) {
            self.end_chunk(key, chunk_tokens, now_us);
        }
        for key in step.decoding.drain(..) {
            self.produce(key, now_us);
        }
        self.step = step;
        self.snapshot(now_us);
    }

    fn plan(&mut self) {
        let streams = &self.streams;
        self.running
            .sort_by_key(|key| streams.get(*key).map(|stream| stream.rank()));
        self.step.decoding.clear();
        self.step.prefill.clear();
        let mut budget_tokens = self.settings.chunk_tokens.0.max(1);
        for key in &self.running {
            let Some(stream) = self.streams.get_mut(*key) else {
                continue;
            };
            if stream.phase == Phase::Decode {
                self.step.decoding.push(*key);
                continue;
            }
            let missing_tokens = stream.context_tokens - stream.prefilled_tokens;
            let chunk_tokens = missing_tokens.min(budget_tokens);
            if chunk_tokens == 0 {
                continue;
            }
            if !stream.begun {
                stream.begun = true;
                self.counts.begin(stream.call.request);
            }
            budget_tokens -= chunk_tokens;
            self.step.prefill.push((*key, chunk_tokens));
        }
    }

    fn planned_us(&self) -> u64 {
        let settings = &self.settings;
        let mut picos = settings.base_step_us * PICOS_PER_MICRO;
        for (key, chunk_tokens) in &self.step.prefill {
            let seen_tokens = self.streams.get(*key).map_or(0, |s| s.prefilled_tokens);
            let attention_ps = settings.prefill_attention_ps * seen_tokens / 1000;
            picos += chunk_tokens * (settings.per_prefill_token_ns * 1000 + attention_ps);
        }
        for key in &self.step.decoding {
            let seen_tokens = self.streams.get(*key).map_or(0, |s| s.seen_tokens());
            picos += settings.per_decode_us * PICOS_PER_MICRO;
            picos += settings.decode_attention_ns * seen_tokens;
        }
        let step_us = picos as f64 / PICOS_PER_MICRO as f64 * self.slow_factor;
        (step_us as u64).max(1)
    }

    fn end_chunk(&mut self, key: StreamKey, chunk_tokens: u64, now_us: u64) {
        self.counts.computed_tokens += chunk_tokens;
        let Some(stream) = self.streams.get_mut(key) else {
            return;
        };
        stream.computed_tokens += chunk_tokens;
        stream.prefilled_tokens += chunk_tokens;
        if stream.prefilled_tokens < stream.context_tokens {
            return;
        }
        stream.phase = Phase::Decode;
        let kept = std::mem::replace(&mut stream.kept_prefixes, stream.call.prefixes.len());
        self.cache.keep(&stream.call.prefixes, kept, now_us);
        self.produce(key, now_us);
    }

    fn produce(&mut self, key: StreamKey, now_us: u64) {
        self.counts.computed_tokens += 1;
        let Some(stream) = self.streams.get_mut(key) else {
            return;
        };
        // An earlier attempt gave the whole text and only its end was lost.
        if stream.produced >= stream.total {
            return self.finish(key, now_us);
        }
        let seq = EventSeq(stream.produced);
        stream.produced += 1;
        stream.computed_tokens += 1;
        let event = ModelEvent {
            at_us: now_us,
            request: stream.call.request,
            attempt: stream.call.attempt,
            kind: ModelEventKind::Token(seq),
        };
        let whole = stream.produced >= stream.total;
        self.events.push(event);
        if whole {
            self.finish(key, now_us);
        }
    }
}
