//! The time from which each duty may be taken, according to the records that this node has read.

use crate::Duty;
use bluebell_base::prelude::*;
use std::collections::BTreeMap;

/// The time at which the last record that touched each duty was read, on this node's clock.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    touches: BTreeMap<Duty, Touch>,
}

#[derive(Clone, Copy, Debug)]
struct Touch {
    read_ms: MonoMs,
    free: bool,
}

impl Availability {
    /// Records that a grant or renewal of the duty was read at `now_ms`.
    pub fn on_touched(&mut self, duty: Duty, now_ms: MonoMs) {
        let touch = Touch {
            read_ms: now_ms,
            free: false,
        };
        self.touches.insert(duty, touch);
    }

    /// Records that no node can still have a valid lease of the duty.
    pub fn on_free(&mut self, duty: Duty, now_ms: MonoMs) {
        let touch = Touch {
            read_ms: now_ms,
            free: true,
        };
        self.touches.insert(duty, touch);
    }

    /// Returns the time from which the duty may be taken; `None` if no record that touched it was
    /// read.
    ///
    /// The last holder's lease starts before its append was sent, and this node read the record
    /// later. So a wait that starts when the record is read is never too short.
    pub fn free_at(&self, duty: Duty, wait_ms: SpanMs) -> Option<MonoMs> {
        let touch = self.touches.get(&duty)?;
        if touch.free {
            return Some(touch.read_ms);
        }
        Some(touch.read_ms + wait_ms)
    }
}
