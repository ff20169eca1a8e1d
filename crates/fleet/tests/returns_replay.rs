//! Replays of peaks beyond the slots with callers that return, against the return times that many
//! nodes promise.

mod returning;

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use returning::{SOONEST_MS, id, service, work};
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
