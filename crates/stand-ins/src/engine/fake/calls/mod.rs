//! How calls arrive at the in-process engine under the switches and rules, and are answered.

use super::reader::{Reader, broken, later, refused, silent};
use super::{FakeEngine, FrozenCall};
use crate::engine::call::ModelCall;
use crate::engine::feed::Feed;
use crate::engine::model::{EngineModel, ExportedKv};
use crate::faults::{CallFault, EventFaults};
use bluebell_base::prelude::*;
use bluebell_upstreams::http::{CALL_TIMEOUT, MAX_SILENCE};
use bluebell_upstreams::{Event, EventBody, Generate, Resume};
use stakker::{Core, Fwd, Ret};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// How a call gets on.
enum Passage {
    /// It arrives and is answered.
    Open,
    /// It never leaves: the error is certain.
    Refused,
    /// It breaks before it has any effect.
    Broken,
    /// It takes effect, and its answer is lost.
    Lost,
    /// It arrives later.
    Late(SpanMs),
    /// It arrives when the engine goes on.
    Frozen,
}

/// A call that begins or resumes a stream.
pub(super) enum StreamCall {
    Generate(Generate),
    Resume(Resume),
}

/// What awaits an answer; taken out by whoever answers first.
type Awaited<T> = Rc<RefCell<Option<T>>>;

