//! Calls between the nodes of a test, with partitions, delays and counters.

use bluebell_base::prelude::*;
use bluebell_peers::{PeerAnswer, PeerCall, PeerPort};
use stakker::{Core, Ret};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

type Answer = Result<PeerAnswer, Error>;
type Handler = Rc<dyn Fn(PeerCall, Ret<Answer>)>;

const LATENCY_MS: SpanMs = SpanMs(1);
const TIMEOUT_MS: SpanMs = SpanMs(1_000);

/// The network that all nodes share.
#[derive(Default)]
pub struct Network {
    handlers: BTreeMap<Address, Handler>,
    dead: BTreeSet<Address>,
    /// Nodes that can neither call nor be called.
    pub cut: BTreeSet<Address>,
    /// Pairs of nodes that can't reach each other.
    pub cut_pairs: BTreeSet<(Address, Address)>,
    /// The additional delays of requests for the configuration, by destination.
    pub config_delays: BTreeMap<Address, SpanMs>,
    /// The bytes of JSON sent and received, by address.
    pub bytes: BTreeMap<Address, u64>,
    /// The calls sent, by address.
    pub calls: BTreeMap<Address, u64>,
}

impl Network {
    pub fn open() -> Rc<RefCell<Self>> {
        Rc::default()
    }

    pub fn port(net: &Rc<RefCell<Self>>, from: &Address) -> Rc<dyn PeerPort> {
        Rc::new(Port {
            net: net.clone(),
            from: from.clone(),
        })
    }

    pub fn listen(&mut self, address: &Address, handler: Handler) {
        self.handlers.insert(address.clone(), handler);
        self.dead.remove(address);
    }

    pub fn set_dead(&mut self, address: &Address, dead: bool) {
        match dead {
            true => self.dead.insert(address.clone()),
            false => self.dead.remove(address),
        };
    }

    fn count(&mut self, from: &Address, to: &Address, bytes: usize) {
        *self.bytes.entry(from.clone()).or_default() += bytes as u64;
        *self.bytes.entry(to.clone()).or_default() += bytes as u64;
    }

    fn handler(&self, from: &Address, to: &Address) -> Option<Handler> {
        let pair = |a: &Address, b: &Address| (a.clone(), b.clone());
        let separated =
            self.cut_pairs.contains(&pair(from, to)) || self.cut_pairs.contains(&pair(to, from));
        let cut =
            separated || self.cut.contains(from) || self.cut.contains(to) || self.dead.contains(to);
        self.handlers.get(to).filter(|_| !cut).cloned()
    }
}

struct Port {
    net: Rc<RefCell<Network>>,
    from: Address,
}

impl PeerPort for Port {
    fn call(&self, core: &mut Core, to: &Address, call: PeerCall, ret: Ret<Answer>) {
        let ret = Rc::new(RefCell::new(Some(ret)));
        let late = ret.clone();
        core.after(TIMEOUT_MS.into(), move |_| {
            if let Some(ret) = late.take() {
                let error = Error::may_have_run(ErrorKind::DeadlineExceeded, "no answer");
                ret.ret(Err(error));
            }
        });
        let delay_ms = match call {
            PeerCall::Config { .. } => self.net.borrow().config_delays.get(to).copied(),
            _ => None,
        };
        let delay_ms = LATENCY_MS + delay_ms.unwrap_or_default();
        let (net, from, to) = (self.net.clone(), self.from.clone(), to.clone());
        core.after(delay_ms.into(), move |_| {
            let size = serde_json::to_string(&call).unwrap().len();
            net.borrow_mut().count(&from, &to, size);
            *net.borrow_mut().calls.entry(from.clone()).or_default() += 1;
            let handler = net.borrow().handler(&from, &to);
            let Some(handler) = handler else {
                return;
            };
            let back = Ret::new(move |answer: Option<Answer>| {
                let answer = answer
                    .unwrap_or_else(|| Err(Error::not_run(ErrorKind::Unavailable, "dropped")));
                let size = serde_json::to_string(&answer).unwrap().len();
                net.borrow_mut().count(&to, &from, size);
                if let Some(ret) = ret.take() {
                    ret.ret(answer);
                }
            });
            handler(call, back);
        });
    }
}
