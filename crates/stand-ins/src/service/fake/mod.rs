//! The stand-in service in the process of a test: a [`ServicePort`] on `stakker` timers.
//!
//! It answers as `HttpService` does before a real service: the same errors and verdicts, and the
//! caller's own time limit.

use super::model::{ServiceModel, ServiceSettings, ServiceStats};
use crate::faults::{CallFault, CallRule, FaultRules, FaultSwitches};
use bluebell_base::prelude::*;
use bluebell_upstreams::{ServiceAnswer, ServiceCall, ServicePort};
use stakker::{Core, Ret};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// How long a probe waits for its answer.
const HEALTH_TIMEOUT_MS: SpanMs = SpanMs(3000);

/// A service in this process; clones are handles to the same one.
#[derive(Clone)]
pub struct FakeService {
    inner: Rc<RefCell<Inner>>,
}

struct Inner {
    model: ServiceModel,
    faults: FaultSwitches,
    rules: FaultRules,
    dead: bool,
    frozen: Vec<FrozenCall>,
}

/// A call that came while the service was frozen.
type FrozenCall = Box<dyn FnOnce(&mut Core)>;

/// What awaits an answer; taken out by whoever answers first.
type Awaited<T> = Rc<RefCell<Option<Ret<Result<T, Error>>>>>;

impl std::fmt::Debug for FakeService {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let inner = self.inner.borrow();
        f.debug_struct("FakeService")
            .field("stats", &inner.model.stats())
            .field("faults", &inner.faults)
            .finish()
    }
}

impl FakeService {
    /// Opens a service that has done nothing yet.
    pub fn open(settings: ServiceSettings) -> Self {
        let inner = Inner {
            model: ServiceModel::new(settings),
            faults: FaultSwitches::default(),
            rules: FaultRules::default(),
            dead: false,
            frozen: Vec::new(),
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
        }
    }

    /// The port through which actors reach it.
    pub fn port(&self) -> Rc<dyn ServicePort> {
        Rc::new(self.clone())
    }

    /// Sets the fault switches; calls that came while it was frozen are carried out once it is
    /// not.
    pub fn set_faults(&self, core: &mut Core, faults: FaultSwitches) {
        let frozen = {
            let inner = &mut *self.inner.borrow_mut();
            inner.faults = faults;
            match inner.faults.freeze {
                true => Vec::new(),
                false => std::mem::take(&mut inner.frozen),
            }
        };
        for call in frozen {
            call(core);
        }
    }

    /// Adds a rule that strikes one call.
    pub fn add_rule(&self, rule: CallRule) {
        self.inner.borrow_mut().rules.add(rule);
    }

    /// Lets no connection be made (or lets them again).
    pub fn set_dead(&self, dead: bool) {
        self.inner.borrow_mut().dead = dead;
    }

    /// What was counted.
    pub fn stats(&self) -> ServiceStats {
        self.inner.borrow().model.stats()
    }

    /// The effects counted of a key.
    pub fn effects_of(&self, key: &str) -> u64 {
        self.inner.borrow().model.effects_of(key)
    }

    /// Lets a call arrive under the switches and rules; `work` is what it does there.
    fn arrive<T: 'static>(
        &self,
        core: &mut Core,
        name: &str,
        timeout_ms: SpanMs,
        ret: Ret<Result<T, Error>>,
        work: impl FnOnce(&mut ServiceModel) -> T + 'static,
    ) {
        let ret: Awaited<T> = Rc::new(RefCell::new(Some(ret)));
        let fault = match self.fault(name) {
            Some(CallFault::Refuse) => return answer(core, SpanMs::ZERO, &ret, Err(refused())),
            Some(CallFault::Break) => return answer(core, SpanMs::ZERO, &ret, Err(broken())),
            fault => fault,
        };
        give_up_later(core, timeout_ms, &ret);
        let service = self.clone();
        let lost = fault == Some(CallFault::LoseAnswer);
        let carry_out = move |core: &mut Core| service.carry_out(core, ret, lost, work);
        if let Some(CallFault::Delay(span_ms)) = fault {
            core.timer_add(core.now() + Duration::from(span_ms), move |stakker| {
                carry_out(stakker);
            });
            return;
        }
        let frozen = self.inner.borrow().faults.freeze;
        match frozen {
            true => self.inner.borrow_mut().frozen.push(Box::new(carry_out)),
            false => carry_out(core),
        }
    }

    fn carry_out<T: 'static>(
        &self,
        core: &mut Core,
        ret: Awaited<T>,
        lost: bool,
        work: impl FnOnce(&mut ServiceModel) -> T + 'static,
    ) {
        let (work_ms, delay_ms) = {
            let inner = self.inner.borrow();
            let work_ms = inner.model.settings().work_ms;
            (
                work_ms.mul_f64(inner.faults.slow_factor),
                inner.faults.delay_ms,
            )
        };
        if self.inner.borrow().faults.leaving {
            let error = Error::not_run(ErrorKind::Unavailable, "the service is leaving");
            return answer(core, delay_ms, &ret, Err(error));
        }
        let service = self.clone();
        let finish = move |core: &mut Core| {
            let value = work(&mut service.inner.borrow_mut().model);
            match lost {
                true => answer(core, SpanMs::ZERO, &ret, Err(broken())),
                false => answer(core, delay_ms, &ret, Ok(value)),
            }
        };
        if work_ms == SpanMs::ZERO {
            return finish(core);
        }
        core.timer_add(core.now() + Duration::from(work_ms), move |stakker| {
            finish(stakker);
        });
    }

    fn fault(&self, name: &str) -> Option<CallFault> {
        let inner = &mut *self.inner.borrow_mut();
        if inner.dead {
            return Some(CallFault::Refuse);
        }
        let switched = match &inner.faults {
            faults if faults.down => Some(CallFault::Break),
            faults if faults.lose_answer => Some(CallFault::LoseAnswer),
            _ => None,
        };
        inner.rules.strike(name).or(switched)
    }
}

impl ServicePort for FakeService {
    fn call(&self, core: &mut Core, call: ServiceCall, ret: Ret<Result<ServiceAnswer, Error>>) {
        let timeout_ms = call.timeout_ms;
        self.arrive(core, "call", timeout_ms, ret, move |model| {
            model.call(&call)
        });
    }

    fn health(&self, core: &mut Core, ret: Ret<Result<(), Error>>) {
        self.arrive(core, "health", HEALTH_TIMEOUT_MS, ret, |_| ());
    }
}

fn answer<T: 'static>(
    core: &mut Core,
    delay_ms: SpanMs,
    ret: &Awaited<T>,
    result: Result<T, Error>,
) {
    let ret = ret.clone();
    let give = move || {
        if let Some(ret) = ret.take() {
            ret.ret(result);
        }
    };
    if delay_ms == SpanMs::ZERO {
        core.defer(move |_| give());
        return;
    }
    core.timer_add(core.now() + Duration::from(delay_ms), move |_| give());
}

fn give_up_later<T: 'static>(core: &mut Core, timeout_ms: SpanMs, ret: &Awaited<T>) {
    let ret = ret.clone();
    core.timer_add(core.now() + Duration::from(timeout_ms), move |_| {
        if let Some(ret) = ret.take() {
            let text = "the upstream stays silent";
            ret.ret(Err(Error::may_have_run(ErrorKind::DeadlineExceeded, text)));
        }
    });
}

fn broken() -> Error {
    Error::may_have_run(ErrorKind::Upstream, "the connection broke")
}

fn refused() -> Error {
    Error::not_run(ErrorKind::Unavailable, "no connection could be made")
}
