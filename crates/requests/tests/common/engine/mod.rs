//! A small engine behind the engine port, under virtual time, with faults on each call and event.
//!
//! It answers a prompt with the texts of `prompt::expected_token`, one per [`STEP_MS`], counts the
//! starts of each request, and holds one unit of memory for each open stream.

mod port;
mod streams;

use bluebell_base::prelude::*;
use bluebell_upstreams::{Event, EventBody, FinishReason, Generate, LoadReport, Reserve};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stakker::{Core, Fwd, Ret};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time per token.
pub const STEP_MS: u64 = 20;
/// The memory that an engine can reserve for groups.
pub const KV_TOKENS: Tokens = Tokens(10_000);
/// The delay of one way to the engine or back.
const NETWORK_DELAY_MS: u64 = 1;

/// The probability of each fault, and the limits of random delays.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// A call never arrives and is never answered.
    pub lose_call: f64,
    /// A call takes effect and its answer is silently lost.
    pub lose_answer: f64,
    /// A call takes effect and the connection breaks.
    pub break_call: f64,
    /// A call is delayed by up to this time.
    pub delay_call_ms: u64,
    /// A call is refused before it is sent.
    pub refuse: f64,
    /// An event is lost.
    pub lose_event: f64,
    /// An event arrives twice.
    pub double_event: f64,
    /// An event is delayed by up to this time, and so reordered.
    pub delay_event_ms: u64,
    /// An event of another request or attempt arrives before it.
    pub cross_event: f64,
    /// The stream's connection breaks at an event.
    pub break_stream: f64,
}

/// A call that arrived while the engine was frozen.
type DelayedCall = Box<dyn FnOnce(&Engine, &mut Core)>;

struct Stream {
    call: Generate,
    owner: Incarnation,
    total: u64,
    produced: u64,
    reader: Option<(u64, Fwd<Event>)>,
    unread_since_ms: u64,
    ended: Option<Result<(), Error>>,
}

/// The state of an engine and the record of its work.
pub struct EngineState {
    pub faults: Faults,
    pub dead: bool,
    pub frozen: bool,
    /// True while calls are answered but nothing is computed.
    pub idle: bool,
    /// True while new work is queued behind other work: a cancel finds that nothing of it ran.
    pub queued: bool,
    /// The prefill work reported as being ahead of new work.
    pub backlog_tokens: Tokens,
    /// The number of starts of each request, over all restarts of the engine.
    pub runs: HashMap<RequestId, u32>,
    /// The `generate` calls that arrived here.
    pub generated: Vec<Generate>,
    /// The expiry time and the size of each reservation.
    pub reserved: HashMap<ReservationId, (u64, Tokens)>,
    streams: HashMap<RequestId, Stream>,
    tombstones: HashMap<RequestId, AttemptNo>,
    generation: u64,
    delayed_calls: Vec<DelayedCall>,
    readers: u64,
    rng: ChaCha8Rng,
}

impl EngineState {
    /// Reserves all of it or nothing; memory that a stream took over stays with the stream.
    fn reserve(&mut self, call: &Reserve, until_ms: u64) -> bool {
        let id = call.reservation;
        let mut streams = self.streams.values();
        if streams.any(|s| s.call.group == Some(id) && s.ended.is_none()) {
            return true;
        }
        let others = self.reserved.iter().filter(|(other, _)| **other != id);
        let taken: Tokens = others.map(|(_, (_, kv_tokens))| *kv_tokens).sum();
        let fits = taken + call.kv_tokens <= KV_TOKENS;
        if fits {
            self.reserved.insert(id, (until_ms, call.kv_tokens));
        }
        fits
    }
}

/// One engine; cheap to clone.
#[derive(Clone)]
pub struct Engine {
    pub state: Rc<RefCell<EngineState>>,
    origin: Instant,
}

