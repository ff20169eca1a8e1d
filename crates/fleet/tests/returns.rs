//! Tests of single promises of return times, and of the failures that they have to bear.

mod returning;

use bluebell_base::prelude::*;
use bluebell_fleet::placement::{Fleet, Refusal};
use bluebell_fleet::prelude::*;
use bluebell_fleet::returns::{Arrivals, Durations, Forecast, GRACE_MS, MAX_PROMISES};
use returning::{SOONEST_MS, id, service, work};

/// A forecast of engines with this many slots, all taken by requests that were just placed or none.
fn forecast(slots: u32, taken: u32) -> Forecast {
    let works: Vec<Work> = (0..taken).map(|_| work(0)).collect();
    let durations = Durations::default();
    Forecast::of(
        slots,
        works.iter(),
        &durations,
        Arrivals::default(),
        MonoMs(0),
    )
}

fn refused(digest: u64, left_ms: u64) -> (ServiceName, u64, SpanMs) {
    (service(), digest, SpanMs(left_ms))
}

fn promise(
    returns: &mut Returns,
    (service, digest, left_ms): (ServiceName, u64, SpanMs),
    forecast: &Forecast,
    now_ms: MonoMs,
) -> ReturnTime {
    let request = RefusedRequest {
        service: &service,
        digest,
        soonest_ms: SOONEST_MS,
        left_ms,
        draw: 0.5,
    };
    returns.promise(&request, forecast, now_ms)
}

/// Guards against more returns at one time than slots that end by then.
#[test]
fn as_many_returns_are_promised_as_slots_end() {
    let mut returns = Returns::default();
    let forecast = forecast(12, 12);
    let mut times = Vec::new();
    for digest in 0..24 {
        times.push(promise(
            &mut returns,
            refused(digest, 12_000),
            &forecast,
            MonoMs(0),
        ));
    }
    let at_first: Vec<&ReturnTime> = times
        .iter()
        .filter(|time| time.load == ExpectedLoad::Passes && time.after_ms.0 < 3_500)
        .collect();
    assert_eq!(at_first.len(), 12, "{times:?}");
    assert!(
        at_first.iter().all(|time| time.after_ms.0 >= 2_000),
        "{times:?}"
    );
}

/// Guards against callers that were told the same step and return at the same instant, whether a slot is free or not.
#[test]
fn returns_are_spread_within_a_step() {
    for taken in [0, 40] {
        let at = |draw| {
            let request = RefusedRequest {
                service: &service(),
                digest: 1,
                soonest_ms: SOONEST_MS,
                left_ms: SpanMs(9_000),
                draw,
            };
            let forecast = forecast(12, taken);
            Returns::default().promise(&request, &forecast, MonoMs(0))
        };
        let (one, other) = (at(0.0).after_ms, at(0.99).after_ms);
        let spread_ms = one.0.abs_diff(other.0);
        assert!((90..100).contains(&spread_ms), "{one}, {other}");
    }
}

/// Guards against a time that the caller doesn't honour, whatever time it has left.
#[test]
fn no_time_beyond_a_third_is_named() {
    for left_ms in [0, 50, 500, 3_000, 15_000, 600_000] {
        for taken in [0, 12, 40] {
            let mut returns = Returns::default();
            let time = promise(
                &mut returns,
                refused(1, left_ms),
                &forecast(12, taken),
                MonoMs(77),
            );
            assert!(time.after_ms.0 <= left_ms / 3, "{left_ms}: {time:?}");
            assert!(time.after_ms.0 <= 5_000, "{left_ms}: {time:?}");
        }
    }
}

/// Guards against a promise that a lost node or datagram leaves unknown, and against one that lasts for ever.
#[test]
fn an_unknown_or_old_promise_counts_as_new() {
    let (mut first, mut second) = (Returns::default(), Returns::default());
    let time = promise(&mut first, refused(1, 9_000), &forecast(12, 12), MonoMs(0));
    assert_eq!(
        second.classify(1, true, MonoMs(time.after_ms.0)),
        Returning::Unknown
    );
    let over_ms = MonoMs(0) + time.after_ms + GRACE_MS + SpanMs(1);
    assert_eq!(first.clone().classify(1, true, over_ms), Returning::Unknown);
    let last_ms = MonoMs(0) + time.after_ms + GRACE_MS;
    assert_eq!(first.classify(1, true, last_ms), Returning::InTime);
    assert_eq!(
        first.classify(1, true, last_ms),
        Returning::Unknown,
        "it was used up"
    );
    assert!(!first.has_promises());
}

