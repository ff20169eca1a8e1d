//! Search for the cheapest placement of a prompt, on one engine or in parts on several.
//!
//! Terms: a prompt is *long* if reading it on one engine takes two passes or more, or if no engine
//! can hold it alone; the *order* is the one that all nodes share; the *width* is the number of
//! engines that read a prompt. Short prompts are preferred at the front of the order, long ones at
//! its end.
//!
//! Invariants: helpers never include the writing engine. No placement needs more memory at an
//! engine than the engine has.

use super::cost::reader_delay_cost;
use super::estimate::{EngineEstimate, PromptPart, RequestProfile};
use super::{Demand, Fleet, Placement, Prices, Refusal, memory};
use crate::engine::EngineSpec;
use crate::ledger::WorkId;
use crate::replicas::ReplicaKey;
use crate::waiting::WaitTimeouts;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

/// Widths that are tried, including the writing engine: an engine accepts at most 16 helpers.
const WIDTHS: [usize; 9] = [1, 2, 3, 4, 6, 8, 11, 14, MAX_WIDTH];

/// Highest number of engines that read one prompt.
const MAX_WIDTH: usize = 17;

/// Highest number of engines that read a short prompt. Sharing it gains little time, but a shared
/// part overtakes the long prompts that an engine still has to read, while a whole prompt waits for
/// them. So a short prompt is shared only if the engine has more to read than the prompt itself: a
/// helper is occupied until the answer is written, and each of its steps takes longer.
const SHORT_MAX_WIDTH: usize = 2;

/// Cost of each engine of a placement, as a share of the request's weight: each one may fail before
/// the prompt is read.
const WIDTH_COST: f64 = 0.002;

/// Factor on the price once a request has waited for as long as it may: a late answer is better
/// than none, where it doesn't make others late.
const EXPIRED_PRICE_FACTOR: f64 = 0.3;

/// Share of its weight that the placement of a held request may cost, however long it has waited:
/// what a request may cost that has just arrived.
const HELD_COST_LIMIT: f64 = 0.25;

/// Time after which a refused caller is asked to retry, in targets. The reading or writing that it
/// waits for takes about as long as the target of its length.
const RETRY_AFTER_TARGETS: f64 = 1.0;

/// Shortest time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER_MS: f64 = 300.0;

/// Number of engines that are compared as helpers at each width: three times what the widest
/// placement takes, so that each width still finds the engines that suit it.
const SHORTLIST_HELPERS: usize = 48;

/// Number of engines that are compared as the writing engine.
const SHORTLIST_WRITERS: usize = 16;

/// Width at which engines are ranked for the shortlist: about the middle of the widths that are
/// tried.
const SHORTLIST_WIDTH: usize = 6;

/// Data that all widths of one search share.
struct Search<'a> {
    request: RequestProfile<'a>,
    fleet: &'a Fleet<'a>,
    engines: Vec<EngineEstimate<'a>>,
}

/// Finds the cheapest placement. The candidates are in the order that all nodes share.
///
/// # Errors
/// [`Refusal`] if no placement fits, or if the cheapest one costs more than the request may cost
/// now.
pub fn place_engine(
    spec: &EngineSpec,
    fleet: &Fleet,
    demand: &Demand,
) -> Result<Placement, Refusal> {
    if fleet.candidates.is_empty() {
        return Err(Refusal::NoReplica);
    }
    let engines = fleet.candidates.len().min(MAX_WIDTH);
    if memory::needed(demand).0 > memory::usable(spec).0 * engines as u64 {
        return Err(Refusal::TooLong);
    }
    let request = RequestProfile::of(spec, fleet, demand);
    let price = price(&request, fleet);
    // Avoids the search below, which a waiting request would otherwise repeat at each retry.
    if !demand.partly_answered && price > request.weight {
        return Err(overloaded(&request, price));
    }
    let Some((cost, placement)) = Search::new(request, fleet).best() else {
        let retry_after_ms = retry_after_ms(demand);
        return Err(Refusal::NoRoom { retry_after_ms });
    };
    let is_too_dear = cost + price > max_cost(&request, placement.first_event_ms);
    let is_held_and_late = demand.held && placement.first_event_ms > demand.target_left_ms;
    if !demand.partly_answered && (is_too_dear || is_held_and_late) {
        return Err(overloaded(&request, cost + price));
    }
    Ok(placement)
}

/// Returns the price that the request pays for engine time and a slot that others wait for.
fn price(request: &RequestProfile<'_>, fleet: &Fleet<'_>) -> f64 {
    let prices = Prices::of(request.spec, fleet);
    let price = prices.paid(request.read_ms, request.weight);
    match request.demand.wait_expired && !request.demand.held {
        true => price * EXPIRED_PRICE_FACTOR,
        false => price,
    }
}

