//! Measures the time of one decision for several numbers of engines: updating the loads, collecting
//! the candidates and the search. Prints median and 99th percentile in microseconds.
//!
//! ```text
//! cargo run --release -p bluebell-fleet --example decision_cost
//! ```

use bluebell_base::prelude::*;
use bluebell_fleet::placement::Fleet;
use bluebell_fleet::prelude::*;
use std::time::Instant;

/// Sizes of the measured fleets, in engines.
const ENGINES: [u32; 5] = [23, 69, 195, 400, 1_800];

/// Number of short requests that each engine writes, and how many of eight engines read a long
/// prompt: a fleet about as busy as in the users' worst phases.
const WRITERS_PER_ENGINE: u32 = 4;
const READING_OF_EIGHT: u32 = 5;

/// Number of decisions that are timed for each size and length.
const DECISIONS: usize = 400;

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 10,
        memory_tokens: Tokens(405_000),
        step_ms: 1.31,
        per_writer_ms: 0.000917,
        per_context_k_ms: 0.00213,
        read_per_s: 154_000.0,
        pairs_per_m_ms: 0.162,
        chunk_tokens: Tokens(2_048),
        stride: 53,
        hop_ms: 0.1,
    }
}

fn work(first: u32, helpers: Vec<ReplicaKey>, prompt_tokens: u64, stage: Stage) -> Work {
    let engines = 1 + helpers.len();
    Work {
        first: ReplicaKey(first),
        memory: Vec::new(),
        stage,
        placed_ms: MonoMs(100_000),
        prompt_tokens: Tokens(prompt_tokens),
        part_ms: spec().read_ms(Tokens(prompt_tokens)) / engines as f64,
        gap_ms: SpanMs(300),
        due_ms: MonoMs(104_000),
        helpers,
    }
}

fn ledger(engines: u32) -> Ledger {
    let mut ledger = Ledger::default();
    let mut sequence = 0;
    let mut put = |work: Work| {
        sequence += 1;
        let id = WorkId {
            owner: OwnerId(u64::from(sequence % 50)),
            sequence,
        };
        ledger.put(id, work, MonoMs(100_000));
    };
    for engine in 0..engines {
        for _ in 0..WRITERS_PER_ENGINE {
            put(work(engine, Vec::new(), 5_000, Stage::Writing));
        }
        if engine % 8 == 0 {
            let helpers = (1..READING_OF_EIGHT).map(|n| ReplicaKey((engine + n) % engines));
            put(work(engine, helpers.collect(), 260_000, Stage::Reading));
        }
    }
    ledger
}

fn demand(prompt_tokens: u64, target_ms: f64) -> Demand {
    Demand {
        prompt_tokens: Tokens(prompt_tokens),
        answer_tokens: Tokens(1_300),
        gap_ms: SpanMs(300),
        target_ms,
        target_left_ms: target_ms,
        caller_timeout_left_ms: target_ms * 4.0,
        deadline_left_ms: 15_000.0,
        cost_limit: 1.0,
        partly_answered: false,
        wait_expired: true,
        returned: false,
        held: false,
    }
}

/// Returns the median and the 99th percentile of the time of a decision, in microseconds.
fn timed(engines: u32, demand: &Demand) -> (f64, f64) {
    let mut ledger = ledger(engines);
    let paces = Paces::default();
    let mut took_us: Vec<f64> = (0..DECISIONS)
        .map(|n| {
            let now_ms = MonoMs(100_000 + n as u64 / 4);
            let start = Instant::now();
            ledger.set_paces(&paces, now_ms);
            let loads = ledger.loads(now_ms);
            let keys = (0..engines).map(ReplicaKey);
            let fleet = Fleet::of(keys, loads, 195, n as u64);
            let placed = place_engine(&spec(), &fleet, demand);
            let us = start.elapsed().as_secs_f64() * 1e6;
            std::hint::black_box(placed).ok();
            us
        })
        .collect();
    took_us.sort_by(f64::total_cmp);
    (took_us[DECISIONS / 2], took_us[DECISIONS * 99 / 100])
}

fn main() {
    println!("engines  tokens   median us   p99 us");
    for engines in ENGINES {
        for (tokens, target_ms) in [(5_000, 400.0), (45_000, 1_500.0), (260_000, 4_000.0)] {
            let (median_us, p99_us) = timed(engines, &demand(tokens, target_ms));
            println!("{engines:7}  {tokens:6}  {median_us:10.1}  {p99_us:7.1}");
        }
    }
}
