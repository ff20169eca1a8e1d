//! Group commit: batches, rate, limits, and what each caller is told when appends fail.

use crate::support::{STREAM, World};
use bluebell_base::prelude::*;
use bluebell_platform::{Appender, AppenderSettings, AppenderStats};
use bluebell_stand_ins::platform::{Fault, Operation, PlatformSettings};
use proptest::prelude::*;
use stakker::{ActorOwn, Ret, call};
use std::cell::RefCell;
use std::rc::Rc;

type Answers = Rc<RefCell<Vec<(usize, Result<Offset, Error>)>>>;

struct Bench {
    world: World,
    appender: ActorOwn<Appender>,
    answers: Answers,
    handed_in: usize,
}

fn settings() -> AppenderSettings {
    AppenderSettings {
        appends: PerSecond(10.0),
        batch_bytes: Bytes(16),
        waiting_bytes: Bytes(48),
        ..AppenderSettings::default()
    }
}

impl Bench {
    fn open(settings: AppenderSettings) -> Self {
        Self::on(PlatformSettings::default(), settings)
    }

    fn on(platform: PlatformSettings, settings: AppenderSettings) -> Self {
        let mut world = World::open(platform);
        let (log, timers) = (Rc::clone(&world.log), world.timers.clone());
        let core = &mut world.stakker;
        let appender = Appender::spawn(core, log, timers, STREAM.into(), settings, 1);
        Self {
            world,
            appender,
            answers: Rc::default(),
            handed_in: 0,
        }
    }

    fn hand_in(&mut self, records: &[&str]) {
        let records = records.iter().map(|&body| body.into()).collect();
        let (answers, index) = (Rc::clone(&self.answers), self.handed_in);
        self.handed_in += 1;
        let ret = Ret::new(move |answer: Option<_>| {
            answers.borrow_mut().push((index, answer.unwrap()));
        });
        call!([self.appender], append(records, ret));
    }

    /// The offsets answered, in the order of the answers.
    fn offsets(&self) -> Vec<u64> {
        let answers = self.answers.borrow();
        answers.iter().map(|(_, a)| a.as_ref().unwrap().0).collect()
    }

    /// The failures answered, in the order of the answers.
    fn failures(&self) -> Vec<(usize, Verdict, ErrorKind)> {
        let answers = self.answers.borrow();
        let failed = |(index, answer): &(usize, Result<Offset, Error>)| {
            let error = answer.as_ref().err()?;
            Some((*index, error.verdict, error.kind))
        };
        answers.iter().filter_map(failed).collect()
    }

    fn bodies(&self) -> Vec<String> {
        let mut model = self.world.model.borrow_mut();
        let now_ms = WallMs(self.world.now_ms());
        let batch = model.read(now_ms, &STREAM.into(), Offset(0), Bytes(u64::MAX));
        batch.records.iter().map(|r| r.body.to_string()).collect()
    }

    fn stats(&mut self) -> AppenderStats {
        let slot = Rc::new(RefCell::new(None));
        let filled = Rc::clone(&slot);
        let ret = Ret::new(move |stats| *filled.borrow_mut() = stats);
        call!([self.appender], stats(ret));
        self.world.pass(0);
        slot.take().unwrap()
    }
}

#[test]
fn records_handed_in_meanwhile_go_together() {
    let mut bench = Bench::open(settings());
    bench.hand_in(&["a1", "a2"]);
    bench.hand_in(&["b1"]);
    bench.hand_in(&["c1", "c2"]);
    bench.world.pass(10);
    assert_eq!(bench.offsets(), [0]);
    bench.world.pass(200);
    assert_eq!(bench.offsets(), [0, 2, 3]);
    assert_eq!(bench.bodies(), ["a1", "a2", "b1", "c1", "c2"]);
    let stats = bench.stats();
    assert_eq!((stats.appends, stats.records), (2, 5));
    assert_eq!((stats.bytes, stats.waiting), (Bytes(10), 0));
}

#[test]
fn batches_keep_to_their_size() {
    let mut bench = Bench::open(settings());
    for _ in 0..5 {
        bench.hand_in(&["12345678"]);
    }
    bench.world.pass(1_000);
    assert_eq!(bench.offsets(), [0, 1, 2, 3, 4]);
    assert_eq!(bench.world.model.borrow().stats().appends, 3);
}

#[test]
fn appends_keep_to_their_rate() {
    let mut bench = Bench::open(settings());
    for _ in 0..1_000 {
        bench.hand_in(&["r"]);
        bench.world.pass(10);
    }
    bench.world.pass(200);
    assert_eq!(bench.answers.borrow().len(), 1_000);
    let appends = bench.world.model.borrow().stats().appends;
    assert!((95..=102).contains(&appends), "{appends} in 10 s");
}

