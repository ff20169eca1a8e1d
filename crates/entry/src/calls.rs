//! The way of calls from I/O threads to an actor.

use crate::settings::BindError;
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
