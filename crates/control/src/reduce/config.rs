//! The reduction of the config stream.
//!
//! Rule: an update counts if and only if its base is the current version and its splice fits that
//! version's text; it makes the next one.
//! So of racing publications the first in the log wins and each other one is a conflict, and a
//! repeated append of an update that won is a conflict with itself.
//!
//! Invariants: the version never goes down; a snapshot never changes a known state.

use super::assembly::{Assembly, Header, MAX_TEXT_BYTES, Whole};
use crate::records::{ConfigRecord, Splice};
use bluebell_base::prelude::*;

/// The state of a reader that knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// The version; 0 before the first publication.
    pub version: ConfigVersion,
    /// The publication that made it.
    pub made_by: OperationId,
    /// Its text; empty for version 0.
    pub body: Arc<str>,
}

impl InForce {
    /// The state before the first record of the stream.
    pub fn first() -> Self {
        Self {
            version: ConfigVersion(0),
            made_by: OperationId(0),
            body: "".into(),
        }
    }
}

/// What one record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigOutcome {
    /// An update made a new version.
    Accepted {
        /// The publication.
        op: OperationId,
        /// The version it made.
        version: ConfigVersion,
    },
    /// An update's base was not current.
    Conflict {
        /// The publication.
        op: OperationId,
        /// The version that is current.
        current: ConfigVersion,
    },
    /// A snapshot made the state known.
    Adopted {
        /// The version it holds.
        version: ConfigVersion,
        /// The publication that made this version.
        made_by: OperationId,
    },
    /// A snapshot was read; it changed nothing.
    SnapshotSeen {
        /// The writing of the snapshot.
        op: OperationId,
        /// The first offset not in it.
        as_of: Offset,
        /// Whether its version is what this reader had then, as far as it can tell.
        agrees: bool,
    },
}

#[derive(Clone, Debug)]
struct Pending {
    offset: Offset,
    op: OperationId,
    base: ConfigVersion,
    splice: Splice,
    body: Arc<str>,
}

impl Pending {
    /// The text it makes out of the current one; none where it does not count.
    fn text(&self, current: &InForce) -> Option<Arc<str>> {
        if self.base != current.version {
            return None;
        }
        self.splice.apply(&current.body, &self.body, MAX_TEXT_BYTES)
    }
}

#[derive(Clone, Debug)]
enum State {
    Known(InForce),
    Unknown {
        /// Records from here on are known to this reader.
        since: Offset,
        pending: Vec<Pending>,
    },
}

/// Reduces the config stream.
#[derive(Clone, Debug)]
pub struct ConfigReducer {
    state: State,
    assembly: Assembly,
    /// The offset of the last record that changed the version, where this reader saw it.
    changed_at: Option<Offset>,
}

impl ConfigReducer {
    /// A reader that begins at `start`; it knows the state only if that is the very beginning.
    pub fn new(start: Offset) -> Self {
        let state = match start {
            Offset(0) => State::Known(InForce::first()),
            since => State::Unknown {
                since,
                pending: Vec::new(),
            },
        };
        Self {
            state,
            assembly: Assembly::new(start),
            changed_at: None,
        }
    }

    /// The state, where it is known.
    pub fn known(&self) -> Option<&InForce> {
        match &self.state {
            State::Known(in_force) => Some(in_force),
            State::Unknown { .. } => None,
        }
    }

    /// The offset of the last record that this reader saw change the version.
    pub fn changed_at(&self) -> Option<Offset> {
        self.changed_at
    }

    /// How many updates wait for a snapshot.
    pub fn pending(&self) -> usize {
        match &self.state {
            State::Known(_) => 0,
            State::Unknown { pending, .. } => pending.len(),
        }
    }

    /// Records before `to` were lost to this reader: what they did is not known.
    ///
    /// Going on with the state from before would let two readers give one update different fates:
    /// a lost record may have been an update that won.
    pub fn skip_to(&mut self, to: Offset) {
        self.state = State::Unknown {
            since: to,
            pending: Vec::new(),
        };
        self.assembly = Assembly::new(to);
    }

