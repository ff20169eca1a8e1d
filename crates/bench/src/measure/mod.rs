//! The measurements of a run.
//!
//! Terms: a *band* is a range of prompt lengths; *alone* is the same request on an idle fleet;
//! the *slowdown* is a first token's time divided by that alone; work is *within target* where
//! both its first token and its end are; *goodput* is the prompt tokens of such work, as a share
//! of capacity.
//!
//! Invariants: only requests that arrive in the middle of a run are counted, so that neither the
//! empty fleet of the beginning nor the drain at the end flatters it.

mod accounts;

pub use accounts::AccountReport;

use crate::capacity::first_token_alone_us;
use crate::driver::{Fate, Record, RunResult, Totals, WAY_US};
use crate::scenario::Scenario;
use crate::workload::Request;
use bluebell_base::prelude::*;
use bluebell_config::FleetConfig;
use bluebell_stand_ins::engine::EngineSettings;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::HashMap;

/// The first and the last part of the arrivals that are not counted, as shares of the duration.
const UNCOUNTED: (f64, f64) = (0.1, 0.2);
/// The lower ends of the bands, in tokens.
pub const BANDS: [u64; 6] = [0, 4_000, 16_000, 32_000, 100_000, 400_000];
/// The largest value kept exactly: an hour in microseconds.
const MOST: u64 = 3_600_000_000;
/// Slowdowns are kept in thousandths.
const RATIO_SCALE: f64 = 1_000.0;

/// The name of a band.
pub fn band_name(band: usize) -> &'static str {
    ["<4k", "4-16k", "16-32k", "32-100k", "100-400k", ">400k"][band]
}

/// Three percentiles.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

/// The measurements of a band.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BandReport {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests whose first token came.
    pub answered: u64,
    /// First token, in milliseconds from the arrival.
    pub first_token_ms: Percentiles,
    /// First token divided by that alone.
    pub slowdown: Percentiles,
    /// The share within target of those admitted.
    pub within_admitted: f64,
    /// The share within target of all.
    pub within: f64,
    /// The share refused.
    pub refused: f64,
}

/// The measurements of one row of the bench.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RunReport {
    /// By band, shortest first.
    pub bands: Vec<BandReport>,
    /// The share of each class within target, of those admitted.
    pub classes_within: Vec<f64>,
    /// The share within target of all admitted.
    pub within_admitted: f64,
    /// The share refused.
    pub refused: f64,
    /// Refused after they had been admitted, as a share of all.
    pub refused_late: f64,
    /// Refused although an engine had begun the work.
    pub refused_begun: u64,
    /// Of those that came back when a refusal told them to, the share taken and within target.
    pub come_back_within: f64,
    /// The number of requests that came back.
    pub came_back: u64,
    /// Work offered, as a share of capacity.
    pub offered: f64,
    /// Work within target, as a share of capacity.
    pub goodput: f64,
    /// Requests broken off or expired, as a share of all.
    pub failed: f64,
    /// By account.
    pub accounts: AccountReport,
    /// Computed tokens that gave no whole answer, as a share.
    pub wasted: f64,
    /// The highest used share of the memory of any engine.
    pub peak_kv: f64,
    /// Groups tried.
    pub groups: u64,
    /// Group reservations that failed.
    pub groups_failed: u64,
    /// Attempts recalled, as a share of requests.
    pub recalls: f64,
    /// Of them, those whose work had begun.
    pub recalls_begun: u64,
    /// Memory held by nobody after the run, in tokens.
    pub stranded_tokens: u64,
}

/// First tokens alone, computed once for each length.
#[derive(Debug, Default)]
pub struct Alone {
    settings: EngineSettings,
    known: HashMap<u64, u64>,
}

impl Alone {
    fn first_token_us(&mut self, request: &Request) -> u64 {
        let settings = &self.settings;
        let measured = || first_token_alone_us(settings, request) + 2 * WAY_US;
        let key = request.prompt_tokens.0;
        *self.known.entry(key).or_insert_with(measured)
    }
}

/// Combines the runs of one row.
pub fn measure(scenario: &Scenario, capacity: PerSecond, runs: &[RunResult]) -> RunReport {
    let mut tally = Tally::new(scenario);
    for run in runs {
        for (request, record) in run.requests.iter().zip(&run.records) {
            tally.add(request, record);
        }
        tally.add_totals(&run.totals);
    }
    tally.report(capacity, runs.len())
}

struct Tally {
    config: FleetConfig,
    alone: Alone,
    window_us: (u64, u64),
    bands: Vec<BandTally>,
    classes: Vec<(u64, u64)>,
    accounts: accounts::AccountTally,
    count: Counts,
    totals: Totals,
}

#[derive(Default)]
struct Counts {
    arrived: u64,
    admitted: u64,
    within: u64,
    refused: u64,
    refused_late: u64,
    refused_begun: u64,
    failed: u64,
    came_back: u64,
    came_back_within: u64,
    offered_tokens: u64,
    within_tokens: u64,
}

struct BandTally {
    arrived: u64,
    admitted: u64,
    within: u64,
    refused: u64,
    first_us: Histogram<u64>,
    slowdown: Histogram<u64>,
}

impl BandTally {
    fn new() -> Self {
        // The bounds and three digits are always valid.
        let histogram = || Histogram::new_with_max(MOST, 3).unwrap_or_else(|_| unreachable!());
        Self {
            arrived: 0,
            admitted: 0,
            within: 0,
            refused: 0,
            first_us: histogram(),
            slowdown: histogram(),
        }
    }

