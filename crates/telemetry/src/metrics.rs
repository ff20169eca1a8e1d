//! The process's metrics, recorded through `opentelemetry` and rendered in the Prometheus text
//! format.
//!
//! Invariants: labels come from closed sets (bands, verdicts, reasons) or from the configuration
//! in force (classes), so the number of series is bounded; no account, key or request id is a
//! label.

use bluebell_base::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bucket bounds of the times to first token and to the end, in milliseconds.
const FIRST_TOKEN_BOUNDS_MS: [f64; 16] = [
    10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 600.0, 800.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0,
    16_000.0, 32_000.0, 64_000.0, 128_000.0,
];

/// Bucket bounds of the time between tokens, in milliseconds.
const BETWEEN_TOKENS_BOUNDS_MS: [f64; 12] = [
    5.0, 10.0, 20.0, 30.0, 40.0, 53.0, 75.0, 100.0, 200.0, 500.0, 1_000.0, 5_000.0,
];

/// The metrics can't be opened or rendered.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The exporter can't be set up.
    #[error("metrics exporter: {0}")]
    Exporter(Arc<str>),
    /// The metrics can't be written as text.
    #[error("metrics rendering: {0}")]
    Render(#[from] prometheus::Error),
}

/// With whom control traffic is exchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Peer {
    /// Other nodes.
    Node,
    /// The platform.
    Platform,
    /// Upstreams, apart from the work itself.
    Upstream,
}

impl Peer {
    /// The text used in labels.
    pub fn as_str(self) -> &'static str {
        match self {
            Peer::Node => "node",
            Peer::Platform => "platform",
            Peer::Upstream => "upstream",
        }
    }
}

/// The process's metrics.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Kept because dropping it stops the collection.
    _provider: SdkMeterProvider,
    first_token: Histogram<f64>,
    between_tokens: Histogram<f64>,
    end: Histogram<f64>,
    admitted: Counter<u64>,
    refused: Counter<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    recalls: Counter<u64>,
    retries_denied: Counter<u64>,
    upstream_refusals: Counter<u64>,
    dropped_events: Counter<u64>,
    cancelled: Counter<u64>,
    finished: Counter<u64>,
    failed: Counter<u64>,
    claims: Counter<u64>,
    appends: Counter<u64>,
    control_bytes: Counter<u64>,
    config_version: Gauge<u64>,
    in_flight: Gauge<u64>,
}

