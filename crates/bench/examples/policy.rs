//! Runs parts of the policy bench, with constants of the production policy to try.
//!
//! `cargo run --release -p bluebell-bench --example policy -- [PART...] [NAME=VALUE...]`
//!
//! Parts: `loads`, `nodes`, `lags`, `faults`, `accounts`, `cost`; none given means all. Names: `json`
//! and `svg` (files to write), `repeats`, `secs` (of arrivals a run), `seed`, `policy`, `loads`
//! (shares of capacity, with commas); and of the production policy `short_share`, `room_share`,
//! `choices`, `deferrable` and `slack` (in milliseconds).

use bluebell_base::prelude::*;
use bluebell_bench::{BenchOptions, Part};
use std::str::FromStr;

fn main() {
    if let Err(error) = run() {
        eprintln!("{error}");
        std::process::exit(1);
    }
}

fn run() -> Result<(), Error> {
    let mut options = BenchOptions::default();
    let mut parts: Vec<Part> = Vec::new();
    for arg in std::env::args().skip(1) {
        match arg.split_once('=') {
            None => parts.push(parse(&arg)?),
            Some((name, value)) => set(&mut options, name, value)?,
        }
    }
    if !parts.is_empty() {
        options.parts = parts;
    }
    bluebell_bench::run(&options, &mut std::io::stdout()).map(|_| ())
}

fn set(options: &mut BenchOptions, name: &str, value: &str) -> Result<(), Error> {
    let production = &mut options.production;
    match name {
        "json" => options.json = Some(value.into()),
        "svg" => options.svg = Some(value.into()),
        "repeats" => options.repeats = parse(value)?,
        "secs" => options.duration_ms = SpanMs::from_secs(parse(value)?),
        "seed" => options.seed = parse(value)?,
        "policy" => options.policies = vec![parse(value)?],
        "loads" => options.loads = value.split(',').map(parse).collect::<Result<_, _>>()?,
        "short_share" => production.short_work_share = parse(value)?,
        "room_share" => production.kv_headroom_share = parse(value)?,
        "choices" => production.choices = parse(value)?,
        "deferrable" => production.deferrable_ms = SpanMs(parse(value)?),
        "slack" => production.slack_ms = SpanMs(parse(value)?),
        _ => return Err(unknown(name)),
    }
    Ok(())
}

fn parse<T: FromStr>(text: &str) -> Result<T, Error> {
    text.parse().map_err(|_| unknown(text))
}

fn unknown(text: &str) -> Error {
    Error::not_run(ErrorKind::Invalid, format!("{text:?} is not understood"))
}
