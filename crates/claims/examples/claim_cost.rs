//! Measures the costs of claims: processor time, log appends by load, added latency, bytes and
//! memory. All values except processor time are measured in virtual time and are reproducible.
//!
//! `cargo run --release -p bluebell-claims --example claim_cost`

use bluebell_base::prelude::*;
use bluebell_claims::records::{BatchRecord, ClaimOp, Record, SettleOp, encode};
use bluebell_claims::reduce::ShardState;
use bluebell_claims::{ClaimSettings, Claims, ClaimsHandle, ClaimsParts, ClaimsPort, ShardOwner};
use bluebell_peers::fakes::FakeNet;
use bluebell_peers::{
    CallKind, ClaimAnswer, ClaimCall, ClaimKey, Incoming, PeerCall, SettleCall, Settlement,
};
use bluebell_platform::LogRecord;
use bluebell_stand_ins::platform::{FakePlatform, FakeSettings, PlatformModel, PlatformSettings};
use bluebell_timers::Timers;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stakker::{Fwd, Ret, Stakker};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

const SEED: u64 = 7;

fn call(rng: &mut ChaCha8Rng, sequence: u64) -> ClaimCall {
    ClaimCall {
        key: ClaimKey(rng.random()),
        fingerprint: rng.random(),
        request: RequestId {
            incarnation: Incarnation(rng.random()),
            sequence,
        },
    }
}

fn settle(call: &ClaimCall) -> SettleCall {
    SettleCall {
        key: call.key,
        request: call.request,
        settlement: Settlement::Ran,
    }
}

/// Returns the batches of one shard, each with claims and the settlements of the previous batch.
fn batches(count: usize, claims: usize) -> Vec<LogRecord> {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let mut before: Vec<ClaimCall> = Vec::new();
    let mut records = Vec::new();
    for index in 0..count {
        let first = (index * claims) as u64;
        let calls: Vec<ClaimCall> = (0..claims as u64)
            .map(|i| call(&mut rng, first + i + 1_000_000))
            .collect();
        let batch = BatchRecord {
            fencing: Fencing(123_456),
            round: 1,
            batch: index as u64 + 1,
            settles: before.iter().map(|c| SettleOp::from(&settle(c))).collect(),
            claims: calls.iter().map(ClaimOp::from).collect(),
        };
        records.push(LogRecord {
            offset: Offset(index as u64),
            appended_ms: WallMs(index as u64 * 100),
            body: encode(&Record::Batch(batch)),
        });
        before = calls;
    }
    records
}

fn log_bytes() {
    println!("\nBytes on the log per claim with its settlement, by claims in a batch");
    println!("claims  bytes/claim");
    for claims in [1, 2, 5, 9, 20, 88] {
        let records = batches(200, claims);
        let bytes: usize = records[1..].iter().map(|record| record.body.len()).sum();
        println!("{claims:>6} {:>12.1}", bytes as f64 / (199 * claims) as f64);
    }
}

fn reduction() {
    println!("\nReduction and memory: one shard, one hour at 87.5 claims/s, 9 a batch");
    let records = batches(35_000, 9);
    let bytes: usize = records.iter().map(|record| record.body.len()).sum();
    let mut state = ShardState::new(SpanMs::from_secs(3600));
    let started = Instant::now();
    for record in &records {
        state.apply(record);
    }
    let took = started.elapsed();
    let keys = state.table().len();
    println!("{keys} keys from {:.1} MB of log", bytes as f64 / 1e6);
    println!(
        "reduced in {:.0} ms of processor time, {:.2} us a key",
        took.as_secs_f64() * 1e3,
        took.as_secs_f64() * 1e6 / keys as f64
    );
    let table_bytes = state.table().memory_bytes().0;
    println!(
        "table {:.1} MB, {:.0} bytes a key",
        table_bytes as f64 / 1e6,
        table_bytes as f64 / keys as f64
    );
}

/// An owner and a node that claims, on a fake log and a fake network.
struct Bench {
    stakker: Stakker,
    origin: Instant,
    now: Instant,
    timers: Timers,
    model: Rc<RefCell<PlatformModel>>,
    owner: ClaimsHandle,
    caller: ClaimsHandle,
    stats: Arc<bluebell_peers::PeerStats>,
    taken_ms: Rc<RefCell<Vec<f64>>>,
    refused: Rc<RefCell<u64>>,
}

