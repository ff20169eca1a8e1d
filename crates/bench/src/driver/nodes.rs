//! The nodes' side of a run.

use super::queue::{Attempt, EngineNo, Event, NodeNo, RequestNo};
use super::{Driver, Fate, Node, WAY_US};
use crate::scenario::Scenario;
use crate::workload::DOMAINS;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_policy::{Decision, EngineFacts, GroupPart, Job, Outcome, Prefix, Refusal};
use bluebell_stand_ins::engine::EngineSettings;
use bluebell_upstreams::engine::CacheEvent;
use bluebell_upstreams::prompt::mix;
use bluebell_upstreams::{LoadReport, Priority};

/// Attempts at work that may have run.
const ATTEMPTS: u32 = 4;
/// Attempts at work that certainly did not run, such as groups that found no memory.
const ATTEMPTS_NOT_RUN: u32 = 64;
/// Nodes' clocks began at different instants, so that none can be compared with another's.
const CLOCK_STEP_US: u64 = 1_000_003_000;
/// One refused caller in so many comes back when it was told to.
const COMES_BACK: u64 = 10;

/// Opens one node that knows all engines.
pub fn open(scenario: &Scenario, config: &FleetConfig, index: u32) -> Node {
    let seed = mix(scenario.seed, 1_000 + u64::from(index));
    let engines = scenario.fleet.engines();
    let mut node = Node {
        policy: bluebell_policy::open(scenario.policy.clone(), config, seed),
        clock_us: CLOCK_STEP_US * u64::from(index + 1),
        wake_us: u64::MAX,
        cache_from: vec![0; engines as usize],
        leaving_told: vec![false; engines as usize],
    };
    for engine in 0..engines {
        let name = UpstreamName::from(format!("engine-{engine}").as_str());
        let facts = EngineFacts {
            upstream: upstream_of(EngineNo(engine), NodeNo(index), engines),
            domain: DomainId(engine % DOMAINS),
            models: vec![ModelId(0)],
            kv_capacity_tokens: EngineSettings::default().kv_capacity_tokens,
            rank: EngineFacts::rank_of(&name),
        };
        let now_ms = node.clock_ms(0);
        node.policy.engine_updated(facts, now_ms);
    }
    node
}

/// Each node numbers the engines in its own way.
fn upstream_of(engine: EngineNo, node: NodeNo, engines: u32) -> UpstreamId {
    UpstreamId((engine.0 + node.0) % engines)
}

impl Node {
    fn clock_ms(&self, now_us: u64) -> MonoMs {
        MonoMs((self.clock_us + now_us) / 1_000)
    }
}

impl Driver {
    /// The node that a request came to.
    pub(super) fn node_of(&self, request: RequestNo) -> NodeNo {
        let draw = self.requests[request.index()].node_draw;
        NodeNo((draw % u64::from(self.scenario.nodes)) as u32)
    }

    /// The request's identity.
    pub(super) fn request_id(&self, request: RequestNo) -> RequestId {
        RequestId {
            incarnation: Incarnation(u64::from(self.node_of(request).0) + 1),
            sequence: u64::from(request.0) + 1,
        }
    }

    /// The deadline of the request.
    pub(super) fn deadline_us(&self, request: RequestNo) -> u64 {
        let class = self.requests[request.index()].class;
        let end_ms = self.config.classes[class.index()].end_ms;
        self.live[request.index()].arrived_us + end_ms.0 * 1_000
    }

    fn upstream(&self, node: NodeNo, engine: EngineNo) -> UpstreamId {
        upstream_of(engine, node, self.engines.len() as u32)
    }

    fn engine(&self, node: NodeNo, upstream: UpstreamId) -> EngineNo {
        let engines = self.engines.len() as u32;
        EngineNo((upstream.0 + engines - node.0 % engines) % engines)
    }

    fn job(&self, request: RequestNo) -> Job {
        let row = &self.requests[request.index()];
        let live = &self.live[request.index()];
        let node = self.node_of(request);
        let class = &self.config.classes[row.class.index()];
        let arrived_ms = self.nodes[node.index()].clock_ms(live.arrived_us);
        Job {
            request: self.request_id(request),
            account: row.account,
            class: row.class,
            model: ModelId(0),
            prompt_tokens: row.prompt_tokens,
            max_tokens: row.max_tokens,
            prefixes: row.prefixes.iter().map(prefix).collect(),
            arrived_ms,
            first_token_due_ms: arrived_ms + class.first_token_ms(row.prompt_tokens),
            deadline_ms: arrived_ms + class.end_ms,
            idempotent: class.idempotent,
            avoid: live.avoid.iter().map(|e| self.upstream(node, *e)).collect(),
        }
    }

