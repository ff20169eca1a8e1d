//! Judges each target by the rows that tell of it.

use super::Judged;
use crate::measure::{BANDS, band_name};
use crate::plan::ACCOUNTS_LOADS;
use crate::report::{BenchReport, Row};
use crate::workload::FleetKind;

/// The maximum slowdown of short work by long work, at a load.
const SHORT_RATIOS: [(f64, f64); 2] = [(0.7, 1.10), (0.85, 1.25)];
/// The maximum of a band's 95th percentile relative to that of the band alone.
const BAND_RATIO: f64 = 1.5;
/// A band starves where this share of it is refused, or its 99th percentile is this far above.
const STARVED: (f64, f64) = (0.5, 20.0);
/// The share of admitted work that must be within target.
const WITHIN: f64 = 0.99;
/// The goodput under overload, as a share of the best.
const GOODPUT: f64 = 0.95;
/// The maximum change of another account's share of missed targets.
const MISS_MOVED: f64 = 0.01;
/// The minimum improvement of the slowdown of short work over the best baseline.
const BETTER: f64 = 3.0;
/// The maximum duration of a placement, in microseconds.
const DECISION_US: f64 = 20.0;

/// Judges all targets that the report's rows can tell of.
pub fn judge(report: &BenchReport) -> Vec<Judged> {
    let mut judged = Vec::new();
    for fleet in FleetKind::ALL {
        let fleet = fleet.to_string();
        let rows = |part: &str| {
            let of = |row: &&Row| row.fleet == fleet && row.part == part;
            report.rows.iter().filter(of).collect::<Vec<_>>()
        };
        judge_loads(&fleet, &rows("loads"), &mut judged);
        judge_accounts(&fleet, &rows("accounts"), &mut judged);
    }
    for cost in &report.cost {
        judged.push(Judged {
            target: format!("decision p99 <= {DECISION_US} us, {} models", cost.models),
            measured: format!("{:.1} us", cost.p99_us),
            met: cost.p99_us <= DECISION_US,
        });
    }
    judged
}

fn judge_loads(fleet: &str, rows: &[&Row], judged: &mut Vec<Judged>) {
    let ours: Vec<&Row> = rows
        .iter()
        .copied()
        .filter(|row| row.is_production())
        .collect();
    if ours.is_empty() {
        return;
    }
    judge_short(fleet, &ours, judged);
    judge_bands(fleet, &ours, judged);
    judge_overload(fleet, &ours, judged);
    judge_groups(fleet, &ours, judged);
    judge_better(fleet, rows, judged);
}

fn find<'a>(rows: &[&'a Row], load: f64, long_work: bool) -> Option<&'a Row> {
    let found = rows
        .iter()
        .find(|row| row.load == load && row.long_work == long_work);
    found.copied()
}

fn judge_short(fleet: &str, ours: &[&Row], judged: &mut Vec<Judged>) {
    for (load, most) in SHORT_RATIOS {
        let Some(ratio) = short_ratio(ours, load) else {
            continue;
        };
        judged.push(Judged {
            target: format!("{fleet}: short p99 with / without long work at {load} <= {most}"),
            measured: format!("{ratio:.2}"),
            met: ratio <= most,
        });
    }
}

fn short_ratio(rows: &[&Row], load: f64) -> Option<f64> {
    let p99 = |row: &Row| row.report.bands[0].first_token_ms.p99;
    Some(p99(find(rows, load, true)?) / p99(find(rows, load, false)?))
}

fn judge_bands(fleet: &str, ours: &[&Row], judged: &mut Vec<Judged>) {
    if let Some(row) = find(ours, 0.7, true) {
        for (band, report) in row.report.bands.iter().enumerate() {
            judged.push(Judged {
                target: format!(
                    "{fleet}: {} p95 / alone at 0.7 <= {BAND_RATIO}",
                    band_name(band)
                ),
                measured: format!("{:.2}", report.slowdown.p95),
                met: report.slowdown.p95 <= BAND_RATIO,
            });
        }
    }
    if let Some(row) = find(ours, 0.95, true) {
        let starved = (0..BANDS.len()).filter(|band| {
            let report = &row.report.bands[*band];
            report.refused > STARVED.0 || report.slowdown.p99 > STARVED.1
        });
        let starved: Vec<_> = starved.map(band_name).collect();
        judged.push(Judged {
            target: format!("{fleet}: no band starves at 0.95"),
            measured: format!("starved: {starved:?}"),
            met: starved.is_empty(),
        });
    }
}

