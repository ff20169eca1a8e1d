//! Estimate of what one engine costs a request, as far as it doesn't depend on how many engines
//! share the reading.
//!
//! Load pattern: a long prompt is tried at nine widths on hundreds of engines, and again at each
//! retry while it waits.
//!
//! Invariants: an estimate reflects the engine's load at the time of the estimate.

use super::cost::{PauseCost, lateness_loss, pause_loss};
use super::{Candidate, Demand, Fleet, memory, spread};
use crate::engine::EngineSpec;
use crate::ledger::{Load, weight};
use bluebell_base::prelude::*;

/// Cost of running at the wrong end of the shared order, as a share of the request's weight. It
/// only has to decide between engines that serve about equally well.
const ORDER_COST: f64 = 0.08;

/// Cost of each own request at an engine beyond the order and the random choice, for a node that
/// doesn't know its peers' work, as a share of the request's weight. Their sum stays below the cost
/// of two spare slots, so that a short prompt doesn't go to a full engine for it.
const OWN_PLACEMENT_COST: f64 = 0.02;

/// Cost of the time until an engine has read its part, as a share of the request's weight, at the
/// whole target.
const WAITING_COST: f64 = 0.05;

/// Cost of each writer of an engine that is chosen as a helper, as a share of the request's weight.
const WRITER_COST: f64 = 0.002;

/// Number of slots of an engine that stay free while other engines have more. Nodes place requests
/// at the same time and learn of each other's work some ms later, and a request that finds no slot
/// waits until a writer ends.
const SPARE_SLOTS: u32 = 2;

/// Cost of a spare slot, as a share of the request's weight.
const SPARE_SLOT_COST: f64 = 0.15;

/// Number of helper slots that stay free at an engine. A helper is occupied until the answer is
/// written and refuses at its slots, and nodes learn of each other's work some ms later.
const SPARE_HELPER_SLOTS: u32 = 3;

/// Cost of memory that is reserved at helpers, as a share of the request's weight where all of it
/// is: each piece may be refused or lost.
const REMOTE_MEMORY_COST: f64 = 0.2;

/// Number of requests beyond its slots that an engine is given, since it keeps a queue of its own.
pub(crate) const MAX_QUEUED: u32 = 2;

/// Share of an engine's backlog that counts towards the request's own pauses: the backlog is read
/// before most of its events.
const OWN_BACKLOG_SHARE: f64 = 0.3;

/// Share of its longest answer that a request is assumed to write: callers ask for more than they
/// mostly get.
pub(crate) const WRITTEN_SHARE: f64 = 0.6;

/// Number of targets up to which an engine's reading time and backlog make it more expensive than
/// others.
const MAX_WAITING_TARGETS: f64 = 4.0;

/// A request, with the values that are the same for all engines.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestProfile<'a> {
    /// The configured figures of the service's engines.
    pub spec: &'a EngineSpec,
    /// The needs of the request.
    pub demand: &'a Demand,
    /// The time that one engine at its configured speed takes to read the prompt alone.
    pub read_ms: f64,
    /// The request's weight against other requests.
    pub weight: f64,
    /// The highest cost that the random choice between equal engines adds, as a share of the
    /// weight.
    pub spread: f64,
}

impl<'a> RequestProfile<'a> {
    /// Computes the profile of a request for the engines of a fleet.
    pub fn of(spec: &'a EngineSpec, fleet: &Fleet<'_>, demand: &'a Demand) -> Self {
        let mut request = Self {
            spec,
            demand,
            read_ms: spec.read_ms(demand.prompt_tokens),
            weight: weight(demand.prompt_tokens),
            spread: 0.0,
        };
        request.spread = spread::max_cost_share(spec, fleet, request.is_long());
        request
    }

    /// Returns true if no engine can hold the request alone, so that memory is reserved at helpers.
    pub fn is_huge(&self) -> bool {
        memory::needs_helper_memory(self.spec, self.demand)
    }

    /// Returns true if many engines may read the prompt, because one takes long or can't hold it.
    pub fn is_long(&self) -> bool {
        self.read_ms >= self.spec.long_read_ms() || self.is_huge()
    }

    /// Returns true if parts of the prompt may overtake what engines still have to read. Long
    /// prompts wait for engines that read nothing, since otherwise those that came first would
    /// begin last. A long prompt that has waited for as long as it may overtakes.
    fn may_overtake_reading(&self) -> bool {
        !self.is_long() || self.demand.wait_expired
    }

    /// Returns true if the prompt is read for so long that writers on the same engine would pause
    /// for too long. Such a request runs at the end of the shared order.
    fn prefers_order_end(&self) -> bool {
        self.read_ms > self.demand.gap_ms.0 as f64
    }

    /// Returns the cost of each request that the deciding node has at an engine, as a share of the
    /// request's weight. It exceeds what the order and the random choice cost together, so that a
    /// node moves on to engines where it has fewer.
    fn own_placement_cost(&self) -> f64 {
        OWN_PLACEMENT_COST + ORDER_COST + self.spread
    }

