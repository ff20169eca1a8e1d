//! Tests the effect of each fault of the in-process network on a call.

use bluebell_base::prelude::*;
use bluebell_peers::fakes::{FakeNet, NetFaults};
use bluebell_peers::{Incoming, PeerAnswer, PeerCall, PeerPort};
use bluebell_timers::Timers;
use stakker::{Fwd, Ret, Stakker};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

const TIMEOUT_MS: u64 = 2000;

struct Outcome {
    served: u32,
    answer: Option<Result<PeerAnswer, Error>>,
    took_ms: u64,
}

fn outcome(set_up: impl FnOnce(&FakeNet, &Address, &Address)) -> Outcome {
    let origin = Instant::now();
    let mut stakker = Stakker::new(origin);
    let timers = Timers::open(origin);
    let net = FakeNet::open(&timers, SpanMs(TIMEOUT_MS), 1);
    let (here, there) = (Address::from("10.0.0.1:1"), Address::from("10.0.0.2:1"));
    let served = Rc::new(Cell::new(0));
    let count = Rc::clone(&served);
    let serve = Fwd::new(move |incoming: Incoming| {
        count.set(count.get() + 1);
        incoming.ret.ret(Ok(PeerAnswer::Settled));
    });
    net.register(&there, serve);
    set_up(&net, &here, &there);
    let slot: Rc<RefCell<Option<Result<PeerAnswer, Error>>>> = Rc::default();
    let taken = Rc::clone(&slot);
    let ret = Ret::new(move |answer| *taken.borrow_mut() = answer);
    let call = PeerCall::Config {
        have: ConfigVersion(1),
    };
    net.port(&here).call(&mut stakker, &there, call, ret);
    let mut took_ms = 0;
    while slot.borrow().is_none() && took_ms < 2 * TIMEOUT_MS {
        took_ms += 1;
        stakker.run(origin + Duration::from_millis(took_ms), false);
    }
    stakker.run(origin + Duration::from_millis(4 * TIMEOUT_MS), false);
    Outcome {
        served: served.get(),
        answer: slot.take(),
        took_ms,
    }
}

fn faults(change: impl FnOnce(&mut NetFaults)) -> NetFaults {
    let mut faults = NetFaults::default();
    change(&mut faults);
    faults
}

#[test]
fn each_fault_has_its_verdict() {
    type SetUp = fn(&FakeNet, &Address, &Address);
    let cases: [(&str, SetUp, u32, Option<Verdict>, u64); 6] = [
        ("none", |_, _, _| (), 1, None, 2),
        (
            "nobody there",
            |net, _, there| net.unregister(there),
            0,
            Some(Verdict::NotRun),
            2,
        ),
        (
            "cut",
            |net, here, there| net.cut(here, there),
            0,
            Some(Verdict::MayHaveRun),
            2000,
        ),
        (
            "call lost",
            |net, _, _| net.set_faults(faults(|f| f.lost_calls = 1.0)),
            0,
            Some(Verdict::MayHaveRun),
            2000,
        ),
        (
            "answer lost",
            |net, _, _| net.set_faults(faults(|f| f.lost_answers = 1.0)),
            1,
            Some(Verdict::MayHaveRun),
            2000,
        ),
        (
            "call twice",
            |net, _, _| net.set_faults(faults(|f| f.duplicated_calls = 1.0)),
            2,
            None,
            2,
        ),
    ];
    for (name, set_up, served, verdict, took_ms) in cases {
        let outcome = outcome(set_up);
        let answer = outcome.answer.expect("answered");
        assert_eq!(answer.err().map(|error| error.verdict), verdict, "{name}");
        assert_eq!(outcome.served, served, "{name}");
        // The timers may fire slightly late, but never early.
        let near = took_ms..took_ms + 10;
        assert!(
            near.contains(&outcome.took_ms),
            "{name}: {}",
            outcome.took_ms
        );
    }
}
