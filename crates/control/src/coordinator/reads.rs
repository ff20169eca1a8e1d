//! Reads of the engines' state and of the memory that they hold.
//!
//! At most one engine is read per tick, so that a coordinator of many engines costs no more than
//! one of few; each engine is then read less often. After a takeover the unread engines come first.

use super::reclaim::Reclaim;
use super::{Coordinator, KnownEngine};
use bluebell_base::prelude::*;
use bluebell_upstreams::{EngineOrder, Hold, OrderAnswer};
use stakker::{CX, ret_to};
use std::collections::BTreeMap;

/// The minimum time between two reads of an engine's state.
const STATE_INTERVAL_MS: SpanMs = SpanMs::from_secs(10);

/// The minimum time between two reads of an engine's holds.
const HOLDS_INTERVAL_MS: SpanMs = SpanMs::from_secs(20);

/// The time after which an unread engine without an answer is read again.
const ANSWER_TIMEOUT_MS: SpanMs = SpanMs::from_secs(10);

/// The times at which the last reads of an engine were sent.
#[derive(Clone, Copy, Debug, Default)]
struct LastReads {
    state_ms: Option<MonoMs>,
    holds_ms: Option<MonoMs>,
}

/// The last reads of all engines.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadSide {
    last: BTreeMap<UpstreamName, LastReads>,
}

impl Coordinator {
    /// Reads at most one engine's state and one engine's list of holds.
    pub(super) fn tick_reads(&mut self, cx: CX![], now_ms: MonoMs) {
        let names: Vec<UpstreamName> = self.own_engines();
        self.reads
            .last
            .retain(|name, _| names.binary_search(name).is_ok());
        if let Some(name) = self.state_due(&names, now_ms) {
            self.read_state(cx, &name);
        }
        if let Some(name) = self.holds_due(&names, now_ms) {
            self.read_holds(cx, &name, now_ms);
        }
    }

    fn own_engines(&self) -> Vec<UpstreamName> {
        let own = self.engines.iter();
        let own = own.filter(|engine| self.duties.contains_key(&engine.group()));
        own.map(KnownEngine::name).collect()
    }

    fn state_due(&self, names: &[UpstreamName], now_ms: MonoMs) -> Option<UpstreamName> {
        let last = |name: &UpstreamName| self.reads.last.get(name).and_then(|reads| reads.state_ms);
        let due = |name: &&UpstreamName| {
            let unread = self
                .engines
                .get(name)
                .is_some_and(|engine| engine.view().is_none());
            let wait_ms = if unread {
                ANSWER_TIMEOUT_MS
            } else {
                STATE_INTERVAL_MS
            };
            last(name).is_none_or(|at_ms| now_ms.since(at_ms) >= wait_ms)
        };
        // Engines that were never read under this duty come first, then the one read longest ago.
        let key = |name: &&UpstreamName| {
            let unread = self
                .engines
                .get(name)
                .is_some_and(|engine| engine.view().is_none());
            (!unread, last(name))
        };
        names.iter().filter(due).min_by_key(key).cloned()
    }

    fn holds_due(&self, names: &[UpstreamName], now_ms: MonoMs) -> Option<UpstreamName> {
        let last = |name: &UpstreamName| self.reads.last.get(name).and_then(|reads| reads.holds_ms);
        let due = |name: &&UpstreamName| {
            last(name).is_none_or(|at_ms| now_ms.since(at_ms) >= HOLDS_INTERVAL_MS)
        };
        names
            .iter()
            .filter(due)
            .min_by_key(|name| last(name))
            .cloned()
    }

    pub(super) fn read_state(&mut self, cx: CX![], name: &UpstreamName) {
        let now_ms = self.timers.now_ms(cx);
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let (group, port) = (engine.group(), engine.port());
        let Some(duty) = self.duties.get(&group) else {
            return;
        };
        let fencing = duty.fencing;
        self.reads.last.entry(name.clone()).or_default().state_ms = Some(now_ms);
        let ret = ret_to!(
            [cx],
            on_state(name.clone(), fencing) as (Result<OrderAnswer, Error>)
        );
        port.state(cx, ret);
    }

    fn on_state(
        &mut self,
        cx: CX![],
        name: UpstreamName,
        fencing: Fencing,
        answer: Option<Result<OrderAnswer, Error>>,
    ) {
        let group = self.engines.get(&name).map(KnownEngine::group);
        let duty = group.and_then(|group| self.duties.get(&group));
        // The answer to a read from an earlier duty does not include later changes.
        let current = duty.is_some_and(|duty| duty.fencing == fencing);
        if let Some(Ok(answer)) = answer.filter(|_| current) {
            let now_ms = self.timers.now_ms(cx);
            self.engines.on_state(&name, answer, now_ms);
        }
    }

    fn read_holds(&mut self, cx: CX![], name: &UpstreamName, now_ms: MonoMs) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let port = engine.port();
        self.reads.last.entry(name.clone()).or_default().holds_ms = Some(now_ms);
        let ret = ret_to!(
            [cx],
            on_holds(name.clone(), now_ms) as (Result<Vec<Hold>, Error>)
        );
        port.holds(cx, ret);
    }

    fn on_holds(
        &mut self,
        cx: CX![],
        name: UpstreamName,
        sent_ms: MonoMs,
        answer: Option<Result<Vec<Hold>, Error>>,
    ) {
        let Some(Ok(holds)) = answer else {
            return;
        };
        let now_ms = self.timers.now_ms(cx);
        let reclaims = self.holds.on_holds(&name, &holds, sent_ms, now_ms);
        for reclaim in reclaims {
            self.reclaim(cx, &name, reclaim);
        }
    }

    fn reclaim(&mut self, cx: CX![], name: &UpstreamName, reclaim: Reclaim) {
        let Some(engine) = self.engines.get(name) else {
            return;
        };
        let (group, port) = (engine.group(), engine.port());
        let order = EngineOrder::Reclaim {
            owner: reclaim.owner,
            request: reclaim.request,
        };
        let Some(fencing) = self.fencing_now(cx, group) else {
            return;
        };
        log::info!(
            "{name}: reclaiming the memory of request {}, owner {}",
            reclaim.request,
            reclaim.owner
        );
        self.counts.reclaimed += 1;
        let ret = ret_to!([cx], on_reclaimed() as (Result<OrderAnswer, Error>));
        port.order(cx, order, fencing, ret);
    }

    /// Ignores the answer. The next list of holds shows the result; if the memory is still held, it
    /// is reclaimed again.
    fn on_reclaimed(&mut self, _cx: CX![], _answer: Option<Result<OrderAnswer, Error>>) {}
}
