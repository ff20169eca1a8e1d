//! Tests of the placements of nodes that have just started.

use bluebell_base::prelude::*;
use bluebell_fleet::fanout::digest_interval;
use bluebell_fleet::placement::Fleet;
use bluebell_fleet::prelude::*;
use bluebell_fleet::startup::{MAX_WARM_UP_MS, WarmUpEnd, join_pause};

const ENGINES: u32 = 45;
const QUEUE: usize = 24;
const TARGET_MS: u64 = 300;

/// The time for which an answer to a short prompt is written: 33 events, one per pass.
const WRITING_MS: u64 = 1_600;

/// The time after its start within which a node meets its peers.
const MEETING_MS: std::ops::Range<u64> = 300..600;

/// The time that gossip takes.
const GOSSIP_MS: u64 = 8;

fn spec() -> EngineSpec {
    EngineSpec {
        slots: 12,
        memory_tokens: Tokens(382_500),
        step_ms: 0.925,
        per_writer_ms: 0.00483,
        per_context_k_ms: 0.00254,
        read_per_s: 256_000.0,
        pairs_per_m_ms: 0.0917,
        chunk_tokens: Tokens(2_048),
        stride: 52,
        hop_ms: 0.1,
    }
}

/// A sequence of pseudo-random numbers (SplitMix64).
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}

fn short_demand(waited_ms: u64) -> Demand {
    let timeouts = WaitTimeouts::of(SpanMs(TARGET_MS), SpanMs(200));
    Demand {
        prompt_tokens: Tokens(5_000),
        answer_tokens: Tokens(33 * 52),
        gap_ms: SpanMs(200),
        target_ms: TARGET_MS as f64,
        target_left_ms: TARGET_MS.saturating_sub(waited_ms) as f64,
        caller_timeout_left_ms: timeouts.caller_timeout_ms.0.saturating_sub(waited_ms) as f64,
        deadline_left_ms: 10_000.0 - waited_ms as f64,
        cost_limit: WaitTimeouts::cost_limit(SpanMs(waited_ms), SpanMs(TARGET_MS)),
        partly_answered: false,
        wait_expired: waited_ms >= timeouts.max_wait_ms.0,
        held: false,
        returned: false,
    }
}

/// One node under test.
struct Node {
    owner: OwnerId,
    ledger: Ledger,
    startup: Startup,
    started_ms: u64,
    met_ms: u64,
    placed: u32,
    /// The arrivals of requests that wait, with the time of the next attempt.
    waiting: Vec<(u64, u64)>,
}

impl Node {
    fn new(number: usize, started_ms: u64, draws: &mut Draws) -> Self {
        let meeting_ms = MEETING_MS.start + draws.below(MEETING_MS.end - MEETING_MS.start);
        Self {
            owner: OwnerId(draws.next() ^ number as u64),
            ledger: Ledger::default(),
            startup: Startup::default(),
            started_ms,
            met_ms: started_ms + meeting_ms,
            placed: 0,
            waiting: Vec::new(),
        }
    }

    /// Chooses an engine as a node does, and records the work.
    fn place(
        &mut self,
        demand: &Demand,
        nodes: usize,
        draw: u64,
        now_ms: MonoMs,
    ) -> Result<(WorkId, Work), Refusal> {
        let spec = spec();
        let keys: Vec<ReplicaKey> = (0..ENGINES).map(ReplicaKey).collect();
        let own = self.startup.own_placements(&self.ledger, self.owner);
        let loads = self.ledger.loads(now_ms);
        let corrected = self
            .startup
            .loads(keys.iter().copied(), loads, &spec, now_ms);
        let fleet = Fleet::of(keys.iter().copied(), loads, nodes, draw);
        let mut fleet = fleet.with_loads(&corrected);
        if let Some(own) = own {
            if own.has_own_share(&keys, &spec, nodes) {
                let retry_after_ms = SpanMs(TARGET_MS);
                return Err(Refusal::NoRoom { retry_after_ms });
            }
            fleet = own.spread(fleet);
        }
        let placement = place_engine(&spec, &fleet, demand)?;
        self.placed += 1;
        let id = WorkId {
            owner: self.owner,
            sequence: self.placed,
        };
        let work = Work {
            first: placement.first,
            helpers: placement.helpers,
            memory: placement.memory,
            stage: Stage::Reading,
            placed_ms: now_ms,
            prompt_tokens: demand.prompt_tokens,
            part_ms: placement.part_ms,
            gap_ms: demand.gap_ms,
            due_ms: now_ms + SpanMs(demand.target_left_ms as u64),
        };
        self.ledger.put(id, work.clone(), now_ms);
        Ok((id, work))
    }
}

