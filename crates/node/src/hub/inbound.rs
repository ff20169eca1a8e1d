//! Calls of other nodes, passed to the part that answers them.

use super::Hub;
use bluebell_base::prelude::*;
use bluebell_peers::{Incoming, PeerAnswer, PeerCall, RequestReport};
use stakker::{CX, Ret, call};

type Answer = Result<PeerAnswer, Error>;

impl Hub {
    /// A peer calls.
    pub fn on_peer(&mut self, cx: CX![], incoming: Incoming) {
        let Incoming { call, ret } = incoming;
        match call {
            PeerCall::Probe { card, leaving } => {
                call!([self.parts.members], on_probe(card, leaving, plain(ret)));
            }
            PeerCall::Claim(call) => {
                self.parts.claims.incoming_claim(cx, call, ret);
            }
            PeerCall::Settle(call) => {
                self.parts.claims.incoming_settle(cx, call, ret);
            }
            PeerCall::Config { have } => {
                call!([self.parts.control], peer_config(have, plain(ret)));
            }
            PeerCall::Request { request } => {
                self.parts.requests.lookup(request, report(ret));
            }
        }
    }
}

fn gone() -> Error {
    Error::not_run(ErrorKind::Unavailable, "the node is stopping")
}

fn plain(ret: Ret<Answer>) -> Ret<PeerAnswer> {
    Ret::new(move |answer: Option<PeerAnswer>| ret.ret(answer.ok_or_else(gone)))
}

fn report(ret: Ret<Answer>) -> Ret<Option<RequestReport>> {
    Ret::new(move |report: Option<Option<RequestReport>>| {
        let answer = report.ok_or_else(gone);
        ret.ret(answer.map(|report| PeerAnswer::Request { report }));
    })
}
