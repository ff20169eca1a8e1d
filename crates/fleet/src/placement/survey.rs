//! What one engine is worth to a request, as far as it doesn't depend on how many engines share the
//! reading.
//!
//! Load pattern: a long prompt is tried at nine widths on hundreds of engines, at each look again
//! while it waits.
//!
//! Invariants: a surveyed engine is as its load was at the survey.

use super::cost::{Hurt, lateness, pause_loss};
use super::{Candidate, Demand, Fleet, memory, spread};
use crate::engine::EngineSpec;
use crate::ledger::{Load, weight};
use bluebell_base::prelude::*;

/// How much the shared order counts, as a part of the request's weight. It only has to decide
/// between engines that serve about equally well.
const ORDER_WEIGHT: f64 = 0.08;

/// How much the time to the end of the own part counts, as a part of the request's weight, at its
/// whole target.
const WAITING_WEIGHT: f64 = 0.05;

/// What each writer of an engine counts against its helping, as a part of the request's weight.
const WRITER_WEIGHT: f64 = 0.002;

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

/// The part of its longest answer that a request is taken to write: callers ask for more than they
/// mostly get.
const WRITTEN_PART: f64 = 0.6;

/// The targets up to which an engine's time counts between engines.
const LONGEST_TARGETS: f64 = 4.0;

/// What a request asks of all engines.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked<'a> {
    pub spec: &'a EngineSpec,
    pub demand: &'a Demand,
    /// The time that one sound engine takes to read it alone.
    pub read_ms: f64,
    /// What it counts.
    pub weight: f64,
    /// What the draw between engines that serve equally well counts at most, as a part of that.
    pub spread: f64,
}

impl<'a> Asked<'a> {
    /// What a request asks of the engines of a fleet.
    pub fn of(spec: &'a EngineSpec, fleet: &Fleet<'_>, demand: &'a Demand) -> Self {
        let mut asked = Self {
            spec,
            demand,
            read_ms: spec.read_ms(demand.prompt_tokens),
            weight: weight(demand.prompt_tokens),
            spread: 0.0,
        };
        asked.spread = spread::most(spec, fleet, asked.is_long());
        asked
    }

    /// Whether no engine can hold it alone, so that memory is set aside at helpers.
    pub fn is_huge(&self) -> bool {
        memory::needs_helper_memory(self.spec, self.demand)
    }

    /// Whether it may be read by many: reading it alone takes long, or no engine can hold it.
    pub fn is_long(&self) -> bool {
        self.read_ms >= self.spec.long_read_ms() || self.is_huge()
    }

    /// Whether its parts may go ahead of what engines still read. Long prompts wait for engines that
    /// read nothing, since those that came first would else begin last; one that has waited for as
    /// long as it may goes ahead.
    fn goes_ahead(&self) -> bool {
        !self.is_long() || self.demand.wait_expired
    }

    /// Whether it is read for so long that writers beside it would pause for too long.
    fn goes_to_the_back(&self) -> bool {
        self.read_ms > self.demand.gap_ms.0 as f64
    }

    /// How many passes of writing its answer takes, as far as callers use what they ask for.
    fn written_passes(&self) -> f64 {
        let stride = f64::from(self.spec.stride.max(1));
        self.demand.answer_tokens.0 as f64 * WRITTEN_PART / stride
    }
}

/// How a prompt is shared: what each engine reads of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Part {
    /// As the time that a sound engine takes.
    pub ms: f64,
    /// The passes that an engine which writes needs for it.
    pub passes: f64,
    /// Whether others read parts as well: a shared part goes ahead of what waits at an engine.
    pub shared: bool,
}

impl Part {
    /// The part of each of `width` engines.
    pub fn of(asked: &Asked<'_>, width: usize) -> Self {
        let ms = asked.read_ms / width as f64;
        let pass_tokens = asked.spec.pass_tokens().0.max(1) as f64;
        let tokens = ms / asked.read_ms.max(1.0) * asked.demand.prompt_tokens.0 as f64;
        Self {
            ms,
            passes: 1.0 + (tokens / pass_tokens).floor(),
            shared: width > 1,
        }
    }
}

