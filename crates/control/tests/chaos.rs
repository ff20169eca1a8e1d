//! Random faults in random order on a small fleet. The invariants are checked after each step.
//! `CONTROL_SEED=n` runs one seed, `CONTROL_SEEDS=n` runs `n` seeds from 0 on.

mod support;

use bluebell_base::prelude::*;
use bluebell_control::Published;
use bluebell_stand_ins::platform::{Fault, Operation, PlatformSettings};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use support::{Fleet, ProcessState, config_text};

const DEFAULT_SEEDS: u64 = 24;
const NODES: usize = 4;
const STEPS: u64 = 60;

type Answer = Rc<RefCell<Option<Result<Published, Error>>>>;

/// An operator's publication and its answer.
struct Publication {
    text: Arc<str>,
    answer: Answer,
}

struct Chaos {
    fleet: Fleet,
    random: ChaCha8Rng,
    publications: Vec<Publication>,
    /// The text of each version, as first seen in force on any node.
    texts: BTreeMap<ConfigVersion, Arc<str>>,
    resumes: Vec<(MonoMs, usize)>,
    down_until_ms: MonoMs,
}

impl Chaos {
    fn new(seed: u64) -> Self {
        let platform = PlatformSettings {
            retention_ms: SpanMs::from_secs(90),
            ..PlatformSettings::default()
        };
        let mut fleet = Fleet::new(seed, platform);
        (0..NODES).for_each(|_| {
            fleet.start_node();
        });
        Self {
            fleet,
            random: ChaCha8Rng::seed_from_u64(seed),
            publications: Vec::new(),
            texts: BTreeMap::new(),
            resumes: Vec::new(),
            down_until_ms: MonoMs(0),
        }
    }

    fn running(&self) -> Vec<usize> {
        let all = 0..self.fleet.nodes.len();
        all.filter(|index| self.fleet.nodes[*index].state == ProcessState::Running)
            .collect()
    }

    fn step(&mut self) {
        match self.random.random_range(0..12) {
            0..=3 => self.publish(),
            4..=6 => self.inject_fault(),
            7..=8 => self.pause(),
            9 => self.replace(),
            10 => self.outage(),
            _ => (),
        }
        let span_ms = self.random.random_range(50..6_000);
        self.fleet.run_ms(span_ms);
        self.end_due_faults();
        self.check();
    }

    fn publish(&mut self) {
        let running = self.running();
        let Some(index) = running.choose(&mut self.random).copied() else {
            return;
        };
        let base = self.fleet.in_force(index).0;
        let text = config_text(1_000 + self.publications.len() as u64);
        let answer = self.fleet.publish(index, base.0, &text);
        self.publications.push(Publication { text, answer });
    }

    fn inject_fault(&mut self) {
        let faults = [
            Fault::LoseAnswer,
            Fault::Duplicate,
            Fault::Slow(SpanMs(3_000)),
            Fault::Slow(SpanMs(9_000)),
            Fault::Freeze,
            Fault::Down,
        ];
        let fault = *faults.choose(&mut self.random).unwrap();
        let operation = *[Operation::Append, Operation::Append, Operation::Read]
            .choose(&mut self.random)
            .unwrap();
        let index = self.random.random_range(0..self.fleet.nodes.len());
        self.fleet.add_fault(index, operation, 2, fault);
    }

    /// Pauses a node for up to two leases. At least one node continues to run.
    fn pause(&mut self) {
        let running = self.running();
        if running.len() < 2 {
            return;
        }
        let index = *running.choose(&mut self.random).unwrap();
        self.fleet.pause(index);
        let span_ms = self.random.random_range(100..22_000);
        self.resumes
            .push((self.fleet.now_ms + SpanMs(span_ms), index));
    }

    /// Replaces a node. At least two other nodes continue to run.
    fn replace(&mut self) {
        let running = self.running();
        if running.len() < 3 {
            return;
        }
        let index = *running.choose(&mut self.random).unwrap();
        self.fleet.kill(index);
        self.fleet.start_node();
    }

    fn outage(&mut self) {
        self.fleet.set_platform_down(true);
        let span_ms = self.random.random_range(100..15_000);
        self.down_until_ms = self.fleet.now_ms + SpanMs(span_ms);
    }

