//! Communication between nodes: typed messages, carried by `jsonrpsee` behind a trait object.
//!
//! Terms: a *peer* is another node; a *card* is a node's description of itself.
//!
//! Invariants: every exchange is authenticated by the fleet's shared secret; a call whose answer is
//! lost is `MayHaveRun`.

mod client;
pub mod envelope;
#[cfg(feature = "fakes")]
pub mod fakes;
pub mod message;
mod runtime;
mod server;
mod settings;
mod stats;

pub use client::JsonRpcPeers;
pub use message::{
    ClaimAnswer, ClaimCall, ClaimKey, ClaimState, NodeCard, PeerAnswer, PeerCall, RequestReport,
    RequestState, SettleCall, Settlement,
};
pub use runtime::PeerRuntime;
pub use server::PeerServer;
pub use settings::{FleetSecret, PeerSettings, WeakSecret};
pub use stats::{CallCount, CallKind, PeerStats};

use bluebell_base::prelude::*;
use stakker::{Core, Ret};
use std::hash::{BuildHasher, RandomState};

/// A port for calls to peers.
pub trait PeerPort {
    /// Sends a call to the peer at `to`.
    fn call(
        &self,
        core: &mut Core,
        to: &Address,
        call: PeerCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    );
}

/// A call from a peer, with the `Ret` that answers it.
pub struct Incoming {
    /// The call.
    pub call: PeerCall,
    /// Receives the answer. Dropping it answers `Unavailable`.
    pub ret: Ret<Result<PeerAnswer, Error>>,
}

/// Returns a nonce from the process's randomly seeded hasher, which obtains its keys from the
/// system.
fn nonce() -> u64 {
    RandomState::new().hash_one(runtime::wall_ms().0)
}