/// One engine, surveyed for one request.
pub(super) struct Surveyed<'a> {
    pub candidate: Candidate<'a>,
    /// Whether it can write the answer.
    fits: bool,
    /// Whether it can read a part for another.
    pub helps: bool,
    /// Whether it may read a shared part, which goes ahead of all that it still reads.
    takes_shared: bool,
    hurt: Hurt<'a>,
    pass_ms: f64,
    /// The reading that goes on in the pass under way.
    beside_ms: f64,
    queue_ms: f64,
    /// How long it takes to write the answer.
    writing_ms: f64,
    /// The part of the request's weight that pauses put at risk where it writes.
    pause: f64,
    /// What choosing it as the one that writes costs, as a part of the request's weight.
    writer_parts: f64,
    /// What the draw between engines that serve equally well counts, as a part of it.
    spread: f64,
    /// What choosing it as a helper costs, as a part of the request's weight.
    helper_parts: f64,
}

impl<'a> Surveyed<'a> {
    /// Surveys the engine that stands at `place` of the shared order, from 0 for its front to 1.
    pub fn of(asked: &Asked<'_>, draw: u64, candidate: Candidate<'a>, place: f64) -> Self {
        let Asked { spec, demand, .. } = *asked;
        let load = candidate.load;
        let pass_ms = load.pass_ms(spec, 0.0);
        let slowdown = load.pace.slowdown();
        let pass_tokens = spec.pass_tokens().0.max(1) as f64;
        let beside_ms = load
            .backlog_ms
            .min(pass_tokens * 1000.0 / spec.read_per_s.max(1.0) * slowdown);
        let alone_pass_ms = spec.pass_ms(1, demand.prompt_tokens) * slowdown;
        let own_pass_ms = load.pass_ms(spec, load.backlog_ms * OWN_PAUSE_PART);
        let free = memory::free(spec, &candidate);
        let needed = memory::needed(demand);
        let huge = asked.is_huge();
        let takes_shared = asked.goes_ahead() || load.backlog_ms <= 0.0;
        Self {
            fits: load.writers < spec.slots + QUEUED && (free >= needed || huge),
            helps: takes_shared && load.helping + SPARE_HELPED <= spec.slots,
            takes_shared,
            hurt: Hurt::of(spec, load),
            pass_ms,
            beside_ms,
            queue_ms: queue_ms(asked, load, pass_ms),
            writing_ms: asked.written_passes() * alone_pass_ms,
            pause: pause_loss(own_pass_ms, demand.gap_ms.0 as f64),
            writer_parts: order(asked, place) * ORDER_WEIGHT
                + crowding(spec, load) * SPARE_WEIGHT
                + elsewhere(huge, free, needed) * ELSEWHERE_WEIGHT,
            spread: asked.spread * spread::part(draw, candidate.key),
            helper_parts: f64::from(load.writers) * WRITER_WEIGHT
                + used_memory(huge, spec, load) * ELSEWHERE_WEIGHT,
            candidate,
        }
    }

    /// Whether it can write the answer where it reads this part.
    pub fn writes(&self, part: &Part) -> bool {
        self.fits && (self.takes_shared || !part.shared)
    }

    /// When the engine has read the part: a shared part goes ahead of what waits there, the prompt
    /// of one engine goes behind it.
    ///
    /// An engine that writes goes by passes: what arrives waits for the end of the one under way,
    /// and its first event comes at the end of its own, after all that is read in that.
    pub fn read_by_ms(&self, part: &Part) -> f64 {
        let load = self.candidate.load;
        let own_ms = part.ms * load.pace.slowdown();
        if load.writers == 0 {
            let waiting_ms = if part.shared { 0.0 } else { load.backlog_ms };
            return waiting_ms + own_ms;
        }
        let waiting_ms = match part.shared {
            true => self.beside_ms,
            false => load.backlog_ms,
        };
        let under_way_ms = (self.pass_ms + self.beside_ms) / 2.0;
        under_way_ms + waiting_ms + own_ms + part.passes * self.pass_ms + self.queue_ms
    }

