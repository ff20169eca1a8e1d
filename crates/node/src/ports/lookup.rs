//! Looking a request up at the node that admitted it.
//!
//! Terms: the *roll* is the list of live nodes as membership last told it.

use bluebell_base::prelude::*;
use bluebell_peers::{NodeCard, PeerAnswer, PeerCall, PeerPort, RequestReport};
use bluebell_requests::RequestLookup;
use stakker::{Core, Ret};
use std::cell::RefCell;
use std::rc::Rc;

/// The live nodes, shared between the hub, which writes it, and lookups.
pub type Roll = Rc<RefCell<Vec<NodeCard>>>;

/// Finds the node by the incarnation in the request's id and asks it.
pub struct PeerLookup {
    peers: Rc<dyn PeerPort>,
    roll: Roll,
}

impl PeerLookup {
    /// Opens the lookup over the roll.
    pub fn open(peers: Rc<dyn PeerPort>, roll: Roll) -> Rc<dyn RequestLookup> {
        Rc::new(Self { peers, roll })
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
            let roll = self.roll.borrow();
            let card = roll
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
