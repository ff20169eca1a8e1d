//! Counts one node's calls by kind, and the ports that do the counting.

mod ports;

pub(crate) use ports::json_bytes;
pub use ports::{CountingPeers, CountingPlatform};

use serde::Serialize;
use std::cell::RefCell;
use std::rc::Rc;

/// What a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A read of the config stream.
    ReadConfig,
    /// A read of the leases stream.
    ReadLeases,
    /// A read of the directory stream.
    ReadDirectory,
    /// An append to the config stream.
    AppendConfig,
    /// An append to the leases stream.
    AppendLeases,
    /// An append to the directory stream.
    AppendDirectory,
    /// A fetch of the list of VMs.
    List,
    /// A call to a peer.
    PeerOut,
    /// A call of a peer.
    PeerIn,
}

/// All kinds, in the order of their table.
pub const KINDS: [Kind; 9] = [
    Kind::ReadConfig,
    Kind::ReadLeases,
    Kind::ReadDirectory,
    Kind::AppendConfig,
    Kind::AppendLeases,
    Kind::AppendDirectory,
    Kind::List,
    Kind::PeerOut,
    Kind::PeerIn,
];

/// Calls, and bytes of JSON both ways together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// Calls.
    pub calls: u64,
    /// Bytes of calls and answers.
    pub bytes: u64,
}

/// The traffic of one node by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    traffic: [Traffic; KINDS.len()],
}

/// A ledger that the ports of a node share.
pub type SharedLedger = Rc<RefCell<Ledger>>;

impl Ledger {
    /// Counts one call, or only bytes of one that was counted.
    pub fn add(&mut self, kind: Kind, calls: u64, bytes: usize) {
        let traffic = &mut self.traffic[kind as usize];
        traffic.calls += calls;
        traffic.bytes += bytes as u64;
    }

    /// The traffic of a kind.
    pub fn of(&self, kind: Kind) -> Traffic {
        self.traffic[kind as usize]
    }

    /// All kinds together.
    pub fn sum(&self) -> Traffic {
        self.sum_of(&KINDS)
    }

    /// Some kinds together.
    pub fn sum_of(&self, kinds: &[Kind]) -> Traffic {
        let mut sum = Traffic::default();
        for kind in kinds {
            sum.calls += self.of(*kind).calls;
            sum.bytes += self.of(*kind).bytes;
        }
        sum
    }

    /// What came since an earlier ledger of the same node.
    pub fn since(&self, before: &Ledger) -> Ledger {
        let mut ledger = *self;
        for (now, before) in ledger.traffic.iter_mut().zip(before.traffic) {
            now.calls -= before.calls;
            now.bytes -= before.bytes;
        }
        ledger
    }
}
