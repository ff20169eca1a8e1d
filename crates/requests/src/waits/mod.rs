//! Callers that wait for what another node knows of its request.
//!
//! Invariants: each is answered once, by the other node's word or by its time running out.

use crate::call::{CallerId, CallerSink};
use crate::life::CancelReply;
use bluebell_base::prelude::*;
use std::collections::HashMap;

bluebell_base::define_id! {
    /// One wait, counted from 1.
    WaitId(u64) = "wait";
}

/// What a caller waits for.
pub enum Wish {
    /// To read an answer on.
    ResumeAnswer {
        /// The connection.
        caller: CallerId,
        /// Where its events go.
        sink: Box<dyn CallerSink>,
        /// The first token wanted.
        from: u64,
    },
    /// To hear of the request.
    Report(CancelReply),
    /// To cancel it.
    Cancel(CancelReply),
}

/// A waiting caller.
pub struct Wait {
    /// Who asks.
    pub account: AccountName,
    /// About which request.
    pub request: RequestId,
    /// For what.
    pub wish: Wish,
}

/// The waiting callers of one node.
#[derive(Default)]
pub struct Waits {
    last: u64,
    waits: HashMap<WaitId, Wait>,
}

impl Waits {
    /// Adds a caller.
    pub fn insert(&mut self, wait: Wait) -> WaitId {
        self.last += 1;
        let id = WaitId(self.last);
        self.waits.insert(id, wait);
        id
    }

    /// Takes a caller out, where it still waits.
    pub fn remove(&mut self, id: WaitId) -> Option<Wait> {
        self.waits.remove(&id)
    }

    /// A connection broke: nobody waits on it any more.
    pub fn forget(&mut self, gone: CallerId) {
        self.waits.retain(
            |_, wait| !matches!(&wait.wish, Wish::ResumeAnswer { caller, .. } if *caller == gone),
        );
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waits.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waits.is_empty()
    }
}
