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

/// Bucket bounds of the time to first token, in milliseconds.
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
    admitted: Counter<u64>,
    refused: Counter<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
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
            admitted: counter(&meter, "bluebell_admitted", "Requests admitted."),
            refused: counter(
                &meter,
                "bluebell_refused",
                "Requests refused before any work, by reason.",
            ),
            attempts: counter(&meter, "bluebell_attempts", "Attempts sent to upstreams."),
            retries: counter(&meter, "bluebell_retries", "Attempts after a first one."),
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
    pub fn admitted(&self, class: &ClassName, prompt_tokens: Tokens) {
        self.admitted.add(1, &class_and_band(class, prompt_tokens));
    }

    /// A request was refused before any work; `reason` is from a closed set.
    pub fn refused(&self, reason: &'static str) {
        self.refused.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// The first token came, `span_ms` after the request's arrival.
    pub fn first_token(&self, class: &ClassName, prompt_tokens: Tokens, span_ms: SpanMs) {
        let labels = class_and_band(class, prompt_tokens);
        self.first_token.record(span_ms.0 as f64, &labels);
    }

    /// A further token came, `span_ms` after the one before.
    pub fn between_tokens(&self, class: &ClassName, prompt_tokens: Tokens, span_ms: SpanMs) {
        let labels = class_and_band(class, prompt_tokens);
        self.between_tokens.record(span_ms.0 as f64, &labels);
    }

    /// An attempt was sent to an upstream; all but the first of a request are retries.
    pub fn attempt(&self, attempt: AttemptNo) {
        self.attempts.add(1, &[]);
        if attempt.0 > 1 {
            self.retries.add(1, &[]);
        }
    }

    /// A request got its whole answer.
    pub fn finished(&self, class: &ClassName, prompt_tokens: Tokens) {
        self.finished.add(1, &class_and_band(class, prompt_tokens));
    }

    /// An admitted request failed.
    pub fn failed(&self, class: &ClassName, verdict: Verdict) {
        let labels = [
            KeyValue::new("class", class.0.clone()),
            KeyValue::new("verdict", verdict.as_str()),
        ];
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
fn class_and_band(class: &ClassName, prompt_tokens: Tokens) -> [KeyValue; 2] {
    [
        KeyValue::new("class", class.0.clone()),
        KeyValue::new("band", LengthBand::of(prompt_tokens).as_str()),
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
