//! One claim or settlement on its way into the log, with the way to answer it.
//!
//! Here an error's verdict speaks of the *record*: `NotRun` says that it is not in the log and
//! never will be, `MayHaveRun` that it may be.

use bluebell_base::prelude::*;
use bluebell_peers::{ClaimAnswer, ClaimCall, ClaimKey, SettleCall};
use stakker::Ret;

/// Takes the answer to a claim.
pub type ClaimRet = Ret<Result<ClaimAnswer, Error>>;

/// Takes the answer to a settlement, once it is in the log.
pub type SettleRet = Ret<Result<(), Error>>;

/// A claim or settlement; its `Ret` is taken by the first answer.
pub enum Op {
    /// A claim.
    Claim(ClaimCall, Option<ClaimRet>),
    /// A settlement.
    Settle(SettleCall, Option<SettleRet>),
}

/// An operation and when it arrived.
pub struct Item {
    /// The operation.
    pub op: Op,
    /// When it arrived.
    pub since_ms: MonoMs,
}

impl Item {
    /// The key it is about.
    pub fn key(&self) -> ClaimKey {
        match &self.op {
            Op::Claim(call, _) => call.key,
            Op::Settle(call, _) => call.key,
        }
    }

    /// Answers a claim; a settlement is left as it is.
    pub fn answer_claim(&mut self, answer: Result<ClaimAnswer, Error>) {
        if let Op::Claim(_, ret) = &mut self.op
            && let Some(ret) = ret.take()
        {
            ret.ret(answer);
        }
    }

    /// Says that a settlement is in the log; a claim is left as it is.
    pub fn answer_settled(&mut self) {
        if let Op::Settle(_, ret) = &mut self.op
            && let Some(ret) = ret.take()
        {
            ret.ret(Ok(()));
        }
    }

    /// Answers with an error.
    pub fn refuse(&mut self, error: Error) {
        match &mut self.op {
            Op::Claim(_, ret) => {
                if let Some(ret) = ret.take() {
                    ret.ret(Err(error));
                }
            }
            Op::Settle(_, ret) => {
                if let Some(ret) = ret.take() {
                    ret.ret(Err(error));
                }
            }
        }
    }
}
