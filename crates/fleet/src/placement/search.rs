//! The search for the cheapest placement of a prompt, alone or in parts.
//!
//! Terms: a prompt is *long* where reading it alone would take longer than a pass; the *order* is
//! the one that all nodes share. Short prompts are drawn to its front, long ones to its back.
//!
//! Invariants: helpers never include the engine that writes; no placement needs more memory there
//! than it has.

use super::cost::delay;
use super::survey::{Asked, Part, Surveyed};
use super::{Demand, Fleet, Placement, Prices, Refusal, memory};
use crate::engine::EngineSpec;
use crate::ledger::WorkId;
use crate::replicas::ReplicaKey;
use crate::waiting::WaitTimeouts;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

/// The widths that are tried, the writing engine included: an engine takes at most 16 helpers.
const WIDTHS: [usize; 9] = [1, 2, 3, 4, 6, 8, 11, 14, WIDEST];

/// The most engines that read one prompt.
const WIDEST: usize = 17;

/// The most engines that read a short prompt. In parts it gains little time, but a shared part goes
/// ahead of the long prompts that an engine still reads, which a whole prompt waits for. So it is
/// shared only where the engine has more to read than the prompt itself: a helper is busy with it
/// until it is written, and each of its steps takes longer.
const SHORT_WIDEST: usize = 2;

/// What one more engine costs, as a part of the request's weight: each is one more that may fail
/// before the prompt is read.
const WIDTH_WEIGHT: f64 = 0.002;

/// The part of the price that a request pays once it has waited for as long as it may: late is
/// better than not at all, where it doesn't make others late.
const PRESSING_PRICE: f64 = 0.3;

/// The part of its target after which a refused caller is asked back: what it waits for, the end of
/// reading or of writing, takes about as long as the target of its length.
const RETRY_AFTER_PART: f64 = 1.0;

/// The shortest time after which a refused caller is asked back.
const LEAST_RETRY_AFTER_MS: f64 = 300.0;

/// How many engines are compared at each width as helpers: three times what the widest placement
/// takes, so that what differs between widths still finds its engine.
const SHORTLIST_HELPERS: usize = 48;

/// How many are compared as the one that writes.
const SHORTLIST_WRITERS: usize = 16;

/// The width at which engines are ranked for the shortlist: about the middle of those that are tried.
const SHORTLIST_WIDTH: usize = 6;

/// What all widths of one search share.
struct Search<'a> {
    asked: Asked<'a>,
    fleet: &'a Fleet<'a>,
    engines: Vec<Surveyed<'a>>,
}

/// Finds the cheapest placement; the candidates stand in the order that all nodes share.
pub fn place_engine(
    spec: &EngineSpec,
    fleet: &Fleet,
    demand: &Demand,
) -> Result<Placement, Refusal> {
    if fleet.candidates.is_empty() {
        return Err(Refusal::NoReplica);
    }
    let engines = fleet.candidates.len().min(WIDEST);
    if memory::needed(demand).0 > memory::usable(spec).0 * engines as u64 {
        return Err(Refusal::TooLong);
    }
    let asked = Asked::of(spec, fleet, demand);
    let price = price(&asked, fleet);
    // Spares the search below, which requests that wait would else repeat at each look.
    if !demand.partly_answered && price > asked.weight {
        return Err(overloaded(&asked, price));
    }
    let Some((cost, placement)) = Search::open(asked, fleet).best() else {
        let retry_after_ms = retry_after_ms(demand);
        return Err(Refusal::NoRoom { retry_after_ms });
    };
    if !demand.partly_answered && cost + price > allowed(&asked, placement.first_event_ms) {
        return Err(overloaded(&asked, cost + price));
    }
    Ok(placement)
}

/// What the request pays for engine time and a slot that others wait for.
fn price(asked: &Asked<'_>, fleet: &Fleet<'_>) -> f64 {
    let prices = Prices::of(asked.spec, fleet);
    let price = prices.paid(asked.read_ms, asked.weight);
    match asked.demand.wait_expired {
        true => price * PRESSING_PRICE,
        false => price,
    }
}