    fn report(&self) -> BandReport {
        BandReport {
            arrived: self.arrived,
            answered: self.first_us.len(),
            first_token_ms: percentiles(&self.first_us, 1_000.0),
            slowdown: percentiles(&self.slowdown, RATIO_SCALE),
            within_admitted: share(self.within, self.admitted),
            within: share(self.within, self.arrived),
            refused: share(self.refused, self.arrived),
        }
    }
}

fn percentiles(histogram: &Histogram<u64>, scale: f64) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / scale;
    Percentiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}

/// A part of a whole, and all of it where there is no whole.
fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 1.0;
    }
    part as f64 / whole as f64
}

impl Tally {
    fn new(scenario: &Scenario) -> Self {
        let config = scenario.fleet.config();
        let duration_us = scenario.duration_ms.0 as f64 * 1_000.0;
        let begin_us = (duration_us * UNCOUNTED.0) as u64;
        let end_us = (duration_us * (1.0 - UNCOUNTED.1)) as u64;
        Self {
            alone: Alone::default(),
            window_us: (begin_us, end_us),
            bands: BANDS.iter().map(|_| BandTally::new()).collect(),
            classes: vec![(0, 0); config.classes.len()],
            accounts: accounts::AccountTally::new(config.accounts.len()),
            count: Counts::default(),
            totals: Totals::default(),
            config,
        }
    }

    fn add(&mut self, request: &Request, record: &Record) {
        if request.at_us < self.window_us.0 || request.at_us >= self.window_us.1 {
            return;
        }
        let within = self.within_target(request, record);
        let refused = matches!(record.fate, Fate::Refused(_));
        let tokens = request.prompt_tokens.0;
        self.count.add(record, tokens, within, refused);
        self.accounts.add(request.account, tokens, within);
        let band = BANDS.iter().rposition(|low| tokens >= *low).unwrap_or(0);
        let band = &mut self.bands[band];
        band.arrived += 1;
        band.admitted += u64::from(!refused);
        band.within += u64::from(within);
        band.refused += u64::from(refused);
        if !refused {
            let class = &mut self.classes[request.class.index()];
            class.0 += u64::from(within);
            class.1 += 1;
        }
        if let Some(first_us) = record.first_us {
            let wait_us = first_us - record.arrived_us;
            let alone_us = self.alone.first_token_us(request).max(1);
            let slowdown = wait_us as f64 / alone_us as f64 * RATIO_SCALE;
            band.first_us.saturating_record(wait_us);
            band.slowdown.saturating_record(slowdown as u64);
        }
    }

    fn within_target(&self, request: &Request, record: &Record) -> bool {
        let class = &self.config.classes[request.class.index()];
        let target_ms = class.first_token_ms(request.prompt_tokens);
        let in_time = |at_us: u64, span_ms: SpanMs| at_us <= record.arrived_us + span_ms.0 * 1_000;
        let first = record
            .first_us
            .is_some_and(|at_us| in_time(at_us, target_ms));
        record.fate == Fate::Finished && first && in_time(record.end_us, class.end_ms)
    }

    fn add_totals(&mut self, totals: &Totals) {
        self.totals.computed_tokens += totals.computed_tokens;
        self.totals.wasted_tokens += totals.wasted_tokens;
        self.totals.groups += totals.groups;
        self.totals.requests += totals.requests;
        self.totals.recalls += totals.recalls;
        self.totals.recalls_begun += totals.recalls_begun;
        self.totals.groups_failed += totals.groups_failed;
        self.totals.stranded_tokens += totals.stranded_tokens;
        self.totals.peak_kv_share = self.totals.peak_kv_share.max(totals.peak_kv_share);
    }

    fn report(self, capacity: PerSecond, runs: usize) -> RunReport {
        let window_s = (self.window_us.1 - self.window_us.0) as f64 / 1e6 * runs.max(1) as f64;
        let of_capacity = |tokens: u64| tokens as f64 / window_s / capacity.0;
        let count = &self.count;
        RunReport {
            bands: self.bands.iter().map(BandTally::report).collect(),
            classes_within: self
                .classes
                .iter()
                .map(|(in_time, all)| share(*in_time, *all))
                .collect(),
            within_admitted: share(count.within, count.admitted),
            refused: share(count.refused, count.arrived),
            refused_late: share(count.refused_late, count.arrived),
            refused_begun: count.refused_begun,
            come_back_within: share(count.came_back_within, count.came_back),
            came_back: count.came_back,
            offered: of_capacity(count.offered_tokens),
            goodput: of_capacity(count.within_tokens),
            failed: share(count.failed, count.arrived),
            accounts: self.accounts.report(),
            wasted: share(
                self.totals.wasted_tokens,
                self.totals.computed_tokens.max(1),
            ),
            peak_kv: self.totals.peak_kv_share,
            groups: self.totals.groups,
            groups_failed: self.totals.groups_failed,
            recalls: self.totals.recalls as f64 / self.totals.requests.max(1) as f64,
            recalls_begun: self.totals.recalls_begun,
            stranded_tokens: self.totals.stranded_tokens,
        }
    }
}

impl Counts {
    fn add(&mut self, record: &Record, tokens: u64, within: bool, refused: bool) {
        self.arrived += 1;
        self.admitted += u64::from(!refused);
        self.within += u64::from(within);
        self.refused += u64::from(refused);
        self.refused_late += u64::from(refused && record.refused_late);
        self.refused_begun += u64::from(refused && record.refused_begun);
        self.failed += u64::from(matches!(
            record.fate,
            Fate::Failed | Fate::Expired | Fate::Open
        ));
        self.came_back += u64::from(record.came_back.is_some());
        self.came_back_within += u64::from(record.came_back.is_some() && within);
        self.offered_tokens += tokens;
        self.within_tokens += if within { tokens } else { 0 };
    }
}
