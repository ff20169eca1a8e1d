//! The engine port of the in-process engine.

use super::FakeEngine;
use super::calls::StreamCall;
use crate::engine::model::ExportedKv;
use bluebell_base::prelude::*;
use bluebell_upstreams::{
    CacheEvents, CancelAnswer, EngineOrder, EnginePort, Event, Generate, Hold, LoadReport,
    OrderAnswer, Reserve, Resume, StreamState,
};
use stakker::{Core, Fwd, Ret};

impl EnginePort for FakeEngine {
    fn generate(&self, core: &mut Core, call: Generate, events: Fwd<Event>) {
        self.stream(core, StreamCall::Generate(call), events);
    }

    fn resume(&self, core: &mut Core, call: Resume, events: Fwd<Event>) {
        self.stream(core, StreamCall::Resume(call), events);
    }

    fn cancel(
        &self,
        core: &mut Core,
        request: RequestId,
        attempt: AttemptNo,
        owner: Incarnation,
        ret: Ret<Result<CancelAnswer, Error>>,
    ) {
        self.short(core, "cancel", ret, move |model, now_us| {
            Ok(model.cancel(now_us, request, attempt, owner))
        });
    }

    fn lookup(&self, core: &mut Core, request: RequestId, ret: Ret<Result<StreamState, Error>>) {
        self.short(core, "lookup", ret, move |model, _| {
            Ok(model.lookup(request))
        });
    }

    fn load(&self, core: &mut Core, ret: Ret<Result<LoadReport, Error>>) {
        self.short(core, "load", ret, |model, now_us| Ok(model.load(now_us)));
    }

    fn cache_events(&self, core: &mut Core, from: u64, ret: Ret<Result<CacheEvents, Error>>) {
        self.short(core, "cache_events", ret, move |model, now_us| {
            Ok(model.cache_events(now_us, from))
        });
    }

    fn reserve(&self, core: &mut Core, call: Reserve, ret: Ret<Result<(), Error>>) {
        self.short(core, "reserve", ret, move |model, now_us| {
            model.reserve(now_us, call)
        });
    }

    fn release(
        &self,
        core: &mut Core,
        reservation: ReservationId,
        owner: Incarnation,
        ret: Ret<Result<(), Error>>,
    ) {
        self.short(core, "release", ret, move |model, now_us| {
            model.release(now_us, reservation, owner)
        });
    }

    fn holds(&self, core: &mut Core, ret: Ret<Result<Vec<Hold>, Error>>) {
        self.short(core, "holds", ret, |model, now_us| Ok(model.holds(now_us)));
    }

    fn order(
        &self,
        core: &mut Core,
        order: EngineOrder,
        fencing: Fencing,
        ret: Ret<Result<OrderAnswer, Error>>,
    ) {
        self.short(core, "order", ret, move |model, now_us| {
            Ok(model.order(now_us, &order, fencing))
        });
    }

    fn state(&self, core: &mut Core, ret: Ret<Result<OrderAnswer, Error>>) {
        self.short(core, "state", ret, |model, _| Ok(model.read_state()));
    }

    fn transfer(
        &self,
        core: &mut Core,
        request: RequestId,
        to: &Address,
        ret: Ret<Result<Tokens, Error>>,
    ) {
        let peer = self.inner.borrow().peers.get(to).cloned();
        let engine = self.clone();
        let deferrer = core.deferrer();
        let exported = Ret::new(
            move |export: Option<Result<ExportedKv, Error>>| match export {
                Some(Ok(export)) => deferrer.defer(move |stakker| {
                    engine.finish_transfer(stakker, export, peer, ret);
                }),
                Some(Err(error)) => ret.ret(Err(error)),
                None => (),
            },
        );
        self.short(core, "transfer", exported, move |model, now_us| {
            model.export(now_us, request)
        });
    }
}
