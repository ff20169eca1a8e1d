//! When each duty may be taken, as far as this node has read.

use crate::Duty;
use bluebell_base::prelude::*;
use std::collections::BTreeMap;

/// When the leases were last touched, on this node's clock.
#[derive(Clone, Debug, Default)]
pub struct Watch {
    touches: BTreeMap<Duty, Touch>,
}

#[derive(Clone, Copy, Debug)]
struct Touch {
    read_ms: MonoMs,
    free: bool,
}

impl Watch {
    /// A grant or renewal of the duty was read now.
    pub fn on_touched(&mut self, duty: Duty, now_ms: MonoMs) {
        let touch = Touch {
            read_ms: now_ms,
            free: false,
        };
        self.touches.insert(duty, touch);
    }

    /// The duty is known to have no holder who could still believe in a lease.
    pub fn on_free(&mut self, duty: Duty, now_ms: MonoMs) {
        let touch = Touch {
            read_ms: now_ms,
            free: true,
        };
        self.touches.insert(duty, touch);
    }

    /// From when on the duty may be taken; none where nothing is known of it.
    ///
    /// The last holder counts its lease from before its append was sent, which was before this
    /// node read it, so waiting from the reading is never too short.
    pub fn free_at(&self, duty: Duty, wait_ms: SpanMs) -> Option<MonoMs> {
        let touch = self.touches.get(&duty)?;
        if touch.free {
            return Some(touch.read_ms);
        }
        Some(touch.read_ms + wait_ms)
    }
}
