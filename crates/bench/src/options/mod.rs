//! The options of a bench run.

use bluebell_base::prelude::*;
use bluebell_policy::{Kind, PolicySettings};
use std::path::PathBuf;

/// The options of a bench run. With the defaults it takes about two minutes in a release build.
#[derive(Clone, Debug, PartialEq)]
pub struct BenchOptions {
    /// The seed of all randomness; same seed, same figures.
    pub seed: u64,
    /// The virtual time for which requests arrive in each run.
    pub duration_ms: SpanMs,
    /// The number of runs with different seeds that are combined for each row.
    pub repeats: u32,
    /// The maximum number of threads.
    pub threads: usize,
    /// The parts that are run.
    pub parts: Vec<Part>,
    /// The policies that are run. Targets that compare policies need all of them.
    pub policies: Vec<Kind>,
    /// The constants of the production policy, for trials with others.
    pub production: PolicySettings,
    /// The offered loads of the part `loads`, as shares of capacity.
    pub loads: Vec<f64>,
    /// The file for the complete result as JSON, if any.
    pub json: Option<PathBuf>,
    /// The file for the plot of slowdown by length against load as SVG, if any.
    pub svg: Option<PathBuf>,
}

/// One part of the bench.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Part {
    /// All policies on both fleets at six loads, with and without long work.
    Loads,
    /// 1, 3 and 9 nodes deciding.
    Nodes,
    /// Load reports as old as 0.2, 1 and 5 s.
    Lags,
    /// An engine dying, slowing and leaving; a failure domain lost; bursts.
    Faults,
    /// One account offering ten times its share.
    Accounts,
    /// The cost of a decision.
    Cost,
}

impl Part {
    /// All parts, in the order of the report.
    pub const ALL: [Part; 6] = [
        Part::Loads,
        Part::Nodes,
        Part::Lags,
        Part::Faults,
        Part::Accounts,
        Part::Cost,
    ];

    fn as_str(self) -> &'static str {
        match self {
            Part::Loads => "loads",
            Part::Nodes => "nodes",
            Part::Lags => "lags",
            Part::Faults => "faults",
            Part::Accounts => "accounts",
            Part::Cost => "cost",
        }
    }
}

impl std::fmt::Display for Part {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.pad(self.as_str())
    }
}

impl std::str::FromStr for Part {
    type Err = bluebell_base::text::ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Part::ALL.into_iter().find(|part| part.as_str() == text);
        found.ok_or_else(|| bluebell_base::text::ParseError::new("Part", text))
    }
}

impl Default for BenchOptions {
    fn default() -> Self {
        Self {
            seed: 1,
            duration_ms: SpanMs::from_secs(400),
            repeats: 2,
            threads: 4,
            parts: Part::ALL.to_vec(),
            policies: Kind::ALL.to_vec(),
            production: PolicySettings::default(),
            loads: crate::plan::LOADS.to_vec(),
            json: None,
            svg: None,
        }
    }
}
