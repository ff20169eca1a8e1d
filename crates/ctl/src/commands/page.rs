//! Calls to the operators' pages of one node of the users' platform.

use crate::outcome::CommandError;
use std::net::SocketAddr;
use std::time::Duration;

/// The timeout of a call. A node answers from memory.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Parses the address at which a node serves metrics.
pub(super) fn metrics_address(at: &str) -> Result<SocketAddr, CommandError> {
    let address = at.parse::<SocketAddr>();
    address.map_err(|_| CommandError::usage(format!("--at: {at:?} is not of the form ip:port")))
}

/// Returns the text of an answer, or an error if its status is one.
pub(super) fn call(
    answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<String, CommandError> {
    let mut answer = answer.map_err(CommandError::failed)?;
    let text = answer.body_mut().read_to_string();
    let text = text.map_err(CommandError::failed)?;
    match answer.status().is_success() {
        true => Ok(text),
        false => {
            let status = answer.status().as_u16();
            Err(CommandError::failed(format!(
                "the node answered {status}: {text}"
            )))
        }
    }
}
