//! Runs independent rows on a few threads.

use crate::driver;
use crate::measure::measure;
use crate::options::{BenchOptions, Part};
use crate::report::Row;
use crate::scenario::Scenario;
use bluebell_base::prelude::*;
use bluebell_upstreams::prompt::mix;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Runs the scenarios; the rows come in their order, whichever thread ran them.
pub fn run(
    options: &BenchOptions,
    engine_capacity: PerSecond,
    scenarios: Vec<(Part, Scenario)>,
) -> Vec<Row> {
    let next = AtomicUsize::new(0);
    let rows: Mutex<Vec<Option<Row>>> = Mutex::new(vec![None; scenarios.len()]);
    let work = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some((part, scenario)) = scenarios.get(index) else {
                return;
            };
            let row = run_row(options, engine_capacity, *part, scenario);
            if let Ok(mut rows) = rows.lock() {
                rows[index] = Some(row);
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(work);
        }
    });
    let rows = rows.into_inner().unwrap_or_default();
    rows.into_iter().flatten().collect()
}

fn run_row(
    options: &BenchOptions,
    engine_capacity: PerSecond,
    part: Part,
    scenario: &Scenario,
) -> Row {
    let capacity = PerSecond(engine_capacity.0 * f64::from(scenario.fleet.engines()));
    let one = |repeat: u32| {
        let seed = match repeat {
            0 => scenario.seed,
            _ => mix(scenario.seed, u64::from(repeat)),
        };
        let scenario = Scenario {
            seed,
            ..scenario.clone()
        };
        driver::run(&scenario, capacity)
    };
    let runs: Vec<_> = (0..options.repeats.max(1)).map(one).collect();
    Row::new(part, scenario, measure(scenario, capacity, &runs))
}
