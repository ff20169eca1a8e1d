//! Publishing of the configuration file that the settings name (the *seed*), if the log holds no
//! configuration yet.
//!
//! Invariants: the file is published only as version 1, so it never overrides a configuration that
//! operators published. If several nodes publish a file, one succeeds and the others receive a
//! conflict.

use super::Hub;
use bluebell_base::prelude::*;
use bluebell_control::Published;
use stakker::{CX, call, fwd_to, ret_some_to};

/// The pause before each try to publish, in milliseconds. A configuration that is in the log or
/// that a peer has comes into force in this time.
const PAUSE_MS: SpanMs = SpanMs(1_500);

impl Hub {
    pub(super) fn seed_later(&mut self, cx: CX![]) {
        if self.parts.settings.seed_config.is_none() {
            return;
        }
        let due = fwd_to!([cx], on_seed_due() as (MonoMs));
        self.parts.timers.subscribe_in(cx, PAUSE_MS, due);
    }

    fn on_seed_due(&mut self, cx: CX![], _now_ms: MonoMs) {
        if self.parts.card.config > ConfigVersion(0) || self.stopping {
            return;
        }
        let Some(body) = self.read_seed() else {
            return;
        };
        let ret = ret_some_to!([cx], on_seeded() as (Result<Published, Error>));
        let base = ConfigVersion(0);
        call!([self.parts.control], publish(base, body, ret));
    }

    fn read_seed(&self) -> Option<Arc<str>> {
        let path = self.parts.settings.seed_config.as_ref()?;
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                log::error!(
                    "the seed configuration {} can't be read: {error}",
                    path.display()
                );
                return None;
            }
        };
        match bluebell_config::parse(&text) {
            Ok(_) => Some(text.into()),
            Err(faults) => {
                for fault in faults {
                    log::error!("the seed configuration: {fault}");
                }
                None
            }
        }
    }

    fn on_seeded(&mut self, cx: CX![], answer: Result<Published, Error>) {
        match answer {
            Ok(Published::Accepted { version }) => log::info!("published the seed as {version}"),
            Ok(Published::Conflict { current }) => {
                log::info!("the seed isn't needed: {current} is in force");
            }
            Err(error) => {
                log::warn!("the seed can't be published yet: {error}");
                self.seed_later(cx);
            }
        }
    }
}
