//! An in-process platform under virtual time for tests of the actors that use it.

use bluebell_base::prelude::*;
use bluebell_platform::{LogPort, StreamPosition, Tail, TailEvent, TailSettings, TailStats};
use bluebell_stand_ins::platform::{
    FakePlatform, FakeSettings, Fault, FaultRule, Operation, PlatformModel, PlatformSettings,
};
use bluebell_timers::Timers;
use stakker::{ActorOwn, Fwd, Ret, Stakker, call};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub const STREAM: &str = "s";

pub struct World {
    pub stakker: Stakker,
    pub timers: Timers,
    pub model: Rc<RefCell<PlatformModel>>,
    pub log: Rc<dyn LogPort>,
    start: Instant,
}

impl World {
    pub fn open(settings: PlatformSettings) -> Self {
        let start = Instant::now();
        let timers = Timers::open(start);
        let model = Rc::new(RefCell::new(PlatformModel::new(settings, WallMs(0))));
        let fake = FakePlatform::open(&model, &timers, "client-1", FakeSettings::default());
        Self {
            stakker: Stakker::new(start),
            timers,
            model,
            log: fake,
            start,
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.timers.now_ms(&self.stakker).0
    }

    /// Advances virtual time, timer by timer.
    pub fn advance(&mut self, span_ms: u64) {
        // Calls made since the last step run at the current time.
        self.stakker.run(self.stakker.now(), false);
        let end = self.start + Duration::from_millis(self.now_ms() + span_ms);
        while let Some(next) = self.stakker.next_expiry().filter(|next| *next <= end) {
            self.stakker.run(next, false);
        }
        self.stakker.run(end, false);
    }

    /// Appends records to the log without using a client.
    pub fn put(&mut self, bodies: &[&str]) {
        let records: Vec<Arc<str>> = bodies.iter().map(|&body| body.into()).collect();
        let now_ms = WallMs(self.now_ms());
        let mut model = self.model.borrow_mut();
        model
            .append(now_ms, &STREAM.into(), &records, false)
            .unwrap();
    }

    pub fn inject_fault(&mut self, operation: Operation, calls: u32, fault: Fault) {
        let rule = FaultRule {
            operation: Some(operation),
            client: None,
            calls,
            fault,
        };
        self.model.borrow_mut().faults.rules.push(rule);
    }

    pub fn tail(&mut self, from: u64, settings: TailSettings, seed: u64) -> RecordedTail {
        let events: Rc<RefCell<Vec<TailEvent>>> = Rc::default();
        let own = Rc::clone(&events);
        let at = StreamPosition {
            stream: STREAM.into(),
            offset: Offset(from),
        };
        let (log, timers) = (Rc::clone(&self.log), self.timers.clone());
        let fwd = Fwd::new(move |event| own.borrow_mut().push(event));
        let actor = Tail::spawn(&mut self.stakker, log, timers, at, settings, seed, fwd);
        RecordedTail {
            actor,
            events,
            from,
        }
    }
}

/// A tail with all events that it forwarded.
pub struct RecordedTail {
    pub actor: ActorOwn<Tail>,
    events: Rc<RefCell<Vec<TailEvent>>>,
    from: u64,
}

impl RecordedTail {
    /// Returns the forwarded events without offsets: bodies, `gap 3..5`, `down`, `up`.
    pub fn forwarded(&self) -> Vec<String> {
        let mut forwarded = Vec::new();
        for event in self.events.borrow().iter() {
            match event {
                TailEvent::Records { records, .. } => {
                    forwarded.extend(records.iter().map(|record| record.body.to_string()));
                }
                TailEvent::Gap { from, to } => forwarded.push(format!("gap {}..{}", from.0, to.0)),
                TailEvent::Down(_) => forwarded.push("down".into()),
                TailEvent::Up => forwarded.push("up".into()),
            }
        }
        forwarded
    }

    pub fn stats(&self, world: &mut World) -> TailStats {
        let slot = Rc::new(RefCell::new(None));
        let filled = Rc::clone(&slot);
        let ret = Ret::new(move |stats| *filled.borrow_mut() = stats);
        call!([self.actor], stats(ret));
        world.advance(0);
        slot.take().unwrap()
    }

    pub fn events(&self) -> Vec<TailEvent> {
        self.events.borrow().clone()
    }

    /// Checks the invariants of a tail. Returns the offset after the last record that was forwarded
    /// or reported lost.
    pub fn verify(&self) -> u64 {
        let mut next = self.from;
        let mut down = false;
        for event in self.events.borrow().iter() {
            match event {
                TailEvent::Records { records, end, .. } => {
                    for record in records {
                        assert_eq!(record.offset.0, next, "records in order, each once");
                        next += 1;
                    }
                    assert!(next <= end.0, "nothing beyond the end");
                }
                TailEvent::Gap { from, to } => {
                    assert_eq!(from.0, next, "a gap begins where records ended");
                    assert!(to > from, "a gap is not empty");
                    next = to.0;
                }
                TailEvent::Down(error) => {
                    assert!(!std::mem::replace(&mut down, true), "down once");
                    assert_eq!(error.verdict, Verdict::NotRun);
                }
                TailEvent::Up => assert!(std::mem::take(&mut down), "up after down"),
            }
        }
        next
    }
}
