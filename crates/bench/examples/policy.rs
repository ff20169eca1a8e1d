//! Runs parts of the policy bench: `cargo run --release -p bluebell-bench --example policy -- PART...`

use bluebell_bench::{BenchOptions, Part};

fn main() {
    let mut options = BenchOptions::default();
    let parts: Vec<Part> = std::env::args()
        .skip(1)
        .filter_map(|a| a.parse().ok())
        .collect();
    if !parts.is_empty() {
        options.parts = parts;
    }
    for arg in std::env::args().skip(1) {
        match arg.split_once('=') {
            Some(("json", path)) => options.json = Some(path.into()),
            Some(("svg", path)) => options.svg = Some(path.into()),
            Some(("repeats", count)) => options.repeats = count.parse().unwrap_or(1),
            Some(("policy", kind)) => options.policies = kind.parse().into_iter().collect(),
            Some(("secs", secs)) => {
                options.duration_ms =
                    bluebell_base::prelude::SpanMs::from_secs(secs.parse().unwrap_or(240));
            }
            Some(("loads", loads)) => {
                options.loads = loads
                    .split(',')
                    .filter_map(|load| load.parse().ok())
                    .collect();
            }
            Some(("short_share", share)) => {
                options.production.short_share = share.parse().unwrap_or(0.0);
            }
            Some(("choices", count)) => options.production.choices = count.parse().unwrap_or(1),
            Some(("room_share", share)) => {
                options.production.room_share = share.parse().unwrap_or(0.0);
            }
            Some(("deferrable", ms)) => {
                options.production.deferrable_ms.0 = ms.parse().unwrap_or(1_000);
            }
            Some(("slack", ms)) => options.production.slack_ms.0 = ms.parse().unwrap_or(250),
            Some(("seed", seed)) => options.seed = seed.parse().unwrap_or(1),
            _ => {}
        }
    }
    if let Err(error) = bluebell_bench::run(&options, &mut std::io::stdout()) {
        eprintln!("{error}");
        std::process::exit(1);
    }
}
