//! The node on the users' platform: reads its settings from the platform's settings file and serves
//! on one thread.

use argh::FromArgs;
use bluebell_adapter::{PlatformSettings, SETTINGS_PATH_VARIABLE};
use bluebell_front::prelude::*;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// The exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// Serve on the users' platform.
#[derive(FromArgs)]
struct Flags {
    /// the platform's settings file (default: the one that the environment names)
    #[argh(option)]
    settings: Option<PathBuf>,
    /// under contention, hold client accounts to their shares of the engines
    #[argh(switch)]
    hold_accounts: bool,
    /// check the settings, print them and end
    #[argh(switch)]
    check: bool,
}

/// Runs the node until its planned stop is complete, and returns the program's exit code. `args` are
/// the arguments after `front`.
pub fn run(args: &[&str]) -> ExitCode {
    let flags = match Flags::from_args(&["bluebellpond", "front"], args) {
        Ok(flags) => flags,
        Err(exit) if exit.status.is_ok() => {
            print!("{}", exit.output);
            return ExitCode::SUCCESS;
        }
        Err(exit) => return settings_fault(exit.output.trim_end()),
    };
    let named = std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from);
    let Some(path) = flags.settings.or(named) else {
        return settings_fault(&format!(
            "no settings file: give --settings or set {SETTINGS_PATH_VARIABLE}"
        ));
    };
    let mut settings = match PlatformSettings::read(&path) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in &errors {
                eprintln!("bluebellpond: {}: {error}", path.display());
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    settings.front.holds_accounts = flags.hold_accounts;
    if flags.check {
        println!("{settings:#?}");
        return ExitCode::SUCCESS;
    }
    serve(settings)
}

fn settings_fault(error: &str) -> ExitCode {
    eprintln!("bluebellpond: {error}");
    ExitCode::from(EXIT_SETTINGS)
}

fn serve(settings: PlatformSettings) -> ExitCode {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return start_fault(&error),
    };
    let served = LocalSet::new().block_on(&runtime, async {
        let platform = bluebell_adapter::open(settings.store, &settings.front.name);
        FrontHandle::spawn(settings.front, platform)
            .await?
            .run()
            .await
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => start_fault(&error),
    }
}

fn start_fault(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("bluebellpond: can't start: {error}");
    ExitCode::FAILURE
}
