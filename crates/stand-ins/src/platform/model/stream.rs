//! One stream of the log.
//!
//! Invariants: retained records have consecutive offsets that end just before `end`.

use super::PlatformSettings;
use bluebell_base::prelude::*;
use bluebell_platform::{LogRecord, ReadBatch};
use std::collections::VecDeque;

#[derive(Debug, Default)]
pub(super) struct Stream {
    retained: VecDeque<LogRecord>,
    end: u64,
}

impl Stream {
    pub(super) fn end(&self) -> Offset {
        Offset(self.end)
    }

    pub(super) fn append(&mut self, now_ms: WallMs, records: &[Arc<str>]) {
        for body in records {
            self.retained.push_back(LogRecord {
                offset: Offset(self.end),
                appended_ms: now_ms,
                body: Arc::clone(body),
            });
            self.end += 1;
        }
    }

    pub(super) fn expire(&mut self, now_ms: WallMs, settings: &PlatformSettings) {
        while let Some(oldest) = self.retained.front() {
            let age_ms = now_ms.0.saturating_sub(oldest.appended_ms.0);
            let too_old = age_ms >= settings.retention_ms.0;
            let too_many = self.retained.len() as u64 > settings.retention_records;
            if !too_old && !too_many {
                return;
            }
            self.retained.pop_front();
        }
    }

    pub(super) fn read(&self, from: Offset, limit_bytes: Bytes) -> ReadBatch {
        let first_retained = self.end - self.retained.len() as u64;
        let skip = from.0.saturating_sub(first_retained) as usize;
        let mut left = limit_bytes.0;
        let mut records = Vec::new();
        for record in self.retained.iter().skip(skip) {
            let size = record.body.len() as u64;
            if size > left && !records.is_empty() {
                break;
            }
            left = left.saturating_sub(size);
            records.push(record.clone());
        }
        ReadBatch {
            first_retained: Offset(first_retained),
            end: Offset(self.end),
            records,
        }
    }
}
