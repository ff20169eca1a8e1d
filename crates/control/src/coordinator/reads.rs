//! Reading engines back: their state, and the memory they hold.
//!
//! Reads are spaced so that a coordinator of many engines costs no more than one of few: each engine
//! is read less often then. After a takeover the unread ones come first.

use super::reclaim::Reclaim;
use super::{Coordinator, EngineSeat};
use bluebell_base::prelude::*;
use bluebell_upstreams::{EngineOrder, Hold, OrderAnswer};
use stakker::{CX, ret_to};
use std::collections::BTreeMap;

/// The time between two reads of an engine's state, where there are few.
const STATE_MS: SpanMs = SpanMs::from_secs(10);

/// The time between two reads of an engine's holds, where there are few.
const HOLDS_MS: SpanMs = SpanMs::from_secs(20);

/// How long an answer may take until the engine is asked again.
const ANSWER_MS: SpanMs = SpanMs::from_secs(10);

/// When an engine was last asked.
#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    state_ms: Option<MonoMs>,
    holds_ms: Option<MonoMs>,
}

/// The reads under way and done.
#[derive(Clone, Debug, Default)]
pub(super) struct ReadSide {
    asked: BTreeMap<UpstreamName, Asked>,
}

impl Coordinator {
    /// One state and one list of holds a tick at most.
    pub(super) fn tick_reads(&mut self, cx: CX![], now_ms: MonoMs) {
        let names: Vec<UpstreamName> = self.own_engines();
        self.reads
            .asked
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
        let own = own.filter(|seat| self.duties.contains_key(&seat.group()));
        own.map(EngineSeat::name).collect()
    }

    fn state_due(&self, names: &[UpstreamName], now_ms: MonoMs) -> Option<UpstreamName> {
        let last = |name: &UpstreamName| self.reads.asked.get(name).and_then(|a| a.state_ms);
        let due = |name: &&UpstreamName| {
            let unread = self
                .engines
                .get(name)
                .is_some_and(|seat| seat.view().is_none());
            let wait_ms = if unread { ANSWER_MS } else { STATE_MS };
            last(name).is_none_or(|at_ms| now_ms.since(at_ms) >= wait_ms)
        };
        // Those never read under this duty first, then the one read longest ago.
        let key = |name: &&UpstreamName| {
            let unread = self
                .engines
                .get(name)
                .is_some_and(|seat| seat.view().is_none());
            (!unread, last(name))
        };
        names.iter().filter(due).min_by_key(key).cloned()
    }

    fn holds_due(&self, names: &[UpstreamName], now_ms: MonoMs) -> Option<UpstreamName> {
        let last = |name: &UpstreamName| self.reads.asked.get(name).and_then(|a| a.holds_ms);
        let due =
            |name: &&UpstreamName| last(name).is_none_or(|at_ms| now_ms.since(at_ms) >= HOLDS_MS);
        names
            .iter()
            .filter(due)
            .min_by_key(|name| last(name))
            .cloned()
    }

    pub(super) fn read_state(&mut self, cx: CX![], name: &UpstreamName) {
        let now_ms = self.timers.now_ms(cx);
        let Some(seat) = self.engines.get(name) else {
            return;
        };
        let (group, port) = (seat.group(), seat.port());
        let Some(duty) = self.duties.get(&group) else {
            return;
        };
        let fencing = duty.fencing;
        self.reads.asked.entry(name.clone()).or_default().state_ms = Some(now_ms);
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
        let group = self.engines.get(&name).map(EngineSeat::group);
        let duty = group.and_then(|group| self.duties.get(&group));
        // An answer to a question from an earlier duty says nothing about what was done since.
        let current = duty.is_some_and(|duty| duty.fencing == fencing);
        if let Some(Ok(answer)) = answer.filter(|_| current) {
            let now_ms = self.timers.now_ms(cx);
            self.engines.on_state(&name, answer, now_ms);
        }
    }

    fn read_holds(&mut self, cx: CX![], name: &UpstreamName, now_ms: MonoMs) {
        let Some(seat) = self.engines.get(name) else {
            return;
        };
        let port = seat.port();
        self.reads.asked.entry(name.clone()).or_default().holds_ms = Some(now_ms);
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
        asked_ms: MonoMs,
        answer: Option<Result<Vec<Hold>, Error>>,
    ) {
        let Some(Ok(holds)) = answer else {
            return;
        };
        let now_ms = self.timers.now_ms(cx);
        let reclaims = self.holds.on_holds(&name, &holds, asked_ms, now_ms);
        for reclaim in reclaims {
            self.reclaim(cx, &name, reclaim);
        }
    }

    fn reclaim(&mut self, cx: CX![], name: &UpstreamName, reclaim: Reclaim) {
        let Some(seat) = self.engines.get(name) else {
            return;
        };
        let (group, port) = (seat.group(), seat.port());
        let order = EngineOrder::Reclaim {
            owner: reclaim.owner,
            request: reclaim.request,
        };
        let Some(fencing) = self.fencing_now(cx, group) else {
            return;
        };
        log::info!(
            "{name}: reclaiming {} of {}",
            reclaim.request,
            reclaim.owner
        );
        self.counts.reclaimed += 1;
        let ret = ret_to!([cx], on_reclaimed() as (Result<OrderAnswer, Error>));
        port.order(cx, order, fencing, ret);
    }

    /// Whether it is free shows in the next list of holds; if not, it is reclaimed again.
    fn on_reclaimed(&mut self, _cx: CX![], _answer: Option<Result<OrderAnswer, Error>>) {}
}
