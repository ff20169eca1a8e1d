//! Several nodes with production actors in one `Stakker`, on a fake log and a fake net.

use crate::gate::{Gate, GatedLog, GatedPeers};
use bluebell_base::prelude::*;
use bluebell_claims::records::{Record, decode};
use bluebell_claims::reduce::{Applied, ClaimOutcome, ShardState};
use bluebell_claims::verify::verify;
use bluebell_claims::{
    ClaimSettings, Claims, ClaimsHandle, ClaimsParts, ClaimsPort, ClaimsReport, ShardOwner,
};
use bluebell_peers::fakes::FakeNet;
use bluebell_peers::{
    ClaimAnswer, ClaimCall, ClaimKey, Incoming, PeerCall, SettleCall, Settlement,
};
use bluebell_stand_ins::platform::{FakePlatform, FakeSettings, PlatformModel, PlatformSettings};
use bluebell_timers::Timers;
use stakker::{Core, Fwd, Ret, Stakker};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub type ClaimResult = Result<ClaimAnswer, Error>;

pub struct Node {
    pub address: Address,
    pub incarnation: Incarnation,
    gate: Gate,
    claims: Option<ClaimsHandle>,
    sequence: u64,
}

/// A claim under way: its answer, once there is one, and when it came.
#[derive(Clone)]
pub struct Asked {
    pub request: RequestId,
    asked_ms: MonoMs,
    answer: Rc<RefCell<Option<(ClaimResult, MonoMs)>>>,
}

impl Asked {
    pub fn answer(&self) -> Option<ClaimResult> {
        self.answer
            .borrow()
            .as_ref()
            .map(|(answer, _)| answer.clone())
    }

    /// How long the answer took.
    pub fn took(&self) -> Option<SpanMs> {
        let answer = self.answer.borrow();
        answer.as_ref().map(|(_, at_ms)| at_ms.since(self.asked_ms))
    }

    /// The answer's text in short, for tables of cases.
    pub fn text(&self) -> String {
        match self.answer() {
            None => "no answer".into(),
            Some(Ok(ClaimAnswer::Granted)) => "granted".into(),
            Some(Ok(ClaimAnswer::Held { state, .. })) => format!("held {state:?}").to_lowercase(),
            Some(Err(error)) => error.verdict.to_string(),
        }
    }
}

/// A grant as the requester saw it.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    pub key: ClaimKey,
    pub request: RequestId,
    pub at_ms: MonoMs,
}

/// A settlement as `NotRun`.
struct Freed {
    key: ClaimKey,
    request: RequestId,
    at_ms: MonoMs,
}

pub struct Rig {
    origin: Instant,
    pub stakker: Stakker,
    pub now: Instant,
    pub timers: Timers,
    pub model: Rc<RefCell<PlatformModel>>,
    pub net: FakeNet,
    pub nodes: Vec<Node>,
    pub settings: ClaimSettings,
    pub grants: Rc<RefCell<Vec<Grant>>>,
    freed: Vec<Freed>,
    leases: HashMap<u32, (usize, Fencing)>,
    fake: FakeSettings,
    seed: u64,
    fencing: u64,
}

/// No lease ends by itself in these tests, unless a test says so.
pub const FOR_EVER_MS: MonoMs = MonoMs(u64::MAX / 4);

impl Rig {
    pub fn open(nodes: usize, seed: u64) -> Self {
        Self::with(nodes, seed, |_| (), |_| ())
    }

    pub fn with(
        nodes: usize,
        seed: u64,
        change: impl FnOnce(&mut ClaimSettings),
        platform: impl FnOnce(&mut PlatformSettings),
    ) -> Self {
        let now = Instant::now();
        let timers = Timers::open(now);
        let mut settings = ClaimSettings {
            shards: 1,
            ..ClaimSettings::default()
        };
        change(&mut settings);
        let mut platform_settings = PlatformSettings::default();
        platform(&mut platform_settings);
        let model = PlatformModel::new(platform_settings, WallMs(0));
        let mut rig = Self {
            stakker: Stakker::new(now),
            origin: now,
            now,
            net: FakeNet::open(&timers, SpanMs(2000), seed),
            timers,
            model: Rc::new(RefCell::new(model)),
            nodes: Vec::new(),
            settings,
            grants: Rc::default(),
            freed: Vec::new(),
            leases: HashMap::new(),
            fake: FakeSettings::default(),
            seed,
            fencing: 0,
        };
        for _ in 0..nodes {
            rig.start();
        }
        rig.run_ms(1);
        rig
    }

