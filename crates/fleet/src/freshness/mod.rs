//! The lag of the configuration in force behind the newest one that the node knows of.
//!
//! Terms: a version is *known* once the node read it or a peer named it. A node is *behind* while it
//! knows of a newer version than the one in force.
//!
//! Invariants: neither version ever decreases; a node without a configuration isn't behind.

use bluebell_base::prelude::*;

/// The lag from which a node reports in its log that it is behind.
const REPORT_AFTER_MS: SpanMs = SpanMs(1_000);

/// A version, and the time at which it came into force or became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Since {
    version: ConfigVersion,
    at_ms: MonoMs,
}

/// Tracks the version in force and the newest known one, and the time for which the node has been behind.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFreshness {
    in_force: Option<Since>,
    newest: Option<Since>,
    behind_since_ms: Option<MonoMs>,
    reported: bool,
}

/// The ages of the version in force and of the newest known one, and the node's lag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigAges {
    /// The newest known version.
    pub newest: ConfigVersion,
    /// The time since the version in force came into force.
    pub in_force_ms: SpanMs,
    /// The time since the newest version became known.
    pub newest_ms: SpanMs,
    /// The time for which the node has been behind; 0 if it isn't.
    pub behind_ms: SpanMs,
}

/// A lag that is long enough to be reported in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigLag {
    /// The version in force.
    pub in_force: ConfigVersion,
    /// The newest known version.
    pub newest: ConfigVersion,
    /// The time for which the node has been behind.
    pub behind_ms: SpanMs,
}

impl ConfigFreshness {
    /// Records that a version was read, or that a peer named it. Returns true if it is newer than all
    /// versions known before.
    pub fn on_known(&mut self, version: ConfigVersion, now_ms: MonoMs) -> bool {
        if self.newest.is_some_and(|newest| newest.version >= version) {
            return false;
        }
        self.newest = Some(Since {
            version,
            at_ms: now_ms,
        });
        if self.is_behind() {
            self.behind_since_ms.get_or_insert(now_ms);
        }
        true
    }

    /// Records that a version is in force. Returns the time for which the node had been behind.
    pub fn on_in_force(&mut self, version: ConfigVersion, now_ms: MonoMs) -> SpanMs {
        let behind_ms = self.behind_ms(now_ms);
        self.on_known(version, now_ms);
        self.in_force = Some(Since {
            version,
            at_ms: now_ms,
        });
        self.reported = false;
        self.behind_since_ms = match self.is_behind() {
            true => self.newest.map(|newest| newest.at_ms),
            false => None,
        };
        behind_ms
    }

    /// Returns true if a newer version than the one in force is known.
    pub fn is_behind(&self) -> bool {
        let in_force = self.in_force.map(|since| since.version);
        in_force.is_some() && in_force < self.newest()
    }

    /// Returns the newest known version.
    pub fn newest(&self) -> Option<ConfigVersion> {
        self.newest.map(|since| since.version)
    }

    /// Returns the time for which the node has been behind; zero if it isn't.
    pub fn behind_ms(&self, now_ms: MonoMs) -> SpanMs {
        let since_ms = self.behind_since_ms;
        since_ms.map_or(SpanMs::ZERO, |since_ms| now_ms.since(since_ms))
    }

    /// Returns the lag once it is long enough to report, once for each time that the node falls behind.
    pub fn report(&mut self, now_ms: MonoMs) -> Option<ConfigLag> {
        let behind_ms = self.behind_ms(now_ms);
        if self.reported || behind_ms < REPORT_AFTER_MS {
            return None;
        }
        let (in_force, newest) = (self.in_force?.version, self.newest()?);
        self.reported = true;
        Some(ConfigLag {
            in_force,
            newest,
            behind_ms,
        })
    }

    /// Returns the ages of both versions, or `None` before the first version is in force.
    pub fn ages(&self, now_ms: MonoMs) -> Option<ConfigAges> {
        let (in_force, newest) = (self.in_force?, self.newest?);
        Some(ConfigAges {
            newest: newest.version,
            in_force_ms: now_ms.since(in_force.at_ms),
            newest_ms: now_ms.since(newest.at_ms),
            behind_ms: self.behind_ms(now_ms),
        })
    }
}
