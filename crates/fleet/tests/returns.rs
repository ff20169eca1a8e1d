//! Replays of peaks beyond the slots with callers that return, against the return times that many
//! nodes promise, and the failures that the promises have to bear.

use bluebell_base::prelude::*;
use bluebell_fleet::placement::{Fleet, Refusal};
use bluebell_fleet::prelude::*;
use bluebell_fleet::returns::{Arrivals, Durations, Forecast, GRACE_MS, MAX_PROMISES};
use rustc_hash::FxHashMap;

/// Engines of one service, their slots and the time for which a request holds one.
const ENGINES: u32 = 45;
const SLOTS: u32 = 12 * ENGINES;
const HOLD_MS: u64 = 1_600;
const TICK_MS: u64 = 10;
/// Longest wait at a node, and the time that nodes batch their promises for.
const MAX_WAIT_MS: u64 = 500;
const BATCH_MS: u64 = 60;
const DEADLINE_MS: u64 = 10_000;
const SOONEST_MS: SpanMs = SpanMs(300);

fn service() -> ServiceName {
    ServiceName("render".into())
}

/// A load in requests per second, as multiples of what the slots serve.
struct Pattern {
    nodes: usize,
    gossip_ms: u64,
    /// The share of gossip that is lost.
    lost: f64,
    usual: f64,
    peak: f64,
    peak_ms: (u64, u64),
    end_ms: u64,
    /// The number of immediate repeats of a third of the callers, which never honour a time.
    repeats: u32,
    /// True if requests that return in time go before new ones, as placements order them.
    ordered: bool,
}

