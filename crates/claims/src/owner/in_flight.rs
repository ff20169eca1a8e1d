//! The batch that is being written to the log.

use super::operation::{Op, QueuedOp};
use crate::records::{BatchRecord, ClaimOp, Epoch, Record, SettleOp, encode};
use bluebell_base::prelude::*;
use bluebell_peers::ClaimKey;

/// The next step for the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Append the batch, for the first time or again.
    Append,
    /// Read up to the offset that the log reported for the batch, or to the end if it reported none.
    ReadBack(Option<Offset>),
}

/// A batch in flight. An owner has at most one, and keeps it until its outcome is known.
pub struct BatchInFlight {
    /// The encoded record, identical in every attempt.
    pub body: Arc<str>,
    /// The next step.
    pub stage: Stage,
    /// True if the answer to an append was lost, so a copy may be in the log or still arrive.
    pub uncertain: bool,
    items: Vec<QueuedOp>,
}

impl BatchInFlight {
    /// Encodes a batch of operations.
    pub fn new(epoch: Epoch, batch: u64, items: Vec<QueuedOp>) -> Self {
        let mut record = BatchRecord {
            fencing: epoch.fencing,
            round: epoch.round,
            batch,
            settles: Vec::new(),
            claims: Vec::new(),
        };
        for item in &items {
            match &item.op {
                Op::Claim(call, _) => record.claims.push(ClaimOp::from(call)),
                Op::Settle(call, _) => record.settles.push(SettleOp::from(call)),
            }
        }
        Self {
            body: encode(&Record::Batch(record)),
            stage: Stage::Append,
            uncertain: false,
            items,
        }
    }

    /// Returns the keys of the operations.
    pub fn keys(&self) -> impl Iterator<Item = ClaimKey> {
        self.items.iter().map(QueuedOp::key)
    }

    /// Returns the claims, in the order of the record.
    pub fn claims(&mut self) -> impl Iterator<Item = &mut QueuedOp> {
        let items = self.items.iter_mut();
        items.filter(|item| matches!(item.op, Op::Claim(..)))
    }

    /// Returns all operations.
    pub fn items(&mut self) -> impl Iterator<Item = &mut QueuedOp> {
        self.items.iter_mut()
    }

    /// Returns the arrival time of the oldest operation without an answer.
    pub fn oldest_ms(&self) -> Option<MonoMs> {
        let open = self.items.iter().filter(|item| match &item.op {
            Op::Claim(_, ret) => ret.is_some(),
            Op::Settle(_, ret) => ret.is_some(),
        });
        open.map(|item| item.arrived_ms).min()
    }
}