fn judge_overload(fleet: &str, ours: &[&Row], judged: &mut Vec<Judged>) {
    for load in [0.5, 0.7, 0.85] {
        if let Some(row) = find(ours, load, true) {
            let within = row.report.within_admitted;
            judged.push(Judged {
                target: format!("{fleet}: admitted work within target at {load} >= 99 %"),
                measured: format!(
                    "{:.2} %, {:.1} % refused",
                    within * 100.0,
                    row.report.refused * 100.0
                ),
                met: within >= WITHIN,
            });
        }
    }
    let goodput = |row: &&Row| row.report.goodput;
    let best = ours
        .iter()
        .filter(|row| row.long_work)
        .map(goodput)
        .fold(0.0, f64::max);
    if let Some(row) = find(ours, 2.0, true) {
        let share = row.report.goodput / best;
        judged.push(Judged {
            target: format!("{fleet}: goodput at 2.0 / best >= {GOODPUT}"),
            measured: format!("{share:.3}"),
            met: share >= GOODPUT,
        });
        judged.push(Judged {
            target: format!("{fleet}: refusals at 2.0 are immediate (none after admission)"),
            measured: format!("{:.2} % late", row.report.refused_late * 100.0),
            met: row.report.refused_late == 0.0,
        });
        judged.push(Judged {
            target: format!("{fleet}: refusals at 2.0 are truthful (no engine had begun the work)"),
            measured: format!("{} begun", row.report.refused_begun),
            met: row.report.refused_begun == 0,
        });
        judged.push(Judged {
            target: format!(
                "{fleet}: refusals at 2.0 are truthful (half of those that come back are served)"
            ),
            measured: format!(
                "{:.1} % of {}",
                row.report.come_back_within * 100.0,
                row.report.came_back
            ),
            met: row.report.come_back_within >= 0.5,
        });
    }
}

fn judge_groups(fleet: &str, ours: &[&Row], judged: &mut Vec<Judged>) {
    let stranded: u64 = ours.iter().map(|row| row.report.stranded_tokens).sum();
    let groups: u64 = ours.iter().map(|row| row.report.groups).sum();
    let failed: u64 = ours.iter().map(|row| row.report.groups_failed).sum();
    judged.push(Judged {
        target: format!("{fleet}: groups complete with no stranded memory"),
        measured: format!("{groups} tried, {failed} reservations failed, {stranded} tok stranded"),
        met: stranded == 0 && groups > failed,
    });
}

fn judge_better(fleet: &str, rows: &[&Row], judged: &mut Vec<Judged>) {
    for (load, _) in SHORT_RATIOS {
        let slowdown = |row: &&&Row| row.report.bands[0].slowdown.p99;
        let at = |row: &&&Row| row.load == load && row.long_work;
        let ours = rows
            .iter()
            .filter(at)
            .filter(|row| row.is_production())
            .map(|r| slowdown(&r));
        let theirs = rows
            .iter()
            .filter(at)
            .filter(|row| row.is_baseline())
            .map(|r| slowdown(&r));
        let best = theirs.fold(f64::INFINITY, f64::min);
        let ours = ours.fold(0.0, f64::max);
        if best.is_finite() && ours > 0.0 {
            judged.push(Judged {
                target: format!(
                    "{fleet}: short slowdown p99 at {load}, best baseline / ours >= {BETTER}"
                ),
                measured: format!("{best:.2} / {ours:.2} = {:.2}", best / ours),
                met: best / ours >= BETTER,
            });
        }
    }
}

fn judge_accounts(fleet: &str, rows: &[&Row], judged: &mut Vec<Judged>) {
    for load in ACCOUNTS_LOADS {
        let mut ours = rows
            .iter()
            .filter(|row| row.is_production() && row.load == load);
        let usual = ours.clone().find(|row| row.hog_factor == 1.0);
        let hogged = ours.find(|row| row.hog_factor > 1.0);
        let (Some(usual), Some(hogged)) = (usual, hogged) else {
            continue;
        };
        let before = &usual.report.accounts.miss;
        let after = &hogged.report.accounts.miss;
        let others = before.len() - 1;
        let moved = before.iter().zip(after).take(others).map(|(b, a)| a - b);
        let moved = moved.fold(0.0, f64::max);
        judged.push(Judged {
            target: format!(
                "{fleet}: one account at 10 x its share at {load} moves no other's miss share by > 1 point"
            ),
            measured: format!("{:.2} points", moved * 100.0),
            met: moved <= MISS_MOVED,
        });
    }
}
