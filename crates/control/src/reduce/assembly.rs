//! Assembly of a text from its parts.
//!
//! Parts count only at consecutive offsets. The log assigns consecutive offsets to the records of
//! one append, so the parts of one writer are never mixed with those of another, and a repeated
//! append is a text of its own. A reader therefore holds at most one unfinished text.
//!
//! Terms: a text is *cut off* if its first parts lie before the reader's start.
//!
//! Invariants: a reader never concludes that a cut-off text counts, since it can't know whether
//! the parts that it did not read were valid.

use crate::records::{Part, Splice};
use bluebell_base::prelude::*;

/// The maximum size of an assembled text. It bounds the reader's memory.
pub const MAX_TEXT_BYTES: Bytes = Bytes(32 * 1024 * 1024);

/// The fields that all parts of a text have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Header {
    /// The header of an update.
    Update {
        /// The publication.
        op: OperationId,
        /// The version that the update is based on.
        base: ConfigVersion,
        /// The parts of the base's text that are kept.
        splice: Splice,
    },
    /// The header of a snapshot.
    Snapshot {
        /// The id of the operation that wrote the snapshot.
        op: OperationId,
        /// The version.
        version: ConfigVersion,
        /// The publication that created the version.
        made_by: OperationId,
        /// The first offset that the snapshot does not include.
        as_of: Offset,
    },
}

/// A text whose last part was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteText {
    /// The header of its parts.
    pub header: Header,
    /// The text; `None` if it is cut off.
    pub body: Option<Arc<str>>,
    /// The offset of the last part.
    pub last: Offset,
}

/// The state of the assembly: the unfinished text, if any.
#[derive(Clone, Debug)]
pub struct Assembly {
    start: Offset,
    unfinished: Option<UnfinishedText>,
}

#[derive(Clone, Debug)]
struct UnfinishedText {
    header: Header,
    count: u32,
    first: Offset,
    next: u32,
    cut_off: bool,
    text: String,
}

impl Assembly {
    /// Returns the assembly of a reader whose first record is at or after `start`.
    pub fn new(start: Offset) -> Self {
        Self {
            start,
            unfinished: None,
        }
    }

    /// Adds a part. Returns the text if this was its last part.
    pub fn add(
        &mut self,
        offset: Offset,
        header: Header,
        part: Part,
        body: &str,
    ) -> Option<CompleteText> {
        let mut unfinished = self.text_for_part(offset, header, part)?;
        if unfinished.text.len() + body.len() > MAX_TEXT_BYTES.0 as usize {
            return None;
        }
        unfinished.text.push_str(body);
        unfinished.next += 1;
        if !part.is_last() {
            self.unfinished = Some(unfinished);
            return None;
        }
        Some(CompleteText {
            body: (!unfinished.cut_off).then(|| unfinished.text.as_str().into()),
            header: unfinished.header,
            last: offset,
        })
    }

    /// Returns the unfinished text that the part continues, or a new text if the part can begin
    /// one. Returns `None` if the part is to be ignored.
    fn text_for_part(
        &mut self,
        offset: Offset,
        header: Header,
        part: Part,
    ) -> Option<UnfinishedText> {
        let unfinished = self.unfinished.take();
        if !part.is_valid() {
            return None;
        }
        let first = Offset(offset.0.checked_sub(part.index.into())?);
        let cut_off = first < self.start;
        if let Some(text) = unfinished.filter(|text| text.continues(first, &header, part)) {
            return Some(text);
        }
        // A part in the middle is ignored, unless it belongs to a text that began before this
        // reader's start.
        if part.index > 0 && !cut_off {
            return None;
        }
        Some(UnfinishedText {
            header,
            count: part.count,
            first,
            next: part.index,
            cut_off,
            text: String::new(),
        })
    }
}

impl UnfinishedText {
    fn continues(&self, first: Offset, header: &Header, part: Part) -> bool {
        self.first == first
            && self.next == part.index
            && self.count == part.count
            && self.header == *header
    }
}
