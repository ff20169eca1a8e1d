//! Orders to engines: fencing at a takeover, and loading versions one engine after the other.

use super::plan::{Load, Rollout};
use super::{Coordinator, KnownEngine};
use bluebell_base::prelude::*;
use bluebell_platform::WeightInfo;
use bluebell_upstreams::{EngineOrder, OrderAnswer};
use stakker::{CX, ret_some_to, ret_to};

/// The maximum duration of an order. The engines' clients give up by then.
pub(super) const ORDER_TIMEOUT_MS: SpanMs = SpanMs::from_secs(10);

/// The timeout of a load, as a multiple of its duration at the weight store's rate.
const LOAD_TIMEOUT_FACTOR: f64 = 4.0;

/// The constant part of the timeout of a load.
const LOAD_TIMEOUT_EXTRA_MS: SpanMs = SpanMs::from_secs(60);

/// The time between two polls of an engine that is loading.
const LOAD_POLL_INTERVAL_MS: SpanMs = SpanMs(2_000);

/// The time between two requests to the weight store after it failed or did not know the version.
const WEIGHTS_RETRY_MS: SpanMs = SpanMs::from_secs(10);

#[derive(Clone, Debug)]
enum Step {
    /// The weight store was requested to describe the version.
    WeightLookup { load: Load, since_ms: MonoMs },
    /// The order was sent. The engine's state is polled until it shows the version.
    Loading {
        load: Load,
        until_ms: MonoMs,
        polled_ms: MonoMs,
    },
}

/// The orders in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct OrderSide {
    step: Option<Step>,
    rollout: Rollout,
    next_load_ms: Option<MonoMs>,
    /// True while an order that sends the fencing number is in flight.
    fencing_in_flight: bool,
    /// The engine that the fencing number was last sent to.
    last_fenced: Option<UpstreamName>,
}

impl OrderSide {
    pub(super) fn loading(&self) -> Option<UpstreamName> {
        match self.step.as_ref()? {
            Step::WeightLookup { load, .. } | Step::Loading { load, .. } => {
                Some(load.engine.clone())
            }
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
    /// Returns true if orders may be sent to the engine now.
    ///
    /// An engine that does not check fencing numbers obeys a late order of the former coordinator,
    /// which that one sent at the end of its lease or after a pause between its check and the
    /// sending. Before the first order to such an engine, the duration of a lease and the timeout
    /// of an order have to pass. The state that is read back afterwards includes the effect of late
    /// orders.
    fn may_order(&self, engine: &KnownEngine) -> bool {
        let Some(duty) = self.duties.get(&engine.group()) else {
            return false;
        };
        let wait_ms = self.settings.ttl_ms + ORDER_TIMEOUT_MS;
        let waited_ms = duty.since_ms + wait_ms;
        let checks = self.config.checks_fencing(engine.deployment());
        let read_ms = engine.view().map(|view| view.read_ms);
        match checks {
            true => read_ms.is_some() && engine.is_fenced(),
            false => read_ms.is_some_and(|read_ms| read_ms >= waited_ms),
        }
    }

    /// Sends the new fencing number to engines that check it, with an order that changes nothing.
    ///
    /// Until an engine receives the number, it still obeys the former coordinator, which may have
    /// been paused before it sent an order.
    pub(super) fn tick_fences(&mut self, cx: CX![], _now_ms: MonoMs) {
        if self.orders.fencing_in_flight {
            return;
        }
        let Some(engine) = self.next_unfenced() else {
            return;
        };
        let Some(role) = engine.view().map(|view| view.role) else {
            return;
        };
        let (name, group, port) = (engine.name(), engine.group(), engine.port());
        let order = EngineOrder::SetRole { role };
        let Some(fencing) = self.fencing_now(cx, group) else {
            return;
        };
        self.counts.fences += 1;
        self.orders.fencing_in_flight = true;
        self.orders.last_fenced = Some(name.clone());
        let ret = ret_to!(
            [cx],
            on_fenced(name, fencing) as (Result<OrderAnswer, Error>)
        );
        port.order(cx, order, fencing, ret);
    }

    /// Returns the next engine by name, after the last one, that has not received the fencing
    /// number.
    ///
    /// If the first of them came first each time, an engine that answers no order would block all
    /// others: none would be fenced, and so none would load a new version, as long as it is listed.
    fn next_unfenced(&self) -> Option<&KnownEngine> {
        let is_unfenced = |engine: &&KnownEngine| {
            let checks = self.config.checks_fencing(engine.deployment());
            let own = self.duties.contains_key(&engine.group());
            checks && own && engine.view().is_some() && !engine.is_fenced()
        };
        let unfenced = || self.engines.iter().filter(is_unfenced);
        let last = self.orders.last_fenced.as_ref();
        let is_after = |engine: &&KnownEngine| last.is_none_or(|last| engine.name() > *last);
        unfenced().find(is_after).or_else(|| unfenced().next())
    }

    fn on_fenced(
        &mut self,
        cx: CX![],
        name: UpstreamName,
        fencing: Fencing,
        answer: Option<Result<OrderAnswer, Error>>,
    ) {
        self.orders.fencing_in_flight = false;
        if let Some(Ok(answer)) = answer {
            self.on_order_answer(cx, &name, fencing, answer);
        }
    }

    /// Applies the answer to an order, which also contains the engine's state.
    fn on_order_answer(
        &mut self,
        cx: CX![],
        name: &UpstreamName,
        fencing: Fencing,
        answer: OrderAnswer,
    ) {
        let now_ms = self.timers.now_ms(cx);
        let group = self.engines.get(name).map(KnownEngine::group);
        let duty = group.and_then(|group| self.duties.get(&group));
        let current = duty.is_some_and(|duty| duty.fencing == fencing);
        if answer.fencing > fencing {
            // A newer coordinator has sent an order to this engine. So this node's lease has ended,
            // whatever its clock says.
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
                polled_ms,
            }) => self.check_load(cx, load, until_ms, polled_ms, now_ms),
            Some(Step::WeightLookup { since_ms, .. })
                if now_ms.since(since_ms) >= ORDER_TIMEOUT_MS + WEIGHTS_RETRY_MS =>
            {
                self.orders.step = None;
            }
            Some(Step::WeightLookup { .. }) => (),
            None => self.begin_load(cx, now_ms),
        }
    }

