//! The report of a run, as data; [`print`] writes it as text, `serde` as JSON.

mod print;

use crate::tally::{BandTally, Tally};
use crate::truth::Untruths;
use bluebell_base::prelude::*;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Percentiles of one latency, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyReport {
    /// How many were measured.
    pub count: u64,
    /// Half were at most this.
    pub p50_ms: f64,
    /// 90 of 100.
    pub p90_ms: f64,
    /// 95 of 100.
    pub p95_ms: f64,
    /// 99 of 100.
    pub p99_ms: f64,
    /// The longest.
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

/// Latencies of the prompts of one band.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct BandReport {
    /// The band.
    pub band: LengthBand,
    /// Requests that ended.
    pub ended: u64,
    /// Those with a whole answer.
    pub whole: u64,
    /// From the scheduled instant to the first token.
    pub first_token: LatencyReport,
    /// Between tokens.
    pub between_tokens: LatencyReport,
    /// From the scheduled instant to the end of whole answers.
    pub end: LatencyReport,
}

/// What the system must never do, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct FaultReport {
    /// Answers with a token that is not the prompt's.
    pub crossed: u64,
    /// Answers with a token that came twice.
    pub doubled: u64,
    /// Answers declared whole with tokens missing.
    pub short: u64,
    /// Answers that can't be read.
    pub malformed: u64,
    /// Errors without verdict.
    pub no_verdict: u64,
    /// Requests declared not run that ran.
    pub untrue_not_run: u64,
    /// Requests that must run at most once and were begun more often.
    pub ran_twice: u64,
}

impl FaultReport {
    /// All faults together.
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

/// What of the answers could be checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Checked {
    /// Whether each token was compared with the right one.
    pub identity: bool,
    /// Upstreams whose own counts verdicts were compared with.
    pub upstreams_asked: u64,
    /// Upstreams that could not be asked any more; the check may have missed what they ran.
    pub upstreams_unreachable: u64,
}

/// How often an error text came.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ErrorText {
    /// The text.
    pub text: Arc<str>,
    /// How often it came.
    pub count: u64,
}

/// The report of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// The schedule's seed.
    pub seed: u64,
    /// How long the run took, in milliseconds.
    pub took_ms: SpanMs,
    /// Requests of the schedule, without those for an engine directly.
    pub offered: u64,
    /// Requests that ended; fewer where the run was stopped.
    pub ended: u64,
    /// Whole answers.
    pub whole: u64,
    /// Errors that say nothing ran.
    pub not_run: u64,
    /// Errors that say it may have run.
    pub may_have_run: u64,
    /// Errors that say it ran.
    pub ran: u64,
    /// Requests that got no word at any try.
    pub lost: u64,
    /// Calls after the first of a request.
    pub retries: u64,
    /// Broken streams read on.
    pub resumes: u64,
    /// Connections refused by nodes.
    pub connects_refused: u64,
    /// Requests whose first call began over 50 ms late for want of a free thread.
    pub late_starts: u64,
    /// Calls to services among all.
    pub services: u64,
    /// Completions under an idempotency key among all.
    pub keyed: u64,
    /// Tokens received.
    pub tokens: u64,
    /// What must never happen.
    pub faults: FaultReport,
    /// What could be checked.
    pub checked: Checked,
    /// Latencies through the system by band; bands without requests are left out.
    pub bands: Vec<BandReport>,
    /// Latencies of completions under an idempotency key, to the first token.
    pub keyed_first_token: LatencyReport,
    /// Latencies of an engine called directly in the same run; these are in no other count.
    pub direct_bands: Vec<BandReport>,
    /// Error texts, as far as kept.
    pub errors: Vec<ErrorText>,
}

impl Report {
    pub(crate) fn of(
        tally: &Tally,
        seed: u64,
        offered: u64,
        took_ms: SpanMs,
        identity: bool,
        untruths: Option<Untruths>,
    ) -> Self {
        let found = untruths.unwrap_or_default();
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
                untrue_not_run: found.untrue_not_run,
                ran_twice: found.ran_twice,
            },
            checked: Checked {
                identity,
                upstreams_asked: found.asked,
                upstreams_unreachable: found.unreachable,
            },
            bands: band_reports(&tally.bands),
            keyed_first_token: LatencyReport::of(&tally.keyed_latency.first_token_us),
            direct_bands: band_reports(&tally.direct_bands),
            errors: error_texts(tally),
        }
    }

    /// Whether nothing happened that must never happen.
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
