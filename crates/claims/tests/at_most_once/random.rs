//! Random runs: nodes die, pause and resume, shards change owners, the log and the network have
//! faults, callers retry through other nodes. A failing seed is printed. `CLAIMS_SEED=n` replays
//! one seed, and `CLAIMS_SEEDS=n` sets the number of seeds.

use crate::rig::{Rig, TestClaim};
use bluebell_base::prelude::*;
use bluebell_peers::Settlement;
use bluebell_peers::fakes::NetFaults;
use bluebell_stand_ins::platform::{Fault, FaultRule, Faults, Operation};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 300;
const STEPS: usize = 120;
const NODES: usize = 4;
const MAX_NODES: usize = 12;
const KEYS: u128 = 6;
const SHARDS: u32 = 2;

struct Run {
    rig: Rig,
    rng: ChaCha8Rng,
    claims: Vec<(usize, u128, TestClaim)>,
}

impl Run {
    fn new(seed: u64) -> Self {
        let rig = Rig::with(
            NODES,
            seed,
            |settings| settings.shards = SHARDS,
            |platform| platform.appends = PerSecond(50.0),
        );
        Self {
            rig,
            rng: ChaCha8Rng::seed_from_u64(seed),
            claims: Vec::new(),
        }
    }

    fn node(&mut self) -> usize {
        loop {
            let node = self.rng.random_range(0..self.rig.nodes.len());
            if self.rig.is_alive(node) {
                return node;
            }
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..50 => self.claim(),
            50..60 => self.settle(),
            60..70 => self.change_owner(),
            70..76 => {
                let node = self.node();
                self.rig.pause(node);
            }
            76..84 => {
                let node = self.node();
                self.rig.resume(node);
            }
            84..87 => self.replace(),
            87..94 => self.log_fault(),
            94..98 => self.net_faults(),
            _ => self.clear_faults(),
        }
        let longest_ms = if self.rng.random_bool(0.8) { 30 } else { 4000 };
        let span_ms = self.rng.random_range(0..longest_ms);
        self.rig.run_ms(span_ms);
    }

    fn claim(&mut self) {
        let (node, key) = (self.node(), self.rng.random_range(0..KEYS));
        let claim = self.rig.claim(node, key);
        self.claims.push((node, key, claim));
    }

