//! What one caller is told, and its check.

use bluebell_base::prelude::*;
use bluebell_requests::call::{CallerEvent, CallerSink};
use bluebell_upstreams::prompt::{expected_count, expected_token, prompt_hash};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Collects what one caller is told.
#[derive(Clone, Default)]
pub struct Told {
    events: Arc<Mutex<Vec<(u64, CallerEvent)>>>,
    clock: Arc<AtomicU64>,
}

impl Told {
    /// Told nothing yet, by the clock of its world.
    pub fn new(clock: Arc<AtomicU64>) -> Self {
        let events = Arc::default();
        Self { events, clock }
    }
}

impl CallerSink for Told {
    fn send(&self, event: CallerEvent) -> bool {
        let now_ms = self.clock.load(Ordering::Relaxed);
        self.events.lock().expect("no panic").push((now_ms, event));
        true
    }
}

impl Told {
    /// What was told, without cursors, for a person.
    pub fn brief(&self) -> String {
        let events = self.events.lock().expect("no panic");
        let mut brief = String::new();
        for (at_ms, event) in events.iter() {
            match event {
                CallerEvent::Token { seq, .. } => brief += &format!("{at_ms}:{} ", seq.0),
                other => brief += &format!("{at_ms}:{other:?} "),
            }
        }
        brief
    }

    pub fn all(&self) -> Vec<CallerEvent> {
        let events = self.events.lock().expect("no panic");
        events.iter().map(|(_, event)| event.clone()).collect()
    }

    /// When the last event came, where it came.
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

    /// Checks order and ends: no gaps, nothing twice, one last event at most, and it last.
    pub fn check(&self, prompt: &str, max_tokens: u64, first: u64) {
        let all = self.all();
        let lasts = all.iter().filter(|event| event.is_last()).count();
        assert!(lasts <= 1, "more than one last event: {}", self.brief());
        if lasts == 1 {
            assert!(
                all.last().is_some_and(CallerEvent::is_last),
                "after the last: {}",
                self.brief()
            );
        }
        let hash = prompt_hash(prompt);
        for (index, (seq, text)) in self.texts().iter().enumerate() {
            assert_eq!(
                *seq,
                first + index as u64,
                "a gap or a token twice: {}",
                self.brief()
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
                "not whole: {}",
                self.brief()
            );
        }
    }
}
