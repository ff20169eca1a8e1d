//! Node to node: the typed messages between nodes, carried by `jsonrpsee` behind a trait object.
//!
//! Terms: a *peer* is another node; a *card* is what a node says of itself.
//!
//! Invariants: every exchange is authenticated by the fleet's shared secret; a call whose answer
//! is lost is `MayHaveRun`.

pub mod message;

pub use message::{
    ClaimAnswer, ClaimCall, ClaimKey, ClaimState, NodeCard, PeerAnswer, PeerCall, RequestReport,
    SettleCall, Settlement,
};

use bluebell_base::prelude::*;
use stakker::{Core, Ret};

/// Calls to peers.
pub trait PeerPort {
    /// Calls the peer at `to`.
    fn call(
        &self,
        core: &mut Core,
        to: &Address,
        call: PeerCall,
        ret: Ret<Result<PeerAnswer, Error>>,
    );
}

/// A peer's call, with the way to answer it.
pub struct Incoming {
    /// The call.
    pub call: PeerCall,
    /// Takes the answer; dropping it answers `Unavailable`.
    pub ret: Ret<Result<PeerAnswer, Error>>,
}