/// Guards against clocks that differ between nodes: only durations are sent.
#[test]
fn promises_hold_between_nodes_whose_clocks_differ() {
    let (mut first, mut second) = (Returns::default(), Returns::default());
    let here_ms = MonoMs(1_000);
    let time = promise(&mut first, refused(1, 9_000), &forecast(12, 12), here_ms);
    let sent = first.take_unsent().pop().expect("one promise");
    let after_ms = sent.at_ms.since(here_ms);
    let there_ms = MonoMs(90_000_000);
    second.on_peer_promise(&sent.service, sent.digest, after_ms, there_ms);
    let early = second.classify(1, true, there_ms + SpanMs(100));
    let left_ms = time.after_ms.saturating_sub(SpanMs(100));
    assert_eq!(early, Returning::Early { left_ms });
    assert_eq!(
        second.classify(1, true, there_ms + time.after_ms),
        Returning::InTime
    );
}

/// Guards against repeats at nodes that don't know the promise, which would bring it forward elsewhere.
#[test]
fn a_promise_is_never_brought_forward() {
    let mut returns = Returns::default();
    let now_ms = MonoMs(0);
    let time = promise(&mut returns, refused(1, 9_000), &forecast(12, 12), now_ms);
    returns.on_peer_promise(&service(), 1, SpanMs(300), now_ms);
    let left_ms = time.after_ms;
    assert_eq!(
        returns.classify(1, true, now_ms),
        Returning::Early { left_ms }
    );
    let kept = promise(&mut returns, refused(1, 9_000), &forecast(12, 0), now_ms);
    assert_eq!(kept.after_ms, time.after_ms);
    returns.on_peer_promise(&service(), 1, SpanMs(4_000), now_ms);
    let later = Returning::Early {
        left_ms: SpanMs(4_000),
    };
    assert_eq!(returns.classify(1, true, now_ms), later);
}

/// Guards against one caller's promise that keeps others out whose requests have the same body.
#[test]
fn another_request_with_the_same_body_is_not_early() {
    let mut returns = Returns::default();
    let full = forecast(12, 12);
    let time = promise(&mut returns, refused(1, 9_000), &full, MonoMs(0));
    assert_eq!(returns.classify(1, false, MonoMs(10)), Returning::Unknown);
    let left_ms = time.after_ms.saturating_sub(SpanMs(10));
    let early = Returning::Early { left_ms };
    assert_eq!(returns.classify(1, true, MonoMs(10)), early);
}

/// Guards against state that grows with callers, repeats or absurd gossip.
#[test]
fn state_is_bounded() {
    let mut returns = Returns::default();
    let full = forecast(12, 12);
    for digest in 0..10_000 {
        let now_ms = MonoMs(digest / 10);
        promise(&mut returns, refused(digest, 9_000), &full, now_ms);
        returns.on_peer_promise(&service(), digest + 10_000, SpanMs(u64::MAX), now_ms);
    }
    assert!(returns.promise_count() <= MAX_PROMISES);
    assert!(returns.take_unsent().len() <= MAX_PROMISES);
    // The newest ones are kept, none for longer than the horizon.
    assert!(
        matches!(returns.classify(19_999, true, MonoMs(999)), Returning::Early { left_ms } if left_ms.0 <= 5_000)
    );
    assert_eq!(returns.classify(0, true, MonoMs(999)), Returning::Unknown);
}