    /// What a part costs the writers there.
    pub fn hurt(&self, part: &Part) -> f64 {
        self.hurt.by(part.ms)
    }

    /// What it costs to let it write, beside what its own lateness and delays of others cost.
    pub fn writer_cost(&self, asked: &Asked<'_>, part: &Part) -> f64 {
        self.hurt(part) + asked.weight * self.writer_parts
    }

    /// What counts between engines that may write, beside delays of others.
    pub fn writer_rank(&self, asked: &Asked<'_>, part: &Part) -> f64 {
        let done_ms = self.read_by_ms(part);
        let parts = self.late(asked, done_ms) + self.spread + self.waiting(asked, done_ms);
        self.writer_cost(asked, part) + asked.weight * parts
    }

    /// What counts between engines that may help, beside delays of others.
    pub fn helper_rank(&self, asked: &Asked<'_>, part: &Part) -> f64 {
        let done_ms = self.read_by_ms(part);
        let parts = self.first_lateness(asked, done_ms) + self.helper_parts + self.spread;
        self.hurt(part) + asked.weight * (parts + self.waiting(asked, done_ms))
    }

    /// The part of the request's weight that a first event after `first_event_ms` costs it, where
    /// this engine writes.
    fn first_lateness(&self, asked: &Asked<'_>, first_event_ms: f64) -> f64 {
        lateness(first_event_ms, self.writing_ms, asked.demand)
    }

    /// The part of its weight that the request loses where this engine writes. An answer is late
    /// for a late first event or for a long pause, and no later for both.
    pub fn late(&self, asked: &Asked<'_>, first_event_ms: f64) -> f64 {
        self.first_lateness(asked, first_event_ms).max(self.pause)
    }

    /// What the time until the engine has read the part counts between engines.
    fn waiting(&self, asked: &Asked<'_>, done_ms: f64) -> f64 {
        let left_ms = asked.demand.target_left_ms.max(1.0);
        let share = done_ms / left_ms;
        let backlog = self.candidate.load.backlog_ms / left_ms;
        WAITING_WEIGHT * (share.min(LONGEST_TARGETS) + backlog.min(LONGEST_TARGETS))
    }
}

/// How far from its own end of the shared order the request would run.
fn order(asked: &Asked<'_>, place: f64) -> f64 {
    match asked.goes_to_the_back() {
        true => 1.0 - place,
        false => place,
    }
}

/// The spare slots that one more writer takes.
fn crowding(spec: &EngineSpec, load: &Load) -> f64 {
    f64::from((load.writers + 1 + SPARE_SLOTS).saturating_sub(spec.slots))
}

/// The part of a huge prompt that an engine can't hold.
fn elsewhere(huge: bool, free: Tokens, needed: Tokens) -> f64 {
    match huge {
        true => (1.0 - free.0 as f64 / needed.0.max(1) as f64).max(0.0),
        false => 0.0,
    }
}

/// The part of a helper's memory that a huge prompt can't use.
fn used_memory(huge: bool, spec: &EngineSpec, load: &Load) -> f64 {
    match huge {
        true => load.memory_tokens.0 as f64 / spec.memory_tokens.0.max(1) as f64,
        false => 0.0,
    }
}

/// How long a request waits for a slot: writers end one after the other, each after as many passes
/// as its answer has tokens for.
fn queue_ms(asked: &Asked<'_>, load: &Load, pass_ms: f64) -> f64 {
    let slots = asked.spec.slots.max(1);
    let ahead = (load.writers + 1).saturating_sub(slots);
    let stride = f64::from(asked.spec.stride.max(1));
    let passes = asked.demand.answer_tokens.0 as f64 / stride;
    f64::from(ahead) * passes * pass_ms / f64::from(slots)
}
