//! Runs one port either in process under virtual time or over HTTP by the real clock.

#![allow(dead_code, reason = "each test file uses its own part")]

use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, Inbox};
use bluebell_stand_ins::engine::{EngineServer, EngineSettings, EngineStats, FakeEngine};
use bluebell_stand_ins::faults::FaultSwitches;
use bluebell_upstreams::prompt::{expected_count, expected_token, prompt_hash};
use bluebell_upstreams::{EnginePort, Event, EventBody, Generate, HttpEngine, Priority, Resume};
use stakker::{Core, Fwd, Ret, Stakker};
use std::cell::RefCell;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

/// The longest a test waits, by whichever clock it runs.
const LONGEST: Duration = Duration::from_secs(60);

/// How often the real clock's tests look at their inbox.
const TICK: Duration = Duration::from_millis(1);

pub const OWNER: Incarnation = Incarnation(7);
pub const OTHER: Incarnation = Incarnation(8);

/// The clock and threads behind a port.
pub struct World {
    pub stakker: Stakker,
    pub inbox: Option<Inbox>,
    now: Instant,
}

impl World {
    pub fn open(real: bool) -> Self {
        let now = Instant::now();
        Self {
            stakker: Stakker::new(now),
            inbox: real.then(Inbox::open),
            now,
        }
    }

    pub fn bridge(&self, threads: usize) -> Bridge {
        Bridge::open(self.inbox.as_ref().expect("a real clock"), threads)
    }

    /// Runs until `done`; fails the test where that never comes.
    pub fn until(&mut self, what: &str, done: impl Fn() -> bool) {
        let end = self.now + LONGEST;
        let begun = Instant::now();
        while !done() {
            match &self.inbox {
                Some(inbox) => {
                    assert!(begun.elapsed() < LONGEST, "no {what} in time");
                    self.stakker.run(Instant::now(), false);
                    if inbox.drain(&mut self.stakker) == 0 {
                        thread::sleep(TICK);
                    }
                }
                None => {
                    assert!(self.now < end, "no {what} in time");
                    self.stakker.run(self.now, false);
                    if done() {
                        return;
                    }
                    let wait = self.stakker.next_wait(self.now);
                    self.now += wait.unwrap_or(TICK).max(Duration::from_micros(1));
                }
            }
        }
    }

    /// Lets a short time pass, by whichever clock it runs.
    pub fn pause(&mut self) {
        match self.inbox {
            Some(_) => thread::sleep(TICK),
            None => self.now += TICK,
        }
    }

    /// Makes one call and waits for its answer.
    pub fn ask<T: 'static>(&mut self, call: impl FnOnce(&mut Core, Ret<T>)) -> T {
        let answer: Rc<RefCell<Option<T>>> = Rc::default();
        let given = answer.clone();
        let ret = Ret::new(move |value| *given.borrow_mut() = value);
        call(&mut self.stakker, ret);
        let seen = answer.clone();
        self.until("answer", move || seen.borrow().is_some());
        answer.take().expect("an answer")
    }
}

/// An engine of either kind.
pub struct Rig {
    pub world: World,
    pub port: Rc<dyn EnginePort>,
    engine: Engine,
}

pub enum Engine {
    Fake(FakeEngine),
    Http(EngineServer),
}

/// The events of one stream so far.
pub type Seen = Rc<RefCell<Vec<Event>>>;

/// The kinds of rig, with whether their clock is real.
pub const KINDS: [(&str, bool); 2] = [("in process", false), ("over HTTP", true)];

impl Rig {
    pub fn open(real: bool, settings: EngineSettings) -> Self {
        let mut world = World::open(real);
        if real {
            let server = EngineServer::bind("127.0.0.1:0", settings, Default::default());
            let server = server.expect("a free port");
            let address = Address::from(server.address().to_string().as_str());
            let port = HttpEngine::open(world.bridge(8), world.bridge(4), address, None);
            let engine = Engine::Http(server);
            return Self {
                world,
                port,
                engine,
            };
        }
        let fake = FakeEngine::open(&mut world.stakker, settings, 1);
        Self {
            port: fake.port(),
            engine: Engine::Fake(fake),
            world,
        }
    }

    pub fn set_faults(&mut self, faults: FaultSwitches) {
        match &self.engine {
            Engine::Fake(fake) => fake.set_faults(&mut self.world.stakker, faults),
            Engine::Http(server) => server.set_faults(faults),
        }
    }

    pub fn stats(&self) -> EngineStats {
        match &self.engine {
            Engine::Fake(fake) => fake.stats(),
            Engine::Http(server) => server.stats(),
        }
    }

    pub fn address(&self) -> Address {
        match &self.engine {
            Engine::Fake(_) => Address::from("127.0.0.1:1"),
            Engine::Http(server) => server.address().to_string().as_str().into(),
        }
    }

