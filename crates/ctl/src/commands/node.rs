//! `state`, `fleet` and `drain`: one node asked through its administration API.

use crate::admin::Admin;
use crate::args::Ctl;
use crate::outcome::CommandError;
use crate::output::print_line;
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
    print_line(match ctl.json {
        true => r#"{"done":true}"#,
        false => "draining: no new work is taken; what runs is finished",
    })
}

/// Prints JSON as it is, or indented for a person.
fn print(ctl: &Ctl, text: &str) -> Result<(), CommandError> {
    if ctl.json {
        return print_line(text);
    }
    let value: Value = serde_json::from_str(text).map_err(CommandError::failed)?;
    print_line(&format!("{value:#}"))
}
