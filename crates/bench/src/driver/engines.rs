//! The engines' side of a run.

use super::queue::{Attempt, EngineNo, Event, NodeNo, RequestNo};
use super::{Driver, Engine, POLL_US, WAY_US};
use crate::capacity::{call_of, lent_tokens};
use crate::scenario::{Lag, Scenario};
use bluebell_base::prelude::*;
use bluebell_policy::Outcome;
use bluebell_stand_ins::engine::{EngineModel, EngineSettings, ModelEvent, ModelEventKind};
use bluebell_upstreams::prompt::mix;
use bluebell_upstreams::{CancelAnswer, Reserve};

/// The time for which ended streams are kept. No caller of the driver comes back later.
const REMEMBER_MS: SpanMs = SpanMs::from_secs(10);
/// The bounds of mixed lags, in milliseconds.
const LAGS_MS: (f64, f64) = (200.0, 5_000.0);

/// Opens one engine of a scenario.
pub fn open(scenario: &Scenario, index: u32) -> Engine {
    let draw = mix(scenario.seed ^ 0x5eed, u64::from(index));
    let lag_ms = match scenario.lag {
        Lag::Fixed(lag_ms) => lag_ms,
        Lag::Mixed => {
            let uniform = (draw % 10_000) as f64 / 10_000.0;
            SpanMs((LAGS_MS.0 * (LAGS_MS.1 / LAGS_MS.0).powf(uniform)) as u64)
        }
    };
    let settings = EngineSettings {
        load_lag_ms: lag_ms,
        cache_lag_ms: lag_ms,
        remember_ms: REMEMBER_MS,
        ..EngineSettings::default()
    };
    Engine {
        model: EngineModel::new(settings, draw),
        alive: true,
        armed_us: u64::MAX,
        open: Vec::new(),
    }
}

impl Driver {
    /// A call reaches its engine: memory for the group first, then the work.
    pub(super) fn call(&mut self, attempt: Attempt) {
        self.advance(attempt.engine);
        let reserved = self.reserve(&attempt);
        let load = self.engines[attempt.engine.index()].model.load_now();
        let cached_tokens = match reserved {
            Ok(()) => self.generate(&attempt),
            Err(_) => None,
        };
        match cached_tokens {
            Some(cached_tokens) => {
                let event = Event::Accepted(attempt.request, attempt.number, cached_tokens, load);
                self.queue.push(self.now_us + WAY_US, event);
                self.records[attempt.request.index()].attempts += 1;
                let slot = &mut self.engines[attempt.engine.index()];
                slot.open.push(attempt.clone());
            }
            None => {
                self.release(&attempt);
                if let Err(engine) = reserved {
                    self.totals.groups_failed += 1;
                    self.live[attempt.request.index()].avoid.push(engine);
                }
                self.tell_end(&attempt, Outcome::NotRun);
            }
        }
        self.arm(attempt.engine);
    }

    /// A cancel reaches an engine; one that comes after the end changes nothing.
    pub(super) fn cancel(&mut self, request: RequestNo, number: AttemptNo, engine: EngineNo) {
        self.advance(engine);
        let id = self.request_id(request);
        let now_us = self.now_us;
        let slot = &mut self.engines[engine.index()];
        let here = |attempt: &Attempt| attempt.request == request && attempt.number == number;
        if !slot.alive || !slot.open.iter().any(here) {
            return;
        }
        let answer = slot.model.cancel(now_us, id, number, id.incarnation);
        let outcome = match answer {
            CancelAnswer::NotRun => Outcome::NotRun,
            _ => Outcome::Cancelled,
        };
        self.totals.recalls_begun += u64::from(outcome == Outcome::Cancelled);
        self.close(engine, request, outcome);
        self.arm(engine);
    }

    /// Reserves the group's memory on all its engines or none; gives the engine that refused.
    fn reserve(&mut self, attempt: &Attempt) -> Result<(), EngineNo> {
        if attempt.members.is_empty() {
            return Ok(());
        }
        self.totals.groups += 1;
        let request = &self.requests[attempt.request.index()];
        let lent: Tokens = attempt.members.iter().map(|(_, part)| part.kv_tokens).sum();
        let own = (request.prompt_tokens + request.max_tokens).saturating_sub(lent);
        let members = attempt
            .members
            .iter()
            .map(|(no, part)| (*no, part.kv_tokens));
        let parts: Vec<_> = members.chain([(attempt.engine, own)]).collect();
        let id = self.request_id(attempt.request);
        for (engine, kv_tokens) in parts {
            let call = Reserve {
                reservation: reservation(attempt),
                request: id,
                owner: id.incarnation,
                kv_tokens,
                hold_ms: SpanMs::from_secs(3_600),
            };
            self.advance(engine);
            let now_us = self.now_us;
            let slot = &mut self.engines[engine.index()];
            if !slot.alive || slot.model.reserve(now_us, call).is_err() {
                return Err(engine);
            }
            self.arm(engine);
        }
        Ok(())
    }