    pub fn fake(&self) -> Option<&FakeEngine> {
        match &self.engine {
            Engine::Fake(fake) => Some(fake),
            Engine::Http(_) => None,
        }
    }

    /// Ends the engine's process, so that no connection can be made.
    pub fn kill(&mut self) {
        match &mut self.engine {
            Engine::Fake(fake) => fake.kill(&mut self.world.stakker),
            Engine::Http(_) => {
                let address = closed_address();
                let (streams, calls) = (self.world.bridge(2), self.world.bridge(2));
                self.port = HttpEngine::open(streams, calls, address, None);
            }
        }
    }

    pub fn generate(&mut self, call: Generate) -> Seen {
        let (seen, events) = collector();
        self.port.generate(&mut self.world.stakker, call, events);
        seen
    }

    pub fn resume(&mut self, call: Resume) -> Seen {
        let (seen, events) = collector();
        self.port.resume(&mut self.world.stakker, call, events);
        seen
    }

    /// Runs until the stream's last event.
    pub fn finish(&mut self, seen: &Seen) -> Vec<Event> {
        let watched = seen.clone();
        self.world.until("last event", move || {
            watched.borrow().iter().any(is_own_last)
        });
        seen.borrow().clone()
    }

    pub fn ask<T: 'static>(
        &mut self,
        call: impl FnOnce(&dyn EnginePort, &mut Core, Ret<Result<T, Error>>),
    ) -> Result<T, Error> {
        let port = self.port.clone();
        self.world.ask(|core, ret| call(&*port, core, ret))
    }
}

/// An address where nothing listens.
pub fn closed_address() -> Address {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    address.to_string().as_str().into()
}

pub fn collector() -> (Seen, Fwd<Event>) {
    let seen = Seen::default();
    let given = seen.clone();
    let events = Fwd::new(move |event| given.borrow_mut().push(event));
    (seen, events)
}

pub fn request(sequence: u64) -> RequestId {
    let incarnation = Incarnation(1);
    RequestId {
        incarnation,
        sequence,
    }
}

pub fn generate(sequence: u64, prompt: &str, max_tokens: u64) -> Generate {
    Generate {
        request: request(sequence),
        attempt: AttemptNo(1),
        owner: OWNER,
        model: "notice".into(),
        prompt: prompt.into(),
        max_tokens: Tokens(max_tokens),
        priority: Priority(0),
        hold_ms: SpanMs::from_secs(30),
        deadline_ms: SpanMs::from_secs(50),
        continue_from: Vec::new(),
        group: None,
        group_kv_tokens: Tokens::ZERO,
    }
}

pub fn resume(sequence: u64, from: u64) -> Resume {
    Resume {
        request: request(sequence),
        attempt: AttemptNo(1),
        owner: OWNER,
        from: EventSeq(from),
    }
}

/// Whether an event ends a stream of [`generate`] or [`resume`].
pub fn is_own_last(event: &Event) -> bool {
    let own = event.request.sequence < 100 && event.attempt == AttemptNo(1);
    own && matches!(
        event.body,
        EventBody::Finished { .. } | EventBody::Failed { .. }
    )
}

/// The tokens of a stream, with their positions, crossed ones left out.
pub fn tokens(events: &[Event], sequence: u64) -> Vec<(u64, Arc<str>)> {
    let own = |event: &&Event| event.request == request(sequence) && event.attempt == AttemptNo(1);
    let token = |event: &Event| match &event.body {
        EventBody::Token { seq, text } => Some((seq.0, text.clone())),
        _ => None,
    };
    events.iter().filter(own).filter_map(token).collect()
}

/// The error that ended a stream.
pub fn failure(events: &[Event]) -> Error {
    match events.last().map(|event| &event.body) {
        Some(EventBody::Failed { error }) => error.clone(),
        other => panic!("no failure but {other:?}"),
    }
}

pub const PROMPT: &str = "A notice for the local paper, in the family's own words.";
pub const MAX_TOKENS: u64 = 12;

/// Steps short enough for the real clock, long enough to be interrupted.
pub fn settings() -> EngineSettings {
    EngineSettings {
        base_step_us: 5000,
        load_lag_ms: SpanMs(20),
        cache_lag_ms: SpanMs(20),
        cache_loss_per_mille: 0,
        block_tokens: 4,
        ..EngineSettings::default()
    }
}

/// The answer to [`PROMPT`].
pub fn expected() -> Vec<(u64, Arc<str>)> {
    let hash = prompt_hash(PROMPT);
    let count = expected_count(hash, Tokens(MAX_TOKENS));
    (0..count)
        .map(|index| (index, expected_token(hash, index).into()))
        .collect()
}
