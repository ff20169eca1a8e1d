//! Writing one stream's events to its reader, with the faults that are switched on.

use super::shared::Shared;
use crate::engine::feed::{Feed, FeedState};
use crate::faults::{EventFaults, FaultSwitches};
use crate::serve::EventWriter;
use bluebell_upstreams::{Event, EventBody};
use std::io;
use std::thread;
use std::time::{Duration, Instant};
use tiny_http::Request;

/// How long a stream stays silent before a comment shows that it is alive.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Writes a stream until it ends, breaks off by a fault, or its caller is gone.
pub(super) fn write(shared: &Shared, request: Request, mut feed: Feed) {
    if let Err(error) = write_events(shared, request, &mut feed) {
        log::debug!("the reader of {} is gone: {error}", feed.request());
    }
    // The caller may have hung up; from here on the stream's hold runs.
    shared.with(|state, now_us| feed.close(&mut state.model, now_us));
}

fn write_events(shared: &Shared, request: Request, feed: &mut Feed) -> io::Result<()> {
    let mut writer = EventWriter::begin(request)?;
    let mut mangled = EventFaults::default();
    let mut ready = Vec::new();
    let mut sent = Vec::new();
    loop {
        let (state, faults) = next_events(shared, feed, &mut ready);
        thread::sleep(Duration::from(faults.delay_ms));
        if ready.is_empty() && state == FeedState::Open {
            writer.comment()?;
        }
        for event in ready.drain(..) {
            let whole = mangled.pass(event, &faults, &mut sent);
            for event in sent.drain(..) {
                writer.event(&real(shared, event))?;
            }
            if !whole {
                writer.break_off();
                return Ok(());
            }
        }
        match state {
            FeedState::Open => (),
            FeedState::Ended => return Ok(()),
            FeedState::Lost => {
                writer.break_off();
                return Ok(());
            }
        }
    }
}

/// Waits for events, at most as long as the stream may stay silent.
fn next_events(
    shared: &Shared,
    feed: &mut Feed,
    ready: &mut Vec<Event>,
) -> (FeedState, FaultSwitches) {
    let began = Instant::now();
    let mut state = shared.lock();
    loop {
        // A frozen process sends nothing, comments included; one that is down, nothing ever more.
        if state.stopped || state.faults.down {
            return (FeedState::Lost, state.faults.clone());
        }
        if !state.faults.freeze {
            let progress = feed.pull(&state.model, ready);
            let waited = began.elapsed() >= KEEP_ALIVE;
            if !ready.is_empty() || progress != FeedState::Open || waited {
                return (progress, state.faults.clone());
            }
        }
        state = shared.wait_progress(state, KEEP_ALIVE);
    }
}

/// An event as callers by the clock see it.
fn real(shared: &Shared, mut event: Event) -> Event {
    match &mut event.body {
        EventBody::Accepted { load, .. } | EventBody::Finished { load, .. } => {
            *load = shared.real_load(*load);
        }
        EventBody::Token { .. } | EventBody::Failed { .. } => (),
    }
    event
}
