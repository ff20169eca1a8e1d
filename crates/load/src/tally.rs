//! Counts the outcomes of a run's requests, records latencies by prompt length, and keeps the data
//! that the check of verdicts needs at the end.

use crate::answer::AnswerFault;
use crate::schedule::{Kind, Planned};
use crate::verdict_check::ReportedVerdict;
use bluebell_base::prelude::*;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Significant digits of the latency histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The longest recorded latency, one hour. Longer ones are recorded as this.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// The maximum number of distinct error texts that are kept.
const MAX_ERROR_TEXTS: usize = 16;

/// The delay after the scheduled time above which a start counts as late.
const LATE_START_US: u64 = 50_000;

/// The end of a request as its caller observed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer.
    Whole,
    /// An error with a verdict on whether the request ran.
    Failed(Verdict),
    /// An error without a verdict.
    NoVerdict,
    /// Neither a complete answer nor an error: the connections were refused or broke.
    Lost,
}

/// The outcome and measurements of a request that ended.
#[derive(Debug)]
pub struct RequestRecord {
    /// The request.
    pub planned: Planned,
    /// The request's outcome.
    pub outcome: Outcome,
    /// The first fault found in the answer.
    pub fault: Option<AnswerFault>,
    /// Time from the scheduled time to the first token, in microseconds.
    pub first_token_us: Option<u64>,
    /// Times between successive tokens, in microseconds.
    pub between_us: Vec<u64>,
    /// Time from the scheduled time to the end, in microseconds.
    pub end_us: u64,
    /// Time from the scheduled time to the first call, in microseconds.
    pub late_us: u64,
    /// Number of calls after the first.
    pub retries: u64,
    /// Number of times that a broken stream was resumed.
    pub resumes: u64,
    /// Number of connections that nodes refused.
    pub connects_refused: u64,
    /// The request ids that nodes assigned to it.
    pub requests: Vec<RequestId>,
    /// The idempotency key, if it has one.
    pub key: Option<Arc<str>>,
    /// The text of the error that it ended with.
    pub error_text: Option<String>,
}

/// Latencies of one band of prompt lengths.
#[derive(Clone, Debug)]
pub struct BandTally {
    /// Requests that ended.
    pub ended: u64,
    /// Requests with a complete answer.
    pub whole: u64,
    /// Times to the first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Times between successive tokens, in microseconds.
    pub between_us: Histogram<u64>,
    /// Times to the end of complete answers, in microseconds.
    pub end_us: Histogram<u64>,
}

impl BandTally {
    fn new() -> Self {
        Self {
            ended: 0,
            whole: 0,
            first_token_us: histogram(),
            between_us: histogram(),
            end_us: histogram(),
        }
    }

    fn record(&mut self, record: &RequestRecord) {
        self.ended += 1;
        if let Some(first_token_us) = record.first_token_us {
            self.first_token_us.saturating_record(first_token_us);
        }
        for between_us in &record.between_us {
            self.between_us.saturating_record(*between_us);
        }
        if record.outcome == Outcome::Whole {
            self.whole += 1;
            self.end_us.saturating_record(record.end_us);
        }
    }
}

/// Creates a histogram of microseconds up to [`MAX_LATENCY_US`].
///
/// The range is fixed because `saturating_record` does not widen an auto-resizing histogram. Such a
/// histogram starts with a range of 2 µs and would report every latency as that.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        .expect("the digits and the range are valid")
}

/// Counts of faults in answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultCounts {
    /// Answers with a token that doesn't belong to the prompt's answer.
    pub crossed: u64,
    /// Answers with a repeated token.
    pub doubled: u64,
    /// Answers that were declared complete but lack tokens.
    pub short: u64,
    /// Answers with an event that can't be parsed.
    pub malformed: u64,
}

impl FaultCounts {
    fn count(&mut self, fault: AnswerFault) {
        match fault {
            AnswerFault::Crossed => self.crossed += 1,
            AnswerFault::Doubled => self.doubled += 1,
            AnswerFault::Short => self.short += 1,
            AnswerFault::Malformed => self.malformed += 1,
        }
    }
}

