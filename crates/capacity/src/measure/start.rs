//! The data that a new node reads until it is ready.

use super::agreed::config_text;
use super::{Sizes, failed, settled, table};
use crate::ledger::Kind;
use crate::report::Table;
use bluebell_base::prelude::*;
use std::time::Instant;

/// The number of nodes that run before.
const NODES: usize = 3;

/// The time for which a new node is observed.
const FIRST_MS: SpanMs = SpanMs::from_secs(60);

/// Measures by the number of changes in a log without snapshots.
pub(super) fn by_changes(sizes: &Sizes) -> Result<Table, Error> {
    let accounts = sizes.accounts.last().copied().unwrap_or(10);
    let upstreams = sizes.upstreams.last().copied().unwrap_or(30);
    let mut rows = Vec::new();
    for changes in &sizes.changes {
        let mut rig = settled(sizes.seed, NODES, upstreams);
        for version in 1..=*changes as u64 + 1 {
            let text = config_text(accounts, version);
            let published = rig.publish(0, version - 1, &text);
            published.ok_or_else(|| failed("a publication was not accepted"))?;
        }
        // The leases stream grows to the maximum that a new node reads.
        rig.run_ms(SpanMs::from_secs(1_200));
        let started = Instant::now();
        rig.start_nodes(1);
        let force_ms = rig.run_until_in_force(*changes as u64 + 1, FIRST_MS);
        let force_ms = force_ms.ok_or_else(|| failed("a fresh node got no configuration"))?;
        let real_ms = started.elapsed().as_secs_f64() * 1e3;
        rig.run_ms(FIRST_MS);
        let ledger = rig.nodes[NODES].ledger();
        let kilobytes = |kind| ledger.of(kind).bytes as f64 / 1e3;
        rows.push(vec![
            ("config stream read, kB", kilobytes(Kind::ReadConfig)),
            ("leases stream read, kB", kilobytes(Kind::ReadLeases)),
            ("directory stream read, kB", kilobytes(Kind::ReadDirectory)),
            ("VM list read, kB", kilobytes(Kind::List)),
            ("calls in the first minute", ledger.sum().calls as f64),
            ("configuration in force after, ms", force_ms.0 as f64),
            ("REAL ms until then, rig included", real_ms),
        ]);
    }
    let title = format!("A fresh node beside {NODES}; {accounts} accounts, {upstreams} upstreams");
    Ok(table(&title, "changes in the log", &sizes.changes, &rows))
}
