//! The client accounts that ask for the most engine time, asked of one node of the users' platform.

use super::page::{CALL_TIMEOUT, call, metrics_address};
use crate::admin::agent;
use crate::args::Shares;
use crate::outcome::CommandError;
use crate::output::print_line;
use bluebell_front::shares::ListedShare;

/// Lists the accounts with the largest demand.
pub fn run(args: &Shares, json: bool) -> Result<(), CommandError> {
    let address = metrics_address(&args.at)?;
    let url = format!("http://{address}/shares");
    let text = call(agent(CALL_TIMEOUT).get(url).call())?;
    if json {
        return print_line(&text);
    }
    let listed: Vec<ListedShare> = serde_json::from_str(&text).map_err(CommandError::failed)?;
    if listed.is_empty() {
        return print_line("no account has asked for engine time recently");
    }
    for share in listed {
        print_line(&row(&share))?;
    }
    Ok(())
}

/// Returns the line of one account.
fn row(share: &ListedShare) -> String {
    let ListedShare {
        account,
        priority,
        service,
        demand_ms,
        placed_ms,
        level_ms,
    } = share;
    let level = level_ms.map_or("none".to_owned(), |ms| format!("{ms} ms"));
    format!(
        "{account}  {service}  priority {priority}  asked for {demand_ms} ms  \
         placed {placed_ms} ms  level {level}"
    )
}
