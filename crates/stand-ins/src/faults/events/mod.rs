//! Faults in a stream of engine events: duplicates, crossings, wrong order and truncation.

use super::FaultSwitches;
use bluebell_base::prelude::*;
use bluebell_upstreams::{Event, EventBody};

/// How far off a crossed event's attempt or sequence number is.
const CROSSED_BY: u32 = 1000;

/// The faults of one stream of events.
#[derive(Debug, Default)]
pub struct EventFaults {
    held: Option<Event>,
    sent: u64,
}

impl EventFaults {
    /// Passes one event on, with the faults that are switched on; `false` where the stream breaks.
    pub fn pass(&mut self, event: Event, switches: &FaultSwitches, out: &mut Vec<Event>) -> bool {
        if switches.cross && matches!(event.body, EventBody::Token { .. }) {
            out.extend(crossed(&event));
        }
        if switches.duplicate {
            out.push(event.clone());
        }
        self.place(event, switches.reorder, out);
        self.sent += 1;
        switches
            .truncate_after
            .is_none_or(|limit| self.sent < limit)
    }

    /// Holds every other token back until its successor is out.
    fn place(&mut self, event: Event, reorder: bool, out: &mut Vec<Event>) {
        let token = matches!(event.body, EventBody::Token { .. });
        if reorder && token && self.held.is_none() {
            self.held = Some(event);
            return;
        }
        // The last event of a stream stays last: what follows it is not read.
        let held = self.held.take();
        match token {
            true => out.extend([Some(event), held].into_iter().flatten()),
            false => out.extend([held, Some(event)].into_iter().flatten()),
        }
    }
}

/// Events of another attempt and of another request that look like `event`.
fn crossed(event: &Event) -> [Event; 2] {
    let mut other_attempt = event.clone();
    other_attempt.attempt = AttemptNo(event.attempt.0.wrapping_add(CROSSED_BY));
    let mut other_request = event.clone();
    other_request.request.sequence ^= u64::from(CROSSED_BY);
    [other_attempt, other_request]
}