    fn begin_load(&mut self, cx: CX![], now_ms: MonoMs) {
        // The fleet shares the weight store's limit; see `on_weights`.
        if self.orders.next_load_ms.is_some_and(|at_ms| now_ms < at_ms) {
            return;
        }
        let engines = self.engines.iter();
        let own: Vec<&KnownEngine> = engines
            .filter(|engine| self.duties.contains_key(&engine.group()))
            .collect();
        let may_order = |engine: &KnownEngine| self.may_order(engine);
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
        self.orders.step = Some(Step::WeightLookup {
            load,
            since_ms: now_ms,
        });
    }

    /// Orders the load if the weight store holds the version. An order for a version that it does
    /// not hold would cost a replica's time for nothing.
    fn on_weights(&mut self, cx: CX![], load: Load, answer: Result<WeightInfo, Error>) {
        let requested =
            matches!(&self.orders.step, Some(Step::WeightLookup { load: own, .. }) if *own == load);
        if !requested {
            return;
        }
        let now_ms = self.timers.now_ms(cx);
        self.orders.step = None;
        let info = match answer {
            Ok(info) => info,
            Err(error) => {
                log::warn!(
                    "the weight store did not describe {} version {}: {error}",
                    load.model,
                    load.version
                );
                self.orders.next_load_ms = Some(now_ms + WEIGHTS_RETRY_MS);
                return;
            }
        };
        let interval_ms = load_interval_ms(&info, self.settings.coordinators);
        self.order_load(cx, load, interval_ms, now_ms);
    }

    /// Sends the order to load, if the engine may still receive it after the weight store's answer.
    fn order_load(&mut self, cx: CX![], load: Load, interval_ms: SpanMs, now_ms: MonoMs) {
        let Some(engine) = self.engines.get(&load.engine) else {
            return;
        };
        if !self.may_order(engine) || !engine.is_live() {
            return;
        }
        let (group, port) = (engine.group(), engine.port());
        let order = EngineOrder::LoadModel {
            model: load.model.clone(),
            version: load.version,
        };
        let Some(fencing) = self.fencing_now(cx, group) else {
            return;
        };
        self.counts.loads += 1;
        self.orders.next_load_ms = Some(now_ms + interval_ms);
        self.orders.step = Some(Step::Loading {
            load: load.clone(),
            until_ms: now_ms + interval_ms.mul_f64(LOAD_TIMEOUT_FACTOR) + LOAD_TIMEOUT_EXTRA_MS,
            polled_ms: now_ms,
        });
        let name = load.engine;
        let ret = ret_some_to!(
            [cx],
            on_load_ordered(name, fencing) as (Result<OrderAnswer, Error>)
        );
        port.order(cx, order, fencing, ret);
    }

    /// Applies the answer to an order to load. An order whose answer was lost may have been obeyed;
    /// the state that is read back shows it.
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

    /// Ends the load if it is complete, has timed out or is no longer this node's. Otherwise polls
    /// the engine if a poll is due.
    fn check_load(
        &mut self,
        cx: CX![],
        load: Load,
        until_ms: MonoMs,
        polled_ms: MonoMs,
        now_ms: MonoMs,
    ) {
        let Some(engine) = self.engines.get(&load.engine) else {
            self.orders.step = None;
            return;
        };
        if !self.duties.contains_key(&engine.group()) {
            self.orders.step = None;
            return;
        }
        let done = engine.view().is_some_and(|view| {
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
        if now_ms.since(polled_ms) >= LOAD_POLL_INTERVAL_MS {
            self.orders.step = Some(Step::Loading {
                load: load.clone(),
                until_ms,
                polled_ms: now_ms,
            });
            self.read_state(cx, &load.engine);
        }
    }
}

/// Returns the time between two loads of one coordinator that keeps all coordinators together
/// within the weight store's rate.
fn load_interval_ms(info: &WeightInfo, coordinators: u32) -> SpanMs {
    let share = info.limit_bytes.0.max(1.0) / f64::from(coordinators.max(1));
    SpanMs((info.size_bytes.0 as f64 / share * 1000.0).ceil() as u64)
}
