//! The search for the cheapest placement of a prompt, alone or in parts.
//!
//! Terms: a prompt is *long* where reading it alone would take longer than a pass; the *order* is
//! the one that all nodes share. Short prompts are drawn to its front, long ones to its back.
//!
//! Invariants: helpers never include the engine that writes; no placement needs more memory there
//! than it has.

use super::cost::{delay, hurt, lateness, pause_loss};
use super::{Candidate, Demand, Fleet, Placement, Prices, Refusal, memory, spread};
use crate::engine::EngineSpec;
use crate::ledger::{Load, Reader, weight};
use crate::patience::Patience;
use crate::replicas::ReplicaKey;
use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

/// The widths that are tried, the writing engine included: an engine takes at most 16 helpers.
const WIDTHS: [usize; 9] = [1, 2, 3, 4, 6, 8, 11, 14, WIDEST];

/// The most engines that read one prompt.
const WIDEST: usize = 17;

/// The most engines that read a short prompt. In parts it gains little time, but a shared part goes
/// ahead of the long prompts that an engine still reads, which a whole prompt waits for. So it is
/// shared only where the engine has more to read than the prompt itself: a helper is busy with it
/// until it is written, and each of its steps takes longer. On a day of 69 engines 2,147 of 7,680
/// tries had one helper, and some 240 of them were turned away by helpers that had too many.
const SHORT_WIDEST: usize = 2;

/// Prompts whose reading takes less than this are short: in more parts they would gain less than a
/// pass.
const ALONE_MS: f64 = 90.0;

/// How much the shared order counts, as a part of the request's weight. It only has to decide
/// between engines that serve about equally well.
const ORDER_WEIGHT: f64 = 0.08;

/// How much the time to the end of the own part counts, as a part of the request's weight, at its
/// whole target.
const WAITING_WEIGHT: f64 = 0.05;

/// What each writer of an engine counts against its helping, as a part of the request's weight.
const WRITER_WEIGHT: f64 = 0.002;

/// What one more engine costs, as a part of the request's weight: each is one more that may fail
/// before the prompt is read.
const WIDTH_WEIGHT: f64 = 0.002;

/// The slots of an engine that are left free while others have more: nodes place at the same moment
/// and learn of each other's work some ms later, and what finds no slot waits for one to end.
const SPARE_SLOTS: u32 = 2;

/// What a spare slot costs, as a part of the request's weight.
const SPARE_WEIGHT: f64 = 0.15;

/// How many requests fewer than its slots an engine is asked to help: it helps until they are
/// written, refuses at its slots, and nodes learn of each other's work some ms later.
const SPARE_HELPED: u32 = 3;

/// What memory set aside elsewhere counts against an engine as the one that writes, as a part of the
/// request's weight: each piece is one more that may be refused or lost.
const ELSEWHERE_WEIGHT: f64 = 0.2;

/// How many requests more than its slots an engine gets: it keeps a queue of its own.
const QUEUED: u32 = 2;

/// How much of a request's own pauses count: the backlog it meets passes before most events.
const OWN_PAUSE_PART: f64 = 0.3;

/// The part of the price that a request pays once it has waited for as long as it may: late is
/// better than not at all, where it doesn't make others late.
const PRESSING_PRICE: f64 = 0.3;

/// The part of its longest answer that a request is taken to write: callers ask for more than they
/// mostly get.
const WRITTEN_PART: f64 = 0.6;

/// The part of its target after which a refused caller is asked back: what it waits for, the end of
/// reading or of writing, takes about as long as the target of its length.
const RETRY_AFTER_PART: f64 = 1.0;

/// The shortest time after which a refused caller is asked back.
const LEAST_RETRY_AFTER_MS: f64 = 300.0;

