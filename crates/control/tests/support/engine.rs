//! An engine as seen by its coordinator, shared by all nodes. An order leaves a node some time
//! after it was handed over, on that node's clock, so that the node can be paused in between.

use bluebell_base::prelude::*;
use bluebell_upstreams::engine::LoadedModel;
use bluebell_upstreams::{
    CacheEvents, CancelAnswer, EngineOrder, EnginePort, Event, Generate, Hold, LoadReport,
    OrderAnswer, Reserve, Resume, Role, StreamState,
};
use stakker::{Core, Fwd, Ret};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// The latency in one direction.
const LATENCY_MS: SpanMs = SpanMs(2);

/// An order that an engine received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineEvent {
    pub at_ms: MonoMs,
    pub fencing: Fencing,
    pub order: EngineOrder,
    pub obeyed: bool,
}

/// Held memory with the expiry of its hold.
#[derive(Clone, Debug)]
struct HeldMemory {
    hold: Hold,
    until_ms: MonoMs,
}

struct State {
    checks_fencing: bool,
    fencing: Fencing,
    models: Vec<LoadedModel>,
    loading: Option<(LoadedModel, MonoMs)>,
    load_ms: SpanMs,
    broken_versions: Vec<u64>,
    holds: Vec<HeldMemory>,
    lose_answers: u32,
    events: Vec<EngineEvent>,
}

/// A handle to an engine.
#[derive(Clone)]
pub struct Engine {
    origin: Instant,
    state: Rc<RefCell<State>>,
}

impl Engine {
    pub fn open(origin: Instant, checks_fencing: bool) -> Self {
        let state = State {
            checks_fencing,
            fencing: Fencing(0),
            models: vec![LoadedModel {
                model: "m".into(),
                version: 1,
            }],
            loading: None,
            load_ms: SpanMs(3_000),
            broken_versions: Vec::new(),
            holds: Vec::new(),
            lose_answers: 0,
            events: Vec::new(),
        };
        Self {
            origin,
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Returns the port of one node, whose orders leave `send_ms` after they were handed over.
    pub fn port(&self, send_ms: Rc<Cell<u64>>) -> Rc<dyn EnginePort> {
        Rc::new(Port {
            engine: self.clone(),
            send_ms,
        })
    }

    /// Returns the version of `m` that is served; `None` while one is being loaded.
    pub fn serves(&self, now_ms: MonoMs) -> Option<u64> {
        let mut state = self.state.borrow_mut();
        state.advance(now_ms);
        let loading = state.loading.is_some();
        state.models.first().filter(|_| !loading).map(|m| m.version)
    }

    pub fn events(&self) -> Vec<EngineEvent> {
        self.state.borrow().events.clone()
    }

    /// Makes loads of these versions never complete.
    pub fn break_versions(&self, versions: &[u64]) {
        self.state.borrow_mut().broken_versions = versions.to_vec();
    }

    /// Loses the answers of the next `count` orders, which take effect.
    pub fn lose_answers(&self, count: u32) {
        self.state.borrow_mut().lose_answers = count;
    }

    /// Holds memory for `hold.owner` with an expiry of `until_ms`. The engine does not free it by
    /// itself.
    pub fn hold_memory(&self, hold: Hold, until_ms: MonoMs) {
        let holds = &mut self.state.borrow_mut().holds;
        holds.retain(|held| held.hold.request != hold.request);
        holds.push(HeldMemory { hold, until_ms });
    }

    pub fn held_requests(&self) -> Vec<RequestId> {
        let state = self.state.borrow();
        state.holds.iter().map(|held| held.hold.request).collect()
    }

    /// Returns the time on the clock of the calling node.
    fn now_ms(&self, core: &Core) -> MonoMs {
        let since = core.now().saturating_duration_since(self.origin);
        MonoMs(since.as_millis() as u64)
    }
}

impl State {
    fn advance(&mut self, now_ms: MonoMs) {
        let Some((loaded, at_ms)) = self.loading.clone() else {
            return;
        };
        if now_ms >= at_ms && !self.broken_versions.contains(&loaded.version) {
            self.models = vec![loaded];
            self.loading = None;
        }
    }

    fn answer(&self, accepted: bool) -> OrderAnswer {
        OrderAnswer {
            accepted,
            fencing: if self.checks_fencing {
                self.fencing
            } else {
                Fencing(0)
            },
            role: Role::Mixed,
            models: self.models.clone(),
        }
    }

    fn order(&mut self, order: EngineOrder, fencing: Fencing, now_ms: MonoMs) -> OrderAnswer {
        self.advance(now_ms);
        let obeyed = !self.checks_fencing || fencing >= self.fencing;
        self.events.push(EngineEvent {
            at_ms: now_ms,
            fencing,
            order: order.clone(),
            obeyed,
        });
        if !obeyed {
            return self.answer(false);
        }
        self.fencing = self.fencing.max(fencing);
        match order {
            EngineOrder::LoadModel { model, version } => {
                let loaded = LoadedModel { model, version };
                if !self.models.contains(&loaded) || self.loading.is_some() {
                    self.loading = Some((loaded, now_ms + self.load_ms));
                }
            }
            EngineOrder::SetRole { .. } => (),
            EngineOrder::Reclaim { owner, request } => self
                .holds
                .retain(|held| (held.hold.owner, held.hold.request) != (owner, request)),
        }
        self.answer(true)
    }
}

struct Port {
    engine: Engine,
    send_ms: Rc<Cell<u64>>,
}

impl Port {
    fn read<T: 'static>(
        &self,
        core: &mut Core,
        ret: Ret<Result<T, Error>>,
        read: impl FnOnce(&mut State, MonoMs) -> T + 'static,
    ) {
        let engine = self.engine.clone();
        core.after(LATENCY_MS.into(), move |core| {
            let now_ms = engine.now_ms(core);
            let answer = read(&mut engine.state.borrow_mut(), now_ms);
            core.after(LATENCY_MS.into(), move |_| ret.ret(Ok(answer)));
        });
    }
}

impl EnginePort for Port {
    fn holds(&self, core: &mut Core, ret: Ret<Result<Vec<Hold>, Error>>) {
        self.read(core, ret, |state, now_ms| {
            let list = state.holds.iter().map(|held| Hold {
                expires_ms: held.until_ms.since(now_ms),
                ..held.hold.clone()
            });
            list.collect()
        });
    }

