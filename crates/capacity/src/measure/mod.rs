//! The measurements, each at several sizes.

mod agreed;
mod idle;
mod memory;
mod outage;
mod start;
mod upstreams;
mod wire;

use crate::report::{CapacityReport, Table};
use crate::rig::Rig;
use bluebell_base::prelude::*;
use bluebell_base::text::ParseError;
use std::str::FromStr;

/// Shards, snapshot, directory and coordinators.
pub(crate) const DUTIES: usize = 22;

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Traffic and processor time by the number of nodes.
    Nodes,
    /// Traffic, processor time and time to notice by the number of upstreams.
    Upstreams,
    /// Traffic and processor time by the number of nodes, each with 4.5 upstreams.
    Fleet,
    /// Changes of configurations by their size.
    Config,
    /// The time until a change is in force everywhere by the number of nodes.
    Force,
    /// The data that a new node reads, by the number of changes in the log.
    Start,
    /// The first seconds after an outage and after a restart of all nodes.
    Outage,
    /// Memory by accounts, upstreams and peers.
    Memory,
    /// Bytes of HTTP around a call's JSON.
    Wire,
}

/// All parts, in the order in which they are run.
pub const PARTS: [Part; 9] = [
    Part::Nodes,
    Part::Upstreams,
    Part::Fleet,
    Part::Config,
    Part::Force,
    Part::Start,
    Part::Outage,
    Part::Memory,
    Part::Wire,
];

impl Part {
    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Part::Nodes => "nodes",
            Part::Upstreams => "upstreams",
            Part::Fleet => "fleet",
            Part::Config => "config",
            Part::Force => "force",
            Part::Start => "start",
            Part::Outage => "outage",
            Part::Memory => "memory",
            Part::Wire => "wire",
        }
    }
}

impl FromStr for Part {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let named = PARTS.into_iter().find(|part| part.name() == text);
        named.ok_or_else(|| ParseError::new("a part of the measurement", text))
    }
}

/// The sizes and the duration of the measurements.
#[derive(Clone, Debug, PartialEq)]
pub struct Sizes {
    /// The seed of all random numbers.
    pub seed: u64,
    /// The numbers of nodes.
    pub nodes: Vec<usize>,
    /// The numbers of upstreams.
    pub upstreams: Vec<usize>,
    /// The numbers of accounts in the configuration.
    pub accounts: Vec<usize>,
    /// The numbers of configuration changes in the log.
    pub changes: Vec<usize>,
    /// The time for which traffic is counted after the fleet is ready.
    pub span_ms: SpanMs,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            seed: 1,
            nodes: vec![3, 9, 25, 50],
            upstreams: vec![30, 300, 900, 1_800],
            accounts: vec![10, 300, 1_000, 2_200],
            changes: vec![0, 100, 300, 950],
            span_ms: SpanMs::from_secs(240),
        }
    }
}

/// Measures one part.
///
/// # Errors
/// Returns an error if a socket of the `wire` part fails, or if the fleet doesn't become ready.
pub fn run(part: Part, sizes: &Sizes) -> Result<CapacityReport, Error> {
    let tables = match part {
        Part::Nodes => vec![idle::by_nodes(sizes)],
        Part::Upstreams => vec![upstreams::by_upstreams(sizes)?],
        Part::Fleet => vec![idle::by_fleet(sizes)],
        Part::Config => vec![agreed::by_size(sizes)?],
        Part::Force => vec![agreed::by_nodes(sizes)?],
        Part::Start => vec![start::by_changes(sizes)?],
        Part::Outage => vec![outage::by_nodes(sizes)?],
        Part::Memory => memory::all(sizes)?,
        Part::Wire => vec![wire::of_calls()?],
    };
    Ok(CapacityReport { tables })
}

/// An error of a measurement that can't be made.
pub(crate) fn failed(what: &str) -> Error {
    Error::not_run(ErrorKind::Internal, what)
}

/// Returns the sizes as floating-point numbers.
pub(crate) fn floats(sizes: &[usize]) -> Vec<f64> {
    sizes.iter().map(|size| *size as f64).collect()
}

/// Collects one row of figures for each size into a table.
pub(crate) fn table(title: &str, size: &str, sizes: &[usize], rows: &[Vec<(&str, f64)>]) -> Table {
    let mut table = Table::new(title, size, floats(sizes));
    let names = rows.first().into_iter().flatten().map(|(name, _)| *name);
    for (column, name) in names.enumerate() {
        let values = rows.iter().map(|row| row[column].1).collect();
        table.add(name, values);
    }
    table
}

/// Returns a fleet that is ready.
pub(crate) fn settled(seed: u64, nodes: usize, engines: usize) -> Rig {
    let mut rig = Rig::open(seed);
    rig.list_engines(engines, engines.clamp(1, 38));
    rig.start_nodes(nodes);
    rig.run_ms(SpanMs::from_secs(180));
    rig
}