    /// Returns the number of passes that writing the answer takes, with the length that callers
    /// mostly use.
    fn written_passes(&self) -> f64 {
        let stride = f64::from(self.spec.stride.max(1));
        self.demand.answer_tokens.0 as f64 * WRITTEN_SHARE / stride
    }
}

/// The part of a prompt that each of its engines reads.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptPart {
    /// The reading time of the part at the configured speed.
    pub ms: f64,
    /// The number of passes that the part takes on an engine that has writers.
    pub passes: f64,
    /// True if other engines read parts as well. A shared part overtakes what waits at an engine.
    pub shared: bool,
}

impl PromptPart {
    /// Returns the part of each engine if `width` engines share the reading.
    pub fn of(request: &RequestProfile<'_>, width: usize) -> Self {
        let ms = request.read_ms / width as f64;
        let pass_tokens = request.spec.pass_tokens().0.max(1) as f64;
        let tokens = ms / request.read_ms.max(1.0) * request.demand.prompt_tokens.0 as f64;
        Self {
            ms,
            passes: 1.0 + (tokens / pass_tokens).floor(),
            shared: width > 1,
        }
    }
}

/// Estimate of one engine for one request.
pub(super) struct EngineEstimate<'a> {
    /// The engine with its load.
    pub candidate: Candidate<'a>,
    /// True if the engine can write the answer.
    can_write: bool,
    /// True if the engine can read a part as a helper.
    pub can_help: bool,
    /// True if the engine may be given a shared part, which overtakes all that it still has to
    /// read.
    takes_shared_part: bool,
    pause_cost: PauseCost<'a>,
    /// The length of a pass without reading.
    pass_ms: f64,
    /// The reading that takes place in the current pass.
    concurrent_read_ms: f64,
    /// The time that the request waits for a slot.
    slot_wait_ms: f64,
    /// The time that writing the answer takes.
    writing_ms: f64,
    /// The share of the request's weight that pauses put at risk if this engine writes.
    pause_loss: f64,
    /// The cost of choosing it as the writing engine, as a share of the request's weight.
    writing_cost_share: f64,
    /// The cost that the random choice between equal engines adds, as a share of the request's
    /// weight.
    spread: f64,
    /// The cost of choosing it as a helper, as a share of the request's weight.
    helping_cost_share: f64,
}

impl<'a> EngineEstimate<'a> {
    /// Estimates the engine at `order_position` of the shared order, from 0 for the front to 1 for
    /// the end.
    pub fn of(
        request: &RequestProfile<'_>,
        draw: u64,
        candidate: Candidate<'a>,
        order_position: f64,
    ) -> Self {
        let RequestProfile { spec, demand, .. } = *request;
        let load = candidate.load;
        let pass_ms = load.pass_ms(spec, 0.0);
        let slowdown = load.pace.slowdown();
        let pass_tokens = spec.pass_tokens().0.max(1) as f64;
        let concurrent_read_ms = load
            .backlog_ms
            .min(pass_tokens * 1000.0 / spec.read_per_s.max(1.0) * slowdown);
        let alone_pass_ms = spec.pass_ms(1, demand.prompt_tokens) * slowdown;
        let own_pass_ms = load.pass_ms(spec, load.backlog_ms * OWN_BACKLOG_SHARE);
        let free = memory::free(spec, &candidate);
        let needed = memory::needed(demand);
        let huge = request.is_huge();
        let takes_shared_part = request.may_overtake_reading() || load.backlog_ms <= 0.0;
        Self {
            can_write: load.writers < spec.slots + MAX_QUEUED && (free >= needed || huge),
            can_help: takes_shared_part && load.helping + SPARE_HELPER_SLOTS <= spec.slots,
            takes_shared_part,
            pause_cost: PauseCost::of(spec, load),
            pass_ms,
            concurrent_read_ms,
            slot_wait_ms: slot_wait_ms(request, load, pass_ms),
            writing_ms: request.written_passes() * alone_pass_ms,
            pause_loss: pause_loss(own_pass_ms, demand.gap_ms.0 as f64),
            writing_cost_share: order_distance(request, order_position) * ORDER_COST
                + spare_slots_taken(spec, load) * SPARE_SLOT_COST
                + remote_memory_share(huge, free, needed) * REMOTE_MEMORY_COST,
            spread: request.spread * spread::share(draw, candidate.key)
                + f64::from(candidate.own_placements) * request.own_placement_cost(),
            helping_cost_share: f64::from(load.writers) * WRITER_COST
                + used_memory_share(huge, spec, load) * REMOTE_MEMORY_COST,
            candidate,
        }
    }

    /// Returns true if the engine can write the answer when it also reads this part.
    pub fn can_write_part(&self, part: &PromptPart) -> bool {
        self.can_write && (self.takes_shared_part || !part.shared)
    }