/// A request at an engine: its work, its arrival at a node and the end of its stage.
struct Running {
    id: WorkId,
    arrived_ms: u64,
    first_ms: u64,
    end_ms: u64,
}

/// An engine: streams that run, and a queue. Prompts are read one after the other.
#[derive(Default)]
struct Engine {
    running: Vec<Running>,
    queue: Vec<(WorkId, u64)>,
    read_until_ms: u64,
    /// The number of requests that it got in the current half second.
    got: usize,
}

impl Engine {
    fn begin(&mut self, id: WorkId, arrived_ms: u64, now_ms: u64) {
        let read_ms = spec().read_ms(Tokens(5_000)) as u64;
        self.read_until_ms = self.read_until_ms.max(now_ms) + read_ms;
        let first_ms = self.read_until_ms + 48;
        self.running.push(Running {
            id,
            arrived_ms,
            first_ms,
            end_ms: first_ms + WRITING_MS,
        });
    }

    /// Returns false if the engine is full.
    fn offer(&mut self, id: WorkId, arrived_ms: u64, now_ms: u64) -> bool {
        if self.running.len() < spec().slots as usize {
            self.begin(id, arrived_ms, now_ms);
        } else if self.queue.len() < QUEUE {
            self.queue.push((id, arrived_ms));
        } else {
            return false;
        }
        self.got += 1;
        true
    }
}

/// A change that peers hear of.
enum Change {
    Placed(Work),
    Began,
    Ended,
}

/// The outcome of a replay.
#[derive(Debug, Default)]
struct Outcome {
    arrived: usize,
    in_time: usize,
    /// The same for requests that arrived two seconds after the last start or later.
    arrived_later: usize,
    in_time_later: usize,
    rejected: usize,
    refused: usize,
    /// The highest number of requests that one engine got in half a second while another was idle.
    most_beside_idle: usize,
}

/// A fleet that starts in a peak.
struct Replay {
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    /// Gossip on its way: the time of its arrival, its sender and the change.
    gossip: std::collections::VecDeque<(u64, WorkId, Change)>,
    draws: Draws,
    outcome: Outcome,
    last_start_ms: u64,
}

impl Replay {
    fn new(count: usize, warm_up: bool, spread_of_starts_ms: u64) -> Self {
        let mut draws = Draws(count as u64);
        let mut nodes: Vec<Node> = (0..count)
            .map(|number| {
                let started_ms = draws.below(spread_of_starts_ms.max(1));
                Node::new(number, started_ms, &mut draws)
            })
            .collect();
        for node in nodes.iter_mut().filter(|_| warm_up) {
            node.startup.begin(MonoMs(node.started_ms));
        }
        Self {
            last_start_ms: nodes.iter().map(|node| node.started_ms).max().unwrap_or(0),
            nodes,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            gossip: Default::default(),
            draws,
            outcome: Outcome::default(),
        }
    }

    /// Runs for `span_ms` with arrivals that need `share` of the slots.
    fn run(mut self, span_ms: u64, share: f64) -> Outcome {
        let per_ms = share * f64::from(ENGINES * spec().slots) / (WRITING_MS + 70) as f64;
        let mut due = 0.0;
        for now_ms in 0..span_ms {
            self.gossip_until(now_ms);
            self.meet(now_ms);
            self.advance_engines(now_ms);
            due += per_ms;
            while due >= 1.0 {
                due -= 1.0;
                self.arrive(now_ms);
            }
            for at in 0..self.nodes.len() {
                let waiting = std::mem::take(&mut self.nodes[at].waiting);
                let (ready, later) = waiting.into_iter().partition(|(_, at_ms)| *at_ms <= now_ms);
                self.nodes[at].waiting = later;
                for (arrived_ms, _) in ready {
                    self.attempt(at, arrived_ms, now_ms);
                }
            }
            if now_ms % 500 == 499 {
                self.close_window();
            }
        }
        self.outcome
    }

