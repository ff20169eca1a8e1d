//! The nodes' other ports: claims, lookups at other nodes, and a counting observer.

use bluebell_base::prelude::*;
use bluebell_claims::ClaimsPort;
use bluebell_peers::{
    ClaimAnswer, ClaimCall, ClaimKey, ClaimState, RequestReport, SettleCall, Settlement,
};
use bluebell_requests::{LengthBand, RefusedBy, RequestLookup, RequestObserver, RequestsHandle};
use stakker::{Core, Ret, ret_some_do};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Claims that take effect and are granted at the same time, with faults that can be switched on.
#[derive(Default)]
pub struct Claims {
    pub held: Rc<RefCell<Held>>,
    pub claimed: Cell<u32>,
    pub down: Cell<bool>,
    pub silent: Cell<bool>,
    pub delay_ms: Cell<u64>,
}

type Held = HashMap<ClaimKey, (ClaimCall, ClaimState)>;

fn claim_key(held: &mut Held, call: ClaimCall) -> ClaimAnswer {
    match held.get(&call.key) {
        Some((by, state)) if by.request != call.request => ClaimAnswer::Held {
            by: by.request,
            state: *state,
            same: by.fingerprint == call.fingerprint,
        },
        _ => {
            held.insert(call.key, (call, ClaimState::Pending));
            ClaimAnswer::Granted
        }
    }
}

impl ClaimsPort for Claims {
    fn claim(&self, core: &mut Core, call: ClaimCall, ret: Ret<Result<ClaimAnswer, Error>>) {
        self.claimed.set(self.claimed.get() + 1);
        if self.down.get() {
            return ret.ret(Err(Error::not_run(
                ErrorKind::Unavailable,
                "the log is down",
            )));
        }
        let held = self.held.clone();
        let silent = self.silent.get();
        let at = core.now() + Duration::from_millis(self.delay_ms.get());
        core.timer_add(at, move |core| {
            let answer = claim_key(&mut held.borrow_mut(), call);
            match silent {
                // The claim has taken effect, and its answer is lost silently.
                true => {
                    let later = core.now() + Duration::from_secs(3600);
                    core.timer_add(later, move |_| drop(ret));
                }
                false => ret.ret(Ok(answer)),
            }
        });
    }

    fn settle(&self, _: &mut Core, call: SettleCall) {
        let mut held = self.held.borrow_mut();
        let ours = held
            .get(&call.key)
            .is_some_and(|(by, _)| by.request == call.request);
        match (ours, call.settlement) {
            (true, Settlement::NotRun) => {
                held.remove(&call.key);
            }
            (true, Settlement::Ran) => {
                held.get_mut(&call.key).expect("held").1 = ClaimState::Ran;
            }
            (false, _) => (),
        }
    }
}

/// Looks up requests at the other nodes of the world.
#[derive(Default)]
pub struct Peers {
    pub nodes: RefCell<HashMap<Incarnation, RequestsHandle>>,
    pub cut: Cell<bool>,
}

impl RequestLookup for Peers {
    fn lookup(
        &self,
        core: &mut Core,
        request: RequestId,
        ret: Ret<Result<Option<RequestReport>, Error>>,
    ) {
        if self.cut.get() {
            let at = core.now() + Duration::from_secs(3600);
            core.timer_add(at, move |_| drop(ret));
            return;
        }
        match self.nodes.borrow().get(&request.incarnation) {
            Some(node) => node.lookup(request, ret_some_do!(move |report| ret.ret(Ok(report)))),
            None => ret.ret(Err(Error::not_run(ErrorKind::Unavailable, "unreachable"))),
        }
    }
}

/// Counts the events that the observers receive.
#[derive(Default)]
pub struct Counts {
    pub admitted: Cell<u32>,
    pub attempts: Cell<u32>,
    pub retries: Cell<u32>,
    pub recalls: Cell<u32>,
    pub denied: Cell<u32>,
    pub first_tokens: Cell<u32>,
    pub between_tokens: Cell<u32>,
    pub finished: Cell<u32>,
    pub failed: Cell<u32>,
}

pub struct CountingObserver(pub Rc<Counts>);

fn increment(count: &Cell<u32>) {
    count.set(count.get() + 1);
}

impl RequestObserver for CountingObserver {
    fn admitted(&mut self, _: &ClassName, _: LengthBand) {
        increment(&self.0.admitted);
    }
    fn refused(&mut self, _: RefusedBy) {}
    fn first_token(&mut self, _: &ClassName, _: LengthBand, _: SpanMs) {
        increment(&self.0.first_tokens);
    }
    fn between_tokens(&mut self, _: &ClassName, _: LengthBand, _: SpanMs) {
        increment(&self.0.between_tokens);
    }
    fn attempt(&mut self) {
        increment(&self.0.attempts);
    }
    fn retry(&mut self) {
        increment(&self.0.retries);
    }
    fn recalled(&mut self) {
        increment(&self.0.recalls);
    }
    fn retry_denied(&mut self) {
        increment(&self.0.denied);
    }
    fn finished(&mut self, _: &ClassName, _: LengthBand, _: SpanMs) {
        increment(&self.0.finished);
    }
    fn failed(&mut self, _: &Error) {
        increment(&self.0.failed);
    }
    fn cancelled(&mut self) {}
    fn dropped_event(&mut self) {}
    fn upstream_refused(&mut self, _: &UpstreamName, _: &Error) {}
}
