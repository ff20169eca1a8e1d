//! The bench's result, and its printers.

pub mod text;

use crate::cost::CostReport;
use crate::measure::RunReport;
use crate::options::Part;
use crate::scenario::{Lag, Scenario};
use crate::targets::Judged;
use bluebell_base::prelude::*;
use bluebell_policy::Kind;
use serde::Serialize;

/// One row of the bench.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The part it belongs to.
    pub part: String,
    /// The fleet.
    pub fleet: String,
    /// The policy.
    pub policy: String,
    /// The offered load, as a share of capacity.
    pub load: f64,
    /// How many nodes decided.
    pub nodes: u32,
    /// How old reports were, in milliseconds; none: mixed from 200 to 5,000.
    pub lag_ms: Option<u64>,
    /// What went wrong.
    pub fault: String,
    /// Whether long work was there.
    pub long_work: bool,
    /// Whether arrivals came in bursts.
    pub bursts: bool,
    /// How much more than its share the last account offered.
    pub hog_factor: f64,
    /// What was measured.
    pub report: RunReport,
}

impl Row {
    /// A row for a scenario.
    pub fn new(part: Part, scenario: &Scenario, report: RunReport) -> Self {
        Self {
            part: part.to_string(),
            fleet: scenario.fleet.to_string(),
            policy: scenario.policy.kind.to_string(),
            load: scenario.load,
            nodes: scenario.nodes,
            lag_ms: match scenario.lag {
                Lag::Mixed => None,
                Lag::Fixed(lag_ms) => Some(lag_ms.0),
            },
            fault: scenario.fault.to_string(),
            long_work: scenario.long_work,
            bursts: scenario.bursts,
            hog_factor: scenario.hog_factor,
            report,
        }
    }

    /// Whether it is a row of one of the simple policies.
    pub fn is_baseline(&self) -> bool {
        self.policy.parse().is_ok_and(Kind::is_baseline)
    }

    /// Whether it is a row of the production policy.
    pub fn is_production(&self) -> bool {
        self.policy == Kind::default().to_string()
    }
}

/// The bench's result.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BenchReport {
    /// The seed.
    pub seed: u64,
    /// One engine's measured capacity, in prompt tokens a second.
    pub engine_capacity: PerSecond,
    /// The rows, in the order of the parts.
    pub rows: Vec<Row>,
    /// The cost of a decision.
    pub cost: Vec<CostReport>,
    /// The targets that the rows can tell of, each met or not.
    pub targets: Vec<Judged>,
}
