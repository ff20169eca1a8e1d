//! Counters of one node's calls by kind, and the ports that count.

mod ports;

pub(crate) use ports::json_bytes;
pub use ports::{CountingPeers, CountingPlatform};

use serde::Serialize;
use std::cell::RefCell;
use std::rc::Rc;

/// The kind of a call.
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
    /// A call from a peer.
    PeerIn,
}

/// All kinds, in the order of the tables.
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

/// A number of calls, with their bytes of JSON in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Traffic {
    /// The number of calls.
    pub calls: u64,
    /// The bytes of calls and answers.
    pub bytes: u64,
}

/// The traffic of one node by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    traffic: [Traffic; KINDS.len()],
}

/// A ledger shared by the ports of a node.
pub type SharedLedger = Rc<RefCell<Ledger>>;

impl Ledger {
    /// Counts one call, or further bytes of a counted call.
    pub fn add(&mut self, kind: Kind, calls: u64, bytes: usize) {
        let traffic = &mut self.traffic[kind as usize];
        traffic.calls += calls;
        traffic.bytes += bytes as u64;
    }

    /// Returns the traffic of a kind.
    pub fn of(&self, kind: Kind) -> Traffic {
        self.traffic[kind as usize]
    }

    /// Returns the traffic of all kinds.
    pub fn sum(&self) -> Traffic {
        self.sum_of(&KINDS)
    }

    /// Returns the traffic of some kinds.
    pub fn sum_of(&self, kinds: &[Kind]) -> Traffic {
        let mut sum = Traffic::default();
        for kind in kinds {
            sum.calls += self.of(*kind).calls;
            sum.bytes += self.of(*kind).bytes;
        }
        sum
    }

    /// Returns the traffic since an earlier state of the same ledger.
    pub fn since(&self, before: &Ledger) -> Ledger {
        let mut ledger = *self;
        for (now, before) in ledger.traffic.iter_mut().zip(before.traffic) {
            now.calls -= before.calls;
            now.bytes -= before.bytes;
        }
        ledger
    }
}
