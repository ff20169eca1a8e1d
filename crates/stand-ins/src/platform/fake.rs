//! The platform in the same process, under the clock of the actors: the ports without sockets.
//!
//! Invariants: each call is answered exactly once, at the latest when its timeout has passed; the
//! verdicts are those the HTTP clients give for the same fault.

use super::faults::{Fate, Operation};
use super::model::PlatformModel;
use bluebell_base::prelude::*;
use bluebell_platform::http::{Effect, RETRY_AFTER_MS};
use bluebell_platform::{LogPort, ReadBatch, VmEntry, VmListPort, WeightInfo, WeightPort};
use bluebell_timers::Timers;
use stakker::{Core, Ret};
use std::cell::RefCell;
use std::rc::Rc;

/// How a fake behaves as a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FakeSettings {
    /// The time one way to the platform.
    pub latency_ms: SpanMs,
    /// After which a call is given up.
    pub timeout_ms: SpanMs,
}

impl Default for FakeSettings {
    fn default() -> Self {
        Self {
            latency_ms: SpanMs(2),
            timeout_ms: SpanMs(5_000),
        }
    }
}

/// One client of a platform in the same process.
pub struct FakePlatform {
    model: Rc<RefCell<PlatformModel>>,
    timers: Timers,
    client: Arc<str>,
    settings: FakeSettings,
}

/// The caller's `Ret`, taken by whichever comes first, the answer or the timeout.
type Waiter<T> = Rc<RefCell<Option<Ret<Result<T, Error>>>>>;

impl FakePlatform {
    /// Opens a client that fault rules know by the name `client`.
    pub fn open(
        model: &Rc<RefCell<PlatformModel>>,
        timers: &Timers,
        client: &str,
        settings: FakeSettings,
    ) -> Rc<Self> {
        Rc::new(Self {
            model: Rc::clone(model),
            timers: timers.clone(),
            client: client.into(),
            settings,
        })
    }

    /// Makes a call: `apply` is its effect on the platform.
    fn call<T: 'static>(
        &self,
        core: &mut Core,
        operation: Operation,
        ret: Ret<Result<T, Error>>,
        apply: impl FnOnce(&mut PlatformModel, WallMs, Fate) -> Result<T, Error> + 'static,
    ) {
        let effect = effect_of(operation);
        let fate = self.fate(operation);
        let waiter: Waiter<T> = Rc::new(RefCell::new(Some(ret)));
        answer_after(
            core,
            self.settings.timeout_ms,
            &waiter,
            Err(timeout(effect)),
        );
        if fate.freeze {
            return;
        }
        let latency_ms = self.settings.latency_ms;
        if fate.down {
            return answer_after(core, latency_ms, &waiter, Err(down()));
        }
        let (model, timers) = (Rc::clone(&self.model), self.timers.clone());
        core.after((latency_ms + fate.slow_ms).into(), move |stakker| {
            let now_ms = WallMs(timers.now_ms(stakker).0);
            let mut result = apply(&mut model.borrow_mut(), now_ms, fate);
            if fate.lose_answer {
                result = Err(broken(effect));
            }
            answer_after(stakker, latency_ms, &waiter, result);
        });
    }

    fn fate(&self, operation: Operation) -> Fate {
        let mut model = self.model.borrow_mut();
        model.faults.fate(operation, Some(&self.client))
    }
}

impl LogPort for FakePlatform {
    fn append(
        &self,
        core: &mut Core,
        stream: &StreamName,
        records: Vec<Arc<str>>,
        ret: Ret<Result<Offset, Error>>,
    ) {
        let stream = stream.clone();
        self.call(core, Operation::Append, ret, move |model, now_ms, fate| {
            model.append(now_ms, &stream, &records, fate.duplicate)
        });
    }

    fn read(
        &self,
        core: &mut Core,
        stream: &StreamName,
        from: Offset,
        limit_bytes: Bytes,
        ret: Ret<Result<ReadBatch, Error>>,
    ) {
        let stream = stream.clone();
        self.call(core, Operation::Read, ret, move |model, now_ms, _| {
            Ok(model.read(now_ms, &stream, from, limit_bytes))
        });
    }
}

impl WeightPort for FakePlatform {
    fn info(
        &self,
        core: &mut Core,
        model: &ModelName,
        version: u64,
        ret: Ret<Result<WeightInfo, Error>>,
    ) {
        let name = model.clone();
        self.call(core, Operation::WeightInfo, ret, move |model, _, _| {
            model.weight_info(&name, version)
        });
    }
}

impl VmListPort for FakePlatform {
    fn list(&self, core: &mut Core, ret: Ret<Result<Vec<VmEntry>, Error>>) {
        self.call(core, Operation::ListVms, ret, |model, now_ms, _| {
            Ok(model.list_vms(now_ms))
        });
    }
}

fn answer_after<T: 'static>(
    core: &mut Core,
    span_ms: SpanMs,
    waiter: &Waiter<T>,
    result: Result<T, Error>,
) {
    let waiter = Rc::clone(waiter);
    core.after(span_ms.into(), move |_| {
        if let Some(ret) = waiter.take() {
            ret.ret(result);
        }
    });
}

fn effect_of(operation: Operation) -> Effect {
    match operation {
        Operation::Append => Effect::Appends,
        Operation::Read | Operation::ListVms | Operation::WeightInfo => Effect::Reads,
    }
}

fn down() -> Error {
    Error::not_run(ErrorKind::Unavailable, "the platform is down").retry_after(RETRY_AFTER_MS)
}

fn timeout(effect: Effect) -> Error {
    unsure(
        effect,
        ErrorKind::DeadlineExceeded,
        "the platform's answer is late",
    )
}

fn broken(effect: Effect) -> Error {
    unsure(effect, ErrorKind::Unavailable, "the connection broke")
}

fn unsure(effect: Effect, kind: ErrorKind, message: &str) -> Error {
    match effect {
        Effect::Reads => Error::not_run(kind, message),
        Effect::Appends => Error::may_have_run(kind, message),
    }
}