    fn arrive(&mut self, now_ms: u64) {
        let serving = self.nodes.iter().enumerate();
        let serving = serving.filter(|(_, node)| node.started_ms <= now_ms);
        let serving: Vec<usize> = serving.map(|(at, _)| at).collect();
        if serving.is_empty() {
            return;
        }
        let at = serving[self.draws.below(serving.len() as u64) as usize];
        self.outcome.arrived += 1;
        self.outcome.arrived_later += usize::from(now_ms >= self.last_start_ms + 2_000);
        self.attempt(at, now_ms, now_ms);
    }

    fn attempt(&mut self, at: usize, arrived_ms: u64, now_ms: u64) {
        let demand = short_demand(now_ms - arrived_ms);
        let nodes = self.nodes.len();
        for _ in 0..3 {
            let draw = self.draws.next();
            let node = &mut self.nodes[at];
            let placed = node.place(&demand, nodes, draw, MonoMs(now_ms));
            let Ok((id, work)) = placed else {
                match demand.wait_expired {
                    true => self.outcome.refused += 1,
                    false => node.waiting.push((arrived_ms, now_ms + 40)),
                }
                return;
            };
            let engine = work.first.0 as usize;
            if self.engines[engine].offer(id, arrived_ms, now_ms) {
                let change = Change::Placed(work);
                self.gossip.push_back((now_ms + GOSSIP_MS, id, change));
                return;
            }
            self.outcome.rejected += 1;
            node.ledger.remove(id);
            if node.startup.covers(MonoMs(arrived_ms)) {
                let full_engines = &mut node.startup.full_engines;
                full_engines.note(ReplicaKey(engine as u32), MonoMs(now_ms));
            }
        }
        self.nodes[at].waiting.push((arrived_ms, now_ms + 40));
    }

    /// Delivers gossip to the nodes that have met its sender.
    fn gossip_until(&mut self, now_ms: u64) {
        while self
            .gossip
            .front()
            .is_some_and(|(at_ms, ..)| *at_ms <= now_ms)
        {
            let (_, id, change) = self.gossip.pop_front().expect("there is one");
            let sender = self.nodes.iter().find(|node| node.owner == id.owner);
            if sender.is_some_and(|sender| sender.met_ms > now_ms) {
                continue;
            }
            for node in &mut self.nodes {
                if node.owner != id.owner && node.met_ms <= now_ms {
                    match &change {
                        Change::Placed(work) => node.ledger.put(id, work.clone(), MonoMs(now_ms)),
                        Change::Began => node.ledger.set_stage(id, Stage::Writing),
                        Change::Ended => node.ledger.remove(id),
                    }
                }
            }
        }
    }

    /// Exchanges the digests of nodes that meet now.
    fn meet(&mut self, now_ms: u64) {
        let met = self
            .nodes
            .iter()
            .filter(|node| node.met_ms <= now_ms)
            .count();
        let now = MonoMs(now_ms);
        for at in 0..self.nodes.len() {
            if self.nodes[at].met_ms == now_ms {
                let works = |node: &Node| -> Vec<(WorkId, Work)> {
                    let own = node.ledger.of_owner(node.owner);
                    let id = |sequence| WorkId {
                        owner: node.owner,
                        sequence,
                    };
                    own.map(|(sequence, work)| (id(sequence), work.clone()))
                        .collect()
                };
                let own = works(&self.nodes[at]);
                for peer in 0..self.nodes.len() {
                    if peer == at || self.nodes[peer].met_ms > now_ms {
                        continue;
                    }
                    for (id, work) in works(&self.nodes[peer]) {
                        self.nodes[at].ledger.put(id, work, now);
                    }
                    for (id, work) in &own {
                        self.nodes[peer].ledger.put(*id, work.clone(), now);
                    }
                }
            }
            let peers = self.nodes.len() - 1;
            let node = &mut self.nodes[at];
            let heard = if node.met_ms <= now_ms { met - 1 } else { 0 };
            if node.started_ms <= now_ms {
                let peers = PeerKnowledge {
                    known: peers,
                    with_digest: heard,
                };
                node.startup
                    .update(peers, digest_interval(peers.known), now);
            }
        }
    }