    /// A request arrives.
    pub(super) fn arrive(&mut self, request: RequestNo) {
        self.live[request.index()].arrived_us = self.now_us;
        // One that comes back reached no engine before, so its attempts are counted anew.
        self.live[request.index()].number = 0;
        self.records[request.index()].arrived_us = self.now_us;
        self.admit(request);
    }

    fn admit(&mut self, request: RequestNo) {
        let node = self.node_of(request);
        let job = self.job(request);
        let row = &mut self.nodes[node.index()];
        let now_ms = row.clock_ms(self.now_us);
        self.live[request.index()].number += 1;
        match row.policy.admit(job, now_ms) {
            Ok(()) => self.decide(node),
            Err(refusal) => {
                let late = self.live[request.index()].number > 1;
                self.refused(request, refusal, late);
            }
        }
    }

    fn refused(&mut self, request: RequestNo, refusal: Refusal, late: bool) {
        let again = self.records[request.index()].came_back.is_some();
        let tried = self.records[request.index()].attempts > 0;
        let draw = self.requests[request.index()].prompt_hash;
        if !again && !tried && !late && draw.is_multiple_of(COMES_BACK) {
            self.records[request.index()].came_back = Some(true);
            let at_us = self.now_us + refusal.retry_after_ms.0 * 1_000;
            self.queue.push(at_us, Event::Arrive(request));
            return;
        }
        let record = &mut self.records[request.index()];
        if again {
            record.came_back = Some(false);
        }
        record.refused_late = late;
        record.refused_begun = self.live[request.index()].begun;
        record.retry_after_ms = refusal.retry_after_ms;
        self.over(request, Fate::Refused(refusal.reason));
    }

    fn over(&mut self, request: RequestNo, fate: Fate) {
        let record = &mut self.records[request.index()];
        if record.fate == Fate::Open {
            record.fate = fate;
            record.end_us = self.now_us;
            self.open -= 1;
        }
    }

    /// Runs the decisions of a node and schedules its next wake-up.
    pub(super) fn decide(&mut self, node: NodeNo) {
        let mut decisions = std::mem::take(&mut self.decisions);
        let row = &mut self.nodes[node.index()];
        let now_ms = row.clock_ms(self.now_us);
        row.policy.decide(now_ms, &mut decisions);
        self.totals.decisions += decisions.len() as u64;
        for decision in decisions.drain(..) {
            self.carry_out(node, decision);
        }
        self.decisions = decisions;
        self.arm_wake(node);
    }

    fn arm_wake(&mut self, node: NodeNo) {
        let row = &mut self.nodes[node.index()];
        let Some(wake_ms) = row.policy.next_wake_ms() else {
            return;
        };
        let wake_us = (wake_ms.0 * 1_000).saturating_sub(row.clock_us);
        let at_us = wake_us.max(self.now_us + 1_000);
        if at_us < row.wake_us {
            row.wake_us = at_us;
            self.queue.push(at_us, Event::Wake(node));
        }
    }

    /// A node wanted to be woken.
    pub(super) fn wake(&mut self, node: NodeNo) {
        let row = &mut self.nodes[node.index()];
        if row.wake_us == self.now_us {
            row.wake_us = u64::MAX;
        }
        self.decide(node);
    }

    fn carry_out(&mut self, node: NodeNo, decision: Decision) {
        match decision {
            Decision::Send {
                request,
                upstream,
                priority,
            } => {
                self.send(node, request, upstream, Vec::new(), priority);
            }
            Decision::Group {
                request,
                leader,
                members,
                priority,
            } => {
                self.send(node, request, leader, members, priority);
            }
            Decision::Recall { request } => self.recall(request),
            Decision::Refuse { request, refusal } => {
                self.refused(request_no(request), refusal, true);
            }
        }
    }

    fn send(
        &mut self,
        node: NodeNo,
        request: RequestId,
        upstream: UpstreamId,
        members: Vec<GroupPart>,
        priority: Priority,
    ) {
        let request = request_no(request);
        let engine = self.engine(node, upstream);
        let live = &mut self.live[request.index()];
        live.engine = Some(engine);
        let number = AttemptNo(live.number);
        let members = members.into_iter();
        let members = members
            .map(|part| (self.engine(node, part.upstream), part))
            .collect();
        let attempt = Attempt {
            request,
            number,
            engine,
            members,
            priority,
        };
        self.queue.push(self.now_us + WAY_US, Event::Call(attempt));
    }

    fn recall(&mut self, request: RequestId) {
        let request = request_no(request);
        let live = &mut self.live[request.index()];
        live.recalled = true;
        self.totals.recalls += 1;
        if let Some(engine) = live.engine {
            let event = Event::Cancel(request, AttemptNo(live.number), engine);
            self.queue.push(self.now_us + WAY_US, event);
        }
    }

