//! `load`: open-loop load with a report.

use crate::args::Load;
use crate::commands::stand_in::address;
use crate::outcome::CommandError;
use crate::output::print_line;
use bluebell_base::prelude::*;
use bluebell_load::{
    AccountKey, ClassPlan, DirectEngine, HttpDirectEngine, HttpRunSource, KeyedPlan, LoadPlan, Mix,
    Oracle, Report, RunSource, ServicePlan, StandInOracle,
};

/// Keys of accounts, separated by commas.
const KEYS_ENV: &str = "BLUEBELL_ACCOUNT_KEYS";

/// Accounts of the demo configuration; their keys are `demo-key-0` and so on.
pub const DEMO_ACCOUNTS: usize = 10;

/// Classes of the demo configuration by the longest prompt sent as of them, in tokens.
const DEMO_CLASSES: [&str; 3] = ["short-draft:4000", "condensed-text:64000", "archive-read"];

/// The incarnation under which engines are called directly; no node draws zero.
const DIRECT_OWNER: Incarnation = Incarnation(0);

/// Sends the load, prints the report, and fails where it shows a fault or a lost request.
pub fn run(args: &Load, json: bool) -> Result<(), CommandError> {
    let plan = plan(args)?;
    let run = bluebell_load::spawn(plan).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| fault.to_string()).collect();
        CommandError::usage(lines.join("\n"))
    })?;
    finish(&run.join(), json)
}

/// Prints a report and judges it.
pub fn finish(report: &Report, json: bool) -> Result<(), CommandError> {
    let text = match json {
        true => serde_json::to_string(report).map_err(CommandError::failed)?,
        false => report.to_string().trim_end().to_owned(),
    };
    print_line(&text)?;
    if report.is_clean() && report.lost == 0 {
        return Ok(());
    }
    let faults = report.faults.total();
    let why = format!(
        "{faults} faults and {} requests without any word",
        report.lost
    );
    Err(CommandError::failed(why))
}

fn plan(args: &Load) -> Result<LoadPlan, CommandError> {
    let targets = match args.target.is_empty() {
        true => vec![Address::from("127.0.0.1:8080")],
        false => addresses("--target", &args.target)?,
    };
    let accounts = account_keys(&args.account_key);
    let classes = classes(args)?;
    let model: ModelName = args.model.parse().map_err(CommandError::usage)?;
    let mix: Mix = args.mix.parse().map_err(CommandError::usage)?;
    let patience_ms = SpanMs(args.patience_ms);
    let direct = addresses("--direct-engine", &args.direct_engine)?;
    if direct.is_empty() && args.direct_share > 0.0 {
        return Err(CommandError::usage("--direct-share needs --direct-engine"));
    }
    let direct = HttpDirectEngine::open(direct, model.clone(), DIRECT_OWNER, patience_ms);
    let direct: Arc<dyn DirectEngine> = Arc::new(direct);
    let oracle: Arc<dyn Oracle> = Arc::new(StandInOracle);
    Ok(LoadPlan {
        targets,
        rate: PerSecond(args.rate),
        requests: args.requests,
        seed: args.seed,
        mix,
        max_prompt_tokens: args.max_prompt_tokens.map(Tokens),
        classes,
        accounts,
        model,
        keyed: keyed(args),
        service: service(args),
        tries: args.tries,
        threads: args.threads,
        patience_ms,
        shared_prefix_tokens: Tokens(args.shared_prefix_tokens),
        oracle: (!args.real_engines).then_some(oracle),
        run_source: run_source(args)?,
        direct: (args.direct_share > 0.0).then_some(direct),
        direct_share: args.direct_share,
        live: true,
    })
}

fn run_source(args: &Load) -> Result<Option<Arc<dyn RunSource>>, CommandError> {
    if args.upstream.is_empty() {
        return Ok(None);
    }
    let upstreams = addresses("--upstream", &args.upstream)?;
    Ok(Some(Arc::new(HttpRunSource::open(upstreams))))
}

fn keyed(args: &Load) -> Option<KeyedPlan> {
    (args.keyed_share > 0.0).then(|| KeyedPlan {
        class: ClassName::from(args.keyed_class.as_str()),
        answer_tokens: Tokens(args.answer_tokens),
        share: args.keyed_share,
    })
}

fn service(args: &Load) -> Option<ServicePlan> {
    (args.service_share > 0.0).then(|| ServicePlan {
        path: args.service_path.as_str().into(),
        share: args.service_share,
    })
}

fn addresses(flag: &str, texts: &[String]) -> Result<Vec<Address>, CommandError> {
    texts.iter().map(|text| address(flag, text)).collect()
}

/// Keys from flags, then from the environment, then those of the demo.
fn account_keys(flags: &[String]) -> Vec<AccountKey> {
    if !flags.is_empty() {
        return flags
            .iter()
            .map(|key| AccountKey::new(key.as_str()))
            .collect();
    }
    match std::env::var(KEYS_ENV) {
        Ok(keys) => keys.split(',').map(AccountKey::new).collect(),
        Err(_) => demo_keys(),
    }
}

/// The keys of the demo configuration's accounts.
pub fn demo_keys() -> Vec<AccountKey> {
    let key = |account| AccountKey::new(format!("demo-key-{account}"));
    (0..DEMO_ACCOUNTS).map(key).collect()
}

fn classes(args: &Load) -> Result<Vec<ClassPlan>, CommandError> {
    let answer_tokens = Tokens(args.answer_tokens);
    if args.class.is_empty() {
        return demo_classes(answer_tokens);
    }
    args.class
        .iter()
        .map(|text| class(text, answer_tokens))
        .collect()
}

/// The classes of the demo configuration.
pub fn demo_classes(answer_tokens: Tokens) -> Result<Vec<ClassPlan>, CommandError> {
    DEMO_CLASSES
        .iter()
        .map(|text| class(text, answer_tokens))
        .collect()
}

fn class(text: &str, answer_tokens: Tokens) -> Result<ClassPlan, CommandError> {
    let (name, up_to_tokens) = match text.split_once(':') {
        Some((name, limit)) => (name, Some(limit.parse().map_err(CommandError::usage)?)),
        None => (text, None),
    };
    Ok(ClassPlan {
        name: name.parse().map_err(CommandError::usage)?,
        up_to_tokens,
        answer_tokens,
    })
}
