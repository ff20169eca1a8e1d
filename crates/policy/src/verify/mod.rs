//! The verifier: recomputes the invariants of the tables, so that tests can check them after each
//! step.

use crate::cache::CacheView;
use crate::fleet::{Fleet, State};
use crate::jobs::{Jobs, Slot, Stage};
use crate::tables::Tables;
use bluebell_base::prelude::*;
use std::fmt;

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub rule: &'static str,
    /// The entries that violate it.
    pub detail: Arc<str>,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.rule, self.detail)
    }
}

/// Checks the tables that all policies share.
pub(crate) fn check(tables: &Tables) -> Vec<Violation> {
    let Tables { fleet, jobs, queue } = tables;
    let mut found = Vec::new();
    check_models(fleet, &mut found);
    check_in_flight(fleet, jobs, &mut found);
    check_queue(jobs, queue, &mut found);
    check_slots(jobs, &mut found);
    found
}

/// Checks the estimated cache contents.
pub(crate) fn check_cache(cache: &CacheView, found: &mut Vec<Violation>) {
    let (holders, order) = cache.sizes();
    if holders != order {
        add(
            found,
            "each prefix is forgotten in its turn",
            format!("{holders} != {order}"),
        );
    }
}

pub(crate) fn add(found: &mut Vec<Violation>, rule: &'static str, detail: String) {
    found.push(Violation {
        rule,
        detail: detail.into(),
    });
}

fn check_models(fleet: &Fleet, found: &mut Vec<Violation>) {
    for model in fleet.models() {
        let listed = fleet.serving(model);
        let ranks: Vec<_> = listed
            .iter()
            .filter_map(|id| fleet.get(*id))
            .map(|e| (e.facts.rank, e.facts.upstream))
            .collect();
        if ranks.len() != listed.len() || !ranks.is_sorted() {
            add(
                found,
                "a model's list is by rank",
                format!("{model}: {listed:?}"),
            );
        }
        let serves =
            |e: &&crate::fleet::Engine| e.state == State::Open && e.facts.models.contains(&model);
        if fleet.iter().filter(serves).count() != listed.len() {
            add(
                found,
                "a model's list is complete",
                format!("{model}: {listed:?}"),
            );
        }
    }
}

fn check_in_flight(fleet: &Fleet, jobs: &Jobs, found: &mut Vec<Violation>) {
    for engine in fleet.iter() {
        for job in &engine.in_flight {
            let entry = jobs.get(job.slot);
            let here = entry.is_some_and(|entry| {
                entry.upstream == Some(engine.facts.upstream)
                    || entry
                        .members
                        .iter()
                        .any(|m| m.upstream == engine.facts.upstream)
            });
            if !here {
                let detail = format!("{} on {}", job.slot, engine.facts.upstream);
                add(found, "what is in flight is a job sent there", detail);
            }
        }
    }
    for (slot, entry) in jobs.iter().filter(|(_, entry)| !entry.engine_removed) {
        let Some(upstream) = entry.upstream else {
            continue;
        };
        let Some(engine) = fleet.get(upstream) else {
            continue;
        };
        let count = engine.in_flight.iter().filter(|j| j.slot == slot).count();
        if count != 1 {
            let detail = format!("{slot} on {upstream}: {count} times");
            add(found, "a sent job is in flight once on its engine", detail);
        }
    }
}

fn check_queue(jobs: &Jobs, queue: &[Slot], found: &mut Vec<Violation>) {
    for (slot, entry) in jobs.iter() {
        let count = queue.iter().filter(|queued| **queued == slot).count();
        let wanted = usize::from(entry.stage == Stage::Queued);
        if count != wanted {
            add(
                found,
                "undecided jobs are queued once",
                format!("{slot}: {count} times"),
            );
        }
        if (entry.stage == Stage::Queued) != entry.upstream.is_none() {
            add(
                found,
                "a job has an engine once it is sent",
                slot.to_string(),
            );
        }
    }
    for slot in queue {
        if jobs.get(*slot).is_none() {
            add(found, "what is queued is a job", slot.to_string());
        }
    }
}

fn check_slots(jobs: &Jobs, found: &mut Vec<Violation>) {
    let (all, free) = jobs.slot_counts();
    if all != free + jobs.len() {
        add(
            found,
            "slots are in use or free",
            format!("{all} != {free} + {}", jobs.len()),
        );
    }
}
