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
    /// The number of nodes that decide.
    pub nodes: u32,
    /// The age of reports in milliseconds; `None` if it varies from 200 to 5,000.
    pub lag_ms: Option<u64>,
    /// The fault.
    pub fault: String,
    /// True if the mix includes long work.
    pub long_work: bool,
    /// True if requests arrive in bursts.
    pub bursts: bool,
    /// The factor by which the last account exceeds its share.
    pub hog_factor: f64,
    /// The measured values.
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

    /// Returns true if it is a row of one of the simple policies.
    pub fn is_baseline(&self) -> bool {
        self.policy.parse().is_ok_and(Kind::is_baseline)
    }

    /// Returns true if it is a row of the production policy.
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
