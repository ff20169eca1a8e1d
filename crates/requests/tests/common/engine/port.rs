//! The engine's port: the arrival of calls and their answers.

use super::{Engine, load, refused};
use bluebell_base::prelude::*;
use bluebell_upstreams::engine::CacheEvents;
use bluebell_upstreams::{
    CancelAnswer, EngineOrder, EnginePort, Event, Generate, Hold, LoadReport, OrderAnswer, Reserve,
    Resume, StreamState,
};
use stakker::{Core, Fwd, Ret};
use std::cell::RefCell;
use std::rc::Rc;

impl EnginePort for Engine {
    fn generate(&self, core: &mut Core, call: Generate, events: Fwd<Event>) {
        let id = (call.request, call.attempt);
        let refusal = events.clone();
        self.arrive(
            core,
            move |_, core| Self::fail(core, &refusal, id, refused()),
            move |engine, core| {
                engine.begin(core, call, events);
                if engine.chance(|f| f.break_call) {
                    engine.break_stream(core, id.0);
                }
            },
        );
    }

    fn resume(&self, core: &mut Core, call: Resume, events: Fwd<Event>) {
        let id = (call.request, call.attempt);
        let refusal = events.clone();
        self.arrive(
            core,
            move |_, core| Self::fail(core, &refusal, id, refused()),
            move |engine, core| {
                let known = {
                    let mut state = engine.state.borrow_mut();
                    let stream = state.streams.get_mut(&call.request);
                    let stream = stream.filter(|s| s.call.attempt == call.attempt);
                    let lost = stream.as_ref().and_then(|s| s.ended.clone());
                    if let Some(stream) = stream {
                        stream.owner = call.owner;
                        match lost {
                            Some(Err(error)) => Err(error),
                            _ => Ok(()),
                        }
                    } else {
                        Err(Error::may_have_run(ErrorKind::NotFound, "unknown"))
                    }
                };
                match known {
                    Ok(()) => engine.read(core, call.request, call.from.0, events),
                    Err(error) => Self::fail(core, &events, id, error),
                }
            },
        );
    }

    fn cancel(
        &self,
        core: &mut Core,
        request: RequestId,
        attempt: AttemptNo,
        owner: Incarnation,
        ret: Ret<Result<CancelAnswer, Error>>,
    ) {
        let ret = Rc::new(RefCell::new(Some(ret)));
        let second = ret.clone();
        let not_sent = move |_: &Engine, _: &mut Core| {
            if let Some(ret) = second.take() {
                ret.ret(Err(refused()));
            }
        };
        self.arrive(core, not_sent, move |engine, core| {
            let answer = engine.stop(request, attempt, owner);
            if let Some(ret) = ret.take() {
                engine.answer(core, ret, answer);
            }
        });
    }

    fn lookup(&self, core: &mut Core, request: RequestId, ret: Ret<Result<StreamState, Error>>) {
        let ret = Rc::new(RefCell::new(Some(ret)));
        let second = ret.clone();
        let not_sent = move |_: &Engine, _: &mut Core| {
            if let Some(ret) = second.take() {
                ret.ret(Err(refused()));
            }
        };
        self.arrive(core, not_sent, move |engine, core| {
            let state = match engine.state.borrow().streams.get(&request) {
                None => StreamState::Unknown,
                Some(stream) => {
                    let (attempt, events) = (stream.call.attempt, stream.produced);
                    match &stream.ended {
                        None => StreamState::Running { attempt, events },
                        Some(Ok(())) => StreamState::Finished { attempt, events },
                        Some(Err(_)) => StreamState::Ended,
                    }
                }
            };
            if let Some(ret) = ret.take() {
                engine.answer(core, ret, state);
            }
        });
    }

    fn reserve(&self, core: &mut Core, call: Reserve, ret: Ret<Result<(), Error>>) {
        let not_sent = |_: &Engine, _: &mut Core| ();
        self.arrive(core, not_sent, move |engine, core| {
            let until_ms = engine.now_ms(core) + call.hold_ms.0;
            let granted = engine.state.borrow_mut().reserve(&call, until_ms);
            if !granted {
                ret.ret(Err(Error::not_run(ErrorKind::Overloaded, "no room")));
                return;
            }
            engine.after(core, call.hold_ms.0, move |engine, core| {
                let now_ms = engine.now_ms(core);
                let mut state = engine.state.borrow_mut();
                state.reserved.retain(|_, (until_ms, _)| *until_ms > now_ms);
            });
            engine.answer(core, ret, ());
        });
    }

    fn release(
        &self,
        core: &mut Core,
        reservation: ReservationId,
        _: Incarnation,
        ret: Ret<Result<(), Error>>,
    ) {
        let not_sent = |_: &Engine, _: &mut Core| ();
        self.arrive(core, not_sent, move |engine, core| {
            engine.state.borrow_mut().reserved.remove(&reservation);
            engine.answer(core, ret, ());
        });
    }

    fn load(&self, _: &mut Core, ret: Ret<Result<LoadReport, Error>>) {
        ret.ret(Ok(load()));
    }

    fn cache_events(&self, _: &mut Core, _: u64, ret: Ret<Result<CacheEvents, Error>>) {
        ret.ret(Err(refused()));
    }

    fn holds(&self, _: &mut Core, ret: Ret<Result<Vec<Hold>, Error>>) {
        ret.ret(Err(refused()));
    }

    fn order(
        &self,
        _: &mut Core,
        _: EngineOrder,
        _: Fencing,
        ret: Ret<Result<OrderAnswer, Error>>,
    ) {
        ret.ret(Err(refused()));
    }

    fn state(&self, _: &mut Core, ret: Ret<Result<OrderAnswer, Error>>) {
        ret.ret(Err(refused()));
    }

    fn transfer(&self, _: &mut Core, _: RequestId, _: &Address, ret: Ret<Result<Tokens, Error>>) {
        ret.ret(Err(refused()));
    }
}
