//! `bench`: the policy measured beside baselines.

use crate::args::Bench;
use crate::outcome::CommandError;
use bluebell_base::prelude::*;
use bluebell_bench::BenchOptions;
use std::fmt::Display;
use std::io::{self, Write};
use std::str::FromStr;

/// Runs the bench and prints its report.
pub fn run(args: &Bench, json: bool) -> Result<(), CommandError> {
    let options = options(args)?;
    if !json {
        let mut out = io::stdout().lock();
        let report = bluebell_bench::run(&options, &mut out);
        return report.map(|_| ()).map_err(CommandError::failed);
    }
    let report = bluebell_bench::run(&options, &mut io::sink()).map_err(CommandError::failed)?;
    let text = serde_json::to_string(&report).map_err(CommandError::failed)?;
    writeln!(io::stdout(), "{text}").map_err(CommandError::failed)
}

fn options(args: &Bench) -> Result<BenchOptions, CommandError> {
    let defaults = BenchOptions::default();
    let mut faults = Vec::new();
    let parts = list("--part", &args.part, defaults.parts, &mut faults);
    let policies = list("--policy", &args.policy, defaults.policies, &mut faults);
    let zeros = [
        ("--seconds", args.seconds == Some(0)),
        ("--repeats", args.repeats == Some(0)),
        ("--threads", args.threads == Some(0)),
    ];
    for (flag, _) in zeros.iter().filter(|(_, is_zero)| *is_zero) {
        faults.push(format!("{flag} must be more than 0"));
    }
    if !faults.is_empty() {
        return Err(CommandError::usage(faults.join("\n")));
    }
    Ok(BenchOptions {
        seed: args.seed.unwrap_or(defaults.seed),
        duration_ms: args.seconds.map_or(defaults.duration_ms, SpanMs::from_secs),
        repeats: args.repeats.unwrap_or(defaults.repeats),
        threads: args.threads.unwrap_or(defaults.threads),
        parts,
        policies,
        json: args.json_file.as_ref().map(Into::into),
        svg: args.svg_file.as_ref().map(Into::into),
        ..defaults
    })
}

/// A repeated flag's values, or the defaults where it isn't given; faults are noted.
fn list<T: FromStr<Err: Display>>(
    flag: &str,
    texts: &[String],
    defaults: Vec<T>,
    faults: &mut Vec<String>,
) -> Vec<T> {
    if texts.is_empty() {
        return defaults;
    }
    let mut values = Vec::new();
    for text in texts {
        match text.parse() {
            Ok(value) => values.push(value),
            Err(error) => faults.push(format!("{flag}: {error}")),
        }
    }
    values
}
