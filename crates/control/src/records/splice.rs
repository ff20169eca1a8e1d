//! Encoding of an update as a change of the text that it is based on.
//!
//! A configuration with thousands of accounts has hundreds of kilobytes, and a change concerns a
//! few lines of it. If each update carried the whole text, the changes of one day would cost each
//! node more than its whole traffic budget, since a node reads every update when it is written and
//! again at each start.
//!
//! Invariants: a splice that does not fit the text that it is applied to gives `None`, for every
//! reader alike.

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};

/// The sizes of the beginning and the end of the previous text that are kept around a new middle.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Splice {
    /// The number of bytes kept at the beginning.
    #[serde(default)]
    pub head_bytes: Bytes,
    /// The number of bytes kept at the end.
    #[serde(default)]
    pub tail_bytes: Bytes,
}

impl Splice {
    /// A splice that keeps nothing: the middle is the whole text.
    pub const WHOLE: Splice = Splice {
        head_bytes: Bytes::ZERO,
        tail_bytes: Bytes::ZERO,
    };

    /// Returns the splice and the middle that turn `before` into `after`.
    pub fn between<'a>(before: &str, after: &'a str) -> (Splice, &'a str) {
        let head = common_length(before.bytes(), after.bytes());
        let head = floor_boundary(after, head);
        let rest = (&before.as_bytes()[head..], &after.as_bytes()[head..]);
        let tail = common_length(rest.0.iter().rev(), rest.1.iter().rev());
        let start_of_tail = ceil_boundary(after, after.len() - tail);
        let splice = Splice {
            head_bytes: Bytes(head as u64),
            tail_bytes: Bytes((after.len() - start_of_tail) as u64),
        };
        (splice, &after[head..start_of_tail])
    }

    /// Returns the text that replacing the middle of `before` by `middle` gives. Returns `None` if
    /// the splice does not fit `before` or the text would be larger than `limit_bytes`.
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

/// Returns the length of the common prefix of two sequences.
fn common_length<T: PartialEq>(
    one: impl Iterator<Item = T>,
    two: impl Iterator<Item = T>,
) -> usize {
    one.zip(two).take_while(|(a, b)| a == b).count()
}

// Both texts are equal up to a cut, so a character boundary of one is one of the other too.

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