    /// The load that rides on an engine's acceptance reaches the node.
    pub(super) fn accepted(
        &mut self,
        request: RequestNo,
        number: AttemptNo,
        cached_tokens: Tokens,
        load: &LoadReport,
    ) {
        if self.live[request.index()].number != number.0 {
            return;
        }
        let node = self.node_of(request);
        let id = self.request_id(request);
        let row = &mut self.nodes[node.index()];
        let now_ms = row.clock_ms(self.now_us);
        row.policy.on_accepted(id, cached_tokens, load, now_ms);
        self.decide(node);
    }

    /// A first token reaches the node.
    pub(super) fn first_token(&mut self, request: RequestNo, number: AttemptNo) {
        let live = &self.live[request.index()];
        if live.number != number.0 || self.records[request.index()].fate != Fate::Open {
            return;
        }
        self.records[request.index()]
            .first_us
            .get_or_insert(self.now_us);
        self.live[request.index()].recalled = false;
        let node = self.node_of(request);
        let id = self.request_id(request);
        let row = &mut self.nodes[node.index()];
        let now_ms = row.clock_ms(self.now_us);
        row.policy.on_first_token(id, now_ms);
        self.decide(node);
    }

    /// The end of an attempt reaches the node.
    pub(super) fn attempt_ended(
        &mut self,
        request: RequestNo,
        number: AttemptNo,
        outcome: Outcome,
    ) {
        if self.live[request.index()].number != number.0 {
            return;
        }
        let node = self.node_of(request);
        let id = self.request_id(request);
        let row = &mut self.nodes[node.index()];
        let now_ms = row.clock_ms(self.now_us);
        row.policy.on_end(id, outcome, now_ms);
        self.after_end(request, number, outcome);
        self.decide(node);
    }

    fn after_end(&mut self, request: RequestNo, number: AttemptNo, outcome: Outcome) {
        let class = self.requests[request.index()].class;
        let idempotent = self.config.classes[class.index()].idempotent;
        let recalled = std::mem::take(&mut self.live[request.index()].recalled);
        self.live[request.index()].begun |= outcome != Outcome::NotRun;
        if recalled && matches!(outcome, Outcome::NotRun | Outcome::Cancelled) {
            // The policy has queued it again; the next attempt has the next number.
            self.live[request.index()].number += 1;
            return;
        }
        let may_retry = match outcome {
            Outcome::Finished(_) => return self.over(request, Fate::Finished),
            Outcome::Cancelled => return self.over(request, Fate::Expired),
            Outcome::NotRun => true,
            Outcome::Failed => idempotent,
        };
        let first_came = self.records[request.index()].first_us.is_some();
        let most = match outcome {
            Outcome::NotRun => ATTEMPTS_NOT_RUN,
            _ => ATTEMPTS,
        };
        if !may_retry || number.0 >= most || first_came {
            return self.over(request, Fate::Failed);
        }
        let live = &mut self.live[request.index()];
        live.avoid.extend(live.engine);
        self.admit(request);
    }

    /// A load report reaches a node.
    pub(super) fn load(&mut self, node: NodeNo, engine: EngineNo, report: &LoadReport) {
        let upstream = self.upstream(node, engine);
        let row = &mut self.nodes[node.index()];
        let now_ms = row.clock_ms(self.now_us);
        row.policy.on_load(upstream, report, now_ms);
        if report.leaving && !row.leaving_told[engine.index()] {
            row.leaving_told[engine.index()] = true;
            row.policy.engine_leaving(upstream, now_ms);
        }
        self.decide(node);
    }

    /// Cache events reach a node.
    pub(super) fn cache(
        &mut self,
        node: NodeNo,
        engine: EngineNo,
        events: &[CacheEvent],
        gap: bool,
    ) {
        let upstream = self.upstream(node, engine);
        let row = &mut self.nodes[node.index()];
        row.policy.on_cache(upstream, events, gap);
    }

    /// The platform's list says that an engine leaves.
    pub(super) fn list_leaving(&mut self, node: NodeNo, engine: EngineNo) {
        let upstream = self.upstream(node, engine);
        let row = &mut self.nodes[node.index()];
        let now_ms = row.clock_ms(self.now_us);
        row.leaving_told[engine.index()] = true;
        row.policy.engine_leaving(upstream, now_ms);
    }

    /// The platform's list says that an engine is gone.
    pub(super) fn list_gone(&mut self, node: NodeNo, engine: EngineNo) {
        let upstream = self.upstream(node, engine);
        let row = &mut self.nodes[node.index()];
        let now_ms = row.clock_ms(self.now_us);
        row.policy.engine_gone(upstream, now_ms);
    }
}

fn request_no(request: RequestId) -> RequestNo {
    RequestNo(request.sequence as u32 - 1)
}

fn prefix(prefix: &bluebell_upstreams::prompt::PrefixHash) -> Prefix {
    Prefix {
        hash: prefix.hash,
        tokens: prefix.tokens,
    }
}
