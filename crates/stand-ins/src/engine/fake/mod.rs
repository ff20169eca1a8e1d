//! The stand-in engine in the process of a test: an [`EnginePort`] over the engine model on
//! `stakker` timers, so that it runs under virtual time.
//!
//! It answers as [`HttpEngine`] does before a real engine: the same errors and verdicts, the same
//! time limits for silence, and one last event for each stream.
//!
//! [`HttpEngine`]: bluebell_upstreams::HttpEngine

mod calls;
mod port;
mod reader;

use super::call::EngineStats;
use super::model::EngineModel;
use super::settings::EngineSettings;
use crate::faults::{CallRule, FaultRules, FaultSwitches};
use bluebell_base::prelude::*;
use bluebell_upstreams::EnginePort;
use reader::Reader;
use stakker::{Core, FixedTimerKey};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An engine in this process; clones are handles to the same one.
#[derive(Clone)]
pub struct FakeEngine {
    inner: Rc<RefCell<Inner>>,
}

struct Inner {
    model: EngineModel,
    seed: u64,
    origin: Instant,
    faults: FaultSwitches,
    rules: FaultRules,
    dead: bool,
    readers: Vec<Reader>,
    frozen: Vec<FrozenCall>,
    freezes: u64,
    timer: Option<(u64, FixedTimerKey)>,
    peers: HashMap<Address, FakeEngine>,
}

/// A call that came while the engine was frozen, to be carried out when it goes on.
type FrozenCall = Box<dyn FnOnce(&FakeEngine, &mut Core)>;

impl std::fmt::Debug for FakeEngine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let inner = self.inner.borrow();
        f.debug_struct("FakeEngine")
            .field("stats", &inner.model.stats())
            .field("faults", &inner.faults)
            .finish()
    }
}

impl FakeEngine {
    /// Opens an engine whose clock starts now; `seed` decides which cache events are lost.
    pub fn open(core: &mut Core, settings: EngineSettings, seed: u64) -> Self {
        let inner = Inner {
            model: EngineModel::new(settings, seed),
            seed,
            origin: core.now(),
            faults: FaultSwitches::default(),
            rules: FaultRules::default(),
            dead: false,
            readers: Vec::new(),
            frozen: Vec::new(),
            freezes: 0,
            timer: None,
            peers: HashMap::new(),
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// The port through which actors reach it.
    pub fn port(&self) -> Rc<dyn EnginePort> {
        Rc::new(self.clone())
    }

    /// Sets the fault switches.
    pub fn set_faults(&self, core: &mut Core, faults: FaultSwitches) {
        let now_us = self.now_us(core);
        let thawed = {
            let inner = &mut *self.inner.borrow_mut();
            inner.model.set_slow_factor(faults.slow_factor);
            inner.model.set_leaving(faults.leaving);
            let before = std::mem::replace(&mut inner.faults, faults);
            match (before.freeze, inner.faults.freeze) {
                (false, true) => inner.model.freeze(now_us),
                (true, false) => inner.model.thaw(now_us),
                _ => (),
            }
            before.freeze && !inner.faults.freeze
        };
        if thawed {
            self.run_frozen(core);
        }
        self.watch_silence(core);
        self.pump(core);
    }

    /// Adds a rule that strikes one call.
    pub fn add_rule(&self, rule: CallRule) {
        self.inner.borrow_mut().rules.add(rule);
    }

    /// Lets `address` lead to another engine, for transfers.
    pub fn add_peer(&self, address: Address, peer: &FakeEngine) {
        let mut inner = self.inner.borrow_mut();
        inner.peers.insert(address, peer.clone());
    }

    /// The process dies: its memory is lost, its switches are off, its streams break off, and no
    /// connection can be made until [`Self::restart`].
    pub fn kill(&self, core: &mut Core) {
        let now_us = self.now_us(core);
        {
            let inner = &mut *self.inner.borrow_mut();
            let settings = inner.model.settings().clone();
            inner.model = EngineModel::new(settings, inner.seed);
            let mut nothing = Vec::new();
            inner.model.advance(now_us, &mut nothing);
            inner.dead = true;
            inner.faults = FaultSwitches::default();
            inner.frozen.clear();
        }
        self.cut(core);
    }

    /// A killed engine takes calls again, with nothing in its memory.
    pub fn restart(&self) {
        self.inner.borrow_mut().dead = false;
    }

    /// All connections break; the engine goes on, and its streams' holds run.
    pub fn cut(&self, core: &mut Core) {
        let readers = std::mem::take(&mut self.inner.borrow_mut().readers);
        for reader in readers {
            self.close(core, &reader);
            reader.fail(core, reader::broken());
        }
        self.pump(core);
    }

    /// The node with this incarnation is gone: its connections close, and nobody is told.
    pub fn hang_up(&self, core: &mut Core, owner: Incarnation) {
        let readers = std::mem::take(&mut self.inner.borrow_mut().readers);
        let (gone, kept): (Vec<_>, Vec<_>) = readers
            .into_iter()
            .partition(|reader| reader.owner == owner);
        for reader in &gone {
            self.close(core, reader);
        }
        self.inner.borrow_mut().readers.extend(kept);
        self.pump(core);
    }

    /// What was computed and is held.
    pub fn stats(&self) -> EngineStats {
        self.inner.borrow().model.stats()
    }

    /// How often work of a request was begun since the engine started.
    pub fn runs(&self, request: RequestId) -> u32 {
        self.inner.borrow().model.runs(request)
    }

    /// Re-checks the model's invariants.
    ///
    /// # Errors
    /// What does not hold, in words.
    pub fn verify(&self) -> Result<(), String> {
        self.inner.borrow().model.verify()
    }

    fn now_us(&self, core: &Core) -> u64 {
        let origin = self.inner.borrow().origin;
        core.now().saturating_duration_since(origin).as_micros() as u64
    }

    /// Brings the model to the present, hands out new events and sets the next timer.
    fn pump(&self, core: &mut Core) {
        let now_us = self.now_us(core);
        let mut deliveries = Vec::new();
        {
            let inner = &mut *self.inner.borrow_mut();
            let mut events = Vec::new();
            inner.model.advance(now_us, &mut events);
            if !inner.faults.freeze {
                let Inner {
                    readers,
                    model,
                    faults,
                    ..
                } = inner;
                readers.retain_mut(|reader| reader.pull(model, faults, now_us, &mut deliveries));
            }
        }
        let delay_ms = self.inner.borrow().faults.delay_ms;
        for delivery in deliveries {
            delivery.send(core, delay_ms);
        }
        self.set_timer(core);
    }

    fn set_timer(&self, core: &mut Core) {
        let due_us = self.inner.borrow().model.next_step_us();
        let set = self.inner.borrow().timer;
        if set.map(|(at_us, _)| at_us) == due_us {
            return;
        }
        if let Some((_, key)) = set {
            core.timer_del(key);
        }
        let timer = due_us.map(|due_us| {
            let engine = self.clone();
            let at = self.inner.borrow().origin + Duration::from_micros(due_us);
            let key = core.timer_add(at, move |stakker| {
                engine.inner.borrow_mut().timer = None;
                engine.pump(stakker);
            });
            (due_us, key)
        });
        self.inner.borrow_mut().timer = timer;
    }

    fn close(&self, core: &mut Core, reader: &Reader) {
        let now_us = self.now_us(core);
        let inner = &mut *self.inner.borrow_mut();
        reader.feed.close(&mut inner.model, now_us);
    }
}
