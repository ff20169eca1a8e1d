//! The reduction of the directory stream.

use super::record::{Beat, DirectoryRecord, FullPart};
use crate::listing::ListChange;
use bluebell_base::prelude::*;
use bluebell_platform::VmEntry;

/// The maximum number of entries in a full record set. It bounds the reader's memory.
const MAX_FULL_ENTRIES: usize = 100_000;

/// The effect of a record on the reader's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryOutcome {
    /// The list changes.
    Changes {
        /// The id of the write operation.
        op: OperationId,
        /// The changes.
        changes: Vec<ListChange>,
        /// The digest of the writer's list after the changes.
        digest: u64,
    },
    /// The list is replaced.
    Full {
        /// The id of the write operation.
        op: OperationId,
        /// All entries.
        entries: Vec<VmEntry>,
    },
    /// No effect: the record is from a superseded writer, or part of an incomplete record set.
    Nothing,
}

#[derive(Clone, Debug)]
struct PartialList {
    op: OperationId,
    count: u32,
    next: u32,
    entries: Vec<VmEntry>,
}

/// Reduces the records of the directory stream to changes of the list.
#[derive(Clone, Debug, Default)]
pub struct DirectoryReducer {
    fencing: Option<Fencing>,
    partial: Option<PartialList>,
    ignored: u64,
}

impl DirectoryReducer {
    /// Returns the number of ignored records of superseded writers.
    pub fn ignored(&self) -> u64 {
        self.ignored
    }

    /// Applies the next record of the stream.
    pub fn apply(&mut self, record: DirectoryRecord) -> DirectoryOutcome {
        let fencing = match &record {
            DirectoryRecord::Beat(beat) => beat.fencing,
            DirectoryRecord::Full(part) => part.fencing,
        };
        // A writer that was paused, lost its duty and resumed may still append an outdated state.
        // The new writer began with a record under its own, greater fencing number, so all readers
        // detect this at the same record.
        if self.fencing.is_some_and(|newest| fencing < newest) {
            self.ignored += 1;
            return DirectoryOutcome::Nothing;
        }
        self.fencing = Some(fencing);
        match record {
            DirectoryRecord::Beat(beat) => self.beat(beat),
            DirectoryRecord::Full(part) => self.full(part),
        }
    }

    fn beat(&mut self, beat: Beat) -> DirectoryOutcome {
        self.partial = None;
        DirectoryOutcome::Changes {
            op: beat.op,
            changes: beat.changes,
            digest: beat.digest,
        }
    }

    fn full(&mut self, part: FullPart) -> DirectoryOutcome {
        let partial = self.partial.take();
        let first = PartialList {
            op: part.op,
            count: part.count,
            next: 0,
            entries: Vec::new(),
        };
        let partial = if part.index == 0 {
            Some(first)
        } else {
            partial
        };
        let fits = |partial: &PartialList| {
            partial.op == part.op
                && partial.count == part.count
                && partial.next == part.index
                && partial.entries.len() + part.entries.len() <= MAX_FULL_ENTRIES
        };
        let Some(mut partial) = partial.filter(fits) else {
            return DirectoryOutcome::Nothing;
        };
        partial.entries.extend(part.entries);
        partial.next += 1;
        if partial.next < partial.count {
            self.partial = Some(partial);
            return DirectoryOutcome::Nothing;
        }
        DirectoryOutcome::Full {
            op: partial.op,
            entries: partial.entries,
        }
    }
}