    /// Reduces the record at `offset`; offsets come in order without gaps.
    pub fn apply(&mut self, offset: Offset, record: &ConfigRecord, out: &mut Vec<ConfigOutcome>) {
        let (header, part, body) = match record {
            ConfigRecord::Update(update) => (
                Header::Update {
                    op: update.op,
                    base: update.base,
                    splice: update.splice,
                },
                update.part,
                &update.body,
            ),
            ConfigRecord::Snapshot(snapshot) => (
                Header::Snapshot {
                    op: snapshot.op,
                    version: snapshot.version,
                    made_by: snapshot.made_by,
                    as_of: snapshot.as_of,
                },
                snapshot.part,
                &snapshot.body,
            ),
        };
        if let Some(whole) = self.assembly.add(offset, header, part, body) {
            self.apply_whole(whole, out);
        }
    }

    fn apply_whole(&mut self, whole: Whole, out: &mut Vec<ConfigOutcome>) {
        let last = whole.last;
        match (whole.header, whole.body) {
            (Header::Update { op, base, splice }, Some(body)) => {
                let update = Pending {
                    offset: last,
                    op,
                    base,
                    splice,
                    body,
                };
                self.apply_update(update, out);
            }
            (Header::Update { op, base, .. }, None) => self.apply_cut_off(last, op, base, out),
            (
                Header::Snapshot {
                    op,
                    version,
                    made_by,
                    as_of,
                },
                Some(body),
            ) => {
                let in_force = InForce {
                    version,
                    made_by,
                    body,
                };
                self.apply_snapshot(op, as_of, in_force, out);
            }
            (Header::Snapshot { .. }, None) => (),
        }
    }

    fn apply_update(&mut self, update: Pending, out: &mut Vec<ConfigOutcome>) {
        let in_force = match &mut self.state {
            State::Unknown { pending, .. } => return pending.push(update),
            State::Known(in_force) => in_force,
        };
        let (op, current) = (update.op, in_force.version);
        let Some(body) = update.text(in_force) else {
            return out.push(ConfigOutcome::Conflict { op, current });
        };
        let version = ConfigVersion(current.0 + 1);
        *in_force = InForce {
            version,
            made_by: op,
            body,
        };
        self.changed_at = Some(update.offset);
        out.push(ConfigOutcome::Accepted { op, version });
    }

    /// An update whose first parts this reader never saw.
    ///
    /// Readers that saw them know whether the text was whole, and so whether it counts; this one
    /// doesn't, and waits for a snapshot that was written with this update taken into account.
    fn apply_cut_off(
        &mut self,
        last: Offset,
        op: OperationId,
        base: ConfigVersion,
        out: &mut Vec<ConfigOutcome>,
    ) {
        if let State::Known(in_force) = &self.state
            && in_force.version != base
        {
            let current = in_force.version;
            return out.push(ConfigOutcome::Conflict { op, current });
        }
        self.state = State::Unknown {
            since: Offset(last.0 + 1),
            pending: Vec::new(),
        };
    }

    /// A snapshot is the truth as of its `as_of`, whenever it was written and by whomever, since
    /// it was made by this same reduction. It helps a reader only if that one has read all that
    /// came after `as_of`; an older one would hide lost updates from it.
    fn apply_snapshot(
        &mut self,
        op: OperationId,
        as_of: Offset,
        in_force: InForce,
        out: &mut Vec<ConfigOutcome>,
    ) {
        let pending = match &mut self.state {
            State::Unknown { since, pending } if as_of >= *since => std::mem::take(pending),
            State::Unknown { .. } => {
                let agrees = true;
                return out.push(ConfigOutcome::SnapshotSeen { op, as_of, agrees });
            }
            State::Known(known) => {
                let agrees = in_force.version < known.version || in_force == *known;
                return out.push(ConfigOutcome::SnapshotSeen { op, as_of, agrees });
            }
        };
        out.push(ConfigOutcome::Adopted {
            version: in_force.version,
            made_by: in_force.made_by,
        });
        self.state = State::Known(in_force);
        for update in pending.into_iter().filter(|u| u.offset >= as_of) {
            self.apply_update(update, out);
        }
    }
}
