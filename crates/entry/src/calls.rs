//! The way of calls from I/O threads to an actor, and of the answers back.

use crate::Reply;
use crate::settings::BindError;
use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, EventSender};
use crossbeam_channel::bounded;
use stakker::Fwd;
use std::time::Duration;

/// How long an I/O thread of the bridge may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Opens a sender, for use by any thread, whose calls reach `fwd` on the actor thread.
pub(crate) fn open_calls<T: Send + 'static>(
    bridge: &Bridge,
    fwd: Fwd<T>,
) -> Result<EventSender<T>, BindError> {
    let (out, sender) = bounded(1);
    // The job only hands its sender out, so that no I/O thread is held.
    let hand_out = move |sender| {
        if out.send(sender).is_err() {
            log::error!("an interface opened too late and was given up");
        }
    };
    if !bridge.stream(hand_out, fwd) {
        return Err(BindError::Bridge);
    }
    let received = sender.recv_timeout(START_TIMEOUT);
    received.map_err(|_| BindError::Bridge)
}

/// Hands a call to the node with `send` and waits for its answer.
///
/// # Errors
/// Those of `send` and of the answer; `DeadlineExceeded` where none came in time.
pub(crate) fn ask<T: Send + 'static>(
    timeout_ms: SpanMs,
    send: impl FnOnce(Reply<T>) -> Result<(), Error>,
) -> Result<T, Error> {
    let (out, answered) = bounded(1);
    send(Box::new(move |result| {
        // Whoever waited too long has been answered already.
        let _ = out.try_send(result);
    }))?;
    answered
        .recv_timeout(timeout_ms.into())
        .unwrap_or_else(|_| {
            let message = "the node did not answer in time; whether it did as asked is unknown";
            Err(Error::may_have_run(ErrorKind::DeadlineExceeded, message))
        })
}
