//! Passes calls from I/O threads to an actor and returns the answers.

use crate::Reply;
use crate::settings::BindError;
use bluebell_base::prelude::*;
use bluebell_bridge::{Bridge, EventSender};
use crossbeam_channel::bounded;
use stakker::Fwd;
use std::time::Duration;

/// The longest wait for an I/O thread of the bridge to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Opens a sender that any thread can use and whose calls reach `fwd` on the actor thread.
///
/// # Errors
/// `BindError::Bridge` if the bridge takes no more jobs or doesn't start this one within
/// [`START_TIMEOUT`].
pub(crate) fn open_calls<T: Send + 'static>(
    bridge: &Bridge,
    fwd: Fwd<T>,
) -> Result<EventSender<T>, BindError> {
    let (out, sender) = bounded(1);
    // The job ends as soon as it has passed its sender on, so it doesn't occupy an I/O thread.
    let hand_out = move |sender| {
        if out.send(sender).is_err() {
            log::error!("the bridge opened a sender after the start timeout; it is not used");
        }
    };
    if !bridge.stream(hand_out, fwd) {
        return Err(BindError::Bridge);
    }
    let received = sender.recv_timeout(START_TIMEOUT);
    received.map_err(|_| BindError::Bridge)
}

/// Sends a call to the node with `send` and waits for the answer.
///
/// # Errors
/// Errors of `send` and of the answer. `DeadlineExceeded` if no answer arrives within `timeout_ms`.
pub(crate) fn call_and_wait<T: Send + 'static>(
    timeout_ms: SpanMs,
    send: impl FnOnce(Reply<T>) -> Result<(), Error>,
) -> Result<T, Error> {
    let (out, answered) = bounded(1);
    send(Box::new(move |result| {
        // Fails if the wait has timed out. The caller has then received that error.
        let _ = out.try_send(result);
    }))?;
    answered
        .recv_timeout(timeout_ms.into())
        .unwrap_or_else(|_| {
            let message = "the node did not answer in time; whether it did as asked is unknown";
            Err(Error::may_have_run(ErrorKind::DeadlineExceeded, message))
        })
}
