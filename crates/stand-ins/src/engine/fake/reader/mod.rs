//! One stream's reader, and what is on its way to it.

use crate::engine::feed::{Feed, FeedState};
use crate::engine::model::EngineModel;
use crate::faults::{EventFaults, FaultSwitches};
use bluebell_base::prelude::*;
use bluebell_upstreams::{Event, EventBody};
use stakker::{Core, Fwd};
use std::time::Duration;

/// A reader of a stream.
pub(super) struct Reader {
    pub owner: Incarnation,
    pub feed: Feed,
    pub events: Fwd<Event>,
    pub faults: EventFaults,
}

/// An event on its way.
pub(super) struct Delivery {
    event: Event,
    events: Fwd<Event>,
}

impl Delivery {
    /// Sends the event on, behind all that is being handled now.
    pub fn send(self, core: &mut Core, delay_ms: SpanMs) {
        later(core, delay_ms, move || self.events.fwd(self.event));
    }
}

impl Reader {
    /// Collects the events that are due; `false` once the stream is over for this reader.
    pub fn pull(
        &mut self,
        model: &mut EngineModel,
        faults: &FaultSwitches,
        now_us: u64,
        out: &mut Vec<Delivery>,
    ) -> bool {
        let mut ready = Vec::new();
        let mut state = self.feed.pull(model, &mut ready);
        if faults.down {
            ready.clear();
            state = FeedState::Lost;
        }
        let mut whole = true;
        for event in ready {
            let mut sent = Vec::new();
            whole = self.faults.pass(event, faults, &mut sent);
            for event in sent {
                let last = self.is_ended_by(&event);
                self.deliver(event, out);
                if last {
                    // What follows the last event is not read.
                    self.feed.close(model, now_us);
                    return false;
                }
            }
            if !whole {
                break;
            }
        }
        if whole && state == FeedState::Open {
            return true;
        }
        self.feed.close(model, now_us);
        self.deliver(self.failed(broken()), out);
        false
    }

    /// Ends the stream with an error of the connection.
    pub fn fail(&self, core: &mut Core, error: Error) {
        let mut out = Vec::new();
        self.deliver(self.failed(error), &mut out);
        for delivery in out {
            delivery.send(core, SpanMs::ZERO);
        }
    }

    fn deliver(&self, event: Event, out: &mut Vec<Delivery>) {
        let events = self.events.clone();
        out.push(Delivery { event, events });
    }

    fn is_ended_by(&self, event: &Event) -> bool {
        let own = event.request == self.feed.request() && event.attempt == self.feed.attempt();
        let last = matches!(
            event.body,
            EventBody::Finished { .. } | EventBody::Failed { .. }
        );
        own && last
    }

    fn failed(&self, error: Error) -> Event {
        Event {
            request: self.feed.request(),
            attempt: self.feed.attempt(),
            body: EventBody::Failed { error },
        }
    }
}

/// The error of a connection that broke.
pub(super) fn broken() -> Error {
    Error::may_have_run(ErrorKind::Upstream, "the connection broke")
}

/// The error of a connection that could not be made.
pub(super) fn refused() -> Error {
    Error::not_run(ErrorKind::Unavailable, "no connection could be made")
}

/// The error of an upstream that stays silent.
pub(super) fn silent() -> Error {
    Error::may_have_run(ErrorKind::DeadlineExceeded, "the upstream stays silent")
}

/// Does something behind all that is being handled now, or later still.
pub(super) fn later(core: &mut Core, delay_ms: SpanMs, work: impl FnOnce() + 'static) {
    if delay_ms == SpanMs::ZERO {
        core.defer(move |_| work());
        return;
    }
    let at = core.now() + Duration::from(delay_ms);
    core.timer_add(at, move |_| work());
}
