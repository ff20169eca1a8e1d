//! The search for the cheapest placement of a prompt, alone or in parts.
//!
//! Invariants: helpers never include the first engine; no placement needs more memory at the first
//! engine than it has.

use super::cost::{hurt, lateness, pause_loss};
use super::{Candidate, Demand, Placement, Refusal};
use crate::engine::EngineSpec;
use crate::ledger::weight;
use bluebell_base::prelude::*;

/// The widths that are tried, the first engine included: an engine takes at most 16 helpers.
const WIDTHS: [usize; 9] = [1, 2, 3, 4, 6, 8, 11, 14, 17];

/// Prompts whose reading takes less than this are read alone: in parts they would gain less than a
/// pass.
const ALONE_MS: f64 = 90.0;

/// How much the shared order counts, as a part of the request's weight. It only has to decide
/// between engines that serve equally well.
const ORDER_WEIGHT: f64 = 0.04;

/// What one more engine costs, as a part of the request's weight: each is one more that may fail
/// before the prompt is read.
const WIDTH_WEIGHT: f64 = 0.004;

/// How much of a prompt's own writing pauses count: the backlog it meets passes before most events.
const OWN_PAUSE_PART: f64 = 0.3;

/// The shortest and longest time after which a refused caller is asked back.
const RETRY_AFTER_MS: (f64, f64) = (200.0, 2_000.0);

struct Scored<'a> {
    candidate: &'a Candidate,
    /// How much less fit than others it is, for this request.
    rank: f64,
    /// What a part there costs the writers.
    hurt: f64,
    /// When it has read the part.
    done_ms: f64,
}

/// Finds the cheapest placement; `candidates` stand in the order that all nodes share.
pub fn place_engine(
    spec: &EngineSpec,
    candidates: &[Candidate],
    demand: &Demand,
) -> Result<Placement, Refusal> {
    if candidates.is_empty() {
        return Err(Refusal::NoReplica);
    }
    let needed = demand.prompt_tokens.0 + demand.answer_tokens.0;
    if demand.prompt_tokens.0 >= spec.memory_tokens.0 {
        return Err(Refusal::TooLong);
    }
    let read_ms = spec.read_ms(demand.prompt_tokens);
    let own_weight = weight(demand.prompt_tokens);
    let mut best: Option<(f64, Placement)> = None;
    for width in WIDTHS {
        if width > candidates.len() || (width > 1 && read_ms < ALONE_MS) {
            break;
        }
        let Some((cost, placement)) =
            place_at_width(spec, candidates, demand, width, read_ms, needed)
        else {
            continue;
        };
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, placement));
        }
    }
    let Some((cost, placement)) = best else {
        return Err(overloaded(candidates));
    };
    if cost > own_weight {
        return Err(overloaded(candidates));
    }
    Ok(placement)
}

fn overloaded(candidates: &[Candidate]) -> Refusal {
    let least_ms = candidates
        .iter()
        .map(|c| c.load.backlog_ms)
        .fold(f64::INFINITY, f64::min);
    let (shortest, longest) = RETRY_AFTER_MS;
    Refusal::Overloaded {
        retry_after_ms: SpanMs(least_ms.clamp(shortest, longest) as u64),
    }
}

fn place_at_width(
    spec: &EngineSpec,
    candidates: &[Candidate],
    demand: &Demand,
    width: usize,
    read_ms: f64,
    needed: u64,
) -> Option<(f64, Placement)> {
    let part_ms = read_ms / width as f64;
    let own_weight = weight(demand.prompt_tokens);
    let mut scored = score(spec, candidates, demand, part_ms, read_ms >= ALONE_MS);
    scored.sort_unstable_by(|a, b| a.rank.total_cmp(&b.rank));
    let first_at = scored.iter().position(|s| {
        let load = &s.candidate.load;
        load.writers < spec.slots && load.context_tokens.0 + needed <= spec.memory_tokens.0
    })?;
    let first = scored.remove(first_at);
    let helpers = &scored[..width - 1];
    let done_ms = helpers
        .iter()
        .map(|s| s.done_ms)
        .fold(first.done_ms, f64::max);
    let load = &first.candidate.load;
    let own_pass_ms = load.pass_ms(spec, 0.0) * first.candidate.pace;
    let passes = (demand.prompt_tokens.0 / width as u64) / spec.pass_tokens().0.max(1);
    let writes = load.writers > 0;
    let passing_ms = match writes {
        true => own_pass_ms * (0.5 + passes as f64),
        false => 0.0,
    };
    let first_event_ms = done_ms + passing_ms + own_pass_ms;
    let mut cost = own_weight
        * lateness(
            first_event_ms,
            demand.target_left_ms,
            demand.deadline_left_ms,
        )
        + own_weight * WIDTH_WEIGHT * width as f64;
    let reading_ms = load.backlog_ms * OWN_PAUSE_PART;
    cost += own_weight * pause_loss(own_pass_ms + reading_ms, demand.gap_ms.0 as f64);
    cost += std::iter::once(&first)
        .chain(helpers)
        .map(|s| s.hurt)
        .sum::<f64>();
    let placement = Placement {
        first: first.candidate.key,
        helpers: helpers.iter().map(|s| s.candidate.key).collect(),
        part_ms,
        first_event_ms,
    };
    Some((cost, placement))
}

/// Scores each engine by what reading a part there costs its writers, by when it is done, and by
/// its place in the shared order.
fn score<'a>(
    spec: &EngineSpec,
    candidates: &'a [Candidate],
    demand: &Demand,
    part_ms: f64,
    long: bool,
) -> Vec<Scored<'a>> {
    let own_weight = weight(demand.prompt_tokens);
    let last = candidates.len().max(2) - 1;
    let score_one = |(at, candidate): (usize, &'a Candidate)| {
        let pace = candidate.pace;
        let load = &candidate.load;
        let done_ms = load.backlog_ms + part_ms * pace;
        let place = at as f64 / last as f64;
        let order = if long { 1.0 - place } else { place };
        let crowding = f64::from(load.writers) / f64::from(spec.slots.max(1));
        let full = if crowding >= 1.0 { 0.5 } else { 0.0 };
        let late = lateness(done_ms, demand.target_left_ms, demand.deadline_left_ms);
        let waiting = done_ms / demand.target_left_ms.max(1.0) * ORDER_WEIGHT;
        let hurt = hurt(spec, load, part_ms, pace);
        let rank = hurt + own_weight * (late + ORDER_WEIGHT * order + waiting + full);
        Scored {
            candidate,
            rank,
            hurt,
            done_ms,
        }
    };
    candidates.iter().enumerate().map(score_one).collect()
}
