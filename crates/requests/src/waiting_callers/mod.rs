//! Callers that wait for another node's report of a request.
//!
//! Invariants: each is answered once, by the other node's answer or by a timeout.

use crate::call::{CallerId, CallerSink};
use crate::request::CancelReply;
use bluebell_base::prelude::*;
use std::collections::HashMap;

bluebell_base::define_id! {
    /// One waiting caller, counted from 1.
    WaitId(u64) = "wait";
}

/// The purpose of a caller's wait.
pub enum WaitPurpose {
    /// To resume reading an answer.
    ResumeAnswer {
        /// The connection.
        caller: CallerId,
        /// The receiver of its events.
        sink: Box<dyn CallerSink>,
        /// The position of the first token wanted.
        from: u64,
    },
    /// To receive the report.
    Report(CancelReply),
    /// To cancel the request.
    Cancel(CancelReply),
}

/// A waiting caller.
pub struct WaitingCaller {
    /// The client account.
    pub account: AccountName,
    /// The request.
    pub request: RequestId,
    /// The purpose of the wait.
    pub purpose: WaitPurpose,
}

/// The waiting callers of one node.
#[derive(Default)]
pub struct WaitingCallers {
    last: u64,
    waiting_callers: HashMap<WaitId, WaitingCaller>,
}

impl WaitingCallers {
    /// Adds a caller.
    pub fn insert(&mut self, waiting: WaitingCaller) -> WaitId {
        self.last += 1;
        let id = WaitId(self.last);
        self.waiting_callers.insert(id, waiting);
        id
    }

    /// Removes a caller; `None` if it no longer waits.
    pub fn remove(&mut self, id: WaitId) -> Option<WaitingCaller> {
        self.waiting_callers.remove(&id)
    }

    /// Removes the callers of a connection that closed.
    pub fn forget(&mut self, gone: CallerId) {
        self.waiting_callers.retain(
            |_, waiting| !matches!(&waiting.purpose, WaitPurpose::ResumeAnswer { caller, .. } if *caller == gone),
        );
    }

    /// Returns the number of waiting callers.
    pub fn len(&self) -> usize {
        self.waiting_callers.len()
    }

    /// Returns true if no caller waits.
    pub fn is_empty(&self) -> bool {
        self.waiting_callers.is_empty()
    }
}
