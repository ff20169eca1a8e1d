//! An update's text as a change of the text it builds on.
//!
//! A configuration with thousands of accounts is hundreds of kilobytes, of which a change touches
//! a few lines. Written whole, a day's changes would cost each node more than its whole budget,
//! to read them as they come and once more at each start.
//!
//! Invariants: a splice that does not fit the text it is applied to gives nothing, for every
//! reader alike.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// How much of the text before is kept at either end, around the new middle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Splice {
    /// Kept at the beginning.
    #[serde(default)]
    pub head_bytes: Bytes,
    /// Kept at the end.
    #[serde(default)]
    pub tail_bytes: Bytes,
}

impl Splice {
    /// Keeps nothing: the middle is the whole text.
    pub const WHOLE: Splice = Splice {
        head_bytes: Bytes::ZERO,
        tail_bytes: Bytes::ZERO,
    };

    /// The splice and middle that make `after` out of `before`.
    pub fn between<'a>(before: &str, after: &'a str) -> (Splice, &'a str) {
        let head = common(before.bytes(), after.bytes());
        let head = floor_boundary(after, head);
        let rest = (&before.as_bytes()[head..], &after.as_bytes()[head..]);
        let tail = common(rest.0.iter().rev(), rest.1.iter().rev());
        let start_of_tail = ceil_boundary(after, after.len() - tail);
        let splice = Splice {
            head_bytes: Bytes(head as u64),
            tail_bytes: Bytes((after.len() - start_of_tail) as u64),
        };
        (splice, &after[head..start_of_tail])
    }

    /// The text that `middle` makes out of `before`; none where it does not fit, or would be
    /// larger than `limit_bytes`.
    pub fn apply(self, before: &str, middle: &str, limit_bytes: Bytes) -> Option<Arc<str>> {
        let head = usize::try_from(self.head_bytes.0).ok()?;
        let tail = usize::try_from(self.tail_bytes.0).ok()?;
        let start_of_tail = before.len().checked_sub(tail)?;
        if head > start_of_tail {
            return None;
        }
        let (head, tail) = (before.get(..head)?, before.get(start_of_tail..)?);
        let size = head.len() + middle.len() + tail.len();
        (size as u64 <= limit_bytes.0).then(|| [head, middle, tail].concat().into())
    }
}

fn common<T: PartialEq>(one: impl Iterator<Item = T>, two: impl Iterator<Item = T>) -> usize {
    one.zip(two).take_while(|(a, b)| a == b).count()
}

// Both texts agree up to a cut, so a boundary of one is a boundary of the other.

fn floor_boundary(text: &str, mut at: usize) -> usize {
    while !text.is_char_boundary(at) {
        at -= 1;
    }
    at
}

fn ceil_boundary(text: &str, mut at: usize) -> usize {
    while !text.is_char_boundary(at) {
        at += 1;
    }
    at
}
