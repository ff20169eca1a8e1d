//! `soak`: seeds of the fault soak, some beside each other.

use crate::args::Soak;
use crate::outcome::CommandError;
use crate::output::print_line;
use bluebell_soak::{Outcome, SoakOptions, run_seed};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Sender, channel};

/// The shortest run: shorter ones have no time for faults.
const LEAST_SECONDS: u64 = 14;

/// Plays the seeds; fails where a promise was broken or a run couldn't be played.
pub fn run(args: &Soak) -> Result<(), CommandError> {
    if args.seconds < LEAST_SECONDS {
        let why = format!("--seconds must be at least {LEAST_SECONDS}");
        return Err(CommandError::usage(why));
    }
    let program = std::env::current_exe().map_err(CommandError::failed)?;
    let program = program.with_file_name("bluebellpond");
    if !program.exists() {
        let why = format!("{} is missing: build it first", program.display());
        return Err(CommandError::failed(why));
    }
    let folder = args.folder.as_ref().map(PathBuf::from);
    let folder = folder.unwrap_or_else(|| std::env::temp_dir().join("soak-logs"));
    let next = AtomicU64::new(args.seed);
    let end = args.seed.saturating_add(args.seeds);
    let (told, outcomes) = channel();
    let failed = std::thread::scope(|scope| {
        for _ in 0..args.jobs.max(1) {
            let (told, next) = (told.clone(), &next);
            let (program, folder) = (program.clone(), folder.clone());
            scope.spawn(move || play(next, end, &told, args.seconds, program, folder));
        }
        drop(told);
        let mut failed = 0;
        for (seed, outcome) in outcomes {
            failed += usize::from(!show(seed, outcome));
        }
        failed
    });
    match failed {
        0 => Ok(()),
        _ => Err(CommandError::failed(format!(
            "{failed} of {} seeds failed; logs are in {}",
            args.seeds,
            folder.display()
        ))),
    }
}

type Told = (u64, Result<Outcome, String>);

fn play(
    next: &AtomicU64,
    end: u64,
    told: &Sender<Told>,
    seconds: u64,
    program: PathBuf,
    folder: PathBuf,
) {
    loop {
        let seed = next.fetch_add(1, Ordering::Relaxed);
        if seed >= end {
            return;
        }
        let options = SoakOptions {
            program: program.clone(),
            folder: folder.join(format!("seed-{seed}")),
            load_ms: seconds * 1000,
        };
        let outcome = run_seed(seed, &options).map_err(|error| error.to_string());
        if told.send((seed, outcome)).is_err() {
            return;
        }
    }
}

/// Prints what came of a seed; returns whether all promises held.
fn show(seed: u64, outcome: Result<Outcome, String>) -> bool {
    let text = match &outcome {
        Ok(outcome) if outcome.violations.is_empty() => format!(
            "seed {seed}: {} faults, {} of {} requests served, nothing broken",
            outcome.plan.faults.len(),
            outcome.served,
            outcome.requests
        ),
        Ok(outcome) => {
            let violations = outcome.violations.iter().map(|v| format!("  {v}\n"));
            let violations: String = violations.collect();
            format!("{}{violations}", outcome.plan)
        }
        Err(error) => format!("seed {seed}: {error}"),
    };
    // Without a reader there is nobody to tell; the exit code still says how it went.
    if let Err(error) = print_line(&text) {
        log::warn!("seed {seed} can't be told: {error}");
    }
    outcome.is_ok_and(|outcome| outcome.violations.is_empty())
}
