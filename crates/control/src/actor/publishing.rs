//! The publications of this node until they are read back.
//!
//! Invariants: each is answered once; the answer is "not run" only if the append certainly has not
//! taken effect and will not.

use super::Control;
use super::config_side::{MAX_APPEND_BYTES, MAX_REPORTED_FAULTS, part_bytes};
use crate::Published;
use crate::records::{ConfigRecord, Splice, Update, cut, encode};
use crate::reduce::{ConfigOutcome, MAX_TEXT_BYTES};
use bluebell_base::prelude::*;
use bluebell_config::Fault;
use stakker::{CX, Ret, call, ret_some_to};
use std::collections::BTreeMap;

/// The maximum number of unresolved publications on one node.
const MAX_UNRESOLVED: usize = 64;

/// The time after which operators may retry a publication that failed because of the log or of
/// [`MAX_UNRESOLVED`].
const RETRY_AFTER_MS: SpanMs = SpanMs(2_000);

struct Waiting {
    ret: Ret<Result<Published, Error>>,
    deadline_ms: MonoMs,
}

/// The unresolved publications by operation.
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
        let (op, records) = match self.prepare(base, &body) {
            Ok(Prepared::Records { op, records }) => (op, records),
            Ok(Prepared::Conflict { current }) => {
                return ret.ret(Ok(Published::Conflict { current }));
            }
            Err(error) => return ret.ret(Err(error)),
        };
        let deadline_ms = self.timers.now_ms(cx) + self.settings.publish_timeout_ms;
        let waiting = Waiting { ret, deadline_ms };
        self.config.publications.waiting.insert(op, waiting);
        let ret = ret_some_to!([cx], on_publication_appended(op) as (Result<Offset, Error>));
        call!([self.config.appender], append(records, ret));
    }

    fn prepare(&mut self, base: ConfigVersion, body: &str) -> Result<Prepared, Error> {
        bluebell_config::parse(body).map_err(|faults| invalid(&faults))?;
        // Versions only increase, so a base below any known version can't win any more.
        let current = self.config.in_force_version().max(self.peers.floor());
        if base < current {
            return Ok(Prepared::Conflict { current });
        }
        if self.config.publications.len() >= MAX_UNRESOLVED {
            let error = Error::not_run(ErrorKind::Overloaded, "too many publications at once");
            return Err(error.retry_after(RETRY_AFTER_MS));
        }
        if body.len() as u64 > MAX_TEXT_BYTES.0 {
            return Err(too_large());
        }
        let op = self.operation();
        let records = self.update_records(op, base, body).ok_or_else(too_large)?;
        Ok(Prepared::Records { op, records })
    }

    /// Returns the records of an update to `body`; `None` if they exceed the log's limits.
    fn update_records(
        &self,
        op: OperationId,
        base: ConfigVersion,
        body: &str,
    ) -> Option<Vec<Arc<str>>> {
        // A node that has not read the log up to the base does not know the base's text, so it
        // writes the whole text.
        let known = self.config.reducer.known();
        let (splice, middle) = match known.filter(|known| known.version == base) {
            Some(known) => Splice::between(&known.body, body),
            None => (Splice::WHOLE, body),
        };
        let record_bytes = self.settings.record_bytes;
        let parts = cut(middle, part_bytes(record_bytes))?;
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
        let size = |record: &Arc<str>| Bytes(record.len() as u64);
        let oversized = records.iter().any(|record| size(record) > record_bytes);
        let append_bytes: Bytes = records.iter().map(size).sum();
        (!oversized && append_bytes <= MAX_APPEND_BYTES).then_some(records)
    }

    /// Answers a publication whose append certainly failed. One whose append's answer was lost
    /// stays unresolved until its record is read or its timeout expires.
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

    /// Answers the publications whose outcome was read.
    ///
    /// The first outcome of an operation counts: if an append took effect twice, the second copy
    /// only conflicts with the first.
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

/// The result of preparing an operator's publication before anything is sent.
enum Prepared {
    /// The publication can be appended.
    Records {
        /// The publication.
        op: OperationId,
        /// The records of the publication, for one append.
        records: Vec<Arc<str>>,
    },
    /// The publication can't win any more.
    Conflict {
        /// The version in force.
        current: ConfigVersion,
    },
}

/// Returns the error for a text that the check finds faults in, with the first of the faults.
fn invalid(faults: &[Fault]) -> Error {
    let reported = faults
        .iter()
        .take(MAX_REPORTED_FAULTS)
        .map(ToString::to_string);
    let reported: Vec<String> = reported.collect();
    let more = match faults.len().saturating_sub(MAX_REPORTED_FAULTS) {
        0 => String::new(),
        more => format!("; and {more} more"),
    };
    Error::not_run(ErrorKind::Invalid, format!("{}{more}", reported.join("; ")))
}

fn too_large() -> Error {
    Error::not_run(ErrorKind::TooLarge, "the configuration is too large")
}
