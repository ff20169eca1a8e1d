//! One run of the bench: which fleet, policy, load, nodes, lags and fault.

use crate::workload::FleetKind;
use bluebell_base::prelude::*;
use bluebell_policy::PolicySettings;
use std::fmt;

/// The age of load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lag {
    /// Each engine has a lag of its own, drawn evenly in its logarithm from 0.2 to 5 s.
    Mixed,
    /// All engines have the same lag.
    Fixed(SpanMs),
}

/// The fault, which lasts from two fifths of the run to its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// An engine dies with what it runs.
    EngineDies,
    /// An engine takes three times as long for each step.
    EngineSlows,
    /// An engine leaves: it takes no new work and is gone half a minute later.
    EngineLeaves,
    /// A third of the engines dies at once.
    DomainLost,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Fault::None => "none",
            Fault::EngineDies => "engine-dies",
            Fault::EngineSlows => "engine-slows",
            Fault::EngineLeaves => "engine-leaves",
            Fault::DomainLost => "domain-lost",
        })
    }
}

/// One run.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// The fleet.
    pub fleet: FleetKind,
    /// The policy of each node.
    pub policy: PolicySettings,
    /// Offered work as a share of the fleet's capacity, long work included even where it is
    /// removed.
    pub load: f64,
    /// The number of nodes that decide.
    pub nodes: u32,
    /// The age of load reports.
    pub lag: Lag,
    /// The fault.
    pub fault: Fault,
    /// True if the mix includes long work.
    pub long_work: bool,
    /// The factor by which the last account exceeds its share.
    pub hog_factor: f64,
    /// True if requests arrive in bursts.
    pub bursts: bool,
    /// The time for which requests arrive.
    pub duration_ms: SpanMs,
    /// The seed.
    pub seed: u64,
}

impl Scenario {
    /// The usual run: nine nodes, mixed lags, nothing wrong.
    pub fn new(fleet: FleetKind, policy: PolicySettings, load: f64) -> Self {
        Self {
            fleet,
            policy,
            load,
            nodes: 9,
            lag: Lag::Mixed,
            fault: Fault::None,
            long_work: true,
            hog_factor: 1.0,
            bursts: false,
            duration_ms: SpanMs::from_secs(240),
            seed: 1,
        }
    }
}