    /// Begins the work; gives how much of the prompt the engine's cache covers.
    fn generate(&mut self, attempt: &Attempt) -> Option<Tokens> {
        let request = &self.requests[attempt.request.index()];
        let id = self.request_id(attempt.request);
        let mut call = call_of(request, id, attempt.number);
        call.priority = attempt.priority;
        let deadline_us = self.deadline_us(attempt.request);
        call.deadline_ms = SpanMs(deadline_us.saturating_sub(self.now_us) / 1_000);
        let slot = &mut self.engines[attempt.engine.index()];
        if !attempt.members.is_empty() {
            call.group = Some(reservation(attempt));
            call.lent_tokens = lent_tokens(request, slot.model.settings());
        }
        if !slot.alive {
            return None;
        }
        let admission = slot.model.generate(self.now_us, call).ok()?;
        let view = slot.model.view(id, admission.reader())?;
        Some(view.cached_tokens)
    }

    /// Frees what a group holds.
    pub(super) fn release(&mut self, attempt: &Attempt) {
        if attempt.members.is_empty() {
            return;
        }
        let owner = self.request_id(attempt.request).incarnation;
        let members: Vec<_> = attempt.members.iter().map(|(engine, _)| *engine).collect();
        for engine in members.into_iter().chain([attempt.engine]) {
            self.advance(engine);
            let now_us = self.now_us;
            let slot = &mut self.engines[engine.index()];
            // Only its owner releases it, and what is not there is released already.
            let _ = slot.model.release(now_us, reservation(attempt), owner);
            self.arm(engine);
        }
    }

    /// An engine's step or expiry is due.
    pub(super) fn step(&mut self, engine: EngineNo) {
        if self.engines[engine.index()].armed_us == self.now_us {
            self.engines[engine.index()].armed_us = u64::MAX;
        }
        self.advance(engine);
        self.arm(engine);
    }

    /// Does all that is due on an engine and tells the nodes.
    pub(super) fn advance(&mut self, engine: EngineNo) {
        let mut events = std::mem::take(&mut self.events);
        let slot = &mut self.engines[engine.index()];
        slot.model.advance(self.now_us, &mut events);
        for event in events.drain(..) {
            if self.engines[engine.index()].alive {
                self.tell(engine, &event);
            }
        }
        self.events = events;
    }

    fn tell(&mut self, engine: EngineNo, event: &ModelEvent) {
        let request = RequestNo(event.request.sequence as u32 - 1);
        match &event.kind {
            ModelEventKind::Token(EventSeq(0)) => {
                let told = Event::FirstToken(request, event.attempt);
                self.queue.push(event.at_us + WAY_US, told);
            }
            ModelEventKind::Finished { count } => {
                self.close(engine, request, Outcome::Finished(Tokens(*count)));
            }
            ModelEventKind::Failed(_) => self.close(engine, request, Outcome::Cancelled),
            ModelEventKind::Token(_) | ModelEventKind::Started { .. } => {}
        }
    }

    /// An attempt ended on an engine.
    pub(super) fn close(&mut self, engine: EngineNo, request: RequestNo, outcome: Outcome) {
        let open = &mut self.engines[engine.index()].open;
        let Some(index) = open.iter().position(|attempt| attempt.request == request) else {
            return;
        };
        let attempt = open.swap_remove(index);
        self.release(&attempt);
        let report = self.engines[engine.index()].model.load_now();
        let node = self.node_of(request);
        let event = Event::Load(node, engine, report);
        self.queue.push(self.now_us + WAY_US, event);
        self.tell_end(&attempt, outcome);
    }

    fn tell_end(&mut self, attempt: &Attempt, outcome: Outcome) {
        let event = Event::End(attempt.request, attempt.number, outcome);
        self.queue.push(self.now_us + WAY_US, event);
    }

    /// Sees to it that the engine is looked at when something is due there.
    pub(super) fn arm(&mut self, engine: EngineNo) {
        let slot = &mut self.engines[engine.index()];
        let Some(step_us) = slot.model.next_step_us().filter(|_| slot.alive) else {
            return;
        };
        let at_us = step_us.max(self.now_us);
        if at_us < slot.armed_us {
            slot.armed_us = at_us;
            self.queue.push(at_us, Event::Step(engine));
        }
    }

    /// A node asks for an engine's load and cache events.
    pub(super) fn poll(&mut self, node: NodeNo, engine: EngineNo) {
        self.queue
            .push(self.now_us + POLL_US, Event::Poll(node, engine));
        if !self.engines[engine.index()].alive {
            return;
        }
        self.advance(engine);
        self.arm(engine);
        let slot = &mut self.engines[engine.index()];
        let report = slot.model.load(self.now_us);
        let from = self.nodes[node.index()].cache_from[engine.index()];
        let cache = slot.model.cache_events(self.now_us, from);
        self.nodes[node.index()].cache_from[engine.index()] = cache.next;
        self.queue
            .push(self.now_us + WAY_US, Event::Load(node, engine, report));
        if cache.gap || !cache.events.is_empty() {
            let event = Event::Cache(node, engine, cache.events, cache.gap);
            self.queue.push(self.now_us + WAY_US, event);
        }
    }
}

/// The reservation of an attempt's group.
fn reservation(attempt: &Attempt) -> ReservationId {
    ReservationId(u64::from(attempt.request.0) << 8 | u64::from(attempt.number.0))
}
