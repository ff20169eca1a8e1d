//! Several nodes with production actors in one `Stakker`, on a fake log and a fake network.

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

/// A claim with its answer and the time of the answer, once it has arrived.
#[derive(Clone)]
pub struct TestClaim {
    pub request: RequestId,
    started_ms: MonoMs,
    answer: Rc<RefCell<Option<(ClaimResult, MonoMs)>>>,
}

impl TestClaim {
    pub fn answer(&self) -> Option<ClaimResult> {
        self.answer
            .borrow()
            .as_ref()
            .map(|(answer, _)| answer.clone())
    }

    /// Returns the time from the claim to its answer.
    pub fn latency(&self) -> Option<SpanMs> {
        let answer = self.answer.borrow();
        answer
            .as_ref()
            .map(|(_, at_ms)| at_ms.since(self.started_ms))
    }

    /// Returns a short text of the answer, for tables of cases.
    pub fn text(&self) -> String {
        match self.answer() {
            None => "no answer".into(),
            Some(Ok(ClaimAnswer::Granted)) => "granted".into(),
            Some(Ok(ClaimAnswer::Held { state, .. })) => format!("held {state:?}").to_lowercase(),
            Some(Err(error)) => error.verdict.to_string(),
        }
    }
}

/// A grant as received by the requester.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    pub key: ClaimKey,
    pub request: RequestId,
    pub at_ms: MonoMs,
}

/// A `NotRun` settlement.
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

/// The end of leases that don't expire during a test.
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

    /// Starts another node and returns its index.
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

    /// Assigns a shard to a node under a new fencing number and notifies all live nodes.
    pub fn assign_shard(&mut self, shard: u32, to: usize) {
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

    /// Sets the lease of a shard's last holder to end after `span_ms`.
    pub fn renew_lease_for_ms(&mut self, shard: u32, span_ms: u64) {
        let until_ms = self.now_ms() + SpanMs(span_ms);
        self.renew_lease_until(shard, until_ms);
    }

    /// Renews the lease of a shard's last holder under the same fencing number.
    pub fn renew_lease(&mut self, shard: u32) {
        self.renew_lease_until(shard, FOR_EVER_MS);
    }

    fn renew_lease_until(&mut self, shard: u32, until_ms: MonoMs) {
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

    /// Reports to a node that it lost a shard.
    pub fn revoke_shard(&mut self, shard: u32, node: usize) {
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
    pub fn claim(&mut self, node: usize, key: u128) -> TestClaim {
        let request = self.new_request(node);
        self.claim_as(node, key, request)
    }

    pub fn claim_as(&mut self, node: usize, key: u128, request: RequestId) -> TestClaim {
        let claim = TestClaim {
            request,
            started_ms: self.now_ms(),
            answer: Rc::default(),
        };
        let key = ClaimKey(key);
        let call = ClaimCall {
            key,
            fingerprint: 7,
            request,
        };
        let (slot, timers) = (Rc::clone(&claim.answer), self.timers.clone());
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
            return claim;
        };
        let ret = node.gate.wrap(&mut self.stakker, ret);
        node.gate.pass(&mut self.stakker, move |core| {
            claims.claim(core, call, ret);
        });
        claim
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

    /// Advances the virtual time, event by event.
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

    /// Claims a key and advances the time by 3 s for the answer.
    pub fn claim_and_wait(&mut self, node: usize, key: u128) -> TestClaim {
        let claim = self.claim(node, key);
        self.run_ms(3000);
        claim
    }

    pub fn report(&mut self, node: usize) -> ClaimsReport {
        let slot: Rc<RefCell<Option<ClaimsReport>>> = Rc::default();
        let reported = Rc::clone(&slot);
        let claims = self.nodes[node].claims.clone().expect("alive");
        let ret = Ret::new(move |report| *reported.borrow_mut() = report);
        claims.report(&mut self.stakker, ret);
        self.run_ms(0);
        slot.take().expect("reported")
    }

    /// Reduces a shard's stream from its beginning and checks the invariants.
    pub fn reduced(&self, shard: u32) -> ShardState {
        self.reduced_from(shard, Offset(0))
    }

    /// Reduces a shard's stream from an offset and checks the invariants.
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

    /// Checks that a key was granted to a second request only after the first one was settled
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

    /// Returns the first retained offset and the end of a shard's stream.
    pub fn retained(&self, shard: u32) -> (u64, u64) {
        let stream = StreamName::from(format!("claims-{shard}").as_str());
        let now_ms = WallMs(self.now_ms().0);
        let mut model = self.model.borrow_mut();
        let batch = model.read(now_ms, &stream, Offset(0), Bytes(1));
        (batch.first_retained.0, batch.end.0)
    }

    /// Returns the claims of records at `from` and later that a reader of the whole stream grants.
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
