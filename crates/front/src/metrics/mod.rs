//! Metrics of the serving path. They are updated from the log's events, so that the log and the metrics
//! agree.
//!
//! Invariants: labels come from closed sets, so the number of series is bounded. No request, key or
//! account is a label.

use crate::journal::Event;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
pub use bluebell_telemetry::MetricsError;
use bluebell_telemetry::metrics::{METER, open_registry};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bucket bounds of the times to the first event and to the end, in milliseconds. They are the users'
/// targets and values around them.
const TIME_BOUNDS_MS: [f64; 14] = [
    10.0, 25.0, 50.0, 100.0, 200.0, 300.0, 600.0, 1_000.0, 1_500.0, 2_000.0, 3_000.0, 5_000.0,
    10_000.0, 20_000.0,
];

/// Bucket bounds of pauses between events, in milliseconds.
const PAUSE_BOUNDS_MS: [f64; 9] = [
    50.0, 100.0, 150.0, 200.0, 250.0, 600.0, 1_000.0, 2_000.0, 5_000.0,
];

/// The ranks of the accounts whose work is shown, by which series of accounts are bounded.
const ACCOUNT_RANKS: [&str; 8] = ["1", "2", "3", "4", "5", "6", "7", "8"];

/// The counters, gauges and histograms of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// The provider of the instruments. Dropping it would stop the collection.
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    tries: Counter<u64>,
    failed_tries: Counter<u64>,
    budget_spent: Counter<u64>,
    placements: Counter<u64>,
    dependency_losses: Counter<u64>,
    lines_dropped: Counter<u64>,
    exchanges_cut: Counter<u64>,
    answers_cut: Counter<u64>,
    bytes_held: Gauge<u64>,
    ended_replicas: Counter<u64>,
    quarantines: Counter<u64>,
    config_version: Gauge<u64>,
    config_newest: Gauge<u64>,
    config_age_ms: Gauge<u64>,
    config_newest_age_ms: Gauge<u64>,
    config_behind_ms: Gauge<u64>,
    config_reads_failed: Counter<u64>,
    config_lag_ms: Histogram<f64>,
    limited_replicas: Gauge<u64>,
    evacuated_domains: Gauge<u64>,
    unreachable_services: Gauge<u64>,
    account_work: Gauge<u64>,
    warming_up: Gauge<u64>,
    forwarded: Counter<u64>,
    promises: Counter<u64>,
    returns: Counter<u64>,
    limit_changes: Counter<u64>,
    replica_signals: Counter<u64>,
    waited_ms: Histogram<f64>,
    first_ms: Histogram<f64>,
    end_ms: Histogram<f64>,
    pause_ms: Histogram<f64>,
}

fn counter(meter: &Meter, name: &'static str, help: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(help).build()
}

fn histogram(
    meter: &Meter,
    name: &'static str,
    help: &'static str,
    bounds: &[f64],
) -> Histogram<f64> {
    let histogram = meter.f64_histogram(name).with_description(help);
    histogram.with_boundaries(bounds.to_vec()).build()
}

fn gauge(meter: &Meter, name: &'static str, help: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(help).build()
}

fn label(name: &'static str, value: &'static str) -> [KeyValue; 1] {
    [KeyValue::new(name, value)]
}

