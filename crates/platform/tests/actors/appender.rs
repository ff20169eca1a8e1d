//! Tests group commit: batches, rate, limits, and the answers to callers when appends fail.

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
    submitted: usize,
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
            submitted: 0,
        }
    }

    fn submit(&mut self, records: &[&str]) {
        let records = records.iter().map(|&body| body.into()).collect();
        let (answers, index) = (Rc::clone(&self.answers), self.submitted);
        self.submitted += 1;
        let ret = Ret::new(move |answer: Option<_>| {
            answers.borrow_mut().push((index, answer.unwrap()));
        });
        call!([self.appender], append(records, ret));
    }

    /// Returns the offsets answered, in the order of the answers.
    fn offsets(&self) -> Vec<u64> {
        let answers = self.answers.borrow();
        answers.iter().map(|(_, a)| a.as_ref().unwrap().0).collect()
    }

    /// Returns the failures answered, in the order of the answers.
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
        self.world.advance(0);
        slot.take().unwrap()
    }
}

#[test]
fn records_submitted_during_an_append_share_the_next_one() {
    let mut bench = Bench::open(settings());
    bench.submit(&["a1", "a2"]);
    bench.submit(&["b1"]);
    bench.submit(&["c1", "c2"]);
    bench.world.advance(10);
    assert_eq!(bench.offsets(), [0]);
    bench.world.advance(200);
    assert_eq!(bench.offsets(), [0, 2, 3]);
    assert_eq!(bench.bodies(), ["a1", "a2", "b1", "c1", "c2"]);
    let stats = bench.stats();
    assert_eq!((stats.appends, stats.records), (2, 5));
    assert_eq!((stats.bytes, stats.waiting), (Bytes(10), 0));
}

#[test]
fn batches_stay_within_their_size() {
    let mut bench = Bench::open(settings());
    for _ in 0..5 {
        bench.submit(&["12345678"]);
    }
    bench.world.advance(1_000);
    assert_eq!(bench.offsets(), [0, 1, 2, 3, 4]);
    assert_eq!(bench.world.model.borrow().stats().appends, 3);
}

#[test]
fn appends_stay_within_their_rate() {
    let mut bench = Bench::open(settings());
    for _ in 0..1_000 {
        bench.submit(&["r"]);
        bench.world.advance(10);
    }
    bench.world.advance(200);
    assert_eq!(bench.answers.borrow().len(), 1_000);
    let appends = bench.world.model.borrow().stats().appends;
    assert!((95..=102).contains(&appends), "{appends} in 10 s");
}

#[test]
fn submissions_beyond_the_limits_are_refused_at_once() {
    let mut bench = Bench::open(settings());
    bench.submit(&[]);
    bench.submit(&["12345678", "123456789"]);
    for _ in 0..5 {
        bench.submit(&["0123456789abcdef"]);
    }
    bench.world.advance(0);
    let refused = [
        (0, Verdict::NotRun, ErrorKind::Invalid),
        (1, Verdict::NotRun, ErrorKind::TooLarge),
        (6, Verdict::NotRun, ErrorKind::Overloaded),
    ];
    assert_eq!(bench.failures(), refused);
    let full = bench.answers.borrow()[2].1.clone().unwrap_err();
    assert_eq!(full.retry_after_ms, Some(SpanMs(300)));
    assert_eq!(bench.stats().refused, 3);
    bench.world.advance(1_000);
    assert_eq!(bench.bodies().len(), 4);
}

#[test]
fn lost_answer_is_may_have_run_for_each_caller_of_the_batch() {
    // Two callers share an append whose answer is lost after it took effect. If they received "not
    // run", they would submit their records again, and a claim would be in the log twice.
    let mut bench = Bench::open(settings());
    bench.submit(&["a"]);
    bench.world.advance(10);
    bench
        .world
        .inject_fault(Operation::Append, 1, Fault::LoseAnswer);
    bench.submit(&["b"]);
    bench.submit(&["c"]);
    bench.world.advance(200);
    let may_have_run = |index| (index, Verdict::MayHaveRun, ErrorKind::Unavailable);
    assert_eq!(bench.failures(), [may_have_run(1), may_have_run(2)]);
    assert_eq!(bench.bodies(), ["a", "b", "c"]);
    assert_eq!(bench.stats().may_have_run, 1);
}

/// The log accepts fewer appends than all nodes together send, and refuses one with a retry time.
/// Only the callers of that append receive "not run". Submissions made in the meantime wait for
/// that time rather than being refused although the log is reachable.
#[test]
fn rate_refusal_of_the_log_pauses_and_keeps_waiting_submissions() {
    let platform = PlatformSettings {
        appends: PerSecond(1.0),
        ..PlatformSettings::default()
    };
    let mut bench = Bench::on(platform, settings());
    bench.submit(&["a"]);
    bench.world.advance(10);
    bench.submit(&["b"]);
    bench.world.advance(100);
    assert_eq!(
        bench.failures(),
        [(1, Verdict::NotRun, ErrorKind::Overloaded)]
    );
    bench.submit(&["c"]);
    bench.world.advance(2_000);
    assert_eq!(bench.bodies(), ["a", "c"]);
    assert_eq!(bench.world.model.borrow().stats().refused_appends, 1);
}

#[test]
fn outage_refuses_at_once_with_a_retry_time() {
    // The log freezes for ten minutes. The first callers wait for the timeout and receive "may have
    // run". Later callers receive "not run" with a retry time at once, and few appends are
    // attempted.
    let mut bench = Bench::open(settings());
    bench.world.model.borrow_mut().faults.freeze = true;
    for _ in 0..600 {
        bench.submit(&["r"]);
        bench.world.advance(1_000);
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

    /// Each submission is answered once, `Ok` and `NotRun` are correct, and nothing is sent twice.
    #[test]
    fn answers_are_correct_under_any_faults(
        steps in prop::collection::vec((0u64..2_000, 0usize..4, 0usize..6, 0u32..3), 1..60),
    ) {
        let mut bench = Bench::open(settings());
        for (span_ms, submissions, fault, calls) in steps {
            let faults = [
                Fault::Down,
                Fault::Freeze,
                Fault::LoseAnswer,
                Fault::Slow(SpanMs(300)),
                Fault::Slow(SpanMs(7_000)),
            ];
            if let Some(fault) = faults.get(fault) {
                bench.world.inject_fault(Operation::Append, calls, *fault);
            }
            for _ in 0..submissions {
                let body = format!("r{}", bench.submitted);
                bench.submit(&[&body]);
            }
            bench.world.advance(span_ms);
        }
        bench.world.advance(120_000);
        let bodies = bench.bodies();
        let answers = bench.answers.borrow();
        prop_assert_eq!(answers.len(), bench.submitted);
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
