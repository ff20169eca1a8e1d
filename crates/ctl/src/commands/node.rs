//! `state`, `fleet` and `drain`: one node asked through its administration API.

use crate::admin::Admin;
use crate::args::Ctl;
use crate::outcome::CommandError;
use serde_json::Value;

/// Dumps the state of the node.
pub fn state(ctl: &Ctl) -> Result<(), CommandError> {
    print(ctl, &Admin::open(ctl)?.get("/admin/state")?)
}

/// Shows who is there.
pub fn fleet(ctl: &Ctl) -> Result<(), CommandError> {
    print(ctl, &Admin::open(ctl)?.get("/admin/fleet")?)
}

/// Stops the node gracefully.
pub fn drain(ctl: &Ctl) -> Result<(), CommandError> {
    Admin::open(ctl)?.post("/admin/drain", "")?;
    match ctl.json {
        true => println!("{{\"done\":true}}"),
        false => println!("draining: no new work is taken; what runs is finished"),
    }
    Ok(())
}

/// Prints JSON as it is, or indented for a person.
fn print(ctl: &Ctl, text: &str) -> Result<(), CommandError> {
    if ctl.json {
        println!("{text}");
        return Ok(());
    }
    let value: Value = serde_json::from_str(text).map_err(CommandError::failed)?;
    println!("{value:#}");
    Ok(())
}