    fn advance_engines(&mut self, now_ms: u64) {
        for engine in &mut self.engines {
            for running in &engine.running {
                if running.first_ms == now_ms {
                    let in_time = now_ms - running.arrived_ms <= TARGET_MS;
                    let is_later = running.arrived_ms >= self.last_start_ms + 2_000;
                    self.outcome.in_time += usize::from(in_time);
                    self.outcome.in_time_later += usize::from(in_time && is_later);
                    self.gossip.push_back((now_ms, running.id, Change::Began));
                }
                if running.end_ms == now_ms {
                    self.gossip.push_back((now_ms, running.id, Change::Ended));
                }
            }
            engine.running.retain(|running| running.end_ms > now_ms);
            while engine.running.len() < spec().slots as usize && !engine.queue.is_empty() {
                let (id, arrived_ms) = engine.queue.remove(0);
                engine.begin(id, arrived_ms, now_ms);
            }
        }
        let own = self.gossip.iter().rev();
        let own = own.take_while(|(at_ms, ..)| *at_ms == now_ms);
        for (_, id, change) in own {
            let node = self.nodes.iter_mut().find(|node| node.owner == id.owner);
            let node = node.expect("it placed the work");
            match change {
                Change::Began => node.ledger.set_stage(*id, Stage::Writing),
                Change::Ended => node.ledger.remove(*id),
                Change::Placed(_) => {}
            }
        }
    }

    fn close_window(&mut self) {
        let is_any_idle = self
            .engines
            .iter()
            .any(|engine| engine.got == 0 && engine.running.is_empty());
        let most = self
            .engines
            .iter()
            .map(|engine| engine.got)
            .max()
            .unwrap_or(0);
        if is_any_idle {
            self.outcome.most_beside_idle = self.outcome.most_beside_idle.max(most);
        }
        for engine in &mut self.engines {
            engine.got = 0;
        }
    }
}

/// Guards against nodes that start together in a peak and all choose the same engines: a third of their
/// attempts ended at full engines while others were idle.
#[test]
fn nodes_that_start_in_a_peak_spread_over_all_engines() {
    for nodes in [7, 58, 195] {
        let outcome = Replay::new(nodes, true, 300).run(5_000, 0.8);
        println!("{nodes} nodes: {outcome:?}");
        println!(
            "without: {:?}",
            Replay::new(nodes, false, 300).run(5_000, 0.8)
        );
        assert_eq!(outcome.rejected, 0, "{nodes} nodes: {outcome:?}");
        let capacity = spec().slots as usize + QUEUE;
        assert!(
            outcome.most_beside_idle <= capacity,
            "{nodes} nodes: {outcome:?}"
        );
        assert!(
            outcome.in_time_later as f64 >= 0.9 * outcome.arrived_later as f64,
            "{nodes} nodes: {outcome:?}"
        );
    }
}

/// Returns a node that is warming up, without a replay.
fn starting_node(seed: u64) -> Node {
    let mut node = Node::new(0, 0, &mut Draws(seed));
    node.startup.begin(MonoMs(0));
    node
}

/// Places a short prompt and returns its engine.
fn placed_at(node: &mut Node, nodes: usize, draw: u64) -> Option<u32> {
    let placed = node.place(&short_demand(0), nodes, draw, MonoMs(1));
    placed.ok().map(|(_, work)| work.first.0)
}

fn baseline(writers: u32) -> Baseline {
    Baseline {
        writers,
        ..Baseline::default()
    }
}

