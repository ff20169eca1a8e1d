//! The batch that is on its way into the log.

use super::item::{Item, Op};
use crate::records::{BatchRecord, ClaimOp, Epoch, Record, SettleOp, encode};
use bluebell_base::prelude::*;
use bluebell_peers::ClaimKey;

/// What is to be done next for the batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Append it, or append it again.
    Append,
    /// Read up to the end, or to the offset where the log says it put the batch.
    ReadBack(Option<Offset>),
}

/// One batch in flight; there is at most one, and it stays until its outcome is known.
pub struct Flight {
    /// The encoded record, the same on every try.
    pub body: Arc<str>,
    /// What is to be done next.
    pub stage: Stage,
    /// Whether an append's answer was lost, so that a copy may be in the log or still arrive.
    pub uncertain: bool,
    items: Vec<Item>,
}

impl Flight {
    /// Encodes a batch.
    pub fn new(epoch: Epoch, batch: u64, items: Vec<Item>) -> Self {
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

    /// The keys of its operations.
    pub fn keys(&self) -> impl Iterator<Item = ClaimKey> {
        self.items.iter().map(Item::key)
    }

    /// Its claims, in the order of the record.
    pub fn claims(&mut self) -> impl Iterator<Item = &mut Item> {
        let items = self.items.iter_mut();
        items.filter(|item| matches!(item.op, Op::Claim(..)))
    }

    /// All its operations.
    pub fn items(&mut self) -> impl Iterator<Item = &mut Item> {
        self.items.iter_mut()
    }

    /// When the oldest operation arrived that still waits for its answer.
    pub fn oldest_ms(&self) -> Option<MonoMs> {
        let open = self.items.iter().filter(|item| match &item.op {
            Op::Claim(_, ret) => ret.is_some(),
            Op::Settle(_, ret) => ret.is_some(),
        });
        open.map(|item| item.since_ms).min()
    }
}
