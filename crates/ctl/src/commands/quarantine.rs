//! The requests that are run no more, asked of one node of the users' platform.

use super::page::{CALL_TIMEOUT, call, metrics_address};
use crate::admin::agent;
use crate::args::Quarantine;
use crate::outcome::CommandError;
use crate::output::print_line;
use bluebell_front::quarantine::QuarantinedRequest;
use bluebell_quarantine::prelude::*;
use std::net::SocketAddr;

/// Lists the requests and parts of prompts in quarantine, or lets one out.
pub fn run(args: &Quarantine, json: bool) -> Result<(), CommandError> {
    let address = metrics_address(&args.at)?;
    match &args.lift {
        None => list(address, json),
        Some(digest) => {
            let digest = digest.parse::<QuarantineSubject>();
            lift(
                address,
                digest.map_err(|error| CommandError::usage(format!("--lift: {error}")))?,
            )
        }
    }
}

fn list(address: SocketAddr, json: bool) -> Result<(), CommandError> {
    let text = call(agent(CALL_TIMEOUT).get(url(address, "")).call())?;
    if json {
        return print_line(&text);
    }
    let listed: Vec<QuarantinedRequest> =
        serde_json::from_str(&text).map_err(CommandError::failed)?;
    if listed.is_empty() {
        return print_line("no request is in quarantine");
    }
    for request in listed {
        let minutes = request.review_in_ms.0 / 60_000;
        let QuarantinedRequest { digest, term, .. } = request;
        print_line(&format!("{digest}  {term}  review in {minutes} min"))?;
    }
    Ok(())
}

fn lift(address: SocketAddr, digest: QuarantineSubject) -> Result<(), CommandError> {
    let path = format!("/{digest}");
    call(agent(CALL_TIMEOUT).delete(url(address, &path)).call())?;
    print_line("let out: all nodes run it again")
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}/quarantine{path}")
}