/// Guards against a node that places a second request at an engine while another has none of its own. It needs
/// neither the store nor its peers for that.
#[test]
fn a_node_without_knowledge_goes_on_to_the_next_engine() {
    let mut node = starting_node(1);
    let mut engines: Vec<u32> = (0..u64::from(ENGINES))
        .filter_map(|draw| placed_at(&mut node, 1, draw))
        .collect();
    engines.sort_unstable();
    assert_eq!(engines, (0..ENGINES).collect::<Vec<_>>());
}

/// Guards against nodes that all begin at the front of the shared order.
#[test]
fn nodes_begin_at_different_engines() {
    let first = |seed| placed_at(&mut starting_node(seed), 58, Draws(seed).next());
    let mut engines: Vec<_> = (0..58).filter_map(first).collect();
    engines.sort_unstable();
    engines.dedup();
    assert!(engines.len() >= 25, "{engines:?}");
}

/// Guards against a node whose callers all connect to it before the others serve, and which then fills the
/// engines alone.
#[test]
fn a_node_keeps_to_its_share_of_the_slots() {
    let place_all = |nodes| {
        let mut node = starting_node(3);
        (0..400)
            .filter_map(|draw| placed_at(&mut node, nodes, draw))
            .count()
    };
    // 45 engines have 540 slots: 1.5 times the even share of 58 nodes is 13.97.
    assert_eq!(place_all(58), 14);
    assert_eq!(place_all(985), 2);
}

/// Guards against a warm-up that never ends, because reports and digests don't arrive, or that ends before the
/// peers of which a node was told are heard.
#[test]
fn the_warm_up_ends_when_peers_are_heard_or_after_its_limit() {
    let mut startup = Startup::default();
    startup.begin(MonoMs(1_000));
    let mut update = |known, with_digest, now_ms| {
        let peers = PeerKnowledge { known, with_digest };
        startup.update(peers, SpanMs(500), MonoMs(now_ms))
    };
    assert_eq!(
        update(20, 20, 1_100),
        None,
        "peers are known for too short a time"
    );
    assert_eq!(update(20, 17, 1_700), None);
    assert_eq!(update(20, 18, 1_800), Some(WarmUpEnd::Complete));
    assert!(startup.covers(MonoMs(1_799)) && !startup.covers(MonoMs(1_800)));

    let mut alone = Startup::default();
    alone.begin(MonoMs(0));
    let mut update = |now_ms| alone.update(PeerKnowledge::default(), SpanMs(500), MonoMs(now_ms));
    assert_eq!(update(MAX_WARM_UP_MS.0 - 1), None);
    assert_eq!(update(MAX_WARM_UP_MS.0), Some(WarmUpEnd::Timeout));
}

/// Guards against a start without a live peer at which nodes take busy engines for idle: the engines' own reports
/// count.
#[test]
fn engines_that_report_work_are_avoided() {
    let mut node = starting_node(5);
    for engine in 0..ENGINES / 2 {
        let work = EngineWork {
            running: spec().slots,
            waiting: 9,
            memory_tokens: Tokens(60_000),
        };
        node.startup.on_report(ReplicaKey(engine), work);
    }
    for draw in 0..10 {
        let engine = placed_at(&mut node, 58, draw);
        assert!(engine >= Some(ENGINES / 2), "{engine:?}");
    }
}

/// Guards against a node that starts while others run, and takes engines for idle that its peers have filled. What
/// it then hears by gossip is the same work and must not count twice.
#[test]
fn work_that_a_peer_hands_over_counts_once() {
    let mut peer = starting_node(6);
    for draw in 0..90 {
        placed_at(&mut peer, 1, draw);
    }
    let now_ms = MonoMs(1);
    let keys = || (0..ENGINES).map(ReplicaKey);
    let handed_over = Baselines::of_loads(keys(), peer.ledger.loads(now_ms));
    let mut node = starting_node(7);
    node.startup.on_handed_over(handed_over.into_iter());
    let writers = |node: &mut Node| -> Vec<u32> {
        let loads = node.ledger.loads(now_ms);
        let corrected = node.startup.loads(keys(), loads, &spec(), now_ms);
        keys().map(|key| corrected[&key].writers).collect()
    };
    assert_eq!(writers(&mut node), vec![2; ENGINES as usize]);
    for (sequence, work) in peer.ledger.of_owner(peer.owner) {
        let id = WorkId {
            owner: peer.owner,
            sequence,
        };
        node.ledger.put(id, work.clone(), now_ms);
    }
    assert_eq!(writers(&mut node), vec![2; ENGINES as usize]);
}

