//! Publications of this node until they are read back.
//!
//! Invariants: each is answered once; "not run" only where the append certainly did not and will
//! not take effect.

use super::Control;
use super::config_side::{APPEND_BYTES, FAULTS_TOLD, part_bytes};
use crate::Published;
use crate::records::{ConfigRecord, Splice, Update, cut, encode};
use crate::reduce::{ConfigOutcome, MAX_TEXT_BYTES};
use bluebell_base::prelude::*;
use stakker::{CX, Ret, call, ret_some_to};
use std::collections::BTreeMap;

/// Publications that may be unresolved at once on one node.
const UNRESOLVED_LIMIT: usize = 64;

/// How long operators wait before they try again what was refused for the log's sake.
const RETRY_AFTER_MS: SpanMs = SpanMs(2_000);

struct Waiting {
    ret: Ret<Result<Published, Error>>,
    deadline_ms: MonoMs,
}

/// The publications that are not resolved, by operation.
#[derive(Default)]
pub(super) struct Publications {
    waiting: BTreeMap<OperationId, Waiting>,
}

impl Publications {
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    fn resolve(&mut self, op: OperationId, answer: Result<Published, Error>) {
        if let Some(waiting) = self.waiting.remove(&op) {
            waiting.ret.ret(answer);
        }
    }
}

impl Control {
    pub(super) fn begin_publication(
        &mut self,
        cx: CX![],
        base: ConfigVersion,
        body: Arc<str>,
        ret: Ret<Result<Published, Error>>,
    ) {
        let records = match self.prepare(base, &body) {
            Ok(Prepared::Records(op, records)) => (op, records),
            Ok(Prepared::Conflict(current)) => {
                return ret.ret(Ok(Published::Conflict { current }));
            }
            Err(error) => return ret.ret(Err(error)),
        };
        let (op, records) = records;
        let deadline_ms = self.timers.now_ms(cx) + self.settings.publish_timeout_ms;
        let waiting = Waiting { ret, deadline_ms };
        self.config.publications.waiting.insert(op, waiting);
        let ret = ret_some_to!([cx], on_publication_appended(op) as (Result<Offset, Error>));
        call!([self.config.appender], append(records, ret));
    }

    fn prepare(&mut self, base: ConfigVersion, body: &str) -> Result<Prepared, Error> {
        if let Err(faults) = bluebell_config::parse(body) {
            let told: Vec<String> = faults
                .iter()
                .take(FAULTS_TOLD)
                .map(ToString::to_string)
                .collect();
            let more = match faults.len().saturating_sub(FAULTS_TOLD) {
                0 => String::new(),
                more => format!("; and {more} more"),
            };
            let message = format!("{}{more}", told.join("; "));
            return Err(Error::not_run(ErrorKind::Invalid, message));
        }
        // Versions only go up, so a base below one that was ever seen can't win any more.
        let seen = self.config.in_force_version().max(self.peers.floor());
        if base < seen {
            return Ok(Prepared::Conflict(seen));
        }
        if self.config.publications.len() >= UNRESOLVED_LIMIT {
            let error = Error::not_run(ErrorKind::Overloaded, "too many publications at once");
            return Err(error.retry_after(RETRY_AFTER_MS));
        }
        let too_large = || Error::not_run(ErrorKind::TooLarge, "the configuration is too large");
        if body.len() as u64 > MAX_TEXT_BYTES.0 {
            return Err(too_large());
        }
        // A node whose log lags behind the base does not know its text, and writes all of it.
        let known = self.config.reducer.known();
        let (splice, middle) = match known.filter(|known| known.version == base) {
            Some(known) => Splice::between(&known.body, body),
            None => (Splice::WHOLE, body),
        };
        let parts = cut(middle, part_bytes(self.settings.record_bytes)).ok_or_else(too_large)?;
        let op = self.operation();
        let update = |(part, body)| {
            encode(&ConfigRecord::Update(Update {
                op,
                base,
                splice,
                part,
                body,
            }))
        };
        let records: Vec<Arc<str>> = parts.into_iter().map(update).collect();
        let size_bytes: usize = records.iter().map(|record| record.len()).sum();
        let oversized = records
            .iter()
            .any(|record| record.len() as u64 > self.settings.record_bytes.0);
        if oversized || size_bytes as u64 > APPEND_BYTES.0 {
            return Err(too_large());
        }
        Ok(Prepared::Records(op, records))
    }

    /// An append that certainly failed is answered; one whose answer was lost stays unresolved
    /// until its record is read, or its time is over.
    fn on_publication_appended(
        &mut self,
        _cx: CX![],
        op: OperationId,
        answer: Result<Offset, Error>,
    ) {
        match answer {
            Err(error) if error.verdict == Verdict::NotRun => {
                let error = error.retry_after_ms.map_or_else(
                    || error.clone().retry_after(RETRY_AFTER_MS),
                    |_| error.clone(),
                );
                self.config.publications.resolve(op, Err(error));
            }
            Ok(_) | Err(_) => self.config.poll_soon(),
        }
    }

    /// Answers the publications whose fate was read.
    ///
    /// The first outcome of an operation is its fate: where an append took effect twice, the
    /// second copy only conflicts with the first.
    pub(super) fn settle_publications(&mut self) {
        for outcome in self.config.take_outcomes() {
            match outcome {
                ConfigOutcome::Accepted { op, version } => {
                    let answer = Ok(Published::Accepted { version });
                    self.config.publications.resolve(op, answer);
                }
                ConfigOutcome::Conflict { op, current } => {
                    let answer = Ok(Published::Conflict { current });
                    self.config.publications.resolve(op, answer);
                }
                ConfigOutcome::Adopted { version, made_by } => {
                    let answer = Ok(Published::Accepted { version });
                    self.config.publications.resolve(made_by, answer);
                }
                ConfigOutcome::SnapshotSeen { .. } => (),
            }
        }
    }

    pub(super) fn tick_publications(&mut self, now_ms: MonoMs) {
        let waiting = &self.config.publications.waiting;
        let over = waiting.iter().filter(|(_, w)| now_ms >= w.deadline_ms);
        let over: Vec<OperationId> = over.map(|(op, _)| *op).collect();
        for op in over {
            let message = format!("publication {op} was not read back in time");
            let error = Error::may_have_run(ErrorKind::DeadlineExceeded, message);
            let answer = Err(error.retry_after(RETRY_AFTER_MS));
            self.config.publications.resolve(op, answer);
        }
    }
}

enum Prepared {
    Records(OperationId, Vec<Arc<str>>),
    Conflict(ConfigVersion),
}
