//! An in-process network between nodes under virtual time, with faults that can be switched while
//! it runs.
//!
//! Terms: a *link* is the path from one address to another; a *cut* link delivers nothing, and the
//! caller only notices by its timeout.
//!
//! Invariants: the same seed and the same calls give the same faults; every call is answered or
//! times out; calls and answers pass through their JSON codec, as on the wire.

use crate::envelope::Reply;
use crate::message::{PeerAnswer, PeerCall};
use crate::stats::{CallKind, PeerStats};
use crate::{Incoming, PeerPort};
use bluebell_base::prelude::*;
use bluebell_timers::Timers;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stakker::{Core, Fwd, Ret};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

type Answer = Result<PeerAnswer, Error>;

/// The faults that apply to every link.
#[derive(Clone, Debug, PartialEq)]
pub struct NetFaults {
    /// The minimum one-way latency. Varying latencies on a link reorder its calls.
    pub min_latency_ms: SpanMs,
    /// The maximum one-way latency.
    pub max_latency_ms: SpanMs,
    /// The fraction of calls that never arrive.
    pub lost_calls: f64,
    /// The fraction of calls that take effect but whose answer is lost.
    pub lost_answers: f64,
    /// The fraction of calls that arrive twice.
    pub duplicated_calls: f64,
}

impl Default for NetFaults {
    fn default() -> Self {
        Self {
            min_latency_ms: SpanMs(1),
            max_latency_ms: SpanMs(1),
            lost_calls: 0.0,
            lost_answers: 0.0,
            duplicated_calls: 0.0,
        }
    }
}

/// The in-process network. It is cheap to clone.
#[derive(Clone)]
pub struct FakeNet {
    inner: Rc<RefCell<Inner>>,
    timers: Timers,
    call_timeout_ms: SpanMs,
}

struct Inner {
    rng: ChaCha8Rng,
    faults: NetFaults,
    nodes: HashMap<Address, Fwd<Incoming>>,
    cut: HashSet<(Address, Address)>,
}

/// One node's port to the network.
pub struct FakePeers {
    net: FakeNet,
    from: Address,
    stats: Arc<PeerStats>,
}

/// The `Ret` of a call in progress. The answer or the timeout takes it, whichever comes first.
type Waiting = Rc<RefCell<Option<Ret<Answer>>>>;

impl FakeNet {
    /// Opens a network without faults and with a latency of one millisecond.
    pub fn open(timers: &Timers, call_timeout_ms: SpanMs, seed: u64) -> Self {
        let inner = Inner {
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults: NetFaults::default(),
            nodes: HashMap::new(),
            cut: HashSet::new(),
        };
        Self {
            inner: Rc::new(RefCell::new(inner)),
            timers: timers.clone(),
            call_timeout_ms,
        }
    }

    /// Registers a node at an address. Calls to it are sent to `incoming`.
    pub fn register(&self, address: &Address, incoming: Fwd<Incoming>) {
        let nodes = &mut self.inner.borrow_mut().nodes;
        nodes.insert(address.clone(), incoming);
    }

    /// Removes the node at an address. Calls to it are then refused.
    pub fn unregister(&self, address: &Address) {
        self.inner.borrow_mut().nodes.remove(address);
    }

    /// Returns the port of the node at `from`.
    pub fn port(&self, from: &Address) -> Rc<FakePeers> {
        Rc::new(FakePeers {
            net: self.clone(),
            from: from.clone(),
            stats: Arc::default(),
        })
    }

    /// Sets the faults of all links.
    pub fn set_faults(&self, faults: NetFaults) {
        self.inner.borrow_mut().faults = faults;
    }

    /// Cuts the links in both directions.
    pub fn cut(&self, a: &Address, b: &Address) {
        let cut = &mut self.inner.borrow_mut().cut;
        cut.insert((a.clone(), b.clone()));
        cut.insert((b.clone(), a.clone()));
    }

    /// Restores the links in both directions.
    pub fn mend(&self, a: &Address, b: &Address) {
        let cut = &mut self.inner.borrow_mut().cut;
        cut.remove(&(a.clone(), b.clone()));
        cut.remove(&(b.clone(), a.clone()));
    }

    fn latency_ms(&self) -> SpanMs {
        let inner = &mut *self.inner.borrow_mut();
        let (min, max) = (inner.faults.min_latency_ms, inner.faults.max_latency_ms);
        SpanMs(inner.rng.random_range(min.0..=max.0.max(min.0)))
    }

    fn chance(&self, share: impl Fn(&NetFaults) -> f64) -> bool {
        let inner = &mut *self.inner.borrow_mut();
        let share = share(&inner.faults).clamp(0.0, 1.0);
        share > 0.0 && inner.rng.random_bool(share)
    }

