//! Cutting a text into parts that fit a record.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The most parts one text may have; bounds the memory a reader spends on assembling.
pub const MAX_PARTS: u32 = 1024;

/// A part's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Its position, counted from 0.
    pub index: u32,
    /// How many there are.
    pub count: u32,
}

impl Part {
    /// The part of a text that needs no cutting.
    pub const WHOLE: Part = Part { index: 0, count: 1 };

    /// Whether it is the last one; a place that makes no sense is not.
    pub fn is_last(self) -> bool {
        self.count.checked_sub(1) == Some(self.index)
    }

    /// Whether the numbers make sense.
    pub fn is_valid(self) -> bool {
        self.index < self.count && self.count <= MAX_PARTS
    }
}

/// Cuts `text` into parts of at most `part_bytes` each; none where it would take too many.
pub fn cut(text: &str, part_bytes: Bytes) -> Option<Vec<(Part, Arc<str>)>> {
    let mut pieces: Vec<Arc<str>> = Vec::new();
    let mut rest = text;
    while pieces.is_empty() || !rest.is_empty() {
        let (piece, behind) = rest.split_at(end_of_piece(rest, part_bytes));
        pieces.push(piece.into());
        rest = behind;
    }
    let count = u32::try_from(pieces.len()).ok()?;
    if count > MAX_PARTS {
        return None;
    }
    let numbered = (0..).zip(pieces);
    let parts = numbered.map(|(index, piece)| (Part { index, count }, piece));
    Some(parts.collect())
}

/// The largest end within the limit that does not split a character.
fn end_of_piece(text: &str, part_bytes: Bytes) -> usize {
    let limit = (part_bytes.0 as usize).max(4).min(text.len());
    (0..=limit)
        .rev()
        .find(|&end| text.is_char_boundary(end))
        .unwrap_or(text.len())
}
