//! The rows of each part of the bench.

use crate::options::{BenchOptions, Part};
use crate::scenario::{Fault, Lag, Scenario};
use crate::workload::FleetKind;
use bluebell_base::prelude::*;
use bluebell_policy::{Kind, PolicySettings};

/// The offered loads, as shares of capacity.
pub const LOADS: [f64; 6] = [0.5, 0.7, 0.85, 0.95, 1.2, 2.0];
/// The load at which nodes and lags are varied.
const VARIED_LOAD: f64 = 0.85;
/// The load under faults; what is left can carry it even without a failure domain.
const FAULT_LOAD: f64 = 0.5;
/// The loads at which one account offers its share, and then ten times that.
pub const ACCOUNTS_LOADS: [f64; 2] = [0.7, 0.85];
/// The factor by which that account exceeds its share.
const HOG_FACTOR: f64 = 10.0;

/// The rows of the parts that are wanted.
pub fn scenarios(options: &BenchOptions) -> Vec<(Part, Scenario)> {
    let mut all = Vec::new();
    for part in &options.parts {
        for fleet in FleetKind::ALL {
            for policy in options.policies.iter().copied() {
                let base = |load| Scenario {
                    duration_ms: options.duration_ms,
                    seed: options.seed,
                    ..Scenario::new(fleet, settings(options, policy), load)
                };
                let rows = part_rows(*part, &options.loads, &base);
                all.extend(rows.into_iter().map(|scenario| (*part, scenario)));
            }
        }
    }
    all
}

fn settings(options: &BenchOptions, kind: Kind) -> PolicySettings {
    if kind == options.production.kind {
        return options.production.clone();
    }
    PolicySettings::of(kind)
}

fn part_rows(part: Part, at: &[f64], base: &dyn Fn(f64) -> Scenario) -> Vec<Scenario> {
    match part {
        Part::Loads => loads(at, base),
        Part::Nodes => [1, 3, 9]
            .map(|nodes| Scenario {
                nodes,
                ..base(VARIED_LOAD)
            })
            .to_vec(),
        Part::Lags => [200, 1_000, 5_000]
            .map(|lag_ms| Scenario {
                lag: Lag::Fixed(SpanMs(lag_ms)),
                ..base(VARIED_LOAD)
            })
            .to_vec(),
        Part::Faults => faults(base),
        Part::Accounts => ACCOUNTS_LOADS
            .iter()
            .flat_map(|load| [(*load, 1.0), (*load, HOG_FACTOR)])
            .map(|(load, hog_factor)| Scenario {
                hog_factor,
                ..base(load)
            })
            .collect(),
        Part::Cost => Vec::new(),
    }
}

fn loads(at: &[f64], base: &dyn Fn(f64) -> Scenario) -> Vec<Scenario> {
    let with = at.iter().map(|load| base(*load));
    let without = at.iter().map(|load| Scenario {
        long_work: false,
        ..base(*load)
    });
    with.chain(without).collect()
}

fn faults(base: &dyn Fn(f64) -> Scenario) -> Vec<Scenario> {
    let faults = [
        Fault::None,
        Fault::EngineDies,
        Fault::EngineSlows,
        Fault::EngineLeaves,
        Fault::DomainLost,
    ];
    let mut rows = faults
        .map(|fault| Scenario {
            fault,
            ..base(FAULT_LOAD)
        })
        .to_vec();
    rows.push(Scenario {
        bursts: true,
        ..base(FAULT_LOAD)
    });
    rows
}
