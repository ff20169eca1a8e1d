//! The process's metrics, recorded through `opentelemetry` and rendered in the Prometheus text
//! format.
//!
//! Invariants: labels come from closed sets (bands, verdicts, reasons) or from the configuration
//! in force (classes), so the number of series is bounded; no account, key or request id is a
//! label.

mod instruments;

use bluebell_base::prelude::*;
use instruments::{AttemptCounts, ControlCounts, RequestCounts, Times};
use opentelemetry::KeyValue;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// The error of metrics that can't be opened or rendered.
#[derive(Debug, thiserror::Error)]
pub enum MetricsError {
    /// The exporter can't be built.
    #[error("metrics exporter: {0}")]
    Exporter(Arc<str>),
    /// The metrics can't be written as text.
    #[error("metrics rendering: {0}")]
    Render(#[from] prometheus::Error),
}

/// The name of the meter that creates the instruments.
pub const METER: &str = "bluebellpond";

/// Opens a registry and the provider whose instruments it collects. Dropping the provider ends the
/// collection.
///
/// # Errors
/// Returns [`MetricsError::Exporter`] if the exporter can't be built.
pub fn open_registry() -> Result<(Registry, SdkMeterProvider), MetricsError> {
    let registry = Registry::new();
    let exporter = opentelemetry_prometheus::exporter()
        .with_registry(registry.clone())
        .scope_info_enabled(false)
        .without_target_info()
        .build()
        .map_err(|error| MetricsError::Exporter(error.to_string().into()))?;
    let provider = SdkMeterProvider::builder().with_reader(exporter).build();
    Ok((registry, provider))
}

/// The other side of an exchange of control traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Peer {
    /// Other nodes.
    Node,
    /// The platform.
    Platform,
    /// Upstreams; requests and answers aren't control traffic.
    Upstream,
}

impl Peer {
    /// Returns the value of the `peer` label.
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
    /// Held because dropping the provider stops the collection.
    _provider: SdkMeterProvider,
    times: Times,
    requests: RequestCounts,
    attempts: AttemptCounts,
    control: ControlCounts,
}

impl Metrics {
    /// Opens a set of metrics with its own registry, so that several nodes in one process keep
    /// separate metrics.
    ///
    /// # Errors
    /// Returns [`MetricsError::Exporter`] if the exporter can't be built.
    pub fn open() -> Result<Self, MetricsError> {
        let (registry, provider) = open_registry()?;
        let meter = provider.meter(METER);
        Ok(Self {
            times: Times::open(&meter),
            requests: RequestCounts::open(&meter),
            attempts: AttemptCounts::open(&meter),
            control: ControlCounts::open(&meter),
            registry,
            _provider: provider,
        })
    }

    /// Records an admitted request.
    pub fn admitted(&self, class: &ClassName, band: LengthBand) {
        self.requests.admitted.add(1, &class_and_band(class, band));
    }

    /// Records a request that was refused before any work. `reason` is from a closed set.
    pub fn refused(&self, reason: &'static str) {
        self.requests
            .refused
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records the first token of an answer, `span_ms` after the request's arrival.
    pub fn first_token(&self, class: &ClassName, band: LengthBand, span_ms: SpanMs) {
        let labels = class_and_band(class, band);
        self.times.first_token.record(span_ms.0 as f64, &labels);
    }

    /// Records a further token of an answer, `span_ms` after the previous token.
    pub fn between_tokens(&self, class: &ClassName, band: LengthBand, span_ms: SpanMs) {
        let labels = class_and_band(class, band);
        self.times.between_tokens.record(span_ms.0 as f64, &labels);
    }

    /// Records an attempt that was sent to an upstream.
    pub fn attempt(&self) {
        self.attempts.attempts.add(1, &[]);
    }

    /// Records an attempt that follows a failed one.
    pub fn retry(&self) {
        self.attempts.retries.add(1, &[]);
    }

    /// Records an attempt that was recalled from its engine to be placed again.
    pub fn recalled(&self) {
        self.attempts.recalls.add(1, &[]);
    }

    /// Records a retry that was due while the retry budget was used up.
    pub fn retry_denied(&self) {
        self.attempts.retries_denied.add(1, &[]);
    }

    /// Records an attempt that an upstream refused before it began.
    pub fn upstream_refused(&self) {
        self.attempts.upstream_refusals.add(1, &[]);
    }

    /// Records an event or answer that was dropped because it came late, belonged to an earlier
    /// exchange or came twice.
    pub fn dropped_event(&self) {
        self.attempts.dropped_events.add(1, &[]);
    }

    /// Records a cancelled request.
    pub fn cancelled(&self) {
        self.requests.cancelled.add(1, &[]);
    }

    /// Records a request whose answer was complete `span_ms` after the request's arrival.
    pub fn finished(&self, class: &ClassName, band: LengthBand, span_ms: SpanMs) {
        let labels = class_and_band(class, band);
        self.requests.finished.add(1, &labels);
        self.times.end.record(span_ms.0 as f64, &labels);
    }

    /// Records an admitted request that failed.
    pub fn failed(&self, verdict: Verdict) {
        let labels = [KeyValue::new("verdict", verdict.as_str())];
        self.requests.failed.add(1, &labels);
    }

    /// Records `count` written claims of idempotency keys.
    pub fn claims(&self, count: u64) {
        self.control.claims.add(count, &[]);
    }

    /// Records an append that was sent to the platform's log.
    pub fn append(&self) {
        self.control.appends.add(1, &[]);
    }

    /// Records control traffic that was sent to or received from `peer`.
    pub fn control_bytes(&self, peer: Peer, bytes: Bytes) {
        let labels = [KeyValue::new("peer", peer.as_str())];
        self.control.control_bytes.add(bytes.0, &labels);
    }

    /// Records the version of the configuration that is in force at this node.
    pub fn config_version(&self, version: ConfigVersion) {
        self.control.config_version.record(version.0, &[]);
    }

    /// Records the number of requests that are admitted and haven't ended.
    pub fn in_flight(&self, count: u64) {
        self.requests.in_flight.record(count, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// Returns [`MetricsError::Render`] if a metric can't be encoded.
    pub fn render(&self) -> Result<String, MetricsError> {
        let families = self.registry.gather();
        Ok(TextEncoder::new().encode_to_string(&families)?)
    }
}

/// Returns the labels of a request's class and of its prompt's band.
fn class_and_band(class: &ClassName, band: LengthBand) -> [KeyValue; 2] {
    [
        KeyValue::new("class", class.0.clone()),
        KeyValue::new("band", band.as_str()),
    ]
}
