//! Faults of a run: engines that die, slow down or leave.

use super::queue::{EngineNo, Event, NodeNo};
use super::{Driver, WAY_US};
use crate::scenario::Fault;
use crate::workload::DOMAINS;
use bluebell_policy::Outcome;
use bluebell_upstreams::prompt::mix;

/// The factor by which each step of the slowed engine takes longer.
const SLOW_FACTOR: f64 = 3.0;
/// The time for which a leaving engine still runs.
const LEAVING_US: u64 = 30_000_000;
/// The bounds of the platform list's lag.
const LIST_LAG_US: (u64, u64) = (1_000_000, 5_000_000);
/// The engine that the fault befalls.
const VICTIM: EngineNo = EngineNo(4);

impl Driver {
    /// The scenario's fault happens.
    pub(super) fn fault(&mut self) {
        match self.scenario.fault {
            Fault::None => {}
            Fault::EngineDies => self.die(VICTIM),
            Fault::EngineSlows => {
                self.advance(VICTIM);
                self.engines[VICTIM.index()]
                    .model
                    .set_slow_factor(SLOW_FACTOR);
            }
            Fault::EngineLeaves => self.leave(VICTIM),
            Fault::DomainLost => {
                let engines = 0..self.engines.len() as u32;
                for engine in engines.filter(|engine| engine % DOMAINS == VICTIM.0 % DOMAINS) {
                    self.die(EngineNo(engine));
                }
            }
        }
    }

    /// An engine that was leaving is gone.
    pub(super) fn engine_gone(&mut self, engine: EngineNo) {
        self.die(engine);
    }

    fn leave(&mut self, engine: EngineNo) {
        self.advance(engine);
        self.engines[engine.index()].model.set_leaving(true);
        self.queue
            .push(self.now_us + LEAVING_US, Event::Gone(engine));
        for node in 0..self.nodes.len() {
            let node = NodeNo(node as u32);
            let at_us = self.now_us + self.list_lag_us(node, engine);
            self.queue.push(at_us, Event::ListLeaving(node, engine));
        }
    }

    fn die(&mut self, engine: EngineNo) {
        self.advance(engine);
        self.engines[engine.index()].alive = false;
        let open = std::mem::take(&mut self.engines[engine.index()].open);
        for attempt in open {
            self.release(&attempt);
            let event = Event::End(attempt.request, attempt.number, Outcome::Failed);
            self.queue.push(self.now_us + WAY_US, event);
        }
        self.fail_groups_with(engine);
        for node in 0..self.nodes.len() {
            let node = NodeNo(node as u32);
            let at_us = self.now_us + self.list_lag_us(node, engine);
            self.queue.push(at_us, Event::ListGone(node, engine));
        }
    }

    /// A group that lost a member lost a part of its prompt's KV, and fails.
    fn fail_groups_with(&mut self, engine: EngineNo) {
        for leader in 0..self.engines.len() as u32 {
            let leader = EngineNo(leader);
            let open = &self.engines[leader.index()].open;
            let lost = open
                .iter()
                .filter(|a| a.members.iter().any(|(no, _)| *no == engine));
            let lost: Vec<_> = lost.cloned().collect();
            for attempt in lost {
                self.advance(leader);
                let id = self.request_id(attempt.request);
                let now_us = self.now_us;
                let model = &mut self.engines[leader.index()].model;
                model.cancel(now_us, id, attempt.number, id.incarnation);
                self.close(leader, attempt.request, Outcome::Failed);
                self.arm(leader);
            }
        }
    }

    fn list_lag_us(&self, node: NodeNo, engine: EngineNo) -> u64 {
        let draw = mix(self.scenario.seed, u64::from(node.0 * 1_000 + engine.0));
        LIST_LAG_US.0 + draw % (LIST_LAG_US.1 - LIST_LAG_US.0)
    }
}
