//! The schedule: every request of a plan with its instant, made in advance from the plan's seed.
//!
//! Invariants: instants ascend; the same plan gives the same schedule; sequence numbers are dense
//! from 0 and name a request's prompt and idempotency key.

use crate::plan::{ClassPlan, LoadPlan};
use bluebell_base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What a request of the schedule is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model's answer; may be run again.
    Completion,
    /// A model's answer under an idempotency key; must run at most once.
    KeyedCompletion,
    /// A call to a plain service, under an idempotency key.
    Service,
    /// A call to an engine without the system between.
    Direct,
}

/// One request of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// Its number in the schedule.
    pub sequence: u64,
    /// When it arrives, in microseconds from the start.
    pub at_us: u64,
    /// What it is.
    pub kind: Kind,
    /// The prompt's length.
    pub prompt_tokens: Tokens,
    /// The class by the prompt's length, as a position in the plan's classes; not for keyed ones.
    pub class: usize,
    /// The account, as a position in the plan's accounts.
    pub account: usize,
}

/// All requests of a plan, in the order of arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule(pub Vec<Planned>);

impl Schedule {
    /// Makes the schedule of a checked plan.
    pub fn of(plan: &LoadPlan) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut at_us = 0.0;
        let mut planned = Vec::with_capacity(plan.requests as usize);
        for sequence in 0..plan.requests {
            at_us += poisson_gap_us(&mut rng, plan.rate);
            planned.push(draw(plan, &mut rng, sequence, at_us as u64));
        }
        Self(planned)
    }

    /// How many of its requests go through the system.
    pub fn offered(&self) -> u64 {
        let through = self.0.iter().filter(|planned| planned.kind != Kind::Direct);
        through.count() as u64
    }
}

/// The time to the next arrival of a Poisson process.
fn poisson_gap_us(rng: &mut impl Rng, rate: PerSecond) -> f64 {
    // 1 - u lies in (0, 1], so the logarithm is finite.
    let u: f64 = rng.random();
    -(1.0 - u).ln() / rate.0 * 1e6
}

fn draw(plan: &LoadPlan, rng: &mut impl Rng, sequence: u64, at_us: u64) -> Planned {
    let drawn = plan.mix.sample(rng);
    let prompt_tokens = plan.max_prompt_tokens.map_or(drawn, |max| drawn.min(max));
    let account = rng.random_range(0..plan.accounts.len());
    // Each number is drawn whether or not it is used, so that a share can change without changing
    // the rest of the schedule.
    let keyed = rng.random_bool(plan.keyed.as_ref().map_or(0.0, |k| k.share));
    let service = rng.random_bool(plan.service.as_ref().map_or(0.0, |s| s.share));
    let direct = rng.random_bool(plan.direct_share);
    let kind = match (service, direct, keyed) {
        (true, _, _) => Kind::Service,
        (_, true, _) => Kind::Direct,
        (_, _, true) => Kind::KeyedCompletion,
        _ => Kind::Completion,
    };
    Planned {
        sequence,
        at_us,
        kind,
        prompt_tokens,
        class: class_of(&plan.classes, prompt_tokens),
        account,
    }
}

/// The first class that takes a prompt of that length.
fn class_of(classes: &[ClassPlan], prompt_tokens: Tokens) -> usize {
    let fits = |class: &ClassPlan| class.up_to_tokens.is_none_or(|max| prompt_tokens <= max);
    classes.iter().position(fits).unwrap_or(classes.len() - 1)
}