/// Returns the highest cost of a placement whose first event comes after `first_event_ms`. A
/// request without time to spare gains nothing by waiting. One that returns when it was promised
/// has waited already.
fn max_cost(request: &RequestProfile<'_>, first_event_ms: f64) -> f64 {
    if request.demand.held {
        return request.weight * HELD_COST_LIMIT;
    }
    if request.demand.returned {
        return request.weight;
    }
    let first_event_ms = SpanMs(first_event_ms as u64);
    let target_ms = SpanMs(request.demand.target_ms as u64);
    let expected = WaitTimeouts::cost_limit_gained(first_event_ms, target_ms);
    request.weight * (request.demand.cost_limit + expected).min(1.0)
}

/// Returns the refusal of a request whose cheapest placement has this cost.
fn overloaded(request: &RequestProfile<'_>, cost: f64) -> Refusal {
    Refusal::Overloaded {
        cost_pct: (cost / request.weight * 100.0) as u32,
        in_time: request.read_ms / MAX_WIDTH as f64 <= request.demand.target_left_ms,
        retry_after_ms: retry_after_ms(request.demand),
    }
}

/// Returns the time after which the caller is asked to retry.
fn retry_after_ms(demand: &Demand) -> SpanMs {
    let after_ms = demand.target_ms * RETRY_AFTER_TARGETS;
    SpanMs(after_ms.max(MIN_RETRY_AFTER_MS) as u64)
}

impl<'a> Search<'a> {
    /// Estimates all engines for the request.
    fn new(request: RequestProfile<'a>, fleet: &'a Fleet<'a>) -> Self {
        let engines = fleet.candidates.iter().enumerate();
        let estimates = engines.map(|(at, candidate)| {
            let order_position = fleet.order_position(at);
            EngineEstimate::of(&request, fleet.draw, *candidate, order_position)
        });
        let mut search = Self {
            engines: estimates.collect(),
            request,
            fleet,
        };
        if search.request.is_long() {
            search.keep_shortlist();
        }
        search
    }

    /// Keeps only the engines that are worth comparing at every width, in the shared order.
    fn keep_shortlist(&mut self) {
        if self.engines.len() <= SHORTLIST_HELPERS + SHORTLIST_WRITERS {
            return;
        }
        let part = PromptPart::of(&self.request, SHORTLIST_WIDTH);
        let writers = self.ranked(|engine| {
            let rank = engine.writing_rank(&self.request, &part);
            let can_write_part = engine.can_write_part(&part);
            can_write_part.then_some(rank + self.delay_cost_at(&part, engine))
        });
        let helpers = self.ranked(|engine| {
            let rank = engine.helping_rank(&self.request, &part);
            engine
                .can_help
                .then_some(rank + self.delay_cost_at(&part, engine))
        });
        let mut kept = vec![false; self.engines.len()];
        for at in lowest_ranked(writers, SHORTLIST_WRITERS) {
            kept[at] = true;
        }
        for at in lowest_ranked(helpers, SHORTLIST_HELPERS) {
            kept[at] = true;
        }
        let mut kept = kept.into_iter();
        self.engines.retain(|_| kept.next().unwrap_or(false));
    }