    /// Returns the time until the engine has read the part. A shared part overtakes what waits
    /// there; a whole prompt is read after it.
    ///
    /// An engine with writers works in passes. A new prompt waits for the end of the current pass,
    /// and its first event comes at the end of its own pass, after everything that is read in that
    /// pass.
    pub fn read_by_ms(&self, part: &PromptPart) -> f64 {
        let load = self.candidate.load;
        let own_ms = part.ms * load.pace.slowdown();
        if load.writers == 0 {
            let waiting_ms = if part.shared { 0.0 } else { load.backlog_ms };
            return waiting_ms + own_ms;
        }
        let waiting_ms = match part.shared {
            true => self.concurrent_read_ms,
            false => load.backlog_ms,
        };
        let pass_rest_ms = (self.pass_ms + self.concurrent_read_ms) / 2.0;
        pass_rest_ms + waiting_ms + own_ms + part.passes * self.pass_ms + self.slot_wait_ms
    }

    /// Returns the cost of the part to the writers of the engine.
    pub fn pause_cost(&self, part: &PromptPart) -> f64 {
        self.pause_cost.added_by(part.ms)
    }

    /// Returns the cost of writing on this engine, without the request's own lateness and the
    /// delays of other prompts.
    pub fn writing_cost(&self, request: &RequestProfile<'_>, part: &PromptPart) -> f64 {
        self.pause_cost(part) + request.weight * self.writing_cost_share
    }

    /// Returns the cost by which engines are compared as the writing engine, without the delays of
    /// other prompts.
    pub fn writing_rank(&self, request: &RequestProfile<'_>, part: &PromptPart) -> f64 {
        let done_ms = self.read_by_ms(part);
        let shares = self.own_loss(request, done_ms)
            + self.spread
            + self.waiting_cost_share(request, done_ms);
        self.writing_cost(request, part) + request.weight * shares
    }

    /// Returns the cost by which engines are compared as helpers, without the delays of other
    /// prompts.
    pub fn helping_rank(&self, request: &RequestProfile<'_>, part: &PromptPart) -> f64 {
        let done_ms = self.read_by_ms(part);
        let shares = self.lateness_loss(request, done_ms) + self.helping_cost_share + self.spread;
        self.pause_cost(part)
            + request.weight * (shares + self.waiting_cost_share(request, done_ms))
    }

    /// Returns the share of its weight that the request loses by a first event after
    /// `first_event_ms`, if this engine writes.
    fn lateness_loss(&self, request: &RequestProfile<'_>, first_event_ms: f64) -> f64 {
        lateness_loss(first_event_ms, self.writing_ms, request.demand)
    }

    /// Returns the share of its weight that the request loses if this engine writes. An answer is
    /// late for a late first event or for a long pause, and both together cost no more than the
    /// larger.
    pub fn own_loss(&self, request: &RequestProfile<'_>, first_event_ms: f64) -> f64 {
        self.lateness_loss(request, first_event_ms)
            .max(self.pause_loss)
    }

    /// Returns the cost of the time until the engine has read the part, as a share of the request's
    /// weight.
    fn waiting_cost_share(&self, request: &RequestProfile<'_>, done_ms: f64) -> f64 {
        let left_ms = request.demand.target_left_ms.max(1.0);
        let share = done_ms / left_ms;
        let backlog = self.candidate.load.backlog_ms / left_ms;
        WAITING_COST * (share.min(MAX_WAITING_TARGETS) + backlog.min(MAX_WAITING_TARGETS))
    }
}

/// Returns the distance, from 0 to 1, from the end of the shared order that suits the request.
fn order_distance(request: &RequestProfile<'_>, order_position: f64) -> f64 {
    match request.prefers_order_end() {
        true => 1.0 - order_position,
        false => order_position,
    }
}

/// Returns the number of spare slots that one more writer takes.
fn spare_slots_taken(spec: &EngineSpec, load: &Load) -> f64 {
    f64::from((load.writers + 1 + SPARE_SLOTS).saturating_sub(spec.slots))
}

/// Returns the share of a huge prompt that an engine can't hold itself.
fn remote_memory_share(huge: bool, free: Tokens, needed: Tokens) -> f64 {
    match huge {
        true => (1.0 - free.0 as f64 / needed.0.max(1) as f64).max(0.0),
        false => 0.0,
    }
}

/// Returns the share of a helper's memory that a huge prompt can't use.
fn used_memory_share(huge: bool, spec: &EngineSpec, load: &Load) -> f64 {
    match huge {
        true => load.memory_tokens.0 as f64 / spec.memory_tokens.0.max(1) as f64,
        false => 0.0,
    }
}

/// Returns the time that a request waits for a slot. Writers end one after the other, each after as
/// many passes as its answer needs.
fn slot_wait_ms(request: &RequestProfile<'_>, load: &Load, pass_ms: f64) -> f64 {
    let slots = request.spec.slots.max(1);
    let ahead = (load.writers + 1).saturating_sub(slots);
    let stride = f64::from(request.spec.stride.max(1));
    let passes = request.demand.answer_tokens.0 as f64 / stride;
    f64::from(ahead) * passes * pass_ms / f64::from(slots)
}
