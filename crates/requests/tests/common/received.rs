//! The events that one caller receives, and their check.

use bluebell_base::prelude::*;
use bluebell_requests::call::{CallerEvent, CallerSink};
use bluebell_upstreams::prompt::{expected_count, expected_token, prompt_hash};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Collects the events that one caller receives.
#[derive(Clone, Default)]
pub struct ReceivedEvents {
    events: Arc<Mutex<Vec<(u64, CallerEvent)>>>,
    clock: Arc<AtomicU64>,
}

impl ReceivedEvents {
    /// Creates an empty collection that uses the clock of its world.
    pub fn new(clock: Arc<AtomicU64>) -> Self {
        let events = Arc::default();
        Self { events, clock }
    }
}

impl CallerSink for ReceivedEvents {
    fn send(&self, event: CallerEvent) -> bool {
        let now_ms = self.clock.load(Ordering::Relaxed);
        self.events.lock().expect("no panic").push((now_ms, event));
        true
    }
}

impl ReceivedEvents {
    /// Returns a summary of the events without cursors, for messages.
    pub fn summary(&self) -> String {
        let events = self.events.lock().expect("no panic");
        let mut summary = String::new();
        for (at_ms, event) in events.iter() {
            match event {
                CallerEvent::Token { seq, .. } => summary += &format!("{at_ms}:{} ", seq.0),
                other => summary += &format!("{at_ms}:{other:?} "),
            }
        }
        summary
    }

    pub fn all(&self) -> Vec<CallerEvent> {
        let events = self.events.lock().expect("no panic");
        events.iter().map(|(_, event)| event.clone()).collect()
    }

    /// Returns the time of the last event, if it was received.
    pub fn ended_ms(&self) -> Option<u64> {
        let events = self.events.lock().expect("no panic");
        let last = events.iter().find(|(_, event)| event.is_last());
        last.map(|(at_ms, _)| *at_ms)
    }

    pub fn texts(&self) -> Vec<(u64, Arc<str>)> {
        let all = self.all().into_iter();
        all.filter_map(|event| match event {
            CallerEvent::Token { seq, text, .. } => Some((seq.0, text)),
            _ => None,
        })
        .collect()
    }

    pub fn last_cursor(&self) -> Option<Arc<str>> {
        let all = self.all().into_iter().rev();
        all.filter_map(|event| match event {
            CallerEvent::Token { cursor, .. } => Some(cursor),
            _ => None,
        })
        .next()
    }

    pub fn request(&self) -> Option<RequestId> {
        self.all().into_iter().find_map(|event| match event {
            CallerEvent::Admitted { request } => Some(request),
            CallerEvent::Failed { request, .. } => request,
            _ => None,
        })
    }

    pub fn error(&self) -> Option<Error> {
        self.all().into_iter().find_map(|event| match event {
            CallerEvent::Failed { error, .. } => Some(error),
            _ => None,
        })
    }

    pub fn is_finished(&self) -> bool {
        matches!(self.all().last(), Some(CallerEvent::Finished { .. }))
    }

    /// Checks the order and the end of the events: no gaps, no duplicates, and at most one final
    /// event, which is the last.
    pub fn check(&self, prompt: &str, max_tokens: u64, first: u64) {
        let all = self.all();
        let lasts = all.iter().filter(|event| event.is_last()).count();
        assert!(lasts <= 1, "more than one last event: {}", self.summary());
        if lasts == 1 {
            assert!(
                all.last().is_some_and(CallerEvent::is_last),
                "an event after the last one: {}",
                self.summary()
            );
        }
        let hash = prompt_hash(prompt);
        for (index, (seq, text)) in self.texts().iter().enumerate() {
            assert_eq!(
                *seq,
                first + index as u64,
                "a gap or a duplicate token: {}",
                self.summary()
            );
            assert_eq!(
                **text,
                expected_token(hash, *seq),
                "another request's token"
            );
        }
        if self.is_finished() {
            let count = first + self.texts().len() as u64;
            assert_eq!(
                count,
                expected_count(hash, Tokens(max_tokens)),
                "incomplete answer: {}",
                self.summary()
            );
        }
    }
}
