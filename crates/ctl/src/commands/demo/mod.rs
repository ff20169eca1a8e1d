//! `demo`: the whole system in one process, under mixed load.
//!
//! Terms: the *surroundings* are the stand-ins of what lies outside the system.

mod fleet;
mod surroundings;

use crate::args::Demo;
use crate::commands::load::{demo_classes, demo_keys, finish};
use crate::outcome::CommandError;
use bluebell_base::prelude::*;
use bluebell_load::{AccountKey, HttpRunSource, KeyedPlan, LoadPlan, ServicePlan, StandInOracle};
use fleet::Nodes;
use surroundings::{MODEL, SERVICE_PATH, Surroundings};

/// The share of requests that must run at most once.
const KEYED_SHARE: f64 = 0.2;
/// The share of requests that go to the service.
const SERVICE_SHARE: f64 = 0.05;
/// The timeout of one answer.
const PATIENCE_MS: SpanMs = SpanMs::from_secs(300);

/// Runs the demo and prints its report.
pub fn run(args: &Demo, json: bool) -> Result<(), CommandError> {
    check(args)?;
    let surroundings = Surroundings::open(args)?;
    let nodes = Nodes::spawn(args.nodes, &surroundings.platform())?;
    surroundings.list_nodes(nodes.peers())?;
    nodes.publish_config()?;
    nodes.wait_ready(args.engines)?;
    eprintln!(
        "{} nodes before {} engines are ready; {} requests at {}/s follow",
        args.nodes, args.engines, args.requests, args.rate
    );
    let plan = plan(args, &nodes, &surroundings)?;
    let run = bluebell_load::spawn(plan).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
        CommandError::usage(lines.join("\n"))
    })?;
    let report = run.join();
    nodes.stop();
    finish(&report, json)
}

fn check(args: &Demo) -> Result<(), CommandError> {
    let zeros = [
        ("--nodes", args.nodes == 0),
        ("--engines", args.engines == 0),
        ("--speed", !args.speed.is_finite() || args.speed <= 0.0),
    ];
    let faulty = zeros.iter().filter(|(_, is_zero)| *is_zero);
    let lines: Vec<String> = faulty
        .map(|(flag, _)| format!("{flag} must be more than 0"))
        .collect();
    match lines.is_empty() {
        true => Ok(()),
        false => Err(CommandError::usage(lines.join("\n"))),
    }
}

fn plan(args: &Demo, nodes: &Nodes, surroundings: &Surroundings) -> Result<LoadPlan, CommandError> {
    let answer_tokens = Tokens(args.answer_tokens);
    let model = ModelName::from(MODEL);
    let any_class = ClassName::from("short-draft");
    let any_key = AccountKey::new("");
    let defaults = LoadPlan::new(nodes.callers(), any_key, any_class);
    Ok(LoadPlan {
        rate: PerSecond(args.rate),
        requests: args.requests,
        seed: args.seed,
        classes: demo_classes(answer_tokens)?,
        accounts: demo_keys(),
        model,
        keyed: Some(KeyedPlan {
            class: ClassName::from("notice"),
            answer_tokens,
            share: KEYED_SHARE,
        }),
        service: Some(ServicePlan {
            path: SERVICE_PATH.into(),
            share: SERVICE_SHARE,
        }),
        patience_ms: PATIENCE_MS,
        oracle: Some(Arc::new(StandInOracle)),
        run_source: Some(Arc::new(HttpRunSource::open(surroundings.upstreams()))),
        ..defaults
    })
}
