//! The reduction of the config stream.
//!
//! Rule: an update counts if and only if its base is the current version and its splice fits that
//! version's text. It then creates the next version.
//! So the first of several racing publications in the log wins and each other one is a conflict. A
//! repeated append of an update that won is a conflict with itself.
//!
//! Invariants: the version never decreases; a snapshot never changes a known state.

use super::assembly::{Assembly, CompleteText, Header, MAX_TEXT_BYTES};
use crate::records::{ConfigRecord, Splice};
use bluebell_base::prelude::*;

/// The state of the configuration as known to a reader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// The version; 0 before the first publication.
    pub version: ConfigVersion,
    /// The publication that created the version.
    pub made_by: OperationId,
    /// The text of the version; empty for version 0.
    pub body: Arc<str>,
}

impl InForce {
    /// Returns the state before the first record of the stream.
    pub fn initial() -> Self {
        Self {
            version: ConfigVersion(0),
            made_by: OperationId(0),
            body: "".into(),
        }
    }
}

/// The effect of one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigOutcome {
    /// An update created a new version.
    Accepted {
        /// The publication.
        op: OperationId,
        /// The version that it created.
        version: ConfigVersion,
    },
    /// The base of an update was not the current version.
    Conflict {
        /// The publication.
        op: OperationId,
        /// The current version.
        current: ConfigVersion,
    },
    /// The reader adopted the state of a snapshot.
    Adopted {
        /// The version of the snapshot.
        version: ConfigVersion,
        /// The publication that created this version.
        made_by: OperationId,
    },
    /// A snapshot was read and changed nothing.
    SnapshotSeen {
        /// The id of the operation that wrote the snapshot.
        op: OperationId,
        /// The first offset that the snapshot does not include.
        as_of: Offset,
        /// False if the snapshot contradicts the state of this reader.
        agrees: bool,
    },
}

/// An update that is not applied yet.
#[derive(Clone, Debug)]
struct Pending {
    offset: Offset,
    op: OperationId,
    base: ConfigVersion,
    splice: Splice,
    body: Arc<str>,
}

impl Pending {
    /// Returns the text of the version that the update creates; `None` if it does not count.
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
        /// The offset from which on this reader has read all records.
        since: Offset,
        pending: Vec<Pending>,
    },
}

/// The reducer of the config stream.
#[derive(Clone, Debug)]
pub struct ConfigReducer {
    state: State,
    assembly: Assembly,
    /// The offset of the last record that changed the version, if this reader read it.
    changed_at: Option<Offset>,
}

impl ConfigReducer {
    /// Returns a reader that begins at `start`. It knows the state only if `start` is 0.
    pub fn new(start: Offset) -> Self {
        let state = match start {
            Offset(0) => State::Known(InForce::initial()),
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

    /// Returns the state if it is known.
    pub fn known(&self) -> Option<&InForce> {
        match &self.state {
            State::Known(in_force) => Some(in_force),
            State::Unknown { .. } => None,
        }
    }

    /// Returns the offset of the last record that changed the version, if this reader read it.
    pub fn changed_at(&self) -> Option<Offset> {
        self.changed_at
    }

    /// Returns the number of updates that wait for a snapshot.
    pub fn pending(&self) -> usize {
        match &self.state {
            State::Known(_) => 0,
            State::Unknown { pending, .. } => pending.len(),
        }
    }

    /// Continues at `to` after records before it were lost to this reader. The state becomes
    /// unknown.
    ///
    /// A lost record may have been an update that won. If the reader kept its earlier state, two
    /// readers could disagree on whether a later update counts.
    pub fn skip_to(&mut self, to: Offset) {
        self.state = State::Unknown {
            since: to,
            pending: Vec::new(),
        };
        self.assembly = Assembly::new(to);
    }

    /// Applies the record at `offset` and appends its effects to `out`. The caller passes offsets
    /// in order and without gaps.
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
        if let Some(text) = self.assembly.add(offset, header, part, body) {
            self.apply_text(text, out);
        }
    }

    fn apply_text(&mut self, text: CompleteText, out: &mut Vec<ConfigOutcome>) {
        let last = text.last;
        match (text.header, text.body) {
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

    /// Applies an update whose first parts this reader did not read.
    ///
    /// Readers that read all parts know whether the text was complete, and so whether it counts.
    /// This reader does not, so it waits for a snapshot that takes this update into account.
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

    /// Applies a snapshot.
    ///
    /// A snapshot is the correct state as of its `as_of`, whichever node wrote it and when, since
    /// it is the result of this same reduction. A reader can use it only if it has read all records
    /// from `as_of` on; an older snapshot would hide updates that the reader lost.
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