/// What a placement may cost whose first event comes after `first_event_ms`: a request without time
/// to spare gains nothing by waiting.
fn allowed(asked: &Asked<'_>, first_event_ms: f64) -> f64 {
    let first_event_ms = SpanMs(first_event_ms as u64);
    let target_ms = SpanMs(asked.demand.target_ms as u64);
    let expected = WaitTimeouts::cost_limit_gained(first_event_ms, target_ms);
    asked.weight * (asked.demand.cost_limit + expected).min(1.0)
}

fn overloaded(asked: &Asked<'_>, cost: f64) -> Refusal {
    Refusal::Overloaded {
        cost_pct: (cost / asked.weight * 100.0) as u32,
        in_time: asked.read_ms / WIDEST as f64 <= asked.demand.target_left_ms,
        retry_after_ms: retry_after_ms(asked.demand),
    }
}

fn retry_after_ms(demand: &Demand) -> SpanMs {
    let after_ms = demand.target_ms * RETRY_AFTER_PART;
    SpanMs(after_ms.max(LEAST_RETRY_AFTER_MS) as u64)
}

impl<'a> Search<'a> {
    fn open(asked: Asked<'a>, fleet: &'a Fleet<'a>) -> Self {
        let last = (fleet.candidates.len().max(2) - 1) as f64;
        let engines = fleet.candidates.iter().enumerate();
        let surveyed =
            engines.map(|(at, c)| Surveyed::of(&asked, fleet.draw, *c, at as f64 / last));
        let mut search = Self {
            engines: surveyed.collect(),
            asked,
            fleet,
        };
        if search.asked.is_long() {
            search.shorten();
        }
        search
    }

    /// Keeps the engines that are worth to be compared at every width, in the shared order.
    fn shorten(&mut self) {
        if self.engines.len() <= SHORTLIST_HELPERS + SHORTLIST_WRITERS {
            return;
        }
        let part = Part::of(&self.asked, SHORTLIST_WIDTH);
        let writers = self.ranked(|engine| {
            let rank = engine.writer_rank(&self.asked, &part);
            let writes = engine.writes(&part);
            writes.then_some(rank + self.delays_at(&part, engine))
        });
        let helpers = self.ranked(|engine| {
            let rank = engine.helper_rank(&self.asked, &part);
            engine.helps.then_some(rank + self.delays_at(&part, engine))
        });
        let mut kept = vec![false; self.engines.len()];
        for at in first(writers, SHORTLIST_WRITERS) {
            kept[at] = true;
        }
        for at in first(helpers, SHORTLIST_HELPERS) {
            kept[at] = true;
        }
        let mut kept = kept.into_iter();
        self.engines.retain(|_| kept.next().unwrap_or(false));
    }