#[test]
fn hand_ins_beyond_the_limits_are_refused_at_once() {
    let mut bench = Bench::open(settings());
    bench.hand_in(&[]);
    bench.hand_in(&["12345678", "123456789"]);
    for _ in 0..5 {
        bench.hand_in(&["0123456789abcdef"]);
    }
    bench.world.pass(0);
    let refused = [
        (0, Verdict::NotRun, ErrorKind::Invalid),
        (1, Verdict::NotRun, ErrorKind::TooLarge),
        (6, Verdict::NotRun, ErrorKind::Overloaded),
    ];
    assert_eq!(bench.failures(), refused);
    let full = bench.answers.borrow()[2].1.clone().unwrap_err();
    assert_eq!(full.retry_after_ms, Some(SpanMs(300)));
    assert_eq!(bench.stats().refused, 3);
    bench.world.pass(1_000);
    assert_eq!(bench.bodies().len(), 4);
}

#[test]
fn lost_answer_leaves_each_caller_of_the_batch_unsure() {
    // Two callers share an append whose answer is lost after it took effect. Told "not run", they
    // would hand their records in again, and a claim would stand twice in the log.
    let mut bench = Bench::open(settings());
    bench.hand_in(&["a"]);
    bench.world.pass(10);
    bench.world.strike(Operation::Append, 1, Fault::LoseAnswer);
    bench.hand_in(&["b"]);
    bench.hand_in(&["c"]);
    bench.world.pass(200);
    let unsure = |index| (index, Verdict::MayHaveRun, ErrorKind::Unavailable);
    assert_eq!(bench.failures(), [unsure(1), unsure(2)]);
    assert_eq!(bench.bodies(), ["a", "b", "c"]);
    assert_eq!(bench.stats().may_have_run, 1);
}

/// The log takes fewer appends than all nodes together send, and refuses one with a time to come
/// back. Only the callers of that append are told "not run"; those who hand in meanwhile wait out
/// the time, instead of being refused in turn though the log is up.
#[test]
fn rate_refusal_of_the_log_pauses_but_keeps_those_who_wait() {
    let platform = PlatformSettings {
        appends: PerSecond(1.0),
        ..PlatformSettings::default()
    };
    let mut bench = Bench::on(platform, settings());
    bench.hand_in(&["a"]);
    bench.world.pass(10);
    bench.hand_in(&["b"]);
    bench.world.pass(100);
    assert_eq!(
        bench.failures(),
        [(1, Verdict::NotRun, ErrorKind::Overloaded)]
    );
    bench.hand_in(&["c"]);
    bench.world.pass(2_000);
    assert_eq!(bench.bodies(), ["a", "c"]);
    assert_eq!(bench.world.model.borrow().stats().refused_appends, 1);
}

#[test]
fn outage_refuses_at_once_with_a_time() {
    // The log freezes for ten minutes. The first callers wait out the timeout and are unsure;
    // after that callers are told "not run, come back" at once, and few appends are tried.
    let mut bench = Bench::open(settings());
    bench.world.model.borrow_mut().faults.freeze = true;
    for _ in 0..600 {
        bench.hand_in(&["r"]);
        bench.world.pass(1_000);
    }
    let stats = bench.stats();
    assert!(stats.may_have_run <= 80, "{stats:?}");
    assert!(stats.refused >= 200, "{stats:?}");
    let answers = bench.answers.borrow();
    let refused = answers.iter().filter_map(|(_, a)| a.as_ref().err());
    let refused = refused.filter(|error| error.verdict == Verdict::NotRun);
    assert!(refused.clone().all(|error| error.retry_after_ms.is_some()));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Each hand-in is answered once; `Ok` and `NotRun` are true, and nothing is sent twice.
    #[test]
    fn answers_are_true_under_any_faults(
        steps in prop::collection::vec((0u64..2_000, 0usize..4, 0usize..6, 0u32..3), 1..60),
    ) {
        let mut bench = Bench::open(settings());
        for (span_ms, hand_ins, fault, calls) in steps {
            let faults = [
                Fault::Down,
                Fault::Freeze,
                Fault::LoseAnswer,
                Fault::Slow(SpanMs(300)),
                Fault::Slow(SpanMs(7_000)),
            ];
            if let Some(fault) = faults.get(fault) {
                bench.world.strike(Operation::Append, calls, *fault);
            }
            for _ in 0..hand_ins {
                let body = format!("r{}", bench.handed_in);
                bench.hand_in(&[&body]);
            }
            bench.world.pass(span_ms);
        }
        bench.world.pass(120_000);
        let bodies = bench.bodies();
        let answers = bench.answers.borrow();
        prop_assert_eq!(answers.len(), bench.handed_in);
        for (index, answer) in answers.iter() {
            let body = format!("r{index}");
            let stored = bodies.iter().filter(|b| **b == body).count();
            match answer {
                Ok(offset) => prop_assert_eq!(&bodies[offset.0 as usize], &body),
                Err(error) if error.verdict == Verdict::NotRun => prop_assert_eq!(stored, 0),
                Err(_) => prop_assert!(stored <= 1),
            }
        }
    }
}