    /// Starts one more node; returns its index.
    pub fn start(&mut self) -> usize {
        let index = self.nodes.len();
        let address = Address::from(format!("10.0.0.{index}:1").as_str());
        let incarnation = Incarnation(1000 + index as u64);
        let gate = Gate::default();
        let client = format!("node{index}");
        let platform = FakePlatform::open(&self.model, &self.timers, &client, self.fake);
        let log = GatedLog {
            inner: platform,
            gate: gate.clone(),
        };
        let peers = GatedPeers {
            inner: self.net.port(&address),
            gate: gate.clone(),
        };
        let parts = ClaimsParts {
            settings: self.settings,
            timers: self.timers.clone(),
            log: Rc::new(log),
            peers: Rc::new(peers),
            incarnation,
            seed: self.seed.wrapping_add(index as u64),
        };
        let claims = Claims::spawn(&mut self.stakker, parts);
        let incoming = incoming(&mut self.stakker, &claims, &gate);
        self.net.register(&address, incoming);
        self.nodes.push(Node {
            address,
            incarnation,
            gate,
            claims: Some(claims),
            sequence: 0,
        });
        index
    }

    pub fn kill(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        self.net.unregister(&node.address);
        node.gate.kill();
        node.claims = None;
    }

    pub fn is_alive(&self, node: usize) -> bool {
        self.nodes[node].claims.is_some()
    }

    pub fn pause(&mut self, node: usize) {
        self.nodes[node].gate.pause();
    }

    pub fn resume(&mut self, node: usize) {
        let gate = self.nodes[node].gate.clone();
        gate.resume(&mut self.stakker);
        self.run_ms(0);
    }

    /// Gives a shard to a node under a new fencing number; all live nodes hear of it.
    pub fn give(&mut self, shard: u32, to: usize) {
        self.fencing += 1;
        let owner = ShardOwner {
            shard: ShardId(shard),
            incarnation: self.nodes[to].incarnation,
            address: self.nodes[to].address.clone(),
        };
        for node in &self.nodes {
            let Some(claims) = node.claims.clone() else {
                continue;
            };
            let owner = owner.clone();
            node.gate.pass(&mut self.stakker, move |core| {
                claims.set_owner(core, owner);
            });
        }
        let fencing = Fencing(self.fencing);
        self.leases.insert(shard, (to, fencing));
        let node = &self.nodes[to];
        if let Some(claims) = node.claims.clone() {
            node.gate.pass(&mut self.stakker, move |core| {
                claims.shard_held(core, ShardId(shard), fencing, FOR_EVER_MS);
            });
        }
        self.run_ms(0);
    }

    /// Lets the last holder's lease of a shard end after a while, unless it is renewed.
    pub fn hold_for_ms(&mut self, shard: u32, span_ms: u64) {
        let until_ms = self.now_ms() + SpanMs(span_ms);
        self.hold(shard, until_ms);
    }

    /// Tells the last holder of a shard that it holds it again, under the same fencing number.
    pub fn hold_again(&mut self, shard: u32) {
        self.hold(shard, FOR_EVER_MS);
    }

    fn hold(&mut self, shard: u32, until_ms: MonoMs) {
        let Some(&(node, fencing)) = self.leases.get(&shard) else {
            return;
        };
        let node = &self.nodes[node];
        if let Some(claims) = node.claims.clone() {
            node.gate.pass(&mut self.stakker, move |core| {
                claims.shard_held(core, ShardId(shard), fencing, until_ms);
            });
        }
        self.run_ms(0);
    }