impl Metrics {
    /// Creates the metrics in a new registry.
    ///
    /// # Errors
    /// [`MetricsError`] if the exporter can't be set up.
    pub fn open() -> Result<Self, MetricsError> {
        let (registry, provider) = open_registry()?;
        let m = provider.meter(METER);
        let c = |name, help| counter(&m, name, help);
        let g = |name, help| gauge(&m, name, help);
        let h = |name, help, bounds| histogram(&m, name, help, bounds);
        Ok(Self {
            requests: c("bluebell_requests", "Requests by outcome."),
            tries: c(
                "bluebell_tries",
                "Requests sent to replicas: first or again.",
            ),
            failed_tries: c(
                "bluebell_failed_tries",
                "Tries that failed, by what they left open and by their connection.",
            ),
            budget_spent: c(
                "bluebell_budget_spent",
                "Second tries that the budget refused.",
            ),
            placements: c(
                "bluebell_placements",
                "Prompts by how they are read: alone or shared.",
            ),
            dependency_losses: c(
                "bluebell_dependency_losses",
                "Losses by kind of dependency.",
            ),
            exchanges_cut: c(
                "bluebell_exchanges_cut",
                "Connections that ended before a whole answer, by the stage of the request.",
            ),
            answers_cut: c(
                "bluebell_answers_cut",
                "Answers that were cut, by the part without an end, or whose reader was too slow.",
            ),
            bytes_held: g(
                "bluebell_bytes_held",
                "Bytes of answers that are held for their readers.",
            ),
            lines_dropped: c(
                "bluebell_log_lines_dropped",
                "Log lines that nobody read in time.",
            ),
            ended_replicas: c(
                "bluebell_ended_replicas",
                "Ends of replicas under requests, by what the request did there.",
            ),
            quarantines: c(
                "bluebell_quarantines",
                "Requests and parts put into quarantine and let out, by how that became known.",
            ),
            config_version: g(
                "bluebell_config_version",
                "Version of the configuration in force.",
            ),
            config_newest: g(
                "bluebell_config_newest_version",
                "Newest version of the configuration that the node knows of.",
            ),
            config_age_ms: g(
                "bluebell_config_age_ms",
                "Time since the configuration in force is, in milliseconds.",
            ),
            config_newest_age_ms: g(
                "bluebell_config_newest_age_ms",
                "Time since the node knows of the newest version, in milliseconds.",
            ),
            config_behind_ms: g(
                "bluebell_config_behind_ms",
                "Time for which a newer version has been known than the one in force.",
            ),
            config_reads_failed: c(
                "bluebell_config_reads_failed",
                "Reads of the configuration that failed.",
            ),
            config_lag_ms: h(
                "bluebell_config_lag_ms",
                "Time from when a version was known until it was in force, in milliseconds.",
                &TIME_BOUNDS_MS,
            ),
            limited_replicas: g(
                "bluebell_limited_replicas",
                "Replicas that name a limit of requests.",
            ),
            evacuated_domains: g(
                "bluebell_evacuated_domains",
                "Failure domains whose replicas get no new work.",
            ),
            warming_up: g(
                "bluebell_warming_up",
                "1 while the node serves without knowing its peers' work, and 0 after that.",
            ),
            unreachable_services: g(
                "bluebell_unreachable_services",
                "Services of which this node reaches no replica.",
            ),
            account_work: g(
                "bluebell_account_work",
                "Engine time that the largest accounts asked for, in milliseconds, by rank.",
            ),
            forwarded: c(
                "bluebell_forwarded",
                "Requests forwarded between nodes: sent, failed at the peer, or accepted from one.",
            ),
            promises: c(
                "bluebell_promises",
                "Refusals that promised a return time, by what they said of it.",
            ),
            returns: c(
                "bluebell_returns",
                "Requests that came back after a promise: in time or early, kept (served) or broken.",
            ),
            limit_changes: c(
                "bluebell_limit_changes",
                "Limits that replicas named, changed or ended, by how that became known.",
            ),
            replica_signals: c(
                "bluebell_replica_signals",
                "What replicas said of themselves, by what it was.",
            ),
            waited_ms: h(
                "bluebell_waited_ms",
                "Time from arrival to the first try, in milliseconds.",
                &TIME_BOUNDS_MS,
            ),
            first_ms: h(
                "bluebell_first_event_ms",
                "Time from arrival to the first event or the answer, in milliseconds.",
                &TIME_BOUNDS_MS,
            ),
            end_ms: h(
                "bluebell_end_ms",
                "Time from arrival to the end of the answer, in milliseconds.",
                &TIME_BOUNDS_MS,
            ),
            pause_ms: h(
                "bluebell_longest_pause_ms",
                "Longest pause between two events of an answer, in milliseconds.",
                &PAUSE_BOUNDS_MS,
            ),
            registry,
            _provider: provider,
        })
    }

    /// Renders the metrics in the Prometheus text format.
    ///
    /// # Errors
    /// [`MetricsError`] if they can't be encoded.
    pub fn render(&self) -> Result<String, MetricsError> {
        let text = TextEncoder::new().encode_to_string(&self.registry.gather());
        text.map_err(MetricsError::from)
    }

