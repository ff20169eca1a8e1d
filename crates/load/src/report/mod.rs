//! The data of a run's report. [`print`] writes it as text, `serde` as JSON.

mod print;

use crate::tally::{BandTally, Tally};
use crate::verdict_check::VerdictFaults;
use bluebell_base::prelude::*;
use hdrhistogram::Histogram;
use serde::Serialize;

/// The distribution of one latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyReport {
    /// The number of measurements.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// The 90th percentile.
    pub p90_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

impl LatencyReport {
    fn of(histogram_us: &Histogram<u64>) -> Self {
        let quantile = |q| histogram_us.value_at_quantile(q) as f64 / 1_000.0;
        Self {
            count: histogram_us.len(),
            p50_ms: quantile(0.50),
            p90_ms: quantile(0.90),
            p95_ms: quantile(0.95),
            p99_ms: quantile(0.99),
            max_ms: histogram_us.max() as f64 / 1_000.0,
        }
    }
}

/// Latencies of one band of prompt lengths.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BandReport {
    /// The band of prompt lengths.
    pub band: LengthBand,
    /// Requests that ended.
    pub ended: u64,
    /// Requests with a complete answer.
    pub whole: u64,
    /// Times from the scheduled time to the first token.
    pub first_token: LatencyReport,
    /// Times between successive tokens.
    pub between_tokens: LatencyReport,
    /// Times from the scheduled time to the end of complete answers.
    pub end: LatencyReport,
}

/// Counts of things that the system must never do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FaultReport {
    /// Answers with a token that doesn't belong to the prompt's answer.
    pub crossed: u64,
    /// Answers with a repeated token.
    pub doubled: u64,
    /// Answers that were declared complete but lack tokens.
    pub short: u64,
    /// Answers with an event that can't be parsed.
    pub malformed: u64,
    /// Errors without a verdict.
    pub no_verdict: u64,
    /// Requests with the verdict `not_run` that an upstream ran.
    pub untrue_not_run: u64,
    /// Requests that must run at most once and were started more often.
    pub ran_twice: u64,
}

impl FaultReport {
    /// Returns the total number of faults.
    pub fn total(&self) -> u64 {
        self.crossed
            + self.doubled
            + self.short
            + self.malformed
            + self.no_verdict
            + self.untrue_not_run
            + self.ran_twice
    }
}

/// The extent to which answers and verdicts could be checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Checked {
    /// True if each token was compared with the correct one.
    pub identity: bool,
    /// The number of upstreams whose run counts the verdicts were compared with.
    pub upstreams_asked: u64,
    /// The number of upstreams that did not answer. The check may have missed what they ran.
    pub upstreams_unreachable: u64,
}

/// An error text and the number of its occurrences.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ErrorText {
    /// The error text.
    pub text: Arc<str>,
    /// The number of occurrences.
    pub count: u64,
}

/// The report of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The schedule's seed.
    pub seed: u64,
    /// The duration of the run, in milliseconds.
    pub took_ms: SpanMs,
    /// Requests of the schedule, or those started if the run was stopped early. Direct calls to an
    /// engine aren't included.
    pub offered: u64,
    /// Requests that ended; fewer than scheduled if the run was stopped early.
    pub ended: u64,
    /// Complete answers.
    pub whole: u64,
    /// Errors with the verdict that the request did not run.
    pub not_run: u64,
    /// Errors with the verdict that the request may have run.
    pub may_have_run: u64,
    /// Errors with the verdict that the request ran.
    pub ran: u64,
    /// Requests with neither a complete answer nor an error at any attempt.
    pub lost: u64,
    /// Calls after the first of each request.
    pub retries: u64,
    /// Times that a broken stream was resumed.
    pub resumes: u64,
    /// Connections that nodes refused.
    pub connects_refused: u64,
    /// Requests whose first call started over 50 ms late because no thread was free.
    pub late_starts: u64,
    /// Calls to plain services; also included in the other counts.
    pub services: u64,
    /// Completions with an idempotency key; also included in the other counts.
    pub keyed: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Faults of the system.
    pub faults: FaultReport,
    /// The extent of the checks.
    pub checked: Checked,
    /// Latencies through the system by band, without bands that had no requests.
    pub bands: Vec<BandReport>,
    /// Times to the first token of completions with an idempotency key.
    pub keyed_first_token: LatencyReport,
    /// Latencies of direct calls to an engine in the same run. No other count includes these calls.
    pub direct_bands: Vec<BandReport>,
    /// The distinct error texts that were kept.
    pub errors: Vec<ErrorText>,
}

impl Report {
    pub(crate) fn of(
        tally: &Tally,
        seed: u64,
        offered: u64,
        took_ms: SpanMs,
        identity: bool,
        verdict_faults: Option<VerdictFaults>,
    ) -> Self {
        let verdict_check = verdict_faults.unwrap_or_default();
        Self {
            seed,
            took_ms,
            offered,
            ended: tally.ended,
            whole: tally.whole,
            not_run: tally.not_run,
            may_have_run: tally.may_have_run,
            ran: tally.ran,
            lost: tally.lost,
            retries: tally.retries,
            resumes: tally.resumes,
            connects_refused: tally.connects_refused,
            late_starts: tally.late_starts,
            services: tally.services,
            keyed: tally.keyed,
            tokens: tally.tokens,
            faults: FaultReport {
                crossed: tally.faults.crossed,
                doubled: tally.faults.doubled,
                short: tally.faults.short,
                malformed: tally.faults.malformed,
                no_verdict: tally.no_verdict,
                untrue_not_run: verdict_check.untrue_not_run,
                ran_twice: verdict_check.ran_twice,
            },
            checked: Checked {
                identity,
                upstreams_asked: verdict_check.asked,
                upstreams_unreachable: verdict_check.unreachable,
            },
            bands: band_reports(&tally.bands),
            keyed_first_token: LatencyReport::of(&tally.keyed_latency.first_token_us),
            direct_bands: band_reports(&tally.direct_bands),
            errors: error_texts(tally),
        }
    }

    /// Returns true if the run had no faults.
    pub fn is_clean(&self) -> bool {
        self.faults.total() == 0
    }
}

fn band_reports(bands: &[BandTally]) -> Vec<BandReport> {
    let with_requests = LengthBand::ALL
        .into_iter()
        .zip(bands)
        .filter(|b| b.1.ended > 0);
    with_requests
        .map(|(band, tally)| band_report(band, tally))
        .collect()
}

fn band_report(band: LengthBand, tally: &BandTally) -> BandReport {
    BandReport {
        band,
        ended: tally.ended,
        whole: tally.whole,
        first_token: LatencyReport::of(&tally.first_token_us),
        between_tokens: LatencyReport::of(&tally.between_us),
        end: LatencyReport::of(&tally.end_us),
    }
}

fn error_texts(tally: &Tally) -> Vec<ErrorText> {
    let text = |(text, count): (&String, &u64)| ErrorText {
        text: text.as_str().into(),
        count: *count,
    };
    tally.error_texts.iter().map(text).collect()
}