    fn order(
        &self,
        core: &mut Core,
        order: EngineOrder,
        fencing: Fencing,
        ret: Ret<Result<OrderAnswer, Error>>,
    ) {
        let engine = self.engine.clone();
        let send_ms = LATENCY_MS + SpanMs(self.send_ms.get());
        core.after(send_ms.into(), move |core| {
            let now_ms = engine.now_ms(core);
            let state = &mut *engine.state.borrow_mut();
            let answer = state.order(order, fencing, now_ms);
            let lost = state.lose_answers > 0;
            state.lose_answers = state.lose_answers.saturating_sub(1);
            let answer = match lost {
                true => Err(Error::may_have_run(ErrorKind::Upstream, "answer lost")),
                false => Ok(answer),
            };
            core.after(LATENCY_MS.into(), move |_| ret.ret(answer));
        });
    }

    fn state(&self, core: &mut Core, ret: Ret<Result<OrderAnswer, Error>>) {
        self.read(core, ret, |state, now_ms| {
            state.advance(now_ms);
            state.answer(true)
        });
    }

    fn generate(&self, _: &mut Core, _: Generate, _: Fwd<Event>) {
        unreachable!("a coordinator sends no generate requests")
    }

    fn resume(&self, _: &mut Core, _: Resume, _: Fwd<Event>) {
        unreachable!("a coordinator sends no resume requests")
    }

    fn cancel(
        &self,
        _: &mut Core,
        _: RequestId,
        _: AttemptNo,
        _: Incarnation,
        _: Ret<Result<CancelAnswer, Error>>,
    ) {
        unreachable!("a coordinator sends no cancel requests")
    }

    fn lookup(&self, _: &mut Core, _: RequestId, _: Ret<Result<StreamState, Error>>) {
        unreachable!("a coordinator sends no stream lookups")
    }

    fn load(&self, _: &mut Core, _: Ret<Result<LoadReport, Error>>) {
        unreachable!("a coordinator requests no load reports")
    }

    fn cache_events(&self, _: &mut Core, _: u64, _: Ret<Result<CacheEvents, Error>>) {
        unreachable!("a coordinator requests no cache events")
    }

    fn reserve(&self, _: &mut Core, _: Reserve, _: Ret<Result<(), Error>>) {
        unreachable!("a coordinator sends no reservations")
    }

    fn release(&self, _: &mut Core, _: ReservationId, _: Incarnation, _: Ret<Result<(), Error>>) {
        unreachable!("a coordinator releases no reservations")
    }

    fn transfer(&self, _: &mut Core, _: RequestId, _: &Address, _: Ret<Result<Tokens, Error>>) {
        unreachable!("a coordinator requests no transfers")
    }
}