    /// Updates the metrics with an event.
    pub fn observe(&self, event: &Event) {
        match event {
            Event::Answered { .. } => self.observe_answer(event),
            Event::Refused { promised, .. } => {
                self.requests.add(1, &label("outcome", "refused"));
                if let Some(kind) = promised {
                    self.promises.add(1, &label("kind", kind.as_str()));
                }
            }
            Event::Returned { how, served, .. } => {
                let promise = if *served { "kept" } else { "broken" };
                let [how] = label("how", how);
                let [promise] = label("promise", promise);
                self.returns.add(1, &[how, promise]);
            }
            Event::Failed { .. } => self.requests.add(1, &label("outcome", "failed")),
            Event::Cancelled { .. } => self.requests.add(1, &label("outcome", "cancelled")),
            Event::Placed { .. } => self.observe_try(event),
            Event::TryFailed {
                ran, connection, ..
            } => {
                let labels = [
                    KeyValue::new("verdict", ran.as_str()),
                    KeyValue::new("connection", connection.as_str()),
                ];
                self.failed_tries.add(1, &labels);
            }
            Event::BudgetSpent { .. } => self.budget_spent.add(1, &[]),
            Event::ConfigInForce {
                version, behind_ms, ..
            } => {
                self.config_version.record(version.0, &[]);
                self.config_lag_ms.record(behind_ms.0 as f64, &[]);
            }
            Event::ConfigReadFailed { .. } => self.config_reads_failed.add(1, &[]),
            Event::DirectoryLost { .. } => self.count_loss("directory"),
            Event::ReplicaDoubted { .. } => self.count_loss("replica"),
            Event::PeerLost { .. } => self.count_loss("peer"),
            Event::ReplicaEnded { evidence, .. } => {
                let evidence = label("evidence", evidence.as_str());
                self.ended_replicas.add(1, &evidence);
            }
            Event::RequestQuarantined { digest, how, .. }
            | Event::QuarantineEnded { digest, how } => {
                let [how] = label("how", how);
                let [kind] = label("kind", digest.kind());
                self.quarantines.add(1, &[how, kind]);
            }
            Event::LimitNamed { limited, how, .. } | Event::LimitEnded { limited, how, .. } => {
                self.limited_replicas.record(*limited as u64, &[]);
                self.limit_changes.add(1, &label("how", how));
            }
            Event::EvacuationBegan { evacuated, .. } | Event::EvacuationEnded { evacuated, .. } => {
                self.evacuated_domains.record(*evacuated as u64, &[]);
            }
            Event::LinksLost { lost, .. } | Event::LinksRestored { lost, .. } => {
                self.unreachable_services.record(*lost as u64, &[]);
            }
            Event::WarmUpBegan { .. } => self.warming_up.record(1, &[]),
            Event::WarmUpEnded { .. } => self.warming_up.record(0, &[]),
            Event::Forwarded { .. } => self.forwarded.add(1, &label("step", "sent")),
            Event::ForwardFailed { .. } => self.forwarded.add(1, &label("step", "failed")),
            Event::ForwardAccepted { .. } => self.forwarded.add(1, &label("step", "accepted")),
            Event::ReplicaSaysLeaving { .. } => {
                self.replica_signals.add(1, &label("signal", "leaving"));
            }
            Event::ReplicaAsksForRest { .. } => {
                self.replica_signals.add(1, &label("signal", "rest"));
            }
            Event::ExchangeCut { stage, .. } => {
                self.exchanges_cut.add(1, &label("stage", stage));
            }
            Event::AnswerCut { part, .. } => self.answers_cut.add(1, &label("part", part)),
            Event::ReaderClosed { .. } => self.answers_cut.add(1, &label("part", "reader")),
            Event::LinesDropped { count } => self.lines_dropped.add(*count, &[]),
            _ => {}
        }
    }

    /// Records the ages of the configuration in force and of the newest known one.
    pub fn record_config_ages(&self, ages: &ConfigAges) {
        self.config_newest.record(ages.newest.0, &[]);
        self.config_age_ms.record(ages.in_force_ms.0, &[]);
        self.config_newest_age_ms.record(ages.newest_ms.0, &[]);
        self.config_behind_ms.record(ages.behind_ms.0, &[]);
    }

    /// Records the bytes that are held for the readers of answers.
    pub fn record_held(&self, held: Bytes) {
        self.bytes_held.record(held.0, &[]);
    }

    /// Records the work of the largest accounts, the largest first. Ranks without an account get 0.
    pub fn record_account_work(&self, work_ms: &[f64]) {
        for (rank, name) in ACCOUNT_RANKS.into_iter().enumerate() {
            let work_ms = work_ms.get(rank).copied().unwrap_or_default();
            self.account_work
                .record(work_ms as u64, &label("rank", name));
        }
    }

    /// Counts the loss of a dependency.
    fn count_loss(&self, dependency: &'static str) {
        self.dependency_losses
            .add(1, &label("dependency", dependency));
    }

    /// Counts an attempt, and records the waiting time before the first one.
    fn observe_try(&self, event: &Event) {
        let Event::Placed {
            attempt,
            helpers,
            prompt_tokens,
            age_ms,
            ..
        } = event
        else {
            return;
        };
        if *attempt > 1 {
            self.tries.add(1, &label("try", "again"));
            return;
        }
        self.tries.add(1, &label("try", "first"));
        self.waited_ms.record(age_ms.0 as f64, &[]);
        if *prompt_tokens > Tokens::ZERO {
            let read = if helpers.is_empty() {
                "alone"
            } else {
                "shared"
            };
            self.placements.add(1, &label("read", read));
        }
    }

    /// Counts an answer and records its times by length of the prompt.
    fn observe_answer(&self, event: &Event) {
        let Event::Answered {
            prompt_tokens,
            first_ms,
            end_ms,
            longest_pause_ms,
            ..
        } = event
        else {
            return;
        };
        self.requests.add(1, &label("outcome", "answered"));
        let band = match *prompt_tokens {
            Tokens::ZERO => "none",
            tokens => LengthBand::of(tokens).as_str(),
        };
        let band = label("prompt", band);
        self.first_ms.record(first_ms.0 as f64, &band);
        self.end_ms.record(end_ms.0 as f64, &band);
        if *prompt_tokens > Tokens::ZERO {
            self.pause_ms.record(longest_pause_ms.0 as f64, &band);
        }
    }
}
