//! A claim or settlement that is being written to the log, with the `Ret` for its answer.
//!
//! The verdict of an error is about the *record* here: `NotRun` means that the record is not in the
//! log and never will be, `MayHaveRun` that it may be.

use bluebell_base::prelude::*;
use bluebell_peers::{ClaimAnswer, ClaimCall, ClaimKey, SettleCall};
use stakker::Ret;

/// Receives the answer to a claim.
pub type ClaimRet = Ret<Result<ClaimAnswer, Error>>;

/// Receives the answer to a settlement, once it is in the log.
pub type SettleRet = Ret<Result<(), Error>>;

/// A claim or settlement. The first answer takes its `Ret`.
pub enum Op {
    /// A claim.
    Claim(ClaimCall, Option<ClaimRet>),
    /// A settlement.
    Settle(SettleCall, Option<SettleRet>),
}

/// An operation and its arrival time.
pub struct QueuedOp {
    /// The operation.
    pub op: Op,
    /// The time when it arrived.
    pub arrived_ms: MonoMs,
}

impl QueuedOp {
    /// Returns the key of the operation.
    pub fn key(&self) -> ClaimKey {
        match &self.op {
            Op::Claim(call, _) => call.key,
            Op::Settle(call, _) => call.key,
        }
    }

    /// Answers a claim. Does nothing for a settlement.
    pub fn answer_claim(&mut self, answer: Result<ClaimAnswer, Error>) {
        if let Op::Claim(_, ret) = &mut self.op
            && let Some(ret) = ret.take()
        {
            ret.ret(answer);
        }
    }

    /// Reports that a settlement is in the log. Does nothing for a claim.
    pub fn answer_settled(&mut self) {
        if let Op::Settle(_, ret) = &mut self.op
            && let Some(ret) = ret.take()
        {
            ret.ret(Ok(()));
        }
    }

    /// Answers the operation with an error.
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