    /// Tells a node that it lost a shard.
    pub fn lose(&mut self, shard: u32, node: usize) {
        let node = &self.nodes[node];
        if let Some(claims) = node.claims.clone() {
            node.gate.pass(&mut self.stakker, move |core| {
                claims.shard_lost(core, ShardId(shard));
            });
        }
        self.run_ms(0);
    }

    pub fn new_request(&mut self, node: usize) -> RequestId {
        let node = &mut self.nodes[node];
        node.sequence += 1;
        RequestId {
            incarnation: node.incarnation,
            sequence: node.sequence,
        }
    }

    /// Claims a key for a new request of a node.
    pub fn ask(&mut self, node: usize, key: u128) -> Asked {
        let request = self.new_request(node);
        self.ask_as(node, key, request)
    }

    pub fn ask_as(&mut self, node: usize, key: u128, request: RequestId) -> Asked {
        let asked = Asked {
            request,
            asked_ms: self.now_ms(),
            answer: Rc::default(),
        };
        let key = ClaimKey(key);
        let call = ClaimCall {
            key,
            fingerprint: 7,
            request,
        };
        let (slot, timers) = (Rc::clone(&asked.answer), self.timers.clone());
        let (grants, deferrer) = (Rc::clone(&self.grants), self.stakker.deferrer());
        let ret = Ret::new(move |answer: Option<ClaimResult>| {
            let Some(answer) = answer else { return };
            deferrer.defer(move |stakker| {
                let at_ms = timers.now_ms(stakker);
                if answer == Ok(ClaimAnswer::Granted) {
                    grants.borrow_mut().push(Grant {
                        key,
                        request,
                        at_ms,
                    });
                }
                *slot.borrow_mut() = Some((answer, at_ms));
            });
        });
        let node = &self.nodes[node];
        let Some(claims) = node.claims.clone() else {
            return asked;
        };
        let ret = node.gate.wrap(&mut self.stakker, ret);
        node.gate.pass(&mut self.stakker, move |core| {
            claims.claim(core, call, ret);
        });
        asked
    }

    pub fn settle(&mut self, node: usize, key: u128, request: RequestId, settlement: Settlement) {
        let key = ClaimKey(key);
        if settlement == Settlement::NotRun {
            let at_ms = self.now_ms();
            self.freed.push(Freed {
                key,
                request,
                at_ms,
            });
        }
        let call = SettleCall {
            key,
            request,
            settlement,
        };
        let node = &self.nodes[node];
        if let Some(claims) = node.claims.clone() {
            node.gate.pass(&mut self.stakker, move |core| {
                claims.settle(core, call);
            });
        }
    }