    /// Settles a granted request, as run or not run with equal probability.
    fn settle(&mut self) {
        if self.claims.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.claims.len());
        let (node, key, claim) = &self.claims[index];
        if claim.text() != "granted" || !self.rig.is_alive(*node) {
            return;
        }
        let settlement = match self.rng.random_bool(0.5) {
            true => Settlement::NotRun,
            false => Settlement::Ran,
        };
        let (node, key, request) = (*node, *key, claim.request);
        self.claims.swap_remove(index);
        self.rig.settle(node, key, request, settlement);
    }

    fn change_owner(&mut self) {
        let (shard, node) = (self.rng.random_range(0..SHARDS), self.node());
        match self.rng.random_range(0..10) {
            0 | 1 => self.rig.revoke_shard(shard, node),
            2..5 => self.regain(shard),
            _ => self.rig.assign_shard(shard, node),
        }
    }

    /// Lets a lease expire and renews it under the same fencing number.
    fn regain(&mut self, shard: u32) {
        for node in 0..self.rig.nodes.len() {
            self.rig.revoke_shard(shard, node);
        }
        let span_ms = self.rng.random_range(0..50);
        self.rig.run_ms(span_ms);
        self.rig.renew_lease(shard);
    }

    fn replace(&mut self) {
        if self.rig.nodes.len() >= MAX_NODES {
            return;
        }
        let node = self.node();
        self.rig.kill(node);
        self.rig.start();
    }

    fn log_fault(&mut self) {
        let late_ms = SpanMs(self.rng.random_range(1..3000));
        let fault = match self.rng.random_range(0..6) {
            0 => Fault::Down,
            1 => Fault::LoseAnswer,
            2 => Fault::Duplicate,
            3 => Fault::Freeze,
            _ => Fault::Slow(late_ms),
        };
        let operation = match self.rng.random_bool(0.7) {
            true => Operation::Append,
            false => Operation::Read,
        };
        self.rig.model.borrow_mut().faults.rules.push(FaultRule {
            operation: Some(operation),
            client: None,
            calls: self.rng.random_range(1..4),
            fault,
        });
        if self.rng.random_bool(0.1) {
            self.rig.model.borrow_mut().faults.down = true;
        }
    }

    fn net_faults(&mut self) {
        self.rig.net.set_faults(NetFaults {
            max_latency_ms: SpanMs(self.rng.random_range(1..2500)),
            lost_calls: self.rng.random_range(0.0..0.3),
            lost_answers: self.rng.random_range(0.0..0.3),
            duplicated_calls: self.rng.random_range(0.0..0.5),
            ..NetFaults::default()
        });
    }

    fn clear_faults(&mut self) {
        self.rig.model.borrow_mut().faults = Faults::default();
        self.rig.net.set_faults(NetFaults::default());
    }

    /// Checks that a reader that begins at any offset does not consider a key free if it can read
    /// the holder's claim, even if it can't see the epoch record that fences out an earlier claim.
    fn check_suffixes(&mut self, shard: u32) -> Result<(), String> {
        let (first, end) = self.rig.retained(shard);
        let whole = self.rig.reduced(shard);
        for _ in 0..20 {
            let from = self.rng.random_range(first..=end);
            let suffix = self.rig.reduced_from(shard, Offset(from));
            let readable = self.rig.grants_after(shard, Offset(from));
            for (key, entry) in whole.table().iter() {
                let held = entry.held_state().is_some() && readable.contains(&(key, entry.request));
                let known = suffix
                    .table()
                    .get(key, suffix.log_ms(), SpanMs(u64::MAX))
                    .is_some_and(|entry| entry.held_state().is_some());
                if held && !known {
                    return Err(format!("from {from}: {key} {entry} looks free"));
                }
            }
        }
        Ok(())
    }

    /// Removes all faults and lets the nodes recover.
    fn finish(&mut self) {
        self.clear_faults();
        for node in 0..self.rig.nodes.len() {
            if self.rig.is_alive(node) {
                self.rig.resume(node);
            }
        }
        for shard in 0..SHARDS {
            let node = self.node();
            self.rig.assign_shard(shard, node);
        }
        self.rig.run_ms(30_000);
    }
}

fn run(seed: u64) -> Result<usize, String> {
    let mut run = Run::new(seed);
    for _ in 0..STEPS {
        run.step();
        run.rig.check()?;
    }
    run.finish();
    run.rig.check()?;
    for (node, key, claim) in &run.claims {
        if run.rig.is_alive(*node) && claim.answer().is_none() {
            return Err(format!("node {node}, key {key}: no answer"));
        }
    }
    for shard in 0..SHARDS {
        let contested = run.rig.reduced(shard).counts().contested;
        if contested > 0 {
            return Err(format!("shard {shard}: {contested} contested claims"));
        }
        run.check_suffixes(shard)?;
        let node = run.node();
        let fresh = run.rig.claim_and_wait(node, 1000 + u128::from(shard));
        if fresh.text() != "granted" {
            return Err(format!("shard {shard} does not serve: {}", fresh.text()));
        }
    }
    let granted = run.rig.grants.borrow().len();
    Ok(granted)
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn no_key_runs_twice() {
    if let Some(seed) = number("CLAIMS_SEED") {
        run(seed).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        return;
    }
    let mut granted = 0;
    for seed in 0..number("CLAIMS_SEEDS").unwrap_or(SEEDS) {
        granted += run(seed).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
    assert!(
        granted > 100,
        "only {granted} grants: the runs test nothing"
    );
    println!("{granted} grants");
}