/// All counts and latencies of a run.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests through the system that ended.
    pub ended: u64,
    /// Complete answers.
    pub whole: u64,
    /// Errors with the verdict that the request did not run.
    pub not_run: u64,
    /// Errors with the verdict that the request may have run.
    pub may_have_run: u64,
    /// Errors with the verdict that the request ran.
    pub ran: u64,
    /// Errors without a verdict.
    pub no_verdict: u64,
    /// Requests with neither a complete answer nor an error.
    pub lost: u64,
    /// Calls after the first of each request.
    pub retries: u64,
    /// Times that a broken stream was resumed.
    pub resumes: u64,
    /// Connections that nodes refused.
    pub connects_refused: u64,
    /// Requests whose first call started late because no thread was free.
    pub late_starts: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Calls to plain services; also included in the other counts.
    pub services: u64,
    /// Completions with an idempotency key; also included in the other counts.
    pub keyed: u64,
    /// Faults in answers.
    pub faults: FaultCounts,
    /// Latencies of completions through the system, by band.
    pub bands: Vec<BandTally>,
    /// Latencies of completions sent directly to an engine, by band.
    pub direct_bands: Vec<BandTally>,
    /// Latencies of completions with an idempotency key, all bands together.
    pub keyed_latency: BandTally,
    /// Error texts with the number of their occurrences.
    pub error_texts: BTreeMap<String, u64>,
    /// The verdicts that are compared with upstreams' run counts.
    pub(crate) reported_verdicts: Vec<ReportedVerdict>,
}

impl Tally {
    /// Creates an empty tally.
    pub fn new() -> Self {
        let bands = vec![BandTally::new(); LengthBand::ALL.len()];
        Self {
            ended: 0,
            whole: 0,
            not_run: 0,
            may_have_run: 0,
            ran: 0,
            no_verdict: 0,
            lost: 0,
            retries: 0,
            resumes: 0,
            connects_refused: 0,
            late_starts: 0,
            tokens: 0,
            services: 0,
            keyed: 0,
            faults: FaultCounts::default(),
            direct_bands: bands.clone(),
            bands,
            keyed_latency: BandTally::new(),
            error_texts: BTreeMap::new(),
            reported_verdicts: Vec::new(),
        }
    }

    /// Records a request that ended.
    pub fn record(&mut self, record: RequestRecord) {
        self.record_latency(&record);
        if record.planned.kind == Kind::Direct {
            // A direct call to an engine is not an outcome of the system.
            return;
        }
        self.count_outcome(&record);
        self.keep_verdict(&record);
        if let Some(text) = record.error_text {
            self.keep_error_text(text);
        }
    }

    fn count_outcome(&mut self, record: &RequestRecord) {
        self.ended += 1;
        self.tokens += record.between_us.len() as u64;
        self.tokens += u64::from(record.first_token_us.is_some());
        match record.outcome {
            Outcome::Whole => self.whole += 1,
            Outcome::Failed(Verdict::NotRun) => self.not_run += 1,
            Outcome::Failed(Verdict::MayHaveRun) => self.may_have_run += 1,
            Outcome::Failed(Verdict::Ran) => self.ran += 1,
            Outcome::NoVerdict => self.no_verdict += 1,
            Outcome::Lost => self.lost += 1,
        }
        self.retries += record.retries;
        self.resumes += record.resumes;
        self.connects_refused += record.connects_refused;
        self.late_starts += u64::from(record.late_us > LATE_START_US);
        self.services += u64::from(record.planned.kind == Kind::Service);
        self.keyed += u64::from(record.planned.kind == Kind::KeyedCompletion);
        if let Some(fault) = record.fault {
            self.faults.count(fault);
        }
    }

    fn record_latency(&mut self, record: &RequestRecord) {
        let band = LengthBand::of(record.planned.prompt_tokens).index();
        match record.planned.kind {
            Kind::Completion => self.bands[band].record(record),
            Kind::KeyedCompletion => {
                self.bands[band].record(record);
                self.keyed_latency.record(record);
            }
            Kind::Direct => self.direct_bands[band].record(record),
            Kind::Service => {}
        }
    }

    /// Keeps a request's verdict only if the check of verdicts needs it, because memory grows with
    /// each kept verdict.
    fn keep_verdict(&mut self, record: &RequestRecord) {
        let verdict = match record.outcome {
            Outcome::Failed(verdict) => Some(verdict),
            _ => None,
        };
        let at_most_once = record.key.is_some();
        if !at_most_once && verdict != Some(Verdict::NotRun) {
            return;
        }
        let mut ids = record.requests.iter().map(|id| Arc::from(id.to_string()));
        let keys: Vec<Arc<str>> = match record.planned.kind {
            Kind::Service => record.key.iter().cloned().collect(),
            Kind::KeyedCompletion => ids.collect(),
            Kind::Completion | Kind::Direct => ids.next_back().into_iter().collect(),
        };
        self.reported_verdicts.push(ReportedVerdict {
            keys,
            verdict,
            at_most_once,
        });
    }

    fn keep_error_text(&mut self, text: String) {
        if let Some(count) = self.error_texts.get_mut(&text) {
            *count += 1;
        } else if self.error_texts.len() < MAX_ERROR_TEXTS {
            self.error_texts.insert(text, 1);
        }
    }
}