impl Engine {
    pub fn new(origin: Instant, seed: u64) -> Self {
        let state = EngineState {
            faults: Faults::default(),
            dead: false,
            frozen: false,
            idle: false,
            queued: false,
            backlog_tokens: Tokens::ZERO,
            runs: HashMap::new(),
            generated: Vec::new(),
            reserved: HashMap::new(),
            streams: HashMap::new(),
            tombstones: HashMap::new(),
            generation: 0,
            delayed_calls: Vec::new(),
            readers: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let state = Rc::new(RefCell::new(state));
        Self { state, origin }
    }

    /// Kills the process: its state is lost and its connections break.
    pub fn kill(&self, core: &mut Core) {
        let streams = {
            let mut state = self.state.borrow_mut();
            state.dead = true;
            state.generation += 1;
            state.delayed_calls.clear();
            state.tombstones.clear();
            state.reserved.clear();
            std::mem::take(&mut state.streams)
        };
        for stream in streams.into_values() {
            if let Some((_, fwd)) = stream.reader {
                let error = Error::may_have_run(ErrorKind::Upstream, "the connection broke");
                self.deliver(core, &fwd, &stream.call, EventBody::Failed { error });
            }
        }
    }

    /// Starts the process again, empty.
    pub fn restart(&self) {
        self.state.borrow_mut().dead = false;
    }

    /// Stops the process from answering, or lets it continue.
    pub fn freeze(&self, frozen: bool, core: &mut Core) {
        self.state.borrow_mut().frozen = frozen;
        if !frozen {
            let held = std::mem::take(&mut self.state.borrow_mut().delayed_calls);
            held.into_iter().for_each(|call| call(self, core));
        }
    }

    /// Stops computing while calls are still answered, as in a long prefill, or continues.
    pub fn freeze_steps(&self, idle: bool) {
        self.state.borrow_mut().idle = idle;
    }

    /// Breaks all connections.
    pub fn break_all(&self, core: &mut Core) {
        let requests: Vec<_> = self.state.borrow().streams.keys().copied().collect();
        for request in requests {
            self.break_stream(core, request);
        }
    }

    /// Returns the number of streams that a cancel stopped.
    pub fn stopped_by_cancel(&self) -> usize {
        let state = self.state.borrow();
        let by_cancel = |s: &&Stream| {
            let ended = s.ended.as_ref().and_then(|end| end.as_ref().err());
            ended.is_some_and(|error| &*error.message == "cancelled")
        };
        state.streams.values().filter(by_cancel).count()
    }

    /// Returns true if the engine generates for a prompt.
    pub fn generates(&self, prompt: &str) -> bool {
        let state = self.state.borrow();
        let mut open = state.streams.values().filter(|s| s.ended.is_none());
        open.any(|stream| &*stream.call.prompt == prompt)
    }

    /// Returns the memory held: the number of open streams and reservations.
    pub fn held(&self) -> usize {
        let state = self.state.borrow();
        let open = state.streams.values().filter(|s| s.ended.is_none());
        open.count() + state.reserved.len()
    }

    fn chance(&self, pick: impl Fn(&Faults) -> f64) -> bool {
        let mut state = self.state.borrow_mut();
        let likely = pick(&state.faults);
        likely > 0.0 && state.rng.random_bool(likely)
    }

    fn delay_ms(&self, pick: impl Fn(&Faults) -> u64) -> u64 {
        let mut state = self.state.borrow_mut();
        let most = pick(&state.faults);
        NETWORK_DELAY_MS
            + if most > 0 {
                state.rng.random_range(0..=most)
            } else {
                0
            }
    }

    fn after(&self, core: &mut Core, ms: u64, f: impl FnOnce(&Engine, &mut Core) + 'static) {
        let engine = self.clone();
        let at = core.now() + Duration::from_millis(ms);
        core.timer_add(at, move |stakker| f(&engine, stakker));
    }

    fn now_ms(&self, core: &Core) -> u64 {
        core.now().duration_since(self.origin).as_millis() as u64
    }

    /// Delivers a call to the engine; calls `refused` if the connection is refused.
    fn arrive(
        &self,
        core: &mut Core,
        refused: impl FnOnce(&Engine, &mut Core) + 'static,
        call: impl FnOnce(&Engine, &mut Core) + 'static,
    ) {
        if self.state.borrow().dead || self.chance(|f| f.refuse) {
            self.after(core, NETWORK_DELAY_MS, refused);
            return;
        }
        if self.chance(|f| f.lose_call) {
            return;
        }
        let delay_ms = self.delay_ms(|f| f.delay_call_ms);
        self.after(core, delay_ms, move |engine, core| {
            if engine.state.borrow().dead {
                return;
            }
            if engine.state.borrow().frozen {
                engine.state.borrow_mut().delayed_calls.push(Box::new(call));
                return;
            }
            call(engine, core);
        });
    }

    /// Returns an answer, unless a fault loses it.
    fn answer<T: 'static>(&self, core: &mut Core, ret: Ret<Result<T, Error>>, value: T) {
        if self.chance(|f| f.lose_answer) {
            // Neither answered nor dropped, as by a connection that hangs.
            self.after(core, 3_600_000, move |_, _| drop(ret));
            return;
        }
        let broken = self.chance(|f| f.break_call);
        self.after(core, NETWORK_DELAY_MS, move |_, _| {
            let lost = Error::may_have_run(ErrorKind::Upstream, "the connection broke");
            ret.ret(if broken { Err(lost) } else { Ok(value) });
        });
    }

    fn deliver(&self, core: &mut Core, fwd: &Fwd<Event>, call: &Generate, body: EventBody) {
        let event = Event {
            request: call.request,
            attempt: call.attempt,
            body,
        };
        if self.chance(|f| f.cross_event) {
            let mut crossed = event.clone();
            match self.state.borrow_mut().rng.random_bool(0.5) {
                true => crossed.request.sequence += 1,
                false => crossed.attempt.0 += 1,
            }
            if let EventBody::Token { text, .. } = &mut crossed.body {
                *text = "another request's".into();
            }
            self.send_later(core, fwd, crossed);
        }
        if self.chance(|f| f.double_event) {
            self.send_later(core, fwd, event.clone());
        }
        if !self.chance(|f| f.lose_event) {
            self.send_later(core, fwd, event);
        }
    }

    fn send_later(&self, core: &mut Core, fwd: &Fwd<Event>, event: Event) {
        let delay_ms = self.delay_ms(|f| f.delay_event_ms);
        let fwd = fwd.clone();
        self.after(core, delay_ms, move |_, _| fwd.fwd(event));
    }

    fn fail(core: &mut Core, events: &Fwd<Event>, id: (RequestId, AttemptNo), error: Error) {
        let (request, attempt) = id;
        let body = EventBody::Failed { error };
        events.fwd(Event {
            request,
            attempt,
            body,
        });
        let _ = core;
    }
}

fn load() -> LoadReport {
    LoadReport {
        kv_capacity_tokens: KV_TOKENS,
        step_ms: STEP_MS as f64,
        ..LoadReport::default()
    }
}

fn finished(count: u64) -> EventBody {
    EventBody::Finished {
        count,
        reason: FinishReason::Stop,
        load: load(),
    }
}

fn refused() -> Error {
    Error::not_run(ErrorKind::Unavailable, "connection refused")
}
