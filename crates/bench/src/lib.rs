//! The policy bench: the production policy beside baselines, before fake engines, under virtual
//! time.
//!
//! Terms: a *row* is one scenario, measured over one or more runs with seeds of their own; a
//! *part* is a set of rows that answers one question.
//!
//! Invariants: the same options give the same figures, but for the cost of a decision, which is
//! measured in real time.

mod capacity;
mod cost;
mod driver;
pub mod measure;
pub mod options;
mod plan;
mod plot;
mod report;
mod runner;
pub mod scenario;
mod targets;
pub mod workload;

pub use options::{BenchOptions, Part};
pub use report::{BenchReport, Row};

use bluebell_base::prelude::*;
use std::io::Write;

/// Runs the bench, writes the text report to `out`, and the JSON and the plot where the options
/// say so.
///
/// # Errors
/// Returns an error if `out` or a file can't be written.
pub fn run(options: &BenchOptions, out: &mut dyn Write) -> Result<BenchReport, Error> {
    let report = measure_all(options);
    report::text::write(&report, out).map_err(|e| io_error("the report", &e))?;
    if let Some(path) = &options.json {
        let text = serde_json::to_string_pretty(&report)
            .map_err(|e| Error::not_run(ErrorKind::Internal, e.to_string()))?;
        std::fs::write(path, text).map_err(|e| io_error("the JSON file", &e))?;
    }
    if let Some(path) = &options.svg {
        plot::write(&report, path)?;
    }
    Ok(report)
}

/// Runs the bench and gives the figures.
pub fn measure_all(options: &BenchOptions) -> BenchReport {
    let capacity = capacity::measure(&Default::default(), options.seed);
    let scenarios = plan::scenarios(options);
    let rows = runner::run(options, capacity, scenarios);
    let mut report = BenchReport {
        seed: options.seed,
        engine_capacity: capacity,
        rows,
        cost: Vec::new(),
        targets: Vec::new(),
    };
    if options.parts.contains(&Part::Cost) {
        report.cost = cost::measure(&Default::default(), options.seed);
    }
    report.targets = targets::judge(&report);
    report
}

fn io_error(what: &str, error: &std::io::Error) -> Error {
    Error::not_run(ErrorKind::Internal, format!("cannot write {what}: {error}"))
}
