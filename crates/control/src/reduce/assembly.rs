//! Joining the parts of a text.
//!
//! Parts count only where they stand at consecutive offsets: the log gives these to one append,
//! so one writer's parts are never mixed with another's, and a repeated append is a text of its
//! own. A reader therefore holds at most one unfinished text.
//!
//! Invariants: a text is *cut off* where its first parts lie before the reader's start; whether
//! those were sound is not known, so nobody may conclude from it that the text counts.

use crate::records::{Part, Splice};
use bluebell_base::prelude::*;

/// The largest text that is assembled; the reader's memory is bounded by it.
pub const MAX_TEXT_BYTES: Bytes = Bytes(32 * 1024 * 1024);

/// What all parts of a text have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Header {
    /// Of an update.
    Update {
        /// The publication.
        op: OperationId,
        /// The version it builds on.
        base: ConfigVersion,
        /// What of the base's text is kept.
        splice: Splice,
    },
    /// Of a snapshot.
    Snapshot {
        /// The writing of the snapshot.
        op: OperationId,
        /// The version.
        version: ConfigVersion,
        /// The publication that made it.
        made_by: OperationId,
        /// The first offset not in it.
        as_of: Offset,
    },
}

/// A text whose last part was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Whole {
    /// What it is.
    pub header: Header,
    /// The text; none where it is cut off.
    pub body: Option<Arc<str>>,
    /// The offset of the last part.
    pub last: Offset,
}

/// The unfinished text, if any.
#[derive(Clone, Debug)]
pub struct Assembly {
    start: Offset,
    open: Option<Open>,
}

#[derive(Clone, Debug)]
struct Open {
    header: Header,
    count: u32,
    first: Offset,
    next: u32,
    cut_off: bool,
    text: String,
}

impl Assembly {
    /// For a reader whose first record is at or behind `start`.
    pub fn new(start: Offset) -> Self {
        Self { start, open: None }
    }

    /// Takes a part; gives the text where it was the last one.
    pub fn add(&mut self, offset: Offset, header: Header, part: Part, body: &str) -> Option<Whole> {
        let mut open = self.open_for(offset, header, part)?;
        if open.text.len() + body.len() > MAX_TEXT_BYTES.0 as usize {
            return None;
        }
        open.text.push_str(body);
        open.next += 1;
        if !part.is_last() {
            self.open = Some(open);
            return None;
        }
        Some(Whole {
            body: (!open.cut_off).then(|| open.text.as_str().into()),
            header: open.header,
            last: offset,
        })
    }

    fn open_for(&mut self, offset: Offset, header: Header, part: Part) -> Option<Open> {
        let open = self.open.take();
        if !part.is_valid() {
            return None;
        }
        let first = Offset(offset.0.checked_sub(part.index.into())?);
        let cut_off = first < self.start;
        if let Some(open) = open.filter(|open| open.continues(first, &header, part)) {
            return Some(open);
        }
        // A part in the middle is good for nothing, except as the rest of a text that began
        // before this reader did.
        if part.index > 0 && !cut_off {
            return None;
        }
        Some(Open {
            header,
            count: part.count,
            first,
            next: part.index,
            cut_off,
            text: String::new(),
        })
    }
}

impl Open {
    fn continues(&self, first: Offset, header: &Header, part: Part) -> bool {
        self.first == first
            && self.next == part.index
            && self.count == part.count
            && self.header == *header
    }
}
