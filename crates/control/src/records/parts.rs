//! Cutting of texts into parts that fit into one record each.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The maximum number of parts of one text. It bounds the memory that a reader spends on
/// assembling a text.
pub const MAX_PARTS: u32 = 1024;

/// The position of a part within its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The index of the part, counted from 0.
    pub index: u32,
    /// The number of parts of the text.
    pub count: u32,
}

impl Part {
    /// The position of the only part of a text that fits into one record.
    pub const WHOLE: Part = Part { index: 0, count: 1 };

    /// Returns true if this is the last part. An invalid position with a count of 0 is not the
    /// last.
    pub fn is_last(self) -> bool {
        self.count.checked_sub(1) == Some(self.index)
    }

    /// Returns true if the index is below the count and the count is within [`MAX_PARTS`].
    pub fn is_valid(self) -> bool {
        self.index < self.count && self.count <= MAX_PARTS
    }
}

/// Cuts `text` into parts of at most `part_bytes` each. Returns `None` if there would be more than
/// [`MAX_PARTS`] of them.
pub fn cut(text: &str, part_bytes: Bytes) -> Option<Vec<(Part, Arc<str>)>> {
    let mut pieces: Vec<Arc<str>> = Vec::new();
    let mut rest = text;
    while pieces.is_empty() || !rest.is_empty() {
        let (piece, remainder) = rest.split_at(end_of_piece(rest, part_bytes));
        pieces.push(piece.into());
        rest = remainder;
    }
    let count = u32::try_from(pieces.len()).ok()?;
    if count > MAX_PARTS {
        return None;
    }
    let numbered = (0..).zip(pieces);
    let parts = numbered.map(|(index, piece)| (Part { index, count }, piece));
    Some(parts.collect())
}

/// Returns the largest end within the limit that does not split a character.
fn end_of_piece(text: &str, part_bytes: Bytes) -> usize {
    let limit = (part_bytes.0 as usize).max(4).min(text.len());
    (0..=limit)
        .rev()
        .find(|&end| text.is_char_boundary(end))
        .unwrap_or(text.len())
}