    /// The engines that `rank` ranks, by their place.
    fn ranked(&self, rank: impl Fn(&Surveyed<'a>) -> Option<f64>) -> Vec<(f64, usize)> {
        let engines = self.engines.iter().enumerate();
        engines
            .filter_map(|(at, engine)| Some((rank(engine)?, at)))
            .collect()
    }

    fn best(&self) -> Option<(f64, Placement)> {
        let widest = match self.asked.is_long() {
            true => self.engines.len(),
            false => SHORT_WIDEST.min(self.engines.len()),
        };
        let widths = WIDTHS.into_iter().filter(|width| *width <= widest);
        let placed = widths.filter_map(|width| self.at_width(width));
        placed.min_by(|(a, _), (b, _)| a.total_cmp(b))
    }

    /// Whether some engine has more to read than the prompt itself, so that a part of it would
    /// overtake others.
    fn may_overtake(&self) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|engine| engine.candidate.load.backlog_ms >= self.asked.read_ms)
    }

    fn at_width(&self, width: usize) -> Option<(f64, Placement)> {
        let part = Part::of(&self.asked, width);
        if part.shared && !self.asked.is_long() && !self.may_overtake() {
            return None;
        }
        let writer = self.writer(&part)?;
        let load = writer.candidate.load;
        let overtakes = load.backlog_ms >= self.asked.read_ms;
        if part.shared && !self.asked.is_long() && !overtakes {
            return None;
        }
        let helpers = self.helpers(&part, width - 1, writer.candidate.key);
        if helpers.len() + 1 < width {
            return None;
        }
        let candidates = helpers.iter().map(|helper| helper.candidate);
        let candidates: Vec<_> = candidates.collect();
        let (spec, demand) = (self.asked.spec, self.asked.demand);
        let memory = memory::set_aside(spec, demand, &writer.candidate, &candidates)?;
        let first_event_ms = helpers
            .iter()
            .map(|helper| helper.read_by_ms(&part))
            .fold(writer.read_by_ms(&part), f64::max);
        let placement = Placement {
            first: writer.candidate.key,
            helpers: candidates.iter().map(|helper| helper.key).collect(),
            memory,
            part_ms: part.ms,
            first_event_ms,
            writers: load.writers,
            backlog_ms: load.backlog_ms,
        };
        let cost = self.cost(&part, writer, &helpers, first_event_ms);
        Some((cost, placement))
    }

    /// What a placement costs the request itself and others.
    fn cost(
        &self,
        part: &Part,
        writer: &Surveyed<'_>,
        helpers: &[&Surveyed<'_>],
        first_event_ms: f64,
    ) -> f64 {
        let helping: f64 = helpers.iter().map(|helper| helper.hurt(part)).sum();
        let delays = match part.shared {
            true => self.delays(part, helpers.iter().copied().chain([writer])),
            false => 0.0,
        };
        let width = (helpers.len() + 1) as f64;
        let parts = WIDTH_WEIGHT * width + writer.late(&self.asked, first_event_ms);
        writer.writer_cost(&self.asked, part) + helping + delays + self.asked.weight * parts
    }

    /// What parts at these engines cost the prompts that are being read.
    fn delays<'b>(&self, part: &Part, engines: impl Iterator<Item = &'b Surveyed<'b>>) -> f64 {
        let mut ends: FxHashMap<WorkId, f64> = FxHashMap::default();
        for engine in engines {
            let load = engine.candidate.load;
            let added_ms = part.ms * load.pace.slowdown();
            for (id, end_ms) in &load.ends {
                let last_ms = ends.entry(*id).or_default();
                *last_ms = last_ms.max(end_ms + added_ms);
            }
        }
        let ends = ends.iter();
        ends.map(|(id, end_ms)| self.delay(*id, *end_ms)).sum()
    }

    /// What a part at one engine costs the prompts that it reads.
    fn delays_at(&self, part: &Part, engine: &Surveyed<'_>) -> f64 {
        if !part.shared {
            return 0.0;
        }
        let load = engine.candidate.load;
        let added_ms = part.ms * load.pace.slowdown();
        let ends = load.ends.iter();
        ends.map(|(id, end_ms)| self.delay(*id, end_ms + added_ms))
            .sum()
    }

    fn delay(&self, reader: WorkId, end_ms: f64) -> f64 {
        let reader = self.fleet.readers.get(&reader);
        reader.map_or(0.0, |reader| delay(reader, end_ms))
    }

    /// The engine that writes.
    fn writer(&self, part: &Part) -> Option<&Surveyed<'a>> {
        let engines = self.engines.iter();
        let fitting = engines.filter(|engine| engine.writes(part));
        let ranked = fitting.map(|engine| {
            let rank = engine.writer_rank(&self.asked, part);
            (rank + self.delays_at(part, engine), engine)
        });
        let best = ranked.min_by(|(a, _), (b, _)| a.total_cmp(b));
        best.map(|(_, engine)| engine)
    }

    /// The engines that help.
    fn helpers(&self, part: &Part, count: usize, writer: ReplicaKey) -> Vec<&Surveyed<'a>> {
        if count == 0 {
            return Vec::new();
        }
        let ranked = self.ranked(|other| {
            let helps = other.helps && other.candidate.key != writer;
            let rank = || other.helper_rank(&self.asked, part) + self.delays_at(part, other);
            helps.then(rank)
        });
        let mut chosen = first(ranked, count);
        chosen.sort_unstable();
        chosen.into_iter().map(|at| &self.engines[at]).collect()
    }
}

/// The places of the `count` that rank first; equal ones go by their place.
fn first(mut ranked: Vec<(f64, usize)>, count: usize) -> Vec<usize> {
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, |a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        ranked.truncate(count);
    }
    ranked.into_iter().map(|(_, at)| at).collect()
}