/// What all widths of one search share.
struct Search<'a> {
    spec: &'a EngineSpec,
    fleet: &'a Fleet,
    demand: &'a Demand,
    read_ms: f64,
    own_weight: f64,
    /// The requests whose prompts an engine reads.
    readers_at: FxHashMap<ReplicaKey, Vec<&'a Reader>>,
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
    let search = Search {
        spec,
        fleet,
        demand,
        read_ms: spec.read_ms(demand.prompt_tokens),
        own_weight: weight(demand.prompt_tokens),
        readers_at: readers_at(fleet),
    };
    let price = match demand.pressing {
        true => search.price() * PRESSING_PRICE,
        false => search.price(),
    };
    // Spares the search below, which requests that wait would else repeat at each look.
    if !demand.begun && price > search.own_weight {
        return Err(search.overloaded(price));
    }
    let Some((cost, placement)) = search.best() else {
        let retry_after_ms = search.retry_after_ms();
        return Err(Refusal::NoRoom { retry_after_ms });
    };
    let allowed = search.allowed(placement.first_event_ms);
    if !demand.begun && cost + price > allowed {
        return Err(search.overloaded(cost + price));
    }
    Ok(placement)
}

fn readers_at(fleet: &Fleet) -> FxHashMap<ReplicaKey, Vec<&Reader>> {
    let mut at: FxHashMap<ReplicaKey, Vec<&Reader>> = FxHashMap::default();
    for reader in &fleet.readers {
        for (key, _) in &reader.ends {
            at.entry(*key).or_default().push(reader);
        }
    }
    at
}