impl Bench {
    fn open(log_latency_ms: u64, append_interval_ms: u64) -> Self {
        let now = Instant::now();
        let timers = Timers::open(now);
        let mut stakker = Stakker::new(now);
        let platform = PlatformSettings::default();
        let model = Rc::new(RefCell::new(PlatformModel::new(platform, WallMs(0))));
        let net = FakeNet::open(&timers, SpanMs(2000), SEED);
        let address = [Address::from("10.0.0.1:1"), Address::from("10.0.0.2:1")];
        let ports = [net.port(&address[0]), net.port(&address[1])];
        let stats = ports[1].stats();
        let mut handles = Vec::new();
        for (index, port) in ports.into_iter().enumerate() {
            let fake = FakeSettings {
                latency_ms: SpanMs(log_latency_ms),
                ..FakeSettings::default()
            };
            let settings = ClaimSettings {
                shards: 1,
                append_interval_ms: SpanMs(append_interval_ms),
                ..ClaimSettings::default()
            };
            let parts = ClaimsParts {
                settings,
                timers: timers.clone(),
                log: FakePlatform::open(&model, &timers, "bench", fake),
                peers: port,
                incarnation: Incarnation(index as u64 + 1),
                seed: SEED,
            };
            let claims = Claims::spawn(&mut stakker, parts);
            net.register(&address[index], incoming(&mut stakker, &claims));
            handles.push(claims);
        }
        let [owner, caller] = [handles.remove(0), handles.remove(0)];
        let forever_ms = MonoMs(u64::MAX / 4);
        owner.shard_held(&mut stakker, ShardId(0), Fencing(1), forever_ms);
        let held = ShardOwner {
            shard: ShardId(0),
            incarnation: Incarnation(1),
            address: address[0].clone(),
        };
        caller.set_owner(&mut stakker, held);
        let mut bench = Self {
            stakker,
            origin: now,
            now,
            timers,
            model,
            owner,
            caller,
            stats,
            taken_ms: Rc::default(),
            refused: Rc::default(),
        };
        bench.run_until(1000.0);
        bench
    }

    fn run_until(&mut self, at_ms: f64) {
        let end = self.origin + Duration::from_secs_f64(at_ms / 1e3);
        self.stakker.run(self.now, false);
        while let Some(at) = self.stakker.next_expiry().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.stakker.run(self.now, false);
        }
        self.now = end;
        self.stakker.run(self.now, false);
    }

    /// Claims a key, and settles it as run if it is granted.
    fn claim(&mut self, at_ms: f64, call: ClaimCall) {
        let (taken, timers) = (Rc::clone(&self.taken_ms), self.timers.clone());
        let (deferrer, port) = (self.stakker.deferrer(), self.caller.clone());
        let refused = Rc::clone(&self.refused);
        let settlement = settle(&call);
        let ret = Ret::new(move |answer: Option<Result<ClaimAnswer, Error>>| {
            deferrer.defer(move |stakker| {
                if answer != Some(Ok(ClaimAnswer::Granted)) {
                    *refused.borrow_mut() += 1;
                    return;
                }
                let now_ms = timers.now_ms(stakker);
                taken.borrow_mut().push(now_ms.0 as f64 - at_ms);
                port.settle(stakker, settlement);
            });
        });
        self.caller.clone().claim(&mut self.stakker, call, ret);
    }
}

fn incoming(stakker: &mut Stakker, claims: &ClaimsHandle) -> Fwd<Incoming> {
    let (claims, deferrer) = (claims.clone(), stakker.deferrer());
    Fwd::new(move |incoming: Incoming| {
        let claims = claims.clone();
        deferrer.defer(move |stakker| match incoming.call {
            PeerCall::Claim(call) => claims.incoming_claim(stakker, call, incoming.ret),
            PeerCall::Settle(call) => claims.incoming_settle(stakker, call, incoming.ret),
            _ => drop(incoming.ret),
        });
    })
}

fn load(log_latency_ms: u64, interval_ms: u64, rate: f64, span_s: f64) {
    let mut bench = Bench::open(log_latency_ms, interval_ms);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let before = bench.model.borrow().stats();
    let (mut at_ms, mut sequence) = (1000.0, 0);
    let end_ms = 1000.0 + span_s * 1e3;
    let started = Instant::now();
    loop {
        at_ms += -(1.0 - rng.random::<f64>()).ln() / rate * 1e3;
        if at_ms > end_ms {
            break;
        }
        bench.run_until(at_ms);
        sequence += 1;
        let call = call(&mut rng, sequence);
        bench.claim(at_ms, call);
    }
    bench.run_until(end_ms + 3000.0);
    let took = started.elapsed();
    let after = bench.model.borrow().stats();
    let mut taken = bench.taken_ms.take();
    taken.sort_by(f64::total_cmp);
    let at = |share: f64| taken[((taken.len() - 1) as f64 * share) as usize];
    let mean = taken.iter().sum::<f64>() / taken.len() as f64;
    let granted = taken.len() as f64;
    println!(
        "{log_latency_ms:>6} {rate:>8} {:>9.2} {:>9.1} {mean:>8.1} {:>7.1} {:>7.1} {:>9.1} {:>8}",
        (after.appends - before.appends) as f64 / span_s,
        (after.appended_bytes.0 - before.appended_bytes.0) as f64 / granted,
        at(0.5),
        at(0.99),
        took.as_secs_f64() * 1e6 / granted,
        bench.refused.borrow(),
    );
}

