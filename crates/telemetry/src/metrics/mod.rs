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

/// The name under which instruments are made.
pub const METER: &str = "bluebellpond";

/// Opens a registry, and the provider whose instruments it shows; dropping the provider ends their
/// collection.
///
/// # Errors
/// [`MetricsError::Exporter`] where the exporter can't be set up.
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
    times: Times,
    requests: RequestCounts,
    attempts: AttemptCounts,
    control: ControlCounts,
}

impl Metrics {
    /// Opens a set of metrics of its own registry, so that several nodes of one process don't mix.
    ///
    /// # Errors
    /// [`MetricsError::Exporter`] where the exporter can't be set up.
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

    /// A request was admitted.
    pub fn admitted(&self, class: &ClassName, band: LengthBand) {
        self.requests.admitted.add(1, &class_and_band(class, band));
    }

    /// A request was refused before any work; `reason` is from a closed set.
    pub fn refused(&self, reason: &'static str) {
        self.requests
            .refused
            .add(1, &[KeyValue::new("reason", reason)]);
    }

    /// The first token came, `span_ms` after the request's arrival.
    pub fn first_token(&self, class: &ClassName, band: LengthBand, span_ms: SpanMs) {
        let labels = class_and_band(class, band);
        self.times.first_token.record(span_ms.0 as f64, &labels);
    }

    /// A further token came, `span_ms` after the one before.
    pub fn between_tokens(&self, class: &ClassName, band: LengthBand, span_ms: SpanMs) {
        let labels = class_and_band(class, band);
        self.times.between_tokens.record(span_ms.0 as f64, &labels);
    }

    /// An attempt was sent to an upstream.
    pub fn attempt(&self) {
        self.attempts.attempts.add(1, &[]);
    }

    /// An attempt was one more after a failed one.
    pub fn retry(&self) {
        self.attempts.retries.add(1, &[]);
    }

    /// An attempt was taken back from its engine, to be placed anew.
    pub fn recalled(&self) {
        self.attempts.recalls.add(1, &[]);
    }

    /// A retry was due, but the budget was used up.
    pub fn retry_denied(&self) {
        self.attempts.retries_denied.add(1, &[]);
    }

    /// An upstream refused new work before it began.
    pub fn upstream_refused(&self) {
        self.attempts.upstream_refusals.add(1, &[]);
    }

    /// An event or answer came late, crossed or twice and was dropped.
    pub fn dropped_event(&self) {
        self.attempts.dropped_events.add(1, &[]);
    }

    /// A request was cancelled.
    pub fn cancelled(&self) {
        self.requests.cancelled.add(1, &[]);
    }

    /// A request got its whole answer, `span_ms` after its arrival.
    pub fn finished(&self, class: &ClassName, band: LengthBand, span_ms: SpanMs) {
        let labels = class_and_band(class, band);
        self.requests.finished.add(1, &labels);
        self.times.end.record(span_ms.0 as f64, &labels);
    }

    /// An admitted request failed.
    pub fn failed(&self, verdict: Verdict) {
        let labels = [KeyValue::new("verdict", verdict.as_str())];
        self.requests.failed.add(1, &labels);
    }

    /// Claims of idempotency keys were written.
    pub fn claims(&self, count: u64) {
        self.control.claims.add(count, &[]);
    }

    /// An append was sent to the platform's log.
    pub fn append(&self) {
        self.control.appends.add(1, &[]);
    }

    /// Control traffic was sent or received.
    pub fn control_bytes(&self, peer: Peer, bytes: Bytes) {
        let labels = [KeyValue::new("peer", peer.as_str())];
        self.control.control_bytes.add(bytes.0, &labels);
    }

    /// A configuration came into force here.
    pub fn config_version(&self, version: ConfigVersion) {
        self.control.config_version.record(version.0, &[]);
    }

    /// How many requests are admitted and not yet ended.
    pub fn in_flight(&self, count: u64) {
        self.requests.in_flight.record(count, &[]);
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
