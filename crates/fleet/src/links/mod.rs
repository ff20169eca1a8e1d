//! A node's contact with the replicas of each service.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

/// The times at which replicas last answered this node, by service.
#[derive(Debug, Default)]
pub struct Links {
    answered: FxHashMap<ServiceName, MonoMs>,
}

impl Links {
    /// Records that a replica of `service` answered, whatever it answered.
    pub fn on_answer(&mut self, service: &ServiceName, now_ms: MonoMs) {
        match self.answered.get_mut(service) {
            Some(at_ms) => *at_ms = now_ms,
            None => {
                self.answered.insert(service.clone(), now_ms);
            }
        }
    }

    /// Returns the time since a replica of `service` last answered, or `None` if none has.
    pub fn answer_age_ms(&self, service: &ServiceName, now_ms: MonoMs) -> Option<SpanMs> {
        let answered = self.answered.get(service);
        answered.map(|at_ms| now_ms.since(*at_ms))
    }
}