    /// Lets the virtual time pass, event by event.
    pub fn run_ms(&mut self, span_ms: u64) {
        let end = self.now + Duration::from_millis(span_ms);
        self.stakker.run(self.now, false);
        while let Some(at) = self.stakker.next_expiry().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.stakker.run(self.now, false);
        }
        self.now = end;
        self.stakker.run(self.now, false);
    }

    /// Claims and waits for the answer.
    pub fn ask_and_wait(&mut self, node: usize, key: u128) -> Asked {
        let asked = self.ask(node, key);
        self.run_ms(3000);
        asked
    }

    pub fn report(&mut self, node: usize) -> ClaimsReport {
        let slot: Rc<RefCell<Option<ClaimsReport>>> = Rc::default();
        let taken = Rc::clone(&slot);
        let claims = self.nodes[node].claims.clone().expect("alive");
        let ret = Ret::new(move |report| *taken.borrow_mut() = report);
        claims.report(&mut self.stakker, ret);
        self.run_ms(0);
        slot.take().expect("reported")
    }

    /// What a fresh reader of a shard's stream makes of it, checked.
    pub fn reduced(&self, shard: u32) -> ShardState {
        self.reduced_from(shard, Offset(0))
    }

    /// The same for a reader that begins at an offset.
    pub fn reduced_from(&self, shard: u32, from: Offset) -> ShardState {
        let stream = StreamName::from(format!("claims-{shard}").as_str());
        let mut state = ShardState::new(self.settings.validity_ms);
        state.skip_to(from);
        let now_ms = WallMs(self.now_ms().0);
        loop {
            let mut model = self.model.borrow_mut();
            let batch = model.read(now_ms, &stream, state.next(), Bytes(1 << 20));
            state.skip_to(batch.first_retained);
            for record in &batch.records {
                state.apply(record);
                verify(&state).expect("the invariants hold");
            }
            if state.next() >= batch.end {
                return state;
            }
        }
    }

    /// The invariant: a key is granted to a second request only after the first one was settled
    /// `NotRun`, or after the key's validity.
    pub fn check(&self) -> Result<(), String> {
        let grants = self.grants.borrow();
        for (index, second) in grants.iter().enumerate() {
            let mut before = grants[..index].iter();
            if let Some(first) = before.find(|first| self.excludes(first, second)) {
                return Err(format!("granted twice: {first:?} and {second:?}"));
            }
        }
        for shard in 0..self.settings.shards {
            self.reduced(shard);
        }
        Ok(())
    }

    /// Where a shard's records begin and end.
    pub fn retained(&self, shard: u32) -> (u64, u64) {
        let stream = StreamName::from(format!("claims-{shard}").as_str());
        let now_ms = WallMs(self.now_ms().0);
        let mut model = self.model.borrow_mut();
        let batch = model.read(now_ms, &stream, Offset(0), Bytes(1));
        (batch.first_retained.0, batch.end.0)
    }

    /// The claims that took effect in a record from `from` on, in the eyes of a whole reader.
    pub fn grants_after(&self, shard: u32, from: Offset) -> Vec<(ClaimKey, RequestId)> {
        let mut state = ShardState::new(self.settings.validity_ms);
        let stream = StreamName::from(format!("claims-{shard}").as_str());
        let now_ms = WallMs(self.now_ms().0);
        let mut model = self.model.borrow_mut();
        let batch = model.read(now_ms, &stream, Offset(0), Bytes(u64::MAX));
        let mut grants = Vec::new();
        for record in &batch.records {
            let Applied::Batch { claims, .. } = state.apply(record) else {
                continue;
            };
            let Some(Record::Batch(written)) = decode(&record.body) else {
                continue;
            };
            let calls = written.claims.iter().map(ClaimCall::from).zip(claims);
            let granted = calls.filter(|(_, outcome)| *outcome == ClaimOutcome::Granted);
            if record.offset >= from {
                grants.extend(granted.map(|(call, _)| (call.key, call.request)));
            }
        }
        grants
    }

    fn excludes(&self, first: &Grant, second: &Grant) -> bool {
        let valid = second.at_ms.since(first.at_ms) <= self.settings.validity_ms;
        let mut freed = self.freed.iter();
        let freed = freed.any(|freed| {
            (freed.key, freed.request) == (first.key, first.request) && freed.at_ms <= second.at_ms
        });
        first.key == second.key && first.request != second.request && valid && !freed
    }

    pub fn now_ms(&self) -> MonoMs {
        let since = self.now.saturating_duration_since(self.origin);
        MonoMs(since.as_millis() as u64)
    }
}

fn incoming(core: &mut Core, claims: &ClaimsHandle, gate: &Gate) -> Fwd<Incoming> {
    let (claims, gate) = (claims.clone(), gate.clone());
    let deferrer = core.deferrer();
    Fwd::new(move |incoming: Incoming| {
        let (claims, gate) = (claims.clone(), gate.clone());
        deferrer.defer(move |stakker| {
            let ret = gate.wrap(stakker, incoming.ret);
            gate.pass(stakker, move |core| match incoming.call {
                PeerCall::Claim(call) => claims.incoming_claim(core, call, ret),
                PeerCall::Settle(call) => claims.incoming_settle(core, call, ret),
                _ => drop(ret),
            });
        });
    })
}
