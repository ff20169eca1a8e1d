//! What happened to the requests of a run: counts, latencies by band, and what the check of
//! verdicts needs later.

use crate::answer::AnswerFault;
use crate::schedule::{Kind, Planned};
use crate::truth::Claim;
use bluebell_base::prelude::*;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Significant digits of the latency histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The longest latency told apart, an hour; longer ones count as this.
const LONGEST_US: u64 = 3_600_000_000;

/// The most different error texts that are kept.
const MAX_ERROR_TEXTS: usize = 16;

/// A start later than this after its scheduled instant counts as late.
const LATE_START_US: u64 = 50_000;

/// How a request ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// With a whole answer.
    Whole,
    /// With an error that says whether it may have run.
    Failed(Verdict),
    /// With an error that doesn't say it.
    NoVerdict,
    /// Without any word: connections broke at every try.
    Lost,
}

/// All that is known of a request that ended.
#[derive(Debug)]
pub struct RequestRecord {
    /// The request.
    pub planned: Planned,
    /// How it ended.
    pub outcome: Outcome,
    /// What was wrong with its answer.
    pub fault: Option<AnswerFault>,
    /// From the scheduled instant to the first token, in microseconds.
    pub first_token_us: Option<u64>,
    /// Between tokens, in microseconds.
    pub between_us: Vec<u64>,
    /// From the scheduled instant to the end, in microseconds.
    pub end_us: u64,
    /// From the scheduled instant to the first call, in microseconds.
    pub late_us: u64,
    /// Calls after the first.
    pub retries: u64,
    /// Broken streams that were read on.
    pub resumes: u64,
    /// Nodes that refused the connection.
    pub connects_refused: u64,
    /// The identities it was given.
    pub requests: Vec<RequestId>,
    /// Its idempotency key.
    pub key: Option<Arc<str>>,
    /// The text of the error it ended with.
    pub error_text: Option<String>,
}

/// Latencies of one band.
#[derive(Clone, Debug)]
pub struct BandTally {
    /// Requests that ended.
    pub ended: u64,
    /// Those with a whole answer.
    pub whole: u64,
    /// To the first token, in microseconds.
    pub first_token_us: Histogram<u64>,
    /// Between tokens, in microseconds.
    pub between_us: Histogram<u64>,
    /// To the end of whole answers, in microseconds.
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

/// A histogram of microseconds up to [`LONGEST_US`].
///
/// Its range is fixed because `saturating_record` does not widen one that grows by itself: such a
/// one holds 2 µs at first and reports every latency as that.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LONGEST_US, SIGNIFICANT_DIGITS)
        .expect("the digits and the range are valid")
}

/// Counts of faults in answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultCounts {
    /// Answers with a token of another's.
    pub crossed: u64,
    /// Answers with a token that came twice.
    pub doubled: u64,
    /// Answers declared whole with tokens missing.
    pub short: u64,
    /// Answers that can't be read.
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

/// Everything counted in a run.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests through the system that ended.
    pub ended: u64,
    /// Whole answers.
    pub whole: u64,
    /// Errors with the verdict that nothing ran.
    pub not_run: u64,
    /// Errors with the verdict that it may have run.
    pub may_have_run: u64,
    /// Errors with the verdict that it ran.
    pub ran: u64,
    /// Errors without verdict.
    pub no_verdict: u64,
    /// Requests that got no word.
    pub lost: u64,
    /// Calls after the first of a request.
    pub retries: u64,
    /// Broken streams read on.
    pub resumes: u64,
    /// Connections refused by nodes.
    pub connects_refused: u64,
    /// Requests whose first call began late, for want of a free thread.
    pub late_starts: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Calls to services among all.
    pub services: u64,
    /// Calls under an idempotency key among all.
    pub keyed: u64,
    /// Faults in answers.
    pub faults: FaultCounts,
    /// Latencies of completions through the system, by band.
    pub bands: Vec<BandTally>,
    /// Latencies of completions sent to an engine directly, by band.
    pub direct_bands: Vec<BandTally>,
    /// Latencies of completions under an idempotency key, all bands together.
    pub keyed_latency: BandTally,
    /// Error texts and how often each came.
    pub error_texts: BTreeMap<String, u64>,
    /// For the check of verdicts.
    pub(crate) claims: Vec<Claim>,
}

impl Tally {
    /// Nothing yet.
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
            claims: Vec::new(),
        }
    }

    /// A request ended.
    pub fn record(&mut self, record: RequestRecord) {
        self.record_latency(&record);
        if record.planned.kind == Kind::Direct {
            // What an engine does when called directly is no outcome of the system's.
            return;
        }
        self.count_outcome(&record);
        self.keep_claim(&record);
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

    /// Keeps what the check of verdicts needs, and no more: memory grows only with these.
    fn keep_claim(&mut self, record: &RequestRecord) {
        let verdict = match record.outcome {
            Outcome::Failed(verdict) => Some(verdict),
            _ => None,
        };
        let once = record.key.is_some();
        if !once && verdict != Some(Verdict::NotRun) {
            return;
        }
        let mut ids = record.requests.iter().map(|id| Arc::from(id.to_string()));
        let keys: Vec<Arc<str>> = match record.planned.kind {
            Kind::Service => record.key.iter().cloned().collect(),
            Kind::KeyedCompletion => ids.collect(),
            Kind::Completion | Kind::Direct => ids.next_back().into_iter().collect(),
        };
        self.claims.push(Claim {
            keys,
            verdict,
            once,
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