    /// Ends the platform's outage and the pauses that are due to end.
    fn end_due_faults(&mut self) {
        let now_ms = self.fleet.now_ms;
        if now_ms >= self.down_until_ms {
            self.fleet.set_platform_down(false);
        }
        let (due, later) = self.resumes.iter().partition(|(at_ms, _)| now_ms >= *at_ms);
        self.resumes = later;
        let due: Vec<(MonoMs, usize)> = due;
        due.into_iter()
            .for_each(|(_, index)| self.fleet.resume(index));
    }

    /// Checks that no node's version decreased, that no two nodes have different texts of one
    /// version, and that each answer to an operator is correct.
    fn check(&mut self) {
        for index in 0..self.fleet.nodes.len() {
            let versions = self.fleet.versions(index);
            assert!(
                versions.is_sorted_by(|a, b| a < b),
                "node {index}: {versions:?}"
            );
            if self.fleet.nodes[index].state == ProcessState::Running {
                let (version, text) = self.fleet.in_force(index);
                let known = self.texts.entry(version).or_insert(text.clone());
                assert_eq!(*known, text, "{version} has two texts");
                assert_eq!(self.fleet.dump(index).contradictions, 0);
            }
        }
        for publication in &self.publications {
            self.check_answer(publication);
        }
    }

    fn check_answer(&self, publication: &Publication) {
        let answer = publication.answer.borrow();
        let in_force = self
            .texts
            .iter()
            .find(|(_, text)| **text == publication.text);
        let in_force = in_force.map(|(version, _)| *version);
        match &*answer {
            Some(Ok(Published::Accepted { version })) => {
                let text = self.texts.get(version);
                assert!(
                    text.is_none_or(|text| *text == publication.text),
                    "{version}"
                );
                assert!(in_force.is_none_or(|in_force| in_force == *version));
            }
            Some(Ok(Published::Conflict { .. })) => assert_eq!(in_force, None, "conflict in force"),
            Some(Err(error)) if error.verdict == Verdict::NotRun => {
                assert_eq!(in_force, None, "not run, but in force");
            }
            Some(Err(_)) | None => (),
        }
    }

    /// Ends all faults and checks that all nodes agree a minute later and that each duty is held.
    fn recover(&mut self) {
        self.down_until_ms = MonoMs(0);
        self.fleet.model.borrow_mut().faults = Default::default();
        for (_, index) in std::mem::take(&mut self.resumes) {
            self.fleet.resume(index);
        }
        self.fleet.run_ms(60_000);
        self.check();
        let running = self.running();
        let highest = self.fleet.in_force(running[0]).0;
        for index in &running {
            assert_eq!(self.fleet.in_force(*index).0, highest);
            assert_eq!(self.fleet.dump(*index).log_version, Some(highest));
        }
        for publication in &self.publications {
            if let Some(Ok(Published::Accepted { version })) = &*publication.answer.borrow() {
                assert!(*version <= highest, "{version} was accepted, but is lost");
            }
        }
        // If no node that knows the leases and no checkpoint is left, the nodes reset the leases
        // after a minute and a half at most, and then wait for the duration of a lease.
        let end_ms = self.fleet.now_ms + SpanMs(60_000);
        let duties = self.fleet.settings.duties();
        let all_held = |fleet: &mut Fleet| {
            let held = |duty| fleet.running_holders(duty).len() == 1;
            duties.iter().all(|duty| held(*duty))
        };
        assert!(self.fleet.run_until(end_ms, all_held));
    }
}

fn run_seed(seed: u64) {
    let mut chaos = Chaos::new(seed);
    chaos.fleet.run_ms(8_000);
    for _ in 0..STEPS {
        chaos.step();
    }
    chaos.recover();
}

fn number_from(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Operators publish while nodes are paused, die and are replaced, while the platform has outages
/// and its answers are lost, late, duplicated or missing, and while records expire.
#[test]
fn random_faults() {
    let seeds = match number_from("CONTROL_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number_from("CONTROL_SEEDS").unwrap_or(DEFAULT_SEEDS),
    };
    for seed in seeds {
        let result = std::panic::catch_unwind(|| run_seed(seed));
        assert!(result.is_ok(), "failed with CONTROL_SEED={seed}");
    }
}
