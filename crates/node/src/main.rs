//! The node program: reads its settings, opens the log and runs the node until a signal or an
//! operator stops it.
//!
//! Once it listens, the program prints one line of JSON with its addresses to standard output, so
//! that scripts can read the ports that the system picked. All other output of a running node goes
//! to standard error.

mod front;

use bluebell_node::{Node, NodeAddresses};
use bluebell_settings::{EnvVar, NodeSettings, Parsed, effective_text};
use bluebell_telemetry::open_logs;
use std::io::{Write, stdout};
use std::process::ExitCode;
use std::sync::Arc;

/// The exit code for invalid settings.
const EXIT_SETTINGS: u8 = 2;

/// The first argument that starts the node of the users' platform.
const FRONT: &str = "front";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    if args.first() == Some(&FRONT) {
        return front::run(&args[1..]);
    }
    let env = EnvVar::of_process();
    match NodeSettings::from_args_and_env(&args, &env) {
        Ok(Parsed::Run {
            settings,
            unknown_env,
            ..
        }) => run(settings, &unknown_env),
        Ok(Parsed::Check(effective)) => {
            print!("{}", effective_text(&effective));
            ExitCode::SUCCESS
        }
        Ok(Parsed::Help(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(errors) => {
            for error in errors {
                eprintln!("bluebellpond: {error}");
            }
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn run(settings: NodeSettings, unknown_env: &[Arc<str>]) -> ExitCode {
    if let Err(error) = open_logs(settings.log_format, &settings.log_levels) {
        eprintln!("bluebellpond: {error}");
        return ExitCode::FAILURE;
    }
    for name in unknown_env {
        log::warn!("{name} is set in the environment but is not a setting");
    }
    let node = match Node::spawn(settings) {
        Ok(node) => node,
        Err(error) => {
            log::error!("can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    let addresses = node.addresses();
    log::info!(
        "serving callers at {}, operators at {}, peers at {}",
        addresses.callers,
        addresses.admin,
        addresses.peers
    );
    print_addresses(addresses);
    let stopper = node.stopper();
    if let Err(error) = ctrlc::set_handler(move || stopper.drain()) {
        log::warn!(
            "can't set the signal handler, so signals won't stop this node gracefully: {error}"
        );
    }
    node.join();
    ExitCode::SUCCESS
}

/// Prints the addresses. The node also runs if nobody reads its standard output.
fn print_addresses(addresses: &NodeAddresses) {
    let line = serde_json::to_string(addresses).expect("addresses are strings");
    if let Err(error) = writeln!(stdout(), "{line}") {
        log::debug!("the addresses can't be printed: {error}");
    }
}
