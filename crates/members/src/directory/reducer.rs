//! The reduction of the directory stream.

use super::record::{Beat, DirectoryRecord, FullPart};
use crate::listing::ListChange;
use bluebell_base::prelude::*;
use bluebell_platform::VmEntry;

/// The most entries of a full record set; bounds the reader's memory.
const FULL_ENTRIES: usize = 100_000;

/// What a record says to the reader's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryOutcome {
    /// These changes, after which the writer's list has this digest.
    Changes {
        /// The writing.
        op: OperationId,
        /// The changes.
        changes: Vec<ListChange>,
        /// The digest.
        digest: u64,
    },
    /// This is the whole list.
    Full {
        /// The writing.
        op: OperationId,
        /// All entries.
        entries: Vec<VmEntry>,
    },
    /// The record is not the current writer's, or a part of something unfinished.
    Nothing,
}

#[derive(Clone, Debug)]
struct Open {
    op: OperationId,
    count: u32,
    next: u32,
    entries: Vec<VmEntry>,
}

/// Reduces the directory stream.
#[derive(Clone, Debug, Default)]
pub struct DirectoryReducer {
    fencing: Option<Fencing>,
    open: Option<Open>,
    ignored: u64,
}

impl DirectoryReducer {
    /// How many records of superseded writers were ignored.
    pub fn ignored(&self) -> u64 {
        self.ignored
    }

    /// Takes the next record of the stream.
    pub fn apply(&mut self, record: DirectoryRecord) -> DirectoryOutcome {
        let fencing = match &record {
            DirectoryRecord::Beat(beat) => beat.fencing,
            DirectoryRecord::Full(part) => part.fencing,
        };
        // A writer that was paused, lost its duty and woke may still append what it saw long ago.
        // The new writer began with a record under its own, larger number, so that this shows
        // here, at the same record for all readers.
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
        self.open = None;
        DirectoryOutcome::Changes {
            op: beat.op,
            changes: beat.changes,
            digest: beat.digest,
        }
    }

    fn full(&mut self, part: FullPart) -> DirectoryOutcome {
        let open = self.open.take();
        let first = Open {
            op: part.op,
            count: part.count,
            next: 0,
            entries: Vec::new(),
        };
        let open = if part.index == 0 { Some(first) } else { open };
        let fits = |open: &Open| {
            open.op == part.op
                && open.count == part.count
                && open.next == part.index
                && open.entries.len() + part.entries.len() <= FULL_ENTRIES
        };
        let Some(mut open) = open.filter(fits) else {
            return DirectoryOutcome::Nothing;
        };
        open.entries.extend(part.entries);
        open.next += 1;
        if open.next < open.count {
            self.open = Some(open);
            return DirectoryOutcome::Nothing;
        }
        DirectoryOutcome::Full {
            op: open.op,
            entries: open.entries,
        }
    }
}
