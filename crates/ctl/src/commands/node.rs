//! `state`, `fleet` and `drain`: one node asked through its administration API.

use crate::admin::Admin;
use crate::args::Ctl;
use crate::outcome::CommandError;
use crate::output::print_line;
use bluebell_peers::message::NodeCard;
use serde::Deserialize;
use serde_json::Value;

/// Dumps the state of the node.
pub fn state(ctl: &Ctl) -> Result<(), CommandError> {
    print(ctl, &Admin::open(ctl)?.get("/admin/state")?)
}

/// Shows who is there.
pub fn fleet(ctl: &Ctl) -> Result<(), CommandError> {
    let text = Admin::open(ctl)?.get("/admin/fleet")?;
    if ctl.json {
        return print_line(&text);
    }
    let view: FleetAnswer = serde_json::from_str(&text).map_err(CommandError::failed)?;
    print_line(&fleet_row("node", "peers at", "domain", "config", "state"))?;
    print_line(&card_row(&view.this))?;
    let others = view.nodes.iter();
    for card in others.filter(|card| card.incarnation != view.this.incarnation) {
        print_line(&card_row(card))?;
    }
    Ok(())
}

/// The nodes and upstreams that a node knows.
#[derive(Deserialize)]
struct FleetAnswer {
    this: NodeCard,
    nodes: Vec<NodeCard>,
}

fn card_row(card: &NodeCard) -> String {
    let state = if card.leaving { "leaving" } else { "live" };
    let config = card.config.0.to_string();
    let (name, address) = (card.name.as_str(), card.address.as_str());
    fleet_row(name, address, card.domain.as_str(), &config, state)
}

fn fleet_row(name: &str, address: &str, domain: &str, config: &str, state: &str) -> String {
    format!("{name:<24} {address:<24} {domain:<16} {config:>8}  {state}")
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
