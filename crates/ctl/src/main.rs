//! `bluebellctl`: the command line of operators and evaluators.
//!
//! Invariants: exit code 0 says that all went as asked, 1 that it did not, 2 that the command line
//! was wrong; what was asked for goes to standard output, everything else to standard error.

mod admin;
mod args;
mod commands;
mod outcome;
mod output;

use argh::FromArgs;
use args::Ctl;
use bluebell_telemetry::{LogFormat, open_logs};
use outcome::{CommandError, EXIT_OK};
use output::print_line;
use std::process::ExitCode;

/// The program's name.
const PROGRAM: &str = "bluebellctl";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match Ctl::from_args(&[PROGRAM], &args) {
        Ok(ctl) => report(run(ctl)),
        Err(exit) if exit.status.is_ok() => report(print_line(exit.output.trim_end())),
        Err(exit) => report(Err(CommandError::usage(exit.output.trim_end()))),
    }
}

fn run(ctl: Ctl) -> Result<(), CommandError> {
    let levels = ctl.log_levels.parse().map_err(CommandError::usage)?;
    open_logs(LogFormat::Text, &levels).map_err(CommandError::failed)?;
    commands::run(ctl)
}

fn report(result: Result<(), CommandError>) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::from(EXIT_OK);
    };
    eprintln!("{PROGRAM}: {error}");
    ExitCode::from(error.exit_code())
}
