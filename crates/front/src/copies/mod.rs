//! Copies of the configuration that nodes hand each other.
//!
//! Terms: a *copy* is the operators' text of one version, packed; an asker names the version that it
//! *holds*.
//!
//! Load pattern: all nodes of a failure domain ask for a version within a second of its being written,
//! some of them before the node that they ask has it.
//!
//! Reason for the limits: texts of thousands of alike routes pack to a tenth, so that nodes with small
//! links can serve their children at once. A node that doesn't have the version yet lets the asker wait
//! for it, which costs no second call; one that doesn't get it soon says so, and the asker turns
//! elsewhere.
//!
//! Invariants: a copy is checked by its checksum and by being read; its version is the text's own, so that
//! a wrong one can't be taken for newer than it is.

mod fetch;
mod serve;

pub use fetch::{ConfigCopy, fetch};
pub use serve::serve_copies;

use bluebell_base::prelude::*;
use bytes::Bytes as Buffer;
use std::cell::RefCell;

/// How long a node that is asked for a newer version than it has waits for it.
const HOLD_MS: SpanMs = SpanMs(400);

/// The largest text.
const TEXT_BYTES: usize = 8 * 1024 * 1024;

/// How hard texts are packed; the lowest level packs alike routes nearly as small as the highest.
const PACK_LEVEL: u8 = 1;

/// The text of the version in force, for nodes that ask for it.
#[derive(Debug, Default)]
pub struct Copies {
    text: RefCell<Option<Text>>,
}

#[derive(Clone, Debug)]
enum Text {
    /// As the directory gave it.
    Plain(Buffer),
    /// As nodes hand it on.
    Packed(Buffer),
}

impl Copies {
    /// The version in force was read from the directory as this text, if that is known.
    pub fn on_read(&self, text: Option<Buffer>) {
        self.text.replace(text.map(Text::Plain));
    }

    /// The version in force was copied from a peer.
    pub fn on_copied(&self, copy: ConfigCopy) {
        self.text.replace(Some(Text::Packed(copy.0)));
    }

    /// The packed text. It is packed when it is first asked for: most nodes are never asked.
    fn packed(&self) -> Option<Buffer> {
        let mut text = self.text.borrow_mut();
        let packed = match text.as_ref()? {
            Text::Packed(packed) => return Some(packed.clone()),
            Text::Plain(plain) => miniz_oxide::deflate::compress_to_vec_zlib(plain, PACK_LEVEL),
        };
        let packed = Buffer::from(packed);
        *text = Some(Text::Packed(packed.clone()));
        Some(packed)
    }
}