fn loads() {
    println!(
        "\nOne shard by load: a claim through a node that does not own it, then its settlement"
    );
    println!("The log's latency one way; 1 ms between nodes; 100 ms between appends");
    println!("log ms claims/s appends/s log B/clm  mean ms  p50 ms  p99 ms cpu us/cl  refused");
    for log_latency_ms in [2, 10, 50] {
        for rate in [0.2, 1.0, 5.0, 20.0, 87.5, 350.0, 1400.0] {
            let span_s = (5000.0_f64 / rate).clamp(60.0, 2000.0);
            load(log_latency_ms, 100, rate, span_s);
        }
    }
}

/// Measures 1,400 claims/s over different numbers of shards, with 160 appends/s in total.
fn shards() {
    println!(
        "\nOne of so many shards at 1,400 claims/s in all, interval set for 160 appends/s in all"
    );
    println!("Columns as above; the log 10 ms away");
    for (shards, interval_ms) in [(4, 25), (8, 50), (16, 100), (32, 200), (64, 400)] {
        print!("{shards:>3} ");
        load(10, interval_ms, 1400.0 / f64::from(shards), 60.0);
    }
}

/// Measures the log with one append per claim.
fn one_append_per_claim() {
    println!("\nEach claim an append of its own; the log takes 300 appends/s");
    println!("claims/s  taken/s  refused share  B/s read by every node that must know all claims");
    for rate in [50.0, 150.0, 350.0, 1400.0] {
        let mut model = PlatformModel::new(PlatformSettings::default(), WallMs(0));
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let stream = StreamName::from("claims");
        let (mut at_ms, mut claims) = (0.0, 0u64);
        while at_ms < 60_000.0 {
            at_ms += -(1.0 - rng.random::<f64>()).ln() / rate * 1e3;
            claims += 1;
            let call = call(&mut rng, claims + 1_000_000);
            let record = encode(&Record::Batch(BatchRecord {
                fencing: Fencing(123_456),
                round: 1,
                batch: claims,
                settles: Vec::new(),
                claims: vec![ClaimOp::from(&call)],
            }));
            // A refused append is counted by the model.
            let _ = model.append(WallMs(at_ms as u64), &stream, &[record], false);
        }
        let stats = model.stats();
        println!(
            "{rate:>8} {:>8.0} {:>14.2} {:>10.0}",
            stats.appends as f64 / 60.0,
            stats.refused_appends as f64 / claims as f64,
            stats.appended_bytes.0 as f64 / 60.0
        );
    }
}

fn outage() {
    let mut bench = Bench::open(2, 100);
    bench.model.borrow_mut().faults.down = true;
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let calls_before = appends_tried(&mut bench);
    for second in 0..3600 {
        let at_ms = 2000.0 + f64::from(second) * 1000.0;
        bench.run_until(at_ms);
        let call = call(&mut rng, u64::from(second as u32) + 1);
        bench.claim(at_ms, call);
    }
    bench.run_until(3_610_000.0);
    let appends = appends_tried(&mut bench) - calls_before;
    println!(
        "\nAn hour without the log, a claim a second: {} refused, {} appends tried",
        bench.refused.borrow(),
        appends
    );
}

fn appends_tried(bench: &mut Bench) -> u64 {
    let slot = Rc::new(RefCell::new(0));
    let own = Rc::clone(&slot);
    let ret = Ret::new(move |report: Option<bluebell_claims::ClaimsReport>| {
        let owned = report.map(|report| report.owned).unwrap_or_default();
        *own.borrow_mut() = owned.iter().map(|shard| shard.appends).sum();
    });
    bench.owner.report(&mut bench.stakker, ret);
    bench.stakker.run(bench.now, false);
    slot.take()
}

fn wire() {
    println!(
        "\nBodies between nodes, as counted on the caller's side (without HTTP headers and MAC)"
    );
    let mut bench = Bench::open(2, 100);
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    for sequence in 0..100 {
        let call = call(&mut rng, sequence + 1_000_000);
        let at_ms = 1000.0 + 200.0 * sequence as f64;
        bench.run_until(at_ms);
        bench.claim(at_ms, call);
    }
    bench.run_until(40_000.0);
    for kind in [CallKind::Claim, CallKind::Settle] {
        let count = bench.stats.count(kind);
        let bytes = count.sent_bytes.0 as f64 / count.calls_sent as f64;
        println!("{kind:?}: {bytes:.0} bytes a call");
    }
}

fn main() {
    log_bytes();
    reduction();
    wire();
    loads();
    shards();
    one_append_per_claim();
    outage();
}