    fn is_cut(&self, from: &Address, to: &Address) -> bool {
        let link = (from.clone(), to.clone());
        self.inner.borrow().cut.contains(&link)
    }

    /// Delivers the call to the node, or sends an error to the caller if there is no node at the
    /// address.
    fn arrive(
        &self,
        core: &mut Core,
        from: &Address,
        to: &Address,
        body: Arc<str>,
        waiting: Waiting,
    ) {
        let node = self.inner.borrow().nodes.get(to).cloned();
        let Some(node) = node else {
            let refused = Error::not_run(ErrorKind::Unavailable, "the peer refuses connections");
            self.send_answer(core, from, to, Err(refused), waiting);
            return;
        };
        if self.is_cut(from, to) {
            return;
        }
        let Ok(call) = serde_json::from_str::<PeerCall>(&body) else {
            let unknown = Error::not_run(ErrorKind::Invalid, "the call is unknown here");
            self.send_answer(core, from, to, Err(unknown), waiting);
            return;
        };
        let (net, from, to) = (self.clone(), from.clone(), to.clone());
        let deferrer = core.deferrer();
        let ret = Ret::new(move |answer: Option<Answer>| {
            let dropped = Error::may_have_run(ErrorKind::Unavailable, "the peer did not answer");
            let answer = answer.unwrap_or(Err(dropped));
            deferrer.defer(move |stakker| net.send_answer(stakker, &from, &to, answer, waiting));
        });
        node.fwd(Incoming { call, ret });
    }

    fn send_answer(
        &self,
        core: &mut Core,
        from: &Address,
        to: &Address,
        answer: Answer,
        waiting: Waiting,
    ) {
        let lost = self.chance(|faults| faults.lost_answers);
        if lost || self.is_cut(to, from) {
            return;
        }
        let reply = serde_json::to_string(&Reply::from(answer));
        let fwd = Fwd::new(move |_| {
            let Some(ret) = waiting.borrow_mut().take() else {
                return;
            };
            let reply = reply.as_deref().map(serde_json::from_str::<Reply>);
            let answer = match reply {
                Ok(Ok(reply)) => reply.into(),
                _ => Err(Error::may_have_run(
                    ErrorKind::Internal,
                    "the answer does not pass its codec",
                )),
            };
            ret.ret(answer);
        });
        let latency_ms = self.latency_ms();
        self.timers.subscribe_in(core, latency_ms, fwd);
    }

    fn deliver(
        &self,
        core: &mut Core,
        from: &Address,
        to: &Address,
        body: Arc<str>,
        waiting: Waiting,
    ) {
        let (net, from, to) = (self.clone(), from.clone(), to.clone());
        let deferrer = core.deferrer();
        let fwd = Fwd::new(move |_| {
            let (net, from, to) = (net.clone(), from.clone(), to.clone());
            let (body, waiting) = (Arc::clone(&body), Rc::clone(&waiting));
            deferrer.defer(move |stakker| net.arrive(stakker, &from, &to, body, waiting));
        });
        let latency_ms = self.latency_ms();
        self.timers.subscribe_in(core, latency_ms, fwd);
    }

    fn expire(&self, core: &mut Core, waiting: Waiting) {
        let fwd = Fwd::new(move |_| {
            if let Some(ret) = waiting.borrow_mut().take() {
                let lost = Error::may_have_run(ErrorKind::Unavailable, "the answer is lost");
                ret.ret(Err(lost));
            }
        });
        self.timers.subscribe_in(core, self.call_timeout_ms, fwd);
    }
}

impl FakePeers {
    /// Returns the counters of this node's calls.
    pub fn stats(&self) -> Arc<PeerStats> {
        Arc::clone(&self.stats)
    }
}

impl PeerPort for FakePeers {
    fn call(&self, core: &mut Core, to: &Address, call: PeerCall, ret: Ret<Answer>) {
        let body: Arc<str> = match serde_json::to_string(&call) {
            Ok(body) => body.into(),
            Err(error) => {
                ret.ret(Err(Error::not_run(ErrorKind::Internal, error.to_string())));
                return;
            }
        };
        self.stats.call_sent(CallKind::of(&call), body.len());
        let net = &self.net;
        let waiting: Waiting = Rc::new(RefCell::new(Some(ret)));
        net.expire(core, Rc::clone(&waiting));
        if net.is_cut(&self.from, to) || net.chance(|faults| faults.lost_calls) {
            return;
        }
        if net.chance(|faults| faults.duplicated_calls) {
            let nobody = Waiting::default();
            net.deliver(core, &self.from, to, Arc::clone(&body), nobody);
        }
        net.deliver(core, &self.from, to, body, waiting);
    }
}
