//! The measurement is what it says: figures under virtual time repeat exactly, lines are right,
//! and what is measured at a small size keeps within a node's budget.

use bluebell_base::prelude::*;
use bluebell_capacity::measure::{PARTS, Part, Sizes, run};
use bluebell_capacity::{CapacityReport, Line, Table};

/// What a node may spend on control, in bytes a second.
const BUDGET_BYTES: f64 = 6_000.0;

fn small() -> Sizes {
    Sizes {
        seed: 3,
        nodes: vec![2, 5],
        upstreams: vec![4, 40],
        accounts: vec![5, 50],
        changes: vec![0, 10],
        span_ms: SpanMs::from_secs(60),
    }
}

fn measured(part: Part) -> CapacityReport {
    run(part, &small()).unwrap_or_else(|error| panic!("{part:?}: {error}"))
}

/// A report without the figures that are real time.
fn virtual_only(mut report: CapacityReport) -> CapacityReport {
    for table in &mut report.tables {
        let real = |name: &str| name.starts_with("REAL");
        table.figures.retain(|figure| !real(&figure.name));
    }
    report
}

fn value(table: &Table, name: &str, index: usize) -> f64 {
    let figure = table.figure(name);
    figure.unwrap_or_else(|| panic!("no figure {name}")).values[index]
}

#[test]
fn virtual_figures_repeat_exactly() {
    for part in [Part::Nodes, Part::Upstreams, Part::Config, Part::Start] {
        let (first, second) = (measured(part), measured(part));
        assert_eq!(virtual_only(first), virtual_only(second), "{part:?}");
    }
}

#[test]
fn lines_go_through_points() {
    let line = Line::through(&[(1.0, 5.0), (2.0, 7.0), (5.0, 13.0)]).expect("differs in x");
    assert!((line.slope - 2.0).abs() < 1e-9 && (line.intercept - 3.0).abs() < 1e-9);
    assert!(line.residual < 1e-9);
    assert!((line.at(400.0) - 803.0).abs() < 1e-6);
    let bent = Line::through(&[(0.0, 0.0), (1.0, 1.0), (2.0, 0.0)]).expect("differs in x");
    assert!((bent.residual - 2.0 / 3.0).abs() < 1e-9);
    assert_eq!(Line::through(&[(1.0, 1.0), (1.0, 2.0)]), None);
    assert_eq!(Line::through(&[]), None);
}

#[test]
fn quiet_nodes_keep_their_budget() {
    let report = measured(Part::Nodes);
    let table = &report.tables[0];
    for index in 0..2 {
        let most = value(table, "all B/s of the node with most", index);
        assert!(most > 0.0 && most <= BUDGET_BYTES, "{most} B/s");
    }
    // The config stream is read twice a second, the other two once, and each node probes about one peer a second.
    let reads = value(table, "log reads/s a node", 1);
    assert!((3.5..4.8).contains(&reads), "{reads} reads/s");
    let peers = value(table, "peer calls/s a node, out and in", 1);
    assert!((1.5..2.6).contains(&peers), "{peers} peer calls/s");
    // What one node calls is what another is called.
    let appends = value(table, "leases appends/s of the fleet", 1);
    assert!((0.5..3.0).contains(&appends), "{appends} appends/s");
}

#[test]
fn changes_cost_what_they_change() {
    let report = measured(Part::Config);
    let table = &report.tables[0];
    let config = value(table, "configuration, B", 1);
    let read = value(table, "read a change and node, B", 1);
    assert!(read > 0.0 && read < config, "{read} B of {config} B");
    assert!(value(table, "in force everywhere, most ms", 1) <= 9_000.0);
}

#[test]
fn fleets_come_back() {
    let report = measured(Part::Outage);
    let table = &report.tables[0];
    assert!(value(table, "in force after a restart of all, ms", 1) <= 9_000.0);
}

#[test]
fn http_adds_to_json() {
    let report = run(Part::Wire, &small()).expect("sockets");
    let table = &report.tables[0];
    assert!(table.figures.iter().all(|figure| figure.values[0] > 100.0));
}

#[test]
fn parts_are_named() {
    for part in PARTS {
        assert_eq!(part.name().parse(), Ok(part));
    }
    assert!("none".parse::<Part>().is_err());
}
