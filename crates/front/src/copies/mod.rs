//! Copies of the configuration and of a node's state that nodes fetch from each other.
//!
//! Terms: a *copy* is the operators' text of one version, compressed; the version that a requesting node
//! *holds* is the one that it has in force; the *state* is what else a starting node needs.
//!
//! Load pattern: all nodes of a failure domain request a version within a second of its being written,
//! some of them before the node that they ask has it.
//!
//! Reason for the limits: texts of thousands of similar routes compress to a tenth, so that nodes with
//! slow links can serve all their children at once. A node that doesn't have the version yet holds the
//! request open for it, which saves a second call. If the version doesn't arrive soon it answers so, and
//! the requesting node tries another peer.
//!
//! Invariants: a copy is verified by its checksum and by parsing it. Its version is read from the text
//! itself, so that a wrong copy can't pass for a newer version than it is.

mod engines;
mod fetch;
mod introduction;
mod serve;
mod state;

pub use fetch::{ConfigCopy, CopyError, StateReply, fetch, fetch_state};
pub use serve::answer;
pub use state::NodeState;

use bluebell_base::prelude::*;
use bytes::Bytes as Buffer;
use std::cell::{Cell, RefCell};

/// The time for which a node holds a request open for a version that it doesn't have yet.
const HOLD_MS: SpanMs = SpanMs(400);

/// The maximum size of a text, compressed or not, in bytes.
const MAX_TEXT_BYTES: usize = 8 * 1024 * 1024;

/// The maximum number of copies of the state that a node serves at a time. More at once would take longer
/// on a slow link than a second round of copies from those that were served first.
const MAX_STATE_COPIES: usize = 8;

/// The time for which an encoded state is served to further nodes.
const STATE_REUSE_MS: SpanMs = SpanMs(200);

/// The compression level. The lowest compresses similar routes nearly as well as the highest.
const COMPRESSION_LEVEL: u8 = 1;

/// The text of the version in force, for peers that request it.
#[derive(Debug, Default)]
pub struct Copies {
    text: RefCell<Option<Text>>,
    /// The compressed state with and without the replicas.
    states: [RefCell<Option<EncodedState>>; 2],
    /// The number of copies of the state that are being served.
    serving: Cell<usize>,
}

/// A compressed state.
#[derive(Debug)]
struct EncodedState {
    /// The time at which it was encoded.
    at_ms: MonoMs,
    compressed: Buffer,
}

/// The text of a version, in one of two forms.
#[derive(Clone, Debug)]
enum Text {
    /// The text as the directory sent it.
    Plain(Buffer),
    /// The compressed text, as nodes send it.
    Compressed(Buffer),
}

impl Copies {
    /// Records that the version in force was read from the directory. `text` is `None` if the version
    /// can't be copied.
    pub fn on_read(&self, text: Option<Buffer>) {
        self.text.replace(text.map(Text::Plain));
    }

    /// Records that the version in force was copied from a peer.
    pub fn on_copied(&self, copy: ConfigCopy) {
        self.text.replace(Some(Text::Compressed(copy.0)));
    }

    /// Returns the compressed text. It is compressed at the first request, since most nodes never get
    /// one.
    fn compressed(&self) -> Option<Buffer> {
        let mut text = self.text.borrow_mut();
        let compressed = match text.as_ref()? {
            Text::Compressed(compressed) => return Some(compressed.clone()),
            Text::Plain(plain) => {
                miniz_oxide::deflate::compress_to_vec_zlib(plain, COMPRESSION_LEVEL)
            }
        };
        let compressed = Buffer::from(compressed);
        *text = Some(Text::Compressed(compressed.clone()));
        Some(compressed)
    }
}
