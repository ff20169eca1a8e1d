//! Lookup of a request at the node that admitted it.
//!
//! Terms: the *live nodes* are the nodes' cards as membership last reported them.

use bluebell_base::prelude::*;
use bluebell_peers::{NodeCard, PeerAnswer, PeerCall, PeerPort, RequestReport};
use bluebell_requests::RequestLookup;
use stakker::{Core, Ret};
use std::cell::RefCell;
use std::rc::Rc;

/// The live nodes. The hub writes the list; lookups and the administration API read it.
pub type LiveNodes = Rc<RefCell<Vec<NodeCard>>>;

/// A lookup that calls the node whose incarnation is in the request's id.
pub struct PeerLookup {
    peers: Rc<dyn PeerPort>,
    live_nodes: LiveNodes,
}

impl PeerLookup {
    /// Opens a lookup among the live nodes.
    pub fn open(peers: Rc<dyn PeerPort>, live_nodes: LiveNodes) -> Rc<dyn RequestLookup> {
        Rc::new(Self { peers, live_nodes })
    }
}

impl RequestLookup for PeerLookup {
    fn lookup(
        &self,
        core: &mut Core,
        request: RequestId,
        ret: Ret<Result<Option<RequestReport>, Error>>,
    ) {
        let address = {
            let live_nodes = self.live_nodes.borrow();
            let card = live_nodes
                .iter()
                .find(|card| card.incarnation == request.incarnation);
            card.map(|card| card.address.clone())
        };
        let Some(address) = address else {
            // The list may lag, so an absent node proves nothing about the request.
            ret.ret(Err(Error::not_run(
                ErrorKind::Unavailable,
                "the node that took the request is not there",
            )));
            return;
        };
        let answered = Ret::new(move |answer: Option<Result<PeerAnswer, Error>>| {
            ret.ret(report_of(answer));
        });
        let call = PeerCall::Request { request };
        self.peers.call(core, &address, call, answered);
    }
}

fn report_of(answer: Option<Result<PeerAnswer, Error>>) -> Result<Option<RequestReport>, Error> {
    match answer {
        Some(Ok(PeerAnswer::Request { report })) => Ok(report),
        Some(Ok(_)) => Err(Error::not_run(
            ErrorKind::Internal,
            "a peer answered another question",
        )),
        Some(Err(error)) => Err(error),
        None => Err(Error::not_run(ErrorKind::Unavailable, "no answer came")),
    }
}
