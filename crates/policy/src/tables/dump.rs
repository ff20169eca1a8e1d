//! Text output of the tables.

use super::Tables;
use std::fmt::Write;

/// Appends one line for the whole fleet and one line for each engine.
pub fn dump(tables: &Tables, text: &mut String) {
    // Writing to a string cannot fail.
    let mean = tables.fleet.mean_cost();
    let _ = writeln!(
        text,
        "jobs {}, fleet prefill {:.0} tok/s overhead {:.0} ms error {:.2} samples {}",
        tables.jobs.len(),
        mean.prefill_per_s,
        mean.overhead_ms,
        mean.error,
        mean.samples,
    );
    for engine in tables.fleet.iter() {
        let _ = writeln!(
            text,
            "{} {:?} prefill {:.0} tok/s overhead {:.0} ms error {:.2} samples {} in-flight {} \
             busy {:.2} kv-free {} tok backlog {} tok at report {} failures {}",
            engine.facts.upstream,
            engine.state,
            engine.cost.prefill_per_s,
            engine.cost.overhead_ms,
            engine.cost.error,
            engine.cost.samples,
            engine.in_flight.len(),
            engine.busy.share(),
            engine.kv_free(),
            engine.report.prefill_backlog_tokens.0,
            engine.reported_ms,
            engine.health.failures,
        );
    }
}
