//! Giving orders: fencing engines at a takeover, loading versions one after the other.

use super::plan::{Load, Rollout};
use super::{Coordinator, EngineSeat};
use bluebell_base::prelude::*;
use bluebell_platform::WeightInfo;
use bluebell_upstreams::{EngineOrder, OrderAnswer};
use stakker::{CX, ret_some_to, ret_to};

/// How long an order may be under way; the engines' clients give up by then.
pub(super) const ORDER_TIMEOUT_MS: SpanMs = SpanMs::from_secs(10);

/// How much longer than by the weight store's rate a load may take.
const LOAD_SLACK: f64 = 4.0;

/// What a load may take besides.
const LOAD_EXTRA_MS: SpanMs = SpanMs::from_secs(60);

/// The time between two looks at an engine that is loading.
const LOOK_MS: SpanMs = SpanMs(2_000);

/// The time until the weight store is asked again after it failed or did not know the version.
const ASK_AGAIN_MS: SpanMs = SpanMs::from_secs(10);

#[derive(Clone, Debug)]
enum Step {
    /// Waiting for the weight store's word on the version.
    Asking { load: Load, since_ms: MonoMs },
    /// Ordered; the state is read back until the version shows.
    Loading {
        load: Load,
        until_ms: MonoMs,
        looked_ms: MonoMs,
    },
}

/// The orders under way.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderSide {
    step: Option<Step>,
    rollout: Rollout,
    next_load_ms: Option<MonoMs>,
    /// Whether an order that shows the fencing number is under way.
    showing: bool,
    /// The engine that was last shown the fencing number.
    shown_last: Option<UpstreamName>,
}

impl OrderSide {
    pub(super) fn loading(&self) -> Option<UpstreamName> {
        match self.step.as_ref()? {
            Step::Asking { load, .. } | Step::Loading { load, .. } => Some(load.engine.clone()),
        }
    }

    pub(super) fn halted(&self) -> Vec<Arc<str>> {
        let halted = self.rollout.halted();
        let text = |(model, version): &(ModelName, u64)| format!("{model} version {version}");
        halted.iter().map(|pair| text(pair).into()).collect()
    }

    pub(super) fn forget_failures(&mut self) {
        self.rollout = Rollout::default();
    }
}

impl Coordinator {
    /// Whether engines of the seat's deployment may be given orders by now.
    ///
    /// An engine that does not check fencing numbers obeys a late order of the former coordinator:
    /// one that it sent at the end of its lease, or after a pause between its check and the
    /// sending. Before a first order to such an engine the lease time and an order's time have to
    /// pass, so that what is read back afterwards is the outcome of those.
    fn may_order(&self, seat: &EngineSeat) -> bool {
        let Some(duty) = self.duties.get(&seat.group()) else {
            return false;
        };
        let wait_ms = self.settings.ttl_ms + ORDER_TIMEOUT_MS;
        let waited_ms = duty.since_ms + wait_ms;
        let checks = self.config.checks_fencing(seat.deployment());
        let read_ms = seat.view().map(|view| view.read_ms);
        match checks {
            true => read_ms.is_some() && seat.is_fenced(),
            false => read_ms.is_some_and(|read_ms| read_ms >= waited_ms),
        }
    }

    /// Shows the new fencing number to engines that check it, by an order that changes nothing.
    ///
    /// Until an engine has seen the number, it still obeys the former coordinator, which may have been
    /// paused before sending.
    pub(super) fn tick_fences(&mut self, cx: CX![], _now_ms: MonoMs) {
        if self.orders.showing {
            return;
        }
        let Some(seat) = self.next_unfenced() else {
            return;
        };
        let Some(role) = seat.view().map(|view| view.role) else {
            return;
        };
        let (name, group, port) = (seat.name(), seat.group(), seat.port());
        let order = EngineOrder::SetRole { role };
        let Some(fencing) = self.fencing_now(cx, group) else {
            return;
        };
        self.counts.fences += 1;
        self.orders.showing = true;
        self.orders.shown_last = Some(name.clone());
        let ret = ret_to!(
            [cx],
            on_fenced(name, fencing) as (Result<OrderAnswer, Error>)
        );
        port.order(cx, order, fencing, ret);
    }

    /// The next engine by name, behind the last one, that has not seen the fencing number.
    ///
    /// Were it always the first of them, one that answers no order would hold up all others: none
    /// would be fenced, and so none be given a new version, for as long as it is on the list.
    fn next_unfenced(&self) -> Option<&EngineSeat> {
        let is_unfenced = |seat: &&EngineSeat| {
            let checks = self.config.checks_fencing(seat.deployment());
            let own = self.duties.contains_key(&seat.group());
            checks && own && seat.view().is_some() && !seat.is_fenced()
        };
        let unfenced = || self.engines.iter().filter(is_unfenced);
        let last = self.orders.shown_last.as_ref();
        let behind = |seat: &&EngineSeat| last.is_none_or(|last| seat.name() > *last);
        unfenced().find(behind).or_else(|| unfenced().next())
    }

    fn on_fenced(
        &mut self,
        cx: CX![],
        name: UpstreamName,
        fencing: Fencing,
        answer: Option<Result<OrderAnswer, Error>>,
    ) {
        self.orders.showing = false;
        if let Some(Ok(answer)) = answer {
            self.on_order_answer(cx, &name, fencing, answer);
        }
    }

