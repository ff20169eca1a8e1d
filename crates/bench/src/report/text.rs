//! The text report.

use super::{BenchReport, Row};
use crate::measure::{BANDS, band_name};
use std::io::{self, Write};

/// Writes the whole report.
///
/// # Errors
/// Returns an error if `out` can't be written.
pub fn write(report: &BenchReport, out: &mut dyn Write) -> io::Result<()> {
    let capacity = report.engine_capacity.0;
    writeln!(
        out,
        "seed {}, capacity of one engine {capacity:.0} prompt tok/s",
        report.seed
    )?;
    let mut part = "";
    for row in &report.rows {
        if row.part != part {
            part = &row.part;
            write_heading(part, out)?;
        }
        write_row(row, out)?;
    }
    for cost in &report.cost {
        writeln!(
            out,
            "decision, 1,800 replicas, 2,200 accounts, {} models: p50 {:.1} us, p99 {:.1} us, \
             longest {:.0} us",
            cost.models, cost.p50_us, cost.p99_us, cost.max_us
        )?;
    }
    writeln!(out, "\ntargets")?;
    for target in &report.targets {
        let verdict = if target.met { "met    " } else { "NOT met" };
        writeln!(out, "{verdict} {}: {}", target.target, target.measured)?;
    }
    Ok(())
}

fn write_heading(part: &str, out: &mut dyn Write) -> io::Result<()> {
    writeln!(
        out,
        "\npart {part}: slowdown p95 (p99) by band, shares in %"
    )?;
    write!(
        out,
        "{:<9} {:<14} {:>4} {:>2} {:<14}",
        "fleet", "policy", "load", "n", "what"
    )?;
    for band in 0..BANDS.len() {
        write!(out, " {:>15}", band_name(band))?;
    }
    writeln!(
        out,
        " {:>6} {:>5} {:>5} {:>5} {:>5} {:>5} {:>5} {:>5} {:>9} {:>5} {:>5}",
        "within", "refus", "late", "back", "good", "fail", "jain", "waste", "groups", "kv", "recal"
    )
}

fn write_row(row: &Row, out: &mut dyn Write) -> io::Result<()> {
    let report = &row.report;
    write!(
        out,
        "{:<9} {:<14} {:>4.0} {:>2} {:<14}",
        row.fleet,
        row.policy,
        row.load * 100.0,
        row.nodes,
        what(row)
    )?;
    for band in &report.bands {
        let cell = format!("{:.2} ({:.2})", band.slowdown.p95, band.slowdown.p99);
        write!(out, " {cell:>15}")?;
    }
    let groups = format!("{}/{}", report.groups_failed, report.groups);
    writeln!(
        out,
        " {:>6.2} {:>5.1} {:>5.2} {:>5.1} {:>5.1} {:>5.2} {:>5.3} {:>5.2} {:>9} {:>5.1} {:>5.2}",
        report.within_admitted * 100.0,
        report.refused * 100.0,
        report.refused_late * 100.0,
        report.come_back_within * 100.0,
        report.goodput * 100.0,
        report.failed * 100.0,
        report.accounts.jain,
        report.wasted * 100.0,
        groups,
        report.peak_kv * 100.0,
        report.recalls
    )
}

fn what(row: &Row) -> String {
    if !row.long_work {
        return "no long work".into();
    }
    if row.bursts {
        return "bursts".into();
    }
    if row.hog_factor > 1.0 {
        return format!("account x{}", row.hog_factor);
    }
    match row.lag_ms {
        Some(lag_ms) => format!("lag {lag_ms} ms"),
        None if row.fault == "none" => String::new(),
        None => row.fault.clone(),
    }
}