/// Guards against a peer that hands over an old or absurd baseline, which keeps a node away from idle engines. It
/// is bounded by what an engine holds, a report lowers it, and it ends with the warm-up.
#[test]
fn a_wrong_baseline_is_bounded_and_ends() {
    let mut node = starting_node(8);
    let absurd = Baseline {
        writers: u32::MAX,
        context_tokens: u64::MAX,
        backlog_ms: u32::MAX,
        helping: u32::MAX,
        memory_tokens: u64::MAX,
    };
    let all = (0..ENGINES).map(|engine| (ReplicaKey(engine), absurd));
    node.startup.on_handed_over(all);
    let key = ReplicaKey(0);
    let load_of = |node: &mut Node| {
        let loads = node.ledger.loads(MonoMs(1));
        let corrected = node
            .startup
            .loads([key].into_iter(), loads, &spec(), MonoMs(1));
        corrected.get(&key).cloned()
    };
    let load = load_of(&mut node).expect("it is raised");
    assert!(load.writers <= spec().slots + 2 && load.memory_tokens <= spec().memory_tokens);
    assert!(load.backlog_ms <= spec().read_ms(spec().memory_tokens));
    let work = EngineWork {
        running: 1,
        waiting: 0,
        memory_tokens: Tokens(5_000),
    };
    node.startup.on_report(key, work);
    assert_eq!(load_of(&mut node).map(|load| load.writers), Some(1));
    node.startup.update(
        PeerKnowledge::default(),
        SpanMs(500),
        MonoMs(MAX_WARM_UP_MS.0),
    );
    assert_eq!(load_of(&mut node), None);
    node.startup
        .on_handed_over([(key, baseline(12))].into_iter());
    assert_eq!(load_of(&mut node), None);
}

/// Guards against a node that sends the next request to an engine that has just rejected one.
#[test]
fn an_engine_that_was_full_is_avoided_for_a_moment() {
    let mut node = starting_node(9);
    let full = placed_at(&mut node, 58, 17).expect("all are idle");
    node.ledger.remove_owner(node.owner);
    node.startup.full_engines.note(ReplicaKey(full), MonoMs(1));
    assert_ne!(placed_at(&mut node, 58, 17), Some(full));
    assert!(
        node.startup
            .full_engines
            .is_full(ReplicaKey(full), MonoMs(300))
    );
    assert!(
        !node
            .startup
            .full_engines
            .is_full(ReplicaKey(full), MonoMs(301))
    );
}

/// Guards against decisions that change outside the warm-up.
#[test]
fn nothing_changes_outside_the_warm_up() {
    let mut node = Node::new(0, 0, &mut Draws(10));
    let all = (0..ENGINES).map(|engine| (ReplicaKey(engine), baseline(9)));
    node.startup.on_handed_over(all);
    let mut usual = Node::new(0, 0, &mut Draws(10));
    for draw in 0..200 {
        let keys = (0..ENGINES).map(ReplicaKey);
        let fleet = Fleet::of(keys, usual.ledger.loads(MonoMs(1)), 58, draw);
        let expected =
            place_engine(&spec(), &fleet, &short_demand(0)).map(|placement| placement.first);
        let expected = expected.ok().map(|key| key.0);
        assert_eq!(placed_at(&mut node, 58, draw), expected);
        placed_at(&mut usual, 58, draw);
    }
}

/// Guards against seeds that nodes ask so often at a start of all that they answer none in time.
#[test]
fn pauses_between_rounds_of_joining_grow_to_a_bound() {
    let pauses = (0..8).map(|round| join_pause(round, 0.0).0);
    assert_eq!(
        pauses.collect::<Vec<_>>(),
        [25, 50, 100, 200, 200, 200, 200, 200]
    );
    assert_eq!(join_pause(u32::MAX, 1.0), SpanMs(300));
}
