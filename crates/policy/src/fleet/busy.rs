//! How often an engine prefills, to judge what a late report is worth.
//!
//! Terms: an engine is *busy* while it has prefill work; the *share* is how much of the recent
//! past it was busy; *news* is a report, the load on an answer, or work that this node sent.
//!
//! Invariants: the chance is between 0 and 1; it goes from what the newest news says to the share
//! as that news grows old, since other nodes act meanwhile.

use bluebell_base::prelude::*;

/// The weight of one report in the share.
const GAIN: f64 = 0.05;
/// News this old is worth 1/e.
const WORTH_MS: f64 = 300.0;
/// Less prefill than this does not make an engine busy, in tokens.
const BUSY_TOKENS: f64 = 512.0;

/// How often an engine prefills.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Busy {
    share: f64,
    step_ms: f64,
    news_ms: MonoMs,
}

impl Busy {
    /// Takes a report in that describes an instant.
    pub fn observe(&mut self, backlog_tokens: f64, step_ms: f64, describes_ms: MonoMs) {
        let busy = backlog_tokens >= BUSY_TOKENS;
        self.share += GAIN * (f64::from(u8::from(busy)) - self.share);
        if busy && step_ms > 0.0 {
            self.step_ms += GAIN * (step_ms - self.step_ms);
        }
        self.news(describes_ms);
    }

    /// Notes that something is known of an instant.
    pub fn news(&mut self, at_ms: MonoMs) {
        self.news_ms = self.news_ms.max(at_ms);
    }

    /// The share of the recent past in which it was busy.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// The mean duration of a step while it is busy.
    pub fn step_ms(&self) -> f64 {
        self.step_ms
    }

    /// The chance that it is busy now, where the news said that `backlog_tokens` would be left.
    pub fn chance(&self, backlog_tokens: f64, now_ms: MonoMs) -> f64 {
        let said = f64::from(u8::from(backlog_tokens >= BUSY_TOKENS));
        let age_ms = now_ms.since(self.news_ms).0 as f64;
        self.share + (said - self.share) * (-age_ms / WORTH_MS).exp()
    }
}
