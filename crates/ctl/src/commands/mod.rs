//! The commands, one module each.

mod bench;
mod capacity;
mod config;
mod demo;
mod explain;
mod load;
mod node;
mod page;
mod quarantine;
mod shares;
mod soak;
mod stand_in;

use crate::args::{Command, Ctl};
use crate::outcome::CommandError;

/// Does what the command line asks.
pub fn run(ctl: Ctl) -> Result<(), CommandError> {
    match &ctl.command {
        Command::Config(config) => config::run(&ctl, &config.action),
        Command::State(_) => node::state(&ctl),
        Command::Fleet(_) => node::fleet(&ctl),
        Command::Drain(_) => node::drain(&ctl),
        Command::Load(args) => load::run(args, ctl.json),
        Command::Bench(args) => bench::run(args, ctl.json),
        Command::Capacity(args) => capacity::run(args, ctl.json),
        Command::Demo(args) => demo::run(args, ctl.json),
        Command::Explain(args) => explain::run(args),
        Command::Quarantine(args) => quarantine::run(args, ctl.json),
        Command::Shares(args) => shares::run(args, ctl.json),
        Command::Soak(args) => soak::run(args),
        Command::StandIn(stand_in) => stand_in::run(&stand_in.kind, ctl.json),
    }
}
