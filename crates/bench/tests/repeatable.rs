//! The bench gives the same figures for the same seed, on any number of threads.

use bluebell_base::prelude::*;
use bluebell_bench::{BenchOptions, Part, measure_all};

fn options(threads: usize, seed: u64) -> BenchOptions {
    BenchOptions {
        seed,
        threads,
        duration_ms: SpanMs::from_secs(20),
        parts: vec![Part::Nodes, Part::Faults],
        ..BenchOptions::default()
    }
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    let first = measure_all(&options(1, 7));
    let second = measure_all(&options(3, 7));
    assert_eq!(first, second);
}

#[test]
fn another_seed_gives_other_figures() {
    let first = measure_all(&options(3, 7));
    let second = measure_all(&options(3, 8));
    assert_ne!(first.rows, second.rows);
}

#[test]
fn no_run_strands_memory() {
    let report = measure_all(&options(3, 9));
    for row in &report.rows {
        assert_eq!(row.report.stranded_tokens, 0, "{row:?}");
    }
}