impl Metrics {
    /// Opens a set of metrics of its own registry, so that several nodes of one process don't mix.
    ///
    /// # Errors
    /// [`MetricsError::Exporter`] where the exporter can't be set up.
    pub fn open() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .scope_info_enabled(false)
            .without_target_info()
            .build()
            .map_err(|error| MetricsError::Exporter(error.to_string().into()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("bluebellpond");
        Ok(Self {
            first_token: histogram(
                &meter,
                "bluebell_first_token_ms",
                "Time from arrival to the first token, in milliseconds.",
                &FIRST_TOKEN_BOUNDS_MS,
            ),
            between_tokens: histogram(
                &meter,
                "bluebell_between_tokens_ms",
                "Time between two tokens of an answer, in milliseconds.",
                &BETWEEN_TOKENS_BOUNDS_MS,
            ),
            end: histogram(
                &meter,
                "bluebell_end_ms",
                "Time from arrival to the end of a whole answer, in milliseconds.",
                &FIRST_TOKEN_BOUNDS_MS,
            ),
            admitted: counter(&meter, "bluebell_admitted", "Requests admitted."),
            refused: counter(
                &meter,
                "bluebell_refused",
                "Requests refused before any work, by reason.",
            ),
            attempts: counter(&meter, "bluebell_attempts", "Attempts sent to upstreams."),
            retries: counter(&meter, "bluebell_retries", "Attempts after a first one."),
            recalls: counter(
                &meter,
                "bluebell_recalls",
                "Attempts taken back from their engines, to be placed anew.",
            ),
            retries_denied: counter(
                &meter,
                "bluebell_retries_denied",
                "Retries that were due while the budget was used up.",
            ),
            upstream_refusals: counter(
                &meter,
                "bluebell_upstream_refusals",
                "Attempts that an upstream refused before it began.",
            ),
            dropped_events: counter(
                &meter,
                "bluebell_dropped_events",
                "Events and answers dropped because they came late, crossed or twice.",
            ),
            cancelled: counter(&meter, "bluebell_cancelled", "Requests cancelled."),
            finished: counter(
                &meter,
                "bluebell_finished",
                "Requests that got their whole answer.",
            ),
            failed: counter(
                &meter,
                "bluebell_failed",
                "Admitted requests that failed, by verdict.",
            ),
            claims: counter(
                &meter,
                "bluebell_claims",
                "Claims of idempotency keys written.",
            ),
            appends: counter(
                &meter,
                "bluebell_appends",
                "Appends sent to the platform's log.",
            ),
            control_bytes: counter(
                &meter,
                "bluebell_control_bytes",
                "Bytes of control traffic, by peer.",
            ),
            config_version: gauge(
                &meter,
                "bluebell_config_version",
                "Version of the configuration in force here.",
            ),
            in_flight: gauge(
                &meter,
                "bluebell_in_flight",
                "Requests admitted and not yet ended.",
            ),
            registry,
            _provider: provider,
        })
    }

    /// A request was admitted.
    pub fn admitted(&self, class: &ClassName, band: LengthBand) {
        self.admitted.add(1, &class_and_band(class, band));
    }

    /// A request was refused before any work; `reason` is from a closed set.
    pub fn refused(&self, reason: &'static str) {
        self.refused.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// The first token came, `span_ms` after the request's arrival.
    pub fn first_token(&self, class: &ClassName, band: LengthBand, span_ms: SpanMs) {
        let labels = class_and_band(class, band);
        self.first_token.record(span_ms.0 as f64, &labels);
    }

    /// A further token came, `span_ms` after the one before.
    pub fn between_tokens(&self, class: &ClassName, band: LengthBand, span_ms: SpanMs) {
        let labels = class_and_band(class, band);
        self.between_tokens.record(span_ms.0 as f64, &labels);
    }

    /// An attempt was sent to an upstream.
    pub fn attempt(&self) {
        self.attempts.add(1, &[]);
    }

    /// An attempt was one more after a failed one.
    pub fn retry(&self) {
        self.retries.add(1, &[]);
    }

    /// An attempt was taken back from its engine, to be placed anew.
    pub fn recalled(&self) {
        self.recalls.add(1, &[]);
    }

    /// A retry was due, but the budget was used up.
    pub fn retry_denied(&self) {
        self.retries_denied.add(1, &[]);
    }

    /// An upstream refused new work before it began.
    pub fn upstream_refused(&self) {
        self.upstream_refusals.add(1, &[]);
    }

    /// An event or answer came late, crossed or twice and was dropped.
    pub fn dropped_event(&self) {
        self.dropped_events.add(1, &[]);
    }

    /// A request was cancelled.
    pub fn cancelled(&self) {
        self.cancelled.add(1, &[]);
    }

    /// A request got its whole answer, `span_ms` after its arrival.
    pub fn finished(&self, class: &ClassName, band: LengthBand, span_ms: SpanMs) {
        let labels = class_and_band(class, band);
        self.finished.add(1, &labels);
        self.end.record(span_ms.0 as f64, &labels);
    }

    /// An admitted request failed.
    pub fn failed(&self, verdict: Verdict) {
        let labels = [KeyValue::new("verdict", verdict.as_str())];
        self.failed.add(1, &labels);
    }

    /// Claims of idempotency keys were written.
    pub fn claims(&self, count: u64) {
        self.claims.add(count, &[]);
    }

    /// An append was sent to the platform's log.
    pub fn append(&self) {
        self.appends.add(1, &[]);
    }

    /// Control traffic was sent or received.
    pub fn control_bytes(&self, peer: Peer, bytes: Bytes) {
        let labels = [KeyValue::new("peer", peer.as_str())];
        self.control_bytes.add(bytes.0, &labels);
    }

    /// A configuration came into force here.
    pub fn config_version(&self, version: ConfigVersion) {
        self.config_version.record(version.0, &[]);
    }

    /// How many requests are admitted and not yet ended.
    pub fn in_flight(&self, count: u64) {
        self.in_flight.record(count, &[]);
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Errors
    /// [`MetricsError::Render`] where a metric can't be encoded.
    pub fn render(&self) -> Result<String, MetricsError> {
        let families = self.registry.gather();
        Ok(TextEncoder::new().encode_to_string(&families)?)
    }
}

/// The labels of a class and a prompt's band.
fn class_and_band(class: &ClassName, band: LengthBand) -> [KeyValue; 2] {
    [
        KeyValue::new("class", class.0.clone()),
        KeyValue::new("band", band.as_str()),
    ]
}

fn histogram(
    meter: &Meter,
    name: &'static str,
    description: &'static str,
    bounds: &[f64],
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_boundaries(bounds.to_vec())
        .build()
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter
        .u64_counter(name)
        .with_description(description)
        .build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<u64> {
    meter.u64_gauge(name).with_description(description).build()
}