    /// Takes in an order's answer, which is the engine's state as well.
    fn on_order_answer(
        &mut self,
        cx: CX![],
        name: &UpstreamName,
        fencing: Fencing,
        answer: OrderAnswer,
    ) {
        let now_ms = self.timers.now_ms(cx);
        let group = self.engines.get(name).map(EngineSeat::group);
        let duty = group.and_then(|group| self.duties.get(&group));
        let current = duty.is_some_and(|duty| duty.fencing == fencing);
        if answer.fencing > fencing {
            // A newer coordinator has ordered this engine: this node's lease is over, whatever its
            // clock says.
            self.counts.superseded += 1;
            if let Some(group) = group.filter(|_| current) {
                self.duties.remove(&group);
            }
            return;
        }
        if current {
            self.engines.set_fenced(name);
            self.engines.on_state(name, answer, now_ms);
        }
    }

    pub(super) fn tick_loads(&mut self, cx: CX![], now_ms: MonoMs) {
        match self.orders.step.clone() {
            Some(Step::Loading {
                load,
                until_ms,
                looked_ms,
            }) => self.look(cx, load, until_ms, looked_ms, now_ms),
            Some(Step::Asking { since_ms, .. })
                if now_ms.since(since_ms) >= ORDER_TIMEOUT_MS + ASK_AGAIN_MS =>
            {
                self.orders.step = None;
            }
            Some(Step::Asking { .. }) => (),
            None => self.begin_load(cx, now_ms),
        }
    }

    fn begin_load(&mut self, cx: CX![], now_ms: MonoMs) {
        // The weight store's limit is shared by the fleet; see `on_weights`.
        if self.orders.next_load_ms.is_some_and(|at_ms| now_ms < at_ms) {
            return;
        }
        let seats = self.engines.iter();
        let own: Vec<&EngineSeat> = seats
            .filter(|seat| self.duties.contains_key(&seat.group()))
            .collect();
        let may_order = |seat: &EngineSeat| self.may_order(seat);
        let next = self
            .orders
            .rollout
            .next(&own, &self.config.models, may_order);
        let Some(load) = next else {
            return;
        };
        let ret = ret_some_to!(
            [cx],
            on_weights(load.clone()) as (Result<WeightInfo, Error>)
        );
        let weights = self.weights.clone();
        weights.info(cx, &load.model, load.version, ret);
        self.orders.step = Some(Step::Asking {
            load,
            since_ms: now_ms,
        });
    }

    /// Goes on to the order, if the store holds the version; one that it doesn't hold would take
    /// a replica's time for nothing.
    fn on_weights(&mut self, cx: CX![], load: Load, answer: Result<WeightInfo, Error>) {
        let asked =
            matches!(&self.orders.step, Some(Step::Asking { load: own, .. }) if *own == load);
        if !asked {
            return;
        }
        let now_ms = self.timers.now_ms(cx);
        self.orders.step = None;
        let info = match answer {
            Ok(info) => info,
            Err(error) => {
                log::warn!("{} version {}: {error}", load.model, load.version);
                self.orders.next_load_ms = Some(now_ms + ASK_AGAIN_MS);
                return;
            }
        };
        let pace_ms = pace_ms(&info, self.settings.coordinators);
        self.order_load(cx, load, pace_ms, now_ms);
    }

    /// Orders the load, where nothing has changed while the store was asked.
    fn order_load(&mut self, cx: CX![], load: Load, pace_ms: SpanMs, now_ms: MonoMs) {
        let Some(seat) = self.engines.get(&load.engine) else {
            return;
        };
        if !self.may_order(seat) || !seat.is_live() {
            return;
        }
        let (group, port) = (seat.group(), seat.port());
        let order = EngineOrder::LoadModel {
            model: load.model.clone(),
            version: load.version,
        };
        let Some(fencing) = self.fencing_now(cx, group) else {
            return;
        };
        self.counts.loads += 1;
        self.orders.next_load_ms = Some(now_ms + pace_ms);
        self.orders.step = Some(Step::Loading {
            load: load.clone(),
            until_ms: now_ms + pace_ms.mul_f64(LOAD_SLACK) + LOAD_EXTRA_MS,
            looked_ms: now_ms,
        });
        let name = load.engine;
        let ret = ret_some_to!(
            [cx],
            on_load_ordered(name, fencing) as (Result<OrderAnswer, Error>)
        );
        port.order(cx, order, fencing, ret);
    }

    /// An order whose answer is lost may have been obeyed; reading the state back tells.
    fn on_load_ordered(
        &mut self,
        cx: CX![],
        name: UpstreamName,
        fencing: Fencing,
        answer: Result<OrderAnswer, Error>,
    ) {
        if let Ok(answer) = answer {
            self.on_order_answer(cx, &name, fencing, answer);
        }
    }

    fn look(&mut self, cx: CX![], load: Load, until_ms: MonoMs, looked_ms: MonoMs, now_ms: MonoMs) {
        let Some(seat) = self.engines.get(&load.engine) else {
            self.orders.step = None;
            return;
        };
        if !self.duties.contains_key(&seat.group()) {
            self.orders.step = None;
            return;
        }
        let done = seat.view().is_some_and(|view| {
            let mut own = view.models.iter().filter(|m| m.model == load.model);
            own.all(|m| m.version == load.version)
        });
        if done {
            self.counts.loaded += 1;
            self.orders.step = None;
            return;
        }
        if now_ms >= until_ms {
            self.counts.failed_loads += 1;
            self.orders.rollout.on_failure(&load);
            self.orders.step = None;
            return;
        }
        if now_ms.since(looked_ms) >= LOOK_MS {
            self.orders.step = Some(Step::Loading {
                load: load.clone(),
                until_ms,
                looked_ms: now_ms,
            });
            self.read_state(cx, &load.engine);
        }
    }
}

/// The time between two loads that keeps all coordinators together within the store's rate.
fn pace_ms(info: &WeightInfo, coordinators: u32) -> SpanMs {
    let share = info.limit_bytes.0.max(1.0) / f64::from(coordinators.max(1));
    SpanMs((info.size_bytes.0 as f64 / share * 1000.0).ceil() as u64)
}