impl FakeEngine {
    /// A short call: `work` is done on the model when the call arrives.
    pub(super) fn short<T: 'static>(
        &self,
        core: &mut Core,
        name: &str,
        ret: Ret<Result<T, Error>>,
        work: impl FnOnce(&mut EngineModel, u64) -> Result<T, Error> + 'static,
    ) {
        let ret: Awaited<Ret<_>> = Rc::new(RefCell::new(Some(ret)));
        match self.passage(name) {
            Passage::Open => self.do_short(core, ret, work),
            Passage::Refused => answer(core, SpanMs::ZERO, ret, Err(refused())),
            Passage::Broken => answer(core, SpanMs::ZERO, ret, Err(broken())),
            Passage::Lost => {
                answer(core, SpanMs::ZERO, ret.clone(), Err(broken()));
                self.do_short(core, ret, work);
            }
            Passage::Late(span_ms) => {
                give_up_later(core, CALL_TIMEOUT, &ret);
                let engine = self.clone();
                core.timer_add(core.now() + Duration::from(span_ms), move |stakker| {
                    engine.do_short(stakker, ret, work);
                });
            }
            Passage::Frozen => {
                give_up_later(core, CALL_TIMEOUT, &ret);
                self.push_frozen(Box::new(move |engine, core| {
                    engine.do_short(core, ret, work)
                }));
            }
        }
    }

    /// A call whose answer is a stream of events.
    pub(super) fn stream(&self, core: &mut Core, call: StreamCall, events: Fwd<Event>) {
        let (name, request, attempt) = match &call {
            StreamCall::Generate(call) => ("generate", call.request, call.attempt),
            StreamCall::Resume(call) => ("resume", call.request, call.attempt),
        };
        let fail = move |error| Event {
            request,
            attempt,
            body: EventBody::Failed { error },
        };
        let lost = events.clone();
        let events: Awaited<Fwd<Event>> = Rc::new(RefCell::new(Some(events)));
        match self.passage(name) {
            Passage::Open => self.do_stream(core, call, &events),
            Passage::Refused => later(core, SpanMs::ZERO, move || lost.fwd(fail(refused()))),
            Passage::Broken => later(core, SpanMs::ZERO, move || lost.fwd(fail(broken()))),
            Passage::Lost => {
                events.take();
                self.do_stream(core, call, &events);
                later(core, SpanMs::ZERO, move || lost.fwd(fail(broken())));
            }
            Passage::Late(span_ms) => {
                self.fail_later(core, &events, fail);
                let engine = self.clone();
                core.timer_add(core.now() + Duration::from(span_ms), move |stakker| {
                    engine.do_stream(stakker, call, &events);
                });
            }
            Passage::Frozen => {
                self.fail_later(core, &events, fail);
                self.push_frozen(Box::new(move |engine, core| {
                    engine.do_stream(core, call, &events);
                }));
            }
        }
    }

    /// Carries out what came while the engine was frozen.
    pub(super) fn run_frozen(&self, core: &mut Core) {
        let frozen = std::mem::take(&mut self.inner.borrow_mut().frozen);
        for call in frozen {
            call(self, core);
        }
    }

    /// Readers of a frozen engine give up once the silence has lasted too long.
    pub(super) fn watch_silence(&self, core: &mut Core) {
        let freeze = {
            let mut inner = self.inner.borrow_mut();
            inner.freezes += 1;
            if !inner.faults.freeze {
                return;
            }
            inner.freezes
        };
        let engine = self.clone();
        core.timer_add(core.now() + MAX_SILENCE, move |stakker| {
            if engine.inner.borrow().freezes == freeze {
                engine.give_up_readers(stakker);
            }
        });
    }

    fn give_up_readers(&self, core: &mut Core) {
        let readers = std::mem::take(&mut self.inner.borrow_mut().readers);
        for reader in readers {
            reader.fail(core, silent());
            // The engine sees the closed connection only when it goes on.
            self.push_frozen(Box::new(move |engine, core| engine.close(core, &reader)));
        }
    }

    fn passage(&self, name: &str) -> Passage {
        let mut inner = self.inner.borrow_mut();
        if inner.dead {
            return Passage::Refused;
        }
        let struck = inner.rules.strike(name);
        match struck {
            Some(CallFault::Refuse) => Passage::Refused,
            Some(CallFault::Break) => Passage::Broken,
            Some(CallFault::LoseAnswer) => Passage::Lost,
            Some(CallFault::Delay(span_ms)) => Passage::Late(span_ms),
            None if inner.faults.freeze => Passage::Frozen,
            None if inner.faults.down => Passage::Broken,
            None if inner.faults.lose_answer => Passage::Lost,
            None => Passage::Open,
        }
    }

    fn push_frozen(&self, call: FrozenCall) {
        self.inner.borrow_mut().frozen.push(call);
    }

    fn do_short<T: 'static>(
        &self,
        core: &mut Core,
        ret: Awaited<Ret<Result<T, Error>>>,
        work: impl FnOnce(&mut EngineModel, u64) -> Result<T, Error>,
    ) {
        self.pump(core);
        let now_us = self.now_us(core);
        let result = work(&mut self.inner.borrow_mut().model, now_us);
        let delay_ms = self.inner.borrow().faults.delay_ms;
        answer(core, delay_ms, ret, result);
        self.pump(core);
    }

    fn do_stream(&self, core: &mut Core, call: StreamCall, events: &Awaited<Fwd<Event>>) {
        if self.inner.borrow().dead {
            return;
        }
        self.pump(core);
        let now_us = self.now_us(core);
        let opened = self.open_feed(call, now_us);
        // Whoever called may have given up meanwhile; the work is done all the same.
        let events = events.take();
        match (opened, events) {
            (Ok((owner, feed)), Some(events)) => {
                let faults = EventFaults::default();
                let reader = Reader {
                    owner,
                    feed,
                    events,
                    faults,
                };
                self.inner.borrow_mut().readers.push(reader);
            }
            (Ok((_, feed)), None) => feed.close(&mut self.inner.borrow_mut().model, now_us),
            (Err(event), Some(events)) => {
                let delay_ms = self.inner.borrow().faults.delay_ms;
                later(core, delay_ms, move || events.fwd(*event));
            }
            (Err(_), None) => (),
        }
        self.pump(core);
    }

    fn open_feed(&self, call: StreamCall, now_us: u64) -> Result<(Incarnation, Feed), Box<Event>> {
        let model = &mut self.inner.borrow_mut().model;
        let (request, attempt, owner, from, opened) = match call {
            StreamCall::Generate(call) => {
                let block_tokens = model.settings().block_tokens;
                let admitted =
                    model.generate(now_us, ModelCall::from_generate(&call, block_tokens));
                let from = call.continue_from.len() as u64;
                let reader = admitted.map(|admission| admission.reader());
                (call.request, call.attempt, call.owner, from, reader)
            }
            StreamCall::Resume(call) => {
                let reader = model.resume(now_us, &call);
                (call.request, call.attempt, call.owner, call.from.0, reader)
            }
        };
        match opened {
            Ok(reader) => Ok((owner, Feed::open(request, attempt, reader, from))),
            Err(error) => Err(Box::new(Event {
                request,
                attempt,
                body: EventBody::Failed { error },
            })),
        }
    }

    /// Hands exported KV to the other engine, and frees the export once it is there.
    pub(super) fn finish_transfer(
        &self,
        core: &mut Core,
        export: ExportedKv,
        peer: Option<FakeEngine>,
        ret: Ret<Result<Tokens, Error>>,
    ) {
        let now_us = self.now_us(core);
        let Some(peer) = peer.filter(|peer| !peer.inner.borrow().dead) else {
            let model = &mut self.inner.borrow_mut().model;
            model.end_export(now_us, export.request);
            return ret.ret(Err(broken()));
        };
        peer.pump(core);
        let peer_us = peer.now_us(core);
        let cost_us = peer.inner.borrow_mut().model.import(peer_us, &export);
        let engine = self.clone();
        core.timer_add(
            core.now() + Duration::from_micros(cost_us),
            move |stakker| {
                engine.pump(stakker);
                let now_us = engine.now_us(stakker);
                engine
                    .inner
                    .borrow_mut()
                    .model
                    .end_export(now_us, export.request);
                engine.pump(stakker);
                ret.ret(Ok(export.tokens));
            },
        );
    }

    fn fail_later(
        &self,
        core: &mut Core,
        events: &Awaited<Fwd<Event>>,
        fail: impl Fn(Error) -> Event + 'static,
    ) {
        let events = events.clone();
        core.timer_add(core.now() + MAX_SILENCE, move |_| {
            if let Some(events) = events.take() {
                events.fwd(fail(silent()));
            }
        });
    }
}

/// Gives an answer to whoever still waits for it.
fn answer<T: 'static>(
    core: &mut Core,
    delay_ms: SpanMs,
    ret: Awaited<Ret<Result<T, Error>>>,
    result: Result<T, Error>,
) {
    if let Some(ret) = ret.take() {
        later(core, delay_ms, move || ret.ret(result));
    }
}

/// Tells a caller that no answer came in time, if none did.
fn give_up_later<T: 'static>(
    core: &mut Core,
    timeout: Duration,
    ret: &Awaited<Ret<Result<T, Error>>>,
) {
    let ret = ret.clone();
    core.timer_add(core.now() + timeout, move |_| {
        if let Some(ret) = ret.take() {
            ret.ret(Err(silent()));
        }
    });
}
