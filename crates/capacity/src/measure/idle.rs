//! The traffic of nodes while nothing changes.

use super::{Sizes, settled, table};
use crate::ledger::{KINDS, Kind, Ledger};
use crate::report::Table;
use crate::rig::Rig;
use bluebell_base::prelude::*;
use std::time::Instant;

/// The size expected in two years, which gives the proportion of upstreams to nodes.
const FLEET_NODES: usize = 400;
const FLEET_UPSTREAMS: usize = 1_800;

/// The number of upstreams while the number of nodes varies.
const ENGINES: usize = 30;

const READS: [Kind; 3] = [Kind::ReadConfig, Kind::ReadLeases, Kind::ReadDirectory];
const APPENDS: [Kind; 3] = [
    Kind::AppendConfig,
    Kind::AppendLeases,
    Kind::AppendDirectory,
];
const PEERS: [Kind; 2] = [Kind::PeerOut, Kind::PeerIn];

/// The traffic of all nodes over some time, with the processor time of the rig.
pub(super) struct Idle {
    pub(super) ledgers: Vec<Ledger>,
    pub(super) span_s: f64,
    pub(super) processor_us: f64,
}

impl Idle {
    /// Runs the rig for `span_ms` and counts the traffic.
    pub(super) fn measure(rig: &mut Rig, span_ms: SpanMs) -> Self {
        let before: Vec<Ledger> = rig.nodes.iter().map(|node| node.ledger()).collect();
        let started = Instant::now();
        rig.run_ms(span_ms);
        let processor_us = started.elapsed().as_secs_f64() * 1e6;
        let ledgers = rig.nodes.iter().zip(&before);
        Self {
            ledgers: ledgers.map(|(n, b)| n.ledger().since(b)).collect(),
            span_s: span_ms.0 as f64 / 1000.0,
            processor_us,
        }
    }

    fn per_node(&self, of: impl Fn(&Ledger) -> u64) -> f64 {
        let sum: u64 = self.ledgers.iter().map(of).sum();
        sum as f64 / self.ledgers.len() as f64 / self.span_s
    }

    pub(super) fn calls(&self, kinds: &[Kind]) -> f64 {
        self.per_node(|ledger| ledger.sum_of(kinds).calls)
    }

    pub(super) fn bytes(&self, kinds: &[Kind]) -> f64 {
        self.per_node(|ledger| ledger.sum_of(kinds).bytes)
    }

    pub(super) fn fleet_calls(&self, kinds: &[Kind]) -> f64 {
        self.calls(kinds) * self.ledgers.len() as f64
    }

    pub(super) fn most_bytes(&self) -> f64 {
        let bytes = self.ledgers.iter().map(|ledger| ledger.sum().bytes);
        bytes.max().unwrap_or_default() as f64 / self.span_s
    }

    /// Returns the real time of the whole rig for each node and second, in microseconds.
    pub(super) fn processor(&self) -> f64 {
        self.processor_us / self.ledgers.len() as f64 / self.span_s
    }

    /// Returns the real time of the whole rig for each call, in microseconds.
    pub(super) fn processor_a_call(&self) -> f64 {
        let calls: u64 = self.ledgers.iter().map(|ledger| ledger.sum().calls).sum();
        self.processor_us / calls.max(1) as f64
    }

    /// Returns the figures that the tables by nodes and by upstreams share.
    pub(super) fn row(&self) -> Vec<(&'static str, f64)> {
        vec![
            ("log reads/s a node", self.calls(&READS)),
            ("config stream B/s a node", self.bytes(&[Kind::ReadConfig])),
            ("leases stream B/s a node", self.bytes(&[Kind::ReadLeases])),
            (
                "directory stream B/s a node",
                self.bytes(&[Kind::ReadDirectory]),
            ),
            ("appends/s a node", self.calls(&APPENDS)),
            ("appends B/s a node", self.bytes(&APPENDS)),
            ("VM list fetches/s a node", self.calls(&[Kind::List])),
            ("VM list B/s a node", self.bytes(&[Kind::List])),
            ("peer calls/s a node, out and in", self.calls(&PEERS)),
            ("peer B/s a node, out and in", self.bytes(&PEERS)),
            ("all calls/s a node", self.calls(&KINDS)),
            ("all B/s a node", self.bytes(&KINDS)),
            ("all B/s of the node with most", self.most_bytes()),
            (
                "leases appends/s of the fleet",
                self.fleet_calls(&[Kind::AppendLeases]),
            ),
            (
                "directory appends/s of the fleet",
                self.fleet_calls(&[Kind::AppendDirectory]),
            ),
            ("log reads/s of the fleet", self.fleet_calls(&READS)),
            ("REAL us/s a node, rig included", self.processor()),
            ("REAL us a call, rig included", self.processor_a_call()),
        ]
    }
}

/// Measures by the number of nodes.
pub(super) fn by_nodes(sizes: &Sizes) -> Table {
    let measure = |nodes: &usize| {
        let mut rig = settled(sizes.seed, *nodes, ENGINES);
        Idle::measure(&mut rig, sizes.span_ms).row()
    };
    let rows: Vec<_> = sizes.nodes.iter().map(measure).collect();
    let title = format!("Nothing changes, {ENGINES} upstreams; JSON bytes without HTTP's own");
    table(&title, "nodes", &sizes.nodes, &rows)
}

/// Measures by the number of nodes, with upstreams in the proportion of the expected size.
pub(super) fn by_fleet(sizes: &Sizes) -> Table {
    let measure = |nodes: &usize| {
        let engines = *nodes * FLEET_UPSTREAMS / FLEET_NODES;
        let mut rig = settled(sizes.seed, *nodes, engines);
        let mut row = Idle::measure(&mut rig, sizes.span_ms).row();
        row.push(("upstreams", engines as f64));
        row
    };
    let rows: Vec<_> = sizes.nodes.iter().map(measure).collect();
    let title = "Nothing changes, 4.5 upstreams a node; JSON bytes without HTTP's own";
    table(title, "nodes", &sizes.nodes, &rows)
}