    /// Returns the engines for which `rank` returns a rank, as pairs of rank and index.
    fn ranked(&self, rank: impl Fn(&EngineEstimate<'a>) -> Option<f64>) -> Vec<(f64, usize)> {
        let engines = self.engines.iter().enumerate();
        engines
            .filter_map(|(at, engine)| Some((rank(engine)?, at)))
            .collect()
    }

    /// Returns the cheapest placement over all widths, with its cost.
    fn best(&self) -> Option<(f64, Placement)> {
        let max_width = match self.request.is_long() {
            true => self.engines.len(),
            false => SHORT_MAX_WIDTH.min(self.engines.len()),
        };
        let widths = WIDTHS.into_iter().filter(|width| *width <= max_width);
        let placed = widths.filter_map(|width| self.at_width(width));
        placed.min_by(|(a, _), (b, _)| a.total_cmp(b))
    }

    /// Returns true if some engine has more to read than the prompt itself, so that a part of the
    /// prompt would overtake others.
    fn has_long_backlog(&self) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|engine| engine.candidate.load.backlog_ms >= self.request.read_ms)
    }

    /// Returns a placement on `width` engines and its cost, or `None` if there is none or the
    /// prompt shouldn't be shared.
    fn at_width(&self, width: usize) -> Option<(f64, Placement)> {
        let part = PromptPart::of(&self.request, width);
        if part.shared && !self.request.is_long() && !self.has_long_backlog() {
            return None;
        }
        let writing_engine = self.writing_engine(&part)?;
        let load = writing_engine.candidate.load;
        let overtakes = load.backlog_ms >= self.request.read_ms;
        if part.shared && !self.request.is_long() && !overtakes {
            return None;
        }
        let helpers = self.helpers(&part, width - 1, writing_engine.candidate.key);
        if helpers.len() + 1 < width {
            return None;
        }
        let candidates = helpers.iter().map(|helper| helper.candidate);
        let candidates: Vec<_> = candidates.collect();
        let (spec, demand) = (self.request.spec, self.request.demand);
        let memory = memory::reservations(spec, demand, &writing_engine.candidate, &candidates)?;
        let first_event_ms = helpers
            .iter()
            .map(|helper| helper.read_by_ms(&part))
            .fold(writing_engine.read_by_ms(&part), f64::max);
        let placement = Placement {
            first: writing_engine.candidate.key,
            helpers: candidates.iter().map(|helper| helper.key).collect(),
            memory,
            part_ms: part.ms,
            first_event_ms,
            writers: load.writers,
            backlog_ms: load.backlog_ms,
        };
        let cost = self.cost(&part, writing_engine, &helpers, first_event_ms);
        Some((cost, placement))
    }

    /// Returns the cost of a placement to the request itself and to others.
    fn cost(
        &self,
        part: &PromptPart,
        writing_engine: &EngineEstimate<'_>,
        helpers: &[&EngineEstimate<'_>],
        first_event_ms: f64,
    ) -> f64 {
        let helping: f64 = helpers.iter().map(|helper| helper.pause_cost(part)).sum();
        let delay_cost = match part.shared {
            true => self.delay_cost(part, helpers.iter().copied().chain([writing_engine])),
            false => 0.0,
        };
        let width = (helpers.len() + 1) as f64;
        let shares = WIDTH_COST * width + writing_engine.own_loss(&self.request, first_event_ms);
        writing_engine.writing_cost(&self.request, part)
            + helping
            + delay_cost
            + self.request.weight * shares
    }

    /// Returns the cost of parts at these engines to the prompts that are being read.
    fn delay_cost<'b>(
        &self,
        part: &PromptPart,
        engines: impl Iterator<Item = &'b EngineEstimate<'b>>,
    ) -> f64 {
        let mut read_ends: FxHashMap<WorkId, f64> = FxHashMap::default();
        for engine in engines {
            let load = engine.candidate.load;
            let added_ms = part.ms * load.pace.slowdown();
            for (id, end_ms) in &load.read_ends {
                let last_ms = read_ends.entry(*id).or_default();
                *last_ms = last_ms.max(end_ms + added_ms);
            }
        }
        let read_ends = read_ends.iter();
        read_ends
            .map(|(id, end_ms)| self.reader_delay_cost(*id, *end_ms))
            .sum()
    }

    /// Returns the cost of a part at one engine to the prompts that it reads.
    fn delay_cost_at(&self, part: &PromptPart, engine: &EngineEstimate<'_>) -> f64 {
        if !part.shared {
            return 0.0;
        }
        let load = engine.candidate.load;
        let added_ms = part.ms * load.pace.slowdown();
        let read_ends = load.read_ends.iter();
        read_ends
            .map(|(id, end_ms)| self.reader_delay_cost(*id, end_ms + added_ms))
            .sum()
    }

    /// Returns the cost to a prompt that is being read if its last part is read after `end_ms`.
    fn reader_delay_cost(&self, reader: WorkId, end_ms: f64) -> f64 {
        let reader = self.fleet.reading_requests.get(&reader);
        reader.map_or(0.0, |reader| reader_delay_cost(reader, end_ms))
    }

    /// Returns the best engine to write the answer.
    fn writing_engine(&self, part: &PromptPart) -> Option<&EngineEstimate<'a>> {
        let engines = self.engines.iter();
        let fitting = engines.filter(|engine| engine.can_write_part(part));
        let ranked = fitting.map(|engine| {
            let rank = engine.writing_rank(&self.request, part);
            (rank + self.delay_cost_at(part, engine), engine)
        });
        let best = ranked.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, engine)| engine)
    }

    /// Returns the `count` best helpers, or fewer if there aren't as many.
    fn helpers(
        &self,
        part: &PromptPart,
        count: usize,
        writing_engine: ReplicaKey,
    ) -> Vec<&EngineEstimate<'a>> {
        if count == 0 {
            return Vec::new();
        }
        let ranked = self.ranked(|other| {
            let can_help = other.can_help && other.candidate.key != writing_engine;
            let rank = || other.helping_rank(&self.request, part) + self.delay_cost_at(part, other);
            can_help.then(rank)
        });
        let mut chosen = lowest_ranked(ranked, count);
        chosen.sort_unstable();
        chosen.into_iter().map(|at| &self.engines[at]).collect()
    }
}

/// Returns the indices of the `count` lowest ranks. Equal ranks are ordered by index.
fn lowest_ranked(mut ranked: Vec<(f64, usize)>, count: usize) -> Vec<usize> {
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, |a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        ranked.truncate(count);
    }
    ranked.into_iter().map(|(_, at)| at).collect()
}