impl Pattern {
    fn passing(nodes: usize) -> Self {
        Self {
            nodes,
            gossip_ms: 10,
            lost: 0.0,
            usual: 0.7,
            peak: 1.2,
            peak_ms: (3_000, 8_000),
            end_ms: 18_000,
            repeats: 0,
            ordered: true,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Request {
    digest: u64,
    arrived_ms: u64,
    deadline_ms: u64,
    returning: Returning,
    repeats_left: u32,
    honours: bool,
    is_return: bool,
    /// True if the refusal said that a slot is expected to be free.
    expects_slot: bool,
    node: usize,
}

/// What callers saw.
#[derive(Debug, Default)]
struct Report {
    honest: (u32, u32),
    in_time: (u32, u32),
    /// Returns for which a slot was promised: those that found one within 100 ms, and all.
    found: (u32, u32),
    /// Returns at the named moment that a node took for early.
    mistaken: u32,
    early_served: u32,
    early: u32,
    /// Refusals that said that the load lasts, of all refusals of new requests in the peak.
    lasting: (u32, u32),
    most_promises: usize,
    beyond_third: u32,
    /// Returns by step of 100 ms.
    returns: FxHashMap<u64, u32>,
}

struct Replay {
    pattern: Pattern,
    nodes: Vec<Returns>,
    ledger: Ledger,
    running: Vec<(u64, u32)>,
    waiting: Vec<Request>,
    /// Requests that arrive later, and promises on their way to all other nodes.
    later: Vec<(u64, Request)>,
    gossip: Vec<(u64, usize, u64, u64)>,
    sequence: u32,
    seed: u64,
    now_ms: u64,
    report: Report,
}

impl Replay {
    fn run(pattern: Pattern) -> Report {
        let mut replay = Self {
            nodes: vec![Returns::default(); pattern.nodes],
            ledger: Ledger::default(),
            running: Vec::new(),
            waiting: Vec::new(),
            later: Vec::new(),
            gossip: Vec::new(),
            sequence: 0,
            seed: 7,
            now_ms: 0,
            report: Report::default(),
            pattern,
        };
        let mut due = 0.0;
        while replay.now_ms < replay.pattern.end_ms {
            let pattern = &replay.pattern;
            let (from_ms, to_ms) = pattern.peak_ms;
            let in_peak = (from_ms..to_ms).contains(&replay.now_ms);
            let load = if in_peak { pattern.peak } else { pattern.usual };
            due += load * f64::from(SLOTS) / HOLD_MS as f64 * TICK_MS as f64;
            while due >= 1.0 {
                due -= 1.0;
                replay.arrive_new();
            }
            replay.tick();
            replay.now_ms += TICK_MS;
        }
        replay.report
    }

    fn draw(&mut self) -> f64 {
        self.seed = self.seed.wrapping_mul(6_364_136_223_846_793_005);
        self.seed = self.seed.wrapping_add(1_442_695_040_888_963_407);
        (self.seed >> 40) as f64 / (1u64 << 24) as f64
    }

    fn arrive_new(&mut self) {
        let honours = self.draw() >= 1.0 / 3.0;
        self.sequence += 1;
        let request = Request {
            digest: u64::from(self.sequence),
            arrived_ms: self.now_ms,
            deadline_ms: self.now_ms + DEADLINE_MS,
            returning: Returning::Unknown,
            repeats_left: if honours { 0 } else { self.pattern.repeats },
            honours,
            is_return: false,
            expects_slot: false,
            node: 0,
        };
        if honours {
            self.report.honest.1 += 1;
        }
        self.arrive(request);
    }

    /// Lets a request arrive at a random node.
    fn arrive(&mut self, mut request: Request) {
        request.node = (self.draw() * self.nodes.len() as f64) as usize;
        request.arrived_ms = self.now_ms;
        let now_ms = MonoMs(self.now_ms);
        let may_be_early = request.deadline_ms - self.now_ms < DEADLINE_MS;
        let returns = &mut self.nodes[request.node];
        request.returning = returns.classify(request.digest, may_be_early, now_ms);
        match request.returning {
            Returning::InTime => self.report.in_time.1 += 1,
            Returning::Early { left_ms } => {
                let forecast =
                    returns.forecast(&service(), SLOTS, self.ledger.works(), SpanMs::ZERO, now_ms);
                if !returns.may_serve_early(&service(), &forecast, left_ms, now_ms) {
                    self.report.early += 1;
                    self.report.mistaken += u32::from(request.honours);
                    return self.refused(request, left_ms);
                }
                returns.withdraw(request.digest, now_ms);
                self.report.early_served += 1;
            }
            Returning::Unknown => {}
        }
        self.waiting.push(request);
    }

    fn tick(&mut self) {
        let now = self.now_ms;
        self.deliver();
        let due: Vec<Request> = extract(&mut self.later, |(at, _)| *at <= now)
            .into_iter()
            .map(|(_, request)| request)
            .collect();
        for request in due {
            self.arrive(request);
        }
        for (_, sequence) in extract(&mut self.running, |(end, _)| *end <= now) {
            self.end(sequence);
        }
        // A return in time may cost its whole weight at once, so it is placed before new work.
        if self.pattern.ordered {
            let waiting = &mut self.waiting;
            waiting.sort_by_key(|r| r.returning != Returning::InTime);
        }
        let free = (SLOTS as usize).saturating_sub(self.running.len());
        let placed: Vec<Request> = self.waiting.drain(..free.min(self.waiting.len())).collect();
        for request in placed {
            self.place(request);
        }
        for request in extract(&mut self.waiting, |r| now >= r.arrived_ms + MAX_WAIT_MS) {
            self.refuse(request);
        }
        let promises = self.nodes.iter().map(Returns::promise_count).max();
        self.report.most_promises = self.report.most_promises.max(promises.unwrap_or(0));
    }

    fn deliver(&mut self) {
        let now = self.now_ms;
        for (_, from, digest, after_ms) in extract(&mut self.gossip, |(at, ..)| *at <= now) {
            for to in (0..self.nodes.len()).filter(|to| *to != from) {
                if self.pattern.lost > 0.0 && self.draw() < self.pattern.lost {
                    continue;
                }
                let after_ms = SpanMs(after_ms);
                self.nodes[to].on_peer_promise(&service(), digest, after_ms, MonoMs(now));
            }
        }
    }

    fn place(&mut self, request: Request) {
        self.sequence += 1;
        let id = id(self.sequence);
        self.ledger.put(id, work(self.now_ms), MonoMs(self.now_ms));
        self.ledger.set_stage(id, Stage::Writing);
        for node in &mut self.nodes {
            node.on_placed(&service(), MonoMs(self.now_ms));
        }
        let hold_ms = HOLD_MS as f64 * (0.7 + 0.6 * self.draw());
        self.running
            .push((self.now_ms + hold_ms as u64, self.sequence));
        self.report.honest.0 += u32::from(request.honours);
        let at_once = self.now_ms < request.arrived_ms + 100;
        self.report.found.0 += u32::from(at_once && request.is_return && request.expects_slot);
        self.report.in_time.0 += u32::from(request.returning == Returning::InTime);
    }

    fn end(&mut self, sequence: u32) {
        let work = self.ledger.get(id(sequence)).expect("it runs").clone();
        for node in &mut self.nodes {
            node.on_ended(&service(), &work, MonoMs(self.now_ms));
        }
        self.ledger.remove(id(sequence));
    }

    fn refuse(&mut self, mut request: Request) {
        let now_ms = MonoMs(self.now_ms);
        let draw = self.draw();
        let left_ms = SpanMs(request.deadline_ms.saturating_sub(self.now_ms));
        let refused = RefusedRequest {
            service: &service(),
            digest: request.digest,
            soonest_ms: SOONEST_MS,
            left_ms,
            draw,
        };
        let returns = &mut self.nodes[request.node];
        let forecast = returns.forecast(
            &service(),
            SLOTS,
            self.ledger.works(),
            SpanMs(MAX_WAIT_MS),
            now_ms,
        );
        let time = returns.promise(&refused, &forecast, now_ms);
        for promise in returns.take_unsent() {
            let sent_ms = self.now_ms + BATCH_MS;
            let after_ms = promise.at_ms.since(MonoMs(sent_ms)).0;
            let at_ms = sent_ms + self.pattern.gossip_ms;
            self.gossip
                .push((at_ms, request.node, promise.digest, after_ms));
        }
        if !request.is_return {
            self.report.lasting.0 += u32::from(time.load == ExpectedLoad::Lasts);
            self.report.lasting.1 += 1;
        }
        self.report.beyond_third += u32::from(time.after_ms.0 > left_ms.0 / 3);
        request.expects_slot = time.load == ExpectedLoad::Passes;
        self.refused(request, time.after_ms);
    }

    /// Lets the caller of a refused request go on: callers that honour times return once.
    fn refused(&mut self, mut request: Request, after_ms: SpanMs) {
        if request.honours && !request.is_return {
            request.is_return = true;
            self.report.found.1 += u32::from(request.expects_slot);
            let at_ms = self.now_ms + after_ms.0;
            *self.report.returns.entry(at_ms / 100).or_default() += 1;
            self.later.push((at_ms, request));
        } else if request.repeats_left > 0 {
            request.repeats_left -= 1;
            self.later.push((self.now_ms + TICK_MS, request));
        }
    }
}

fn extract<T>(from: &mut Vec<T>, takes: impl Fn(&T) -> bool) -> Vec<T> {
    let (taken, left) = std::mem::take(from).into_iter().partition(takes);
    *from = left;
    taken
}

fn id(sequence: u32) -> WorkId {
    let owner = OwnerId(1);
    WorkId { owner, sequence }
}

fn work(placed_ms: u64) -> Work {
    Work {
        first: ReplicaKey(0),
        helpers: Vec::new(),
        memory: Vec::new(),
        stage: Stage::Reading,
        placed_ms: MonoMs(placed_ms),
        prompt_tokens: Tokens(5_000),
        part_ms: 20.0,
        gap_ms: SpanMs(200),
        due_ms: MonoMs(placed_ms + 300),
    }
}

fn share((part, all): (u32, u32)) -> f64 {
    f64::from(part) / f64::from(all.max(1))
}

/// Guards against times after which callers are refused once more, although the peak has passed.
#[test]
fn returns_in_time_are_served_once_a_peak_passes() {
    for (nodes, peak) in [(7, 1.2), (7, 1.5), (58, 1.2), (58, 1.5), (195, 1.2)] {
        for gossip_ms in [10, 200] {
            let report = Replay::run(Pattern {
                gossip_ms,
                peak,
                ..Pattern::passing(nodes)
            });
            let case = format!("{nodes} nodes, peak {peak}, gossip {gossip_ms} ms: {report:?}");
            assert!(report.in_time.1 > 100, "{case}");
            assert!(share(report.in_time) >= 0.9, "{case}");
            assert_eq!(report.mistaken, 0, "{case}");
            assert_eq!(report.beyond_third, 0, "{case}");
        }
    }
}

/// Guards against times that hold only because returns go before new requests: most that were told
/// of a free slot must find one at once, also in turn with new requests.
#[test]
fn a_promised_slot_is_free() {
    for nodes in [7, 58, 195] {
        let report = Replay::run(Pattern {
            ordered: false,
            usual: 0.5,
            peak: 3.0,
            peak_ms: (3_000, 3_600),
            ..Pattern::passing(nodes)
        });
        assert!(report.found.1 > 20, "{nodes} nodes: {:?}", report.found);
        assert!(
            share(report.found) >= 0.9,
            "{nodes} nodes: {:?}",
            report.found
        );
    }
}

/// Guards against refusals that name a moment in a load that goes on as if a slot were free then.
#[test]
fn refusals_say_that_a_load_lasts() {
    for nodes in [7, 58, 195] {
        let pattern = Pattern {
            peak: 1.3,
            peak_ms: (2_000, 20_000),
            end_ms: 14_000,
            ..Pattern::passing(nodes)
        };
        let report = Replay::run(pattern);
        assert!(
            share(report.lasting) >= 0.9,
            "{nodes} nodes: {:?}",
            report.lasting
        );
        assert_eq!(report.beyond_third, 0, "{nodes} nodes");
        // Those that return in time go before new requests, also in a load that lasts.
        assert!(
            share(report.in_time) >= 0.9,
            "{nodes} nodes: {:?}",
            report.in_time
        );
    }
}

/// Guards against callers that repeat at once and so get served before those that wait.
#[test]
fn immediate_repeats_gain_nothing() {
    for (nodes, peak) in [(7, 1.2), (7, 1.5), (58, 1.2), (58, 1.5), (195, 1.2)] {
        let pattern = || Pattern {
            peak,
            ..Pattern::passing(nodes)
        };
        let without = Replay::run(pattern());
        let with = Replay::run(Pattern {
            repeats: 3,
            ..pattern()
        });
        let case = format!("{nodes} nodes, peak {peak}: {with:?}, without: {without:?}");
        assert!(with.early > 0, "{case}");
        assert_eq!(with.early_served, 0, "{case}");
        assert!(share(with.honest) >= share(without.honest), "{case}");
        assert!(share(with.in_time) >= 0.9, "{case}");
    }
}

/// Guards against return times that bring all callers back at one instant.
#[test]
fn returns_are_spread_over_time() {
    let report = Replay::run(Pattern::passing(58));
    let total: u32 = report.returns.values().sum();
    let most = *report.returns.values().max().expect("some return");
    assert!(
        f64::from(most) <= f64::from(total) * 0.15,
        "{most} of {total}"
    );
}

/// Guards against promises that harm others where gossip is lost or a node has no peers.
#[test]
fn lost_gossip_and_a_node_alone_harm_nobody() {
    for (nodes, lost) in [(1, 0.0), (58, 0.5), (58, 1.0)] {
        let report = Replay::run(Pattern {
            lost,
            repeats: 3,
            ..Pattern::passing(nodes)
        });
        let case = format!("{nodes} nodes, {lost} lost: {report:?}");
        assert!(share(report.in_time) >= 0.9, "{case}");
        assert!(share(report.honest) >= 0.99, "{case}");
        assert_eq!(report.mistaken, 0, "{case}");
    }
}

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