/// Guards against idle slots that are kept from a caller because it comes early, and against callers that come early and
/// take a slot from those that wait for their time.
#[test]
fn an_early_return_is_served_only_beside_all_that_wait() {
    let mut returns = Returns::default();
    let now_ms = MonoMs(0);
    for digest in 0..3 {
        promise(
            &mut returns,
            refused(digest, 9_000),
            &forecast(3, 3),
            now_ms,
        );
    }
    let Returning::Early { left_ms } = returns.classify(2, true, now_ms) else {
        panic!("it is early");
    };
    let may = |free| returns.may_serve_early(&service(), &forecast(free, 0), left_ms, now_ms);
    assert!(!may(0) && !may(2));
    assert!(may(3), "one for each of the others and one for itself");
}

/// Guards against a slot that is taken for idle because requests usually end at once.
#[test]
fn a_slot_is_not_idle_before_its_end_is_known() {
    let mut returns = Returns::default();
    let ended = Work {
        stage: Stage::Writing,
        ..work(0)
    };
    returns.on_ended(&service(), &ended, MonoMs(0));
    let now_ms = MonoMs(500);
    let works = [work(0)];
    let forecast = returns.forecast(&service(), 1, works.iter(), SpanMs::ZERO, now_ms);
    assert!(!returns.may_serve_early(&service(), &forecast, SpanMs(900), now_ms));
}

/// Guards against returns that wait like new requests while engines would take them at a cost below their weight.
#[test]
fn a_request_that_returns_in_time_may_cost_its_whole_weight() {
    let spec = EngineSpec {
        slots: 12,
        memory_tokens: Tokens(382_500),
        step_ms: 0.5,
        per_writer_ms: 0.03,
        per_context_k_ms: 0.0005,
        read_per_s: 256_000.0,
        pairs_per_m_ms: 0.01,
        chunk_tokens: Tokens(2_048),
        stride: 52,
        hop_ms: 0.1,
    };
    let demand = |returned| Demand {
        prompt_tokens: Tokens(5_000),
        answer_tokens: Tokens(1_700),
        gap_ms: SpanMs(200),
        target_ms: 300.0,
        target_left_ms: 300.0,
        caller_timeout_left_ms: 2_000.0,
        deadline_left_ms: 10_000.0,
        cost_limit: WaitTimeouts::cost_limit(SpanMs::ZERO, SpanMs(300)),
        partly_answered: false,
        wait_expired: false,
        held: false,
        returned,
    };
    let mut costs = Vec::new();
    for backlog in 0..40 {
        let mut ledger = Ledger::default();
        for sequence in 0..10 + backlog % 4 {
            ledger.put(id(sequence), work(0), MonoMs(0));
            ledger.set_stage(id(sequence), Stage::Writing);
        }
        for sequence in 100..100 + backlog / 4 {
            ledger.put(id(sequence), work(0), MonoMs(0));
        }
        let place = |ledger: &mut Ledger, returned| {
            let fleet = Fleet::of([ReplicaKey(0)].into_iter(), ledger.loads(MonoMs(0)), 7, 0);
            place_engine(&spec, &fleet, &demand(returned))
        };
        if let Err(Refusal::Overloaded { cost_pct, .. }) = place(&mut ledger, false) {
            let returned = place(&mut ledger, true);
            assert_eq!(
                returned.is_ok(),
                cost_pct < 100,
                "{cost_pct} %: {returned:?}"
            );
            costs.push(cost_pct);
        }
    }
    assert!(
        costs.iter().any(|cost| (25..100).contains(cost)),
        "{costs:?}"
    );
}

/// Guards against identical requests of several callers that are turned away as early, because others
/// with the same body were promised a moment.
#[test]
fn several_requests_with_the_same_body_are_not_early() {
    let mut returns = Returns::default();
    let full = forecast(12, 12);
    let first = promise(&mut returns, refused(1, 9_000), &full, MonoMs(0));
    let second = promise(&mut returns, refused(1, 9_000), &full, MonoMs(0));
    assert_eq!(first.after_ms, second.after_ms);
    assert_eq!(returns.classify(1, true, MonoMs(10)), Returning::Unknown);
    let due_ms = MonoMs(first.after_ms.0);
    assert_eq!(returns.classify(1, true, due_ms), Returning::InTime);
}