impl Search<'_> {
    /// Whether it may be read by many: reading it alone takes long, or no engine can hold it.
    fn is_long(&self) -> bool {
        self.read_ms >= ALONE_MS || self.is_huge()
    }

    /// Whether no engine can hold it alone, so that memory is set aside at helpers.
    fn is_huge(&self) -> bool {
        memory::needed(self.demand) > memory::usable(self.spec)
    }

    /// What a placement may cost whose first event comes after `first_event_ms`: a request without
    /// time to spare gains nothing by waiting.
    fn allowed(&self, first_event_ms: f64) -> f64 {
        let first_event_ms = SpanMs(first_event_ms as u64);
        let target_ms = SpanMs(self.demand.target_ms as u64);
        let expected = Patience::readiness_gained(first_event_ms, target_ms);
        self.own_weight * (self.demand.readiness + expected).min(1.0)
    }

    fn best(&self) -> Option<(f64, Placement)> {
        let widest = match self.is_long() {
            true => self.fleet.candidates.len(),
            false => SHORT_WIDEST.min(self.fleet.candidates.len()),
        };
        let widths = WIDTHS.into_iter().filter(|width| *width <= widest);
        let placed = widths.filter_map(|width| self.at_width(width));
        placed.min_by(|(a, _), (b, _)| a.total_cmp(b))
    }

    fn price(&self) -> f64 {
        let prices = Prices::of(self.spec, self.fleet);
        prices.read_ms * self.read_ms + prices.slot * self.own_weight
    }

    fn overloaded(&self, cost: f64) -> Refusal {
        Refusal::Overloaded {
            cost_pct: (cost / self.own_weight * 100.0) as u32,
            retry_after_ms: self.retry_after_ms(),
        }
    }

    fn retry_after_ms(&self) -> SpanMs {
        let after_ms = self.demand.target_ms * RETRY_AFTER_PART;
        SpanMs(after_ms.max(LEAST_RETRY_AFTER_MS) as u64)
    }

    /// The part of the request's weight that a first event after `first_event_ms` costs it, where
    /// this engine writes.
    fn first_lateness(&self, first_event_ms: f64, writer: &Candidate) -> f64 {
        let stride = f64::from(self.spec.stride.max(1));
        let passes = self.demand.answer_tokens.0 as f64 * WRITTEN_PART / stride;
        let pass_ms = self.spec.pass_ms(1, self.demand.prompt_tokens);
        let writing_ms = passes * pass_ms * writer.load.pace.times();
        lateness(first_event_ms, writing_ms, self.demand)
    }

    /// What its own lateness costs where this engine writes. An answer is late for a late first event
    /// or for a long pause, and no later for both.
    fn late(&self, first_event_ms: f64, writer: &Candidate) -> f64 {
        let load = &writer.load;
        let pass_ms = load.pass_ms(self.spec, load.backlog_ms * OWN_PAUSE_PART);
        let pause = pause_loss(pass_ms, self.demand.gap_ms.0 as f64);
        self.own_weight * self.first_lateness(first_event_ms, writer).max(pause)
    }

    fn at_width(&self, width: usize) -> Option<(f64, Placement)> {
        let part_ms = self.read_ms / width as f64;
        let shared = width > 1;
        let (writer_cost, writer) = self.writer(part_ms, shared)?;
        let overtakes = writer.load.backlog_ms >= self.read_ms;
        if shared && !self.is_long() && !overtakes {
            return None;
        }
        let helpers = self.helpers(part_ms, width - 1, writer.key);
        if helpers.len() + 1 < width {
            return None;
        }
        let memory = memory::set_aside(self.spec, self.demand, writer, &helpers)?;
        let keys: Vec<ReplicaKey> = helpers.iter().map(|c| c.key).collect();
        let first_event_ms = helpers
            .iter()
            .map(|c| self.read_by_ms(c, part_ms, true))
            .fold(self.read_by_ms(writer, part_ms, shared), f64::max);
        let helping: f64 = helpers
            .iter()
            .map(|c| hurt(self.spec, &c.load, part_ms))
            .sum();
        let readers: Vec<&Candidate> = std::iter::once(writer).chain(helpers).collect();
        let delays = match shared {
            true => self.delays(part_ms, &readers),
            false => 0.0,
        };
        let width_cost = self.own_weight * WIDTH_WEIGHT * width as f64;
        let cost = writer_cost + helping + delays + width_cost + self.late(first_event_ms, writer);
        let placement = Placement {
            first: writer.key,
            helpers: keys,
            memory,
            part_ms,
            first_event_ms,
            writers: writer.load.writers,
            backlog_ms: writer.load.backlog_ms,
        };
        Some((cost, placement))
    }

    /// What parts at these engines cost the prompts that are being read.
    fn delays(&self, part_ms: f64, engines: &[&Candidate]) -> f64 {
        let added_ms = |key| {
            let engine = engines.iter().find(|c| c.key == key);
            engine.map_or(0.0, |c| part_ms * c.load.pace.times())
        };
        let readers = self.fleet.readers.iter();
        readers.map(|r| delay(r, added_ms)).sum()
    }

    /// What a part at one engine costs the prompts that it reads.
    fn delays_at(&self, part_ms: f64, engine: &Candidate) -> f64 {
        let readers = self.readers_at.get(&engine.key).into_iter().flatten();
        let own_ms = part_ms * engine.load.pace.times();
        let added_ms = |key| if key == engine.key { own_ms } else { 0.0 };
        readers.map(|r| delay(r, added_ms)).sum()
    }

    /// When an engine has read the part: a shared part goes ahead of what waits there, the prompt
    /// of one engine goes behind it.
    ///
    /// An engine that writes goes by passes: what arrives waits for the end of the one under way,
    /// and its first event comes at the end of its own, after all that is read in that.
    fn read_by_ms(&self, candidate: &Candidate, part_ms: f64, shared: bool) -> f64 {
        let load = &candidate.load;
        let times = load.pace.times();
        let own_ms = part_ms * times;
        if load.writers == 0 {
            let waiting_ms = if shared { 0.0 } else { load.backlog_ms };
            return waiting_ms + own_ms;
        }
        let pass_ms = load.pass_ms(self.spec, 0.0);
        let pass_tokens = self.spec.pass_tokens().0.max(1) as f64;
        let beside_ms = load
            .backlog_ms
            .min(pass_tokens * 1000.0 / self.spec.read_per_s.max(1.0) * times);
        let waiting_ms = if shared { beside_ms } else { load.backlog_ms };
        let tokens = part_ms / self.read_ms.max(1.0) * self.demand.prompt_tokens.0 as f64;
        let passes = 1.0 + (tokens / pass_tokens).floor();
        let under_way_ms = (pass_ms + beside_ms) / 2.0;
        under_way_ms + waiting_ms + own_ms + passes * pass_ms + self.queue_ms(load, pass_ms)
    }

    /// How long a request waits for a slot: writers end one after the other, each after as many
    /// passes as its answer has tokens for.
    fn queue_ms(&self, load: &Load, pass_ms: f64) -> f64 {
        let slots = self.spec.slots.max(1);
        let ahead = (load.writers + 1).saturating_sub(slots);
        let stride = f64::from(self.spec.stride.max(1));
        let passes = self.demand.answer_tokens.0 as f64 / stride;
        f64::from(ahead) * passes * pass_ms / f64::from(slots)
    }

    /// The engine that writes, with what that costs beside delays and the request's own lateness.
    fn writer(&self, part_ms: f64, shared: bool) -> Option<(f64, &Candidate)> {
        let candidates = &self.fleet.candidates;
        let last = candidates.len().max(2) - 1;
        let needed = memory::needed(self.demand);
        let fits = |c: &Candidate| {
            let free = memory::free(self.spec, c);
            c.load.writers < self.spec.slots + QUEUED && (free >= needed || self.is_huge())
        };
        let cost = |at: usize, candidate: &Candidate| {
            let load = &candidate.load;
            let place = at as f64 / last as f64;
            let order = if self.read_ms > self.demand.gap_ms.0 as f64 {
                1.0 - place
            } else {
                place
            };
            let crowding = (load.writers + 1 + SPARE_SLOTS).saturating_sub(self.spec.slots);
            let elsewhere = match self.is_huge() {
                true => 1.0 - memory::free(self.spec, candidate).0 as f64 / needed.0.max(1) as f64,
                false => 0.0,
            };
            let parts = order * ORDER_WEIGHT
                + f64::from(crowding) * SPARE_WEIGHT
                + elsewhere.max(0.0) * ELSEWHERE_WEIGHT;
            hurt(self.spec, load, part_ms) + self.own_weight * parts
        };
        let rank = |at: usize, candidate: &Candidate| {
            let done_ms = self.read_by_ms(candidate, part_ms, shared);
            let late = self.late(done_ms, candidate);
            let spread = match self.is_long() {
                true => 0.0,
                false => self.own_weight * spread::cost(self.fleet, candidate.key),
            };
            cost(at, candidate) + late + spread + self.waiting(candidate, part_ms, shared)
        };
        let fitting = candidates.iter().enumerate().filter(|(_, c)| fits(c));
        let best = fitting.min_by(|(a, x), (b, y)| rank(*a, x).total_cmp(&rank(*b, y)));
        best.map(|(at, candidate)| (cost(at, candidate), candidate))
    }

    /// What the time until the engine has read the part counts between engines.
    fn waiting(&self, candidate: &Candidate, part_ms: f64, shared: bool) -> f64 {
        let done_ms = self.read_by_ms(candidate, part_ms, shared);
        let share = done_ms / self.demand.target_left_ms.max(1.0);
        let backlog = candidate.load.backlog_ms / self.demand.target_left_ms.max(1.0);
        let waiting = WAITING_WEIGHT * (share.min(4.0) + backlog.min(4.0));
        let delays = match shared {
            true => self.delays_at(part_ms, candidate),
            false => 0.0,
        };
        self.own_weight * waiting + delays
    }

    /// The engines that help.
    fn helpers(&self, part_ms: f64, count: usize, writer: ReplicaKey) -> Vec<&Candidate> {
        if count == 0 {
            return Vec::new();
        }
        let rank = |c: &Candidate| {
            let writers = f64::from(c.load.writers) * WRITER_WEIGHT * self.own_weight;
            let memory = match self.is_huge() {
                true => c.load.memory_tokens.0 as f64 / self.spec.memory_tokens.0.max(1) as f64,
                false => 0.0,
            };
            let memory = memory * ELSEWHERE_WEIGHT * self.own_weight;
            let hurt = hurt(self.spec, &c.load, part_ms);
            let done_ms = self.read_by_ms(c, part_ms, true);
            let late = self.own_weight * self.first_lateness(done_ms, c);
            late + hurt + writers + memory + self.waiting(c, part_ms, true)
        };
        let helps = |c: &Candidate| c.load.helping + SPARE_HELPED <= self.spec.slots;
        let candidates = self.fleet.candidates.iter();
        let others = candidates.filter(|c| c.key != writer && helps(c));
        let mut ranked: Vec<(f64, &Candidate)> = others.map(|c| (rank(c), c)).collect();
        ranked.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        ranked.truncate(count);
        ranked.into_iter().map(|(_, c)| c).collect()
    }
}
