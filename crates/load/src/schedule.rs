//! Generates the schedule: every request of a plan with its arrival time, computed in advance from
//! the plan's seed.
//!
//! Invariants: arrival times ascend. The same plan gives the same schedule. Sequence numbers are
//! contiguous from 0 and determine a request's prompt and idempotency key.

use crate::plan::{ClassPlan, LoadPlan};
use bluebell_base::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The kind of a scheduled request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A completion that may run more than once.
    Completion,
    /// A completion with an idempotency key, which must run at most once.
    KeyedCompletion,
    /// A call to a plain service with an idempotency key.
    Service,
    /// A call to an engine without the system in between.
    Direct,
}

/// One request of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// The request's number in the schedule.
    pub sequence: u64,
    /// The arrival time, in microseconds from the start of the run.
    pub at_us: u64,
    /// The kind of request.
    pub kind: Kind,
    /// The prompt's length.
    pub prompt_tokens: Tokens,
    /// The index in the plan's classes, by prompt length. Keyed completions don't use it.
    pub class: usize,
    /// The index in the plan's accounts.
    pub account: usize,
}

/// All requests of a plan in order of arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule(pub Vec<Planned>);

impl Schedule {
    /// Generates the schedule of a plan that passed its check.
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

    /// Returns the number of requests that go through the system.
    pub fn offered(&self) -> u64 {
        let through = self.0.iter().filter(|planned| planned.kind != Kind::Direct);
        through.count() as u64
    }
}

/// Draws the time to the next arrival of a Poisson process, in microseconds.
fn poisson_gap_us(rng: &mut impl Rng, rate: PerSecond) -> f64 {
    // 1 - u lies in (0, 1], so the logarithm is finite.
    let u: f64 = rng.random();
    -(1.0 - u).ln() / rate.0 * 1e6
}

fn draw(plan: &LoadPlan, rng: &mut impl Rng, sequence: u64, at_us: u64) -> Planned {
    let drawn = plan.mix.sample(rng);
    let prompt_tokens = plan.max_prompt_tokens.map_or(drawn, |max| drawn.min(max));
    let account = rng.random_range(0..plan.accounts.len());
    // Each number is drawn even if it isn't used, so that a change of a share leaves the rest of
    // the schedule unchanged.
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

/// Returns the index of the first class that accepts a prompt of this length.
fn class_of(classes: &[ClassPlan], prompt_tokens: Tokens) -> usize {
    let fits = |class: &ClassPlan| class.up_to_tokens.is_none_or(|max| prompt_tokens <= max);
    classes.iter().position(fits).unwrap_or(classes.len() - 1)
}
