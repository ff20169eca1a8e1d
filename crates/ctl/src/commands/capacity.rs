//! `capacity`: what control costs at several sizes, and the lines through it.

use crate::args::Capacity;
use crate::outcome::CommandError;
use bluebell_capacity::CapacityReport;
use bluebell_capacity::measure::{PARTS, Part, Sizes, run as measure};
use std::io::{self, Write};

/// Measures and prints each part as soon as it is there; as JSON all at once.
pub fn run(args: &Capacity, json: bool) -> Result<(), CommandError> {
    let parts = parts(&args.part)?;
    let defaults = Sizes::default();
    let sizes = Sizes {
        seed: args.seed.unwrap_or(defaults.seed),
        nodes: chosen(&args.nodes, defaults.nodes),
        upstreams: chosen(&args.upstreams, defaults.upstreams),
        accounts: chosen(&args.accounts, defaults.accounts),
        changes: chosen(&args.changes, defaults.changes),
        ..defaults
    };
    let mut all = CapacityReport::default();
    for part in parts {
        let report = measure(part, &sizes).map_err(CommandError::failed)?;
        if !json {
            writeln!(io::stdout(), "{report}").map_err(CommandError::failed)?;
        }
        all.tables.extend(report.tables);
    }
    if json {
        let text = serde_json::to_string(&all).map_err(CommandError::failed)?;
        writeln!(io::stdout(), "{text}").map_err(CommandError::failed)?;
    }
    Ok(())
}

fn parts(names: &[String]) -> Result<Vec<Part>, CommandError> {
    if names.is_empty() {
        return Ok(PARTS.to_vec());
    }
    let parts = names.iter().map(|name| name.parse());
    let parts: Result<Vec<Part>, _> = parts.collect();
    parts.map_err(|error| CommandError::usage(format!("--part: {error}")))
}

fn chosen(given: &[usize], default: Vec<usize>) -> Vec<usize> {
    match given.is_empty() {
        true => default,
        false => given.to_vec(),
    }
}
