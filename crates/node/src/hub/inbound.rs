//! Calls from other nodes, passed to the parts that answer them.

use super::Hub;
use bluebell_base::prelude::*;
use bluebell_peers::{Incoming, PeerAnswer, PeerCall, RequestReport};
use stakker::{CX, Ret, call};

type Answer = Result<PeerAnswer, Error>;

impl Hub {
    /// Handles a call from a peer.
    pub fn on_peer(&mut self, cx: CX![], incoming: Incoming) {
        let Incoming { call, ret } = incoming;
        match call {
            PeerCall::Probe { card, leaving } => {
                call!(
                    [self.parts.members],
                    on_probe(card, leaving, peer_answer(ret))
                );
            }
            PeerCall::Claim(call) => {
                self.parts.claims.incoming_claim(cx, call, ret);
            }
            PeerCall::Settle(call) => {
                self.parts.claims.incoming_settle(cx, call, ret);
            }
            PeerCall::Config { have } => {
                call!([self.parts.control], peer_config(have, peer_answer(ret)));
            }
            PeerCall::Request { request } => {
                self.parts.requests.lookup(request, request_report(ret));
            }
        }
    }
}

/// Returns the error for peers whose call isn't answered because the node is stopping.
fn stopping() -> Error {
    Error::not_run(ErrorKind::Unavailable, "the node is stopping")
}

/// Wraps the return channel of a call whose answer is always a [`PeerAnswer`]. The peer receives an
/// error if the part that answers ends first.
fn peer_answer(ret: Ret<Answer>) -> Ret<PeerAnswer> {
    Ret::new(move |answer: Option<PeerAnswer>| ret.ret(answer.ok_or_else(stopping)))
}

/// Wraps the return channel of a lookup of a request. The peer receives an error if the part that
/// answers ends first.
fn request_report(ret: Ret<Answer>) -> Ret<Option<RequestReport>> {
    Ret::new(move |report: Option<Option<RequestReport>>| {
        let answer = report.ok_or_else(stopping);
        ret.ret(answer.map(|report| PeerAnswer::Request { report }));
    })
}
