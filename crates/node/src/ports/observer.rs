//! The observer of requests, which records metrics and reports refusals by upstreams to the hub.

use bluebell_base::prelude::*;
use bluebell_requests::{LengthBand, RefusedBy, RequestObserver};
use bluebell_telemetry::Metrics;
use stakker::Fwd;

/// Records metrics and forwards the names of upstreams that refused work, since they may be leaving.
pub struct NodeObserver {
    metrics: Arc<Metrics>,
    refused: Fwd<UpstreamName>,
}

impl NodeObserver {
    /// Opens the observer. `refused` receives the names of upstreams that refused work as
    /// unavailable.
    pub fn open(metrics: Arc<Metrics>, refused: Fwd<UpstreamName>) -> Box<dyn RequestObserver> {
        Box::new(Self { metrics, refused })
    }
}

impl RequestObserver for NodeObserver {
    fn admitted(&mut self, class: &ClassName, band: LengthBand) {
        self.metrics.admitted(class, band);
    }

    fn refused(&mut self, by: RefusedBy) {
        self.metrics.refused(by.as_str());
    }

    fn first_token(&mut self, class: &ClassName, band: LengthBand, after_ms: SpanMs) {
        self.metrics.first_token(class, band, after_ms);
    }

    fn between_tokens(&mut self, class: &ClassName, band: LengthBand, gap_ms: SpanMs) {
        self.metrics.between_tokens(class, band, gap_ms);
    }

    fn attempt(&mut self) {
        self.metrics.attempt();
    }

    fn retry(&mut self) {
        self.metrics.retry();
    }

    fn recalled(&mut self) {
        self.metrics.recalled();
    }

    fn retry_denied(&mut self) {
        self.metrics.retry_denied();
    }

    fn finished(&mut self, class: &ClassName, band: LengthBand, after_ms: SpanMs) {
        self.metrics.finished(class, band, after_ms);
    }

    fn failed(&mut self, error: &Error) {
        self.metrics.failed(error.verdict);
    }

    fn cancelled(&mut self) {
        self.metrics.cancelled();
    }

    fn dropped_event(&mut self) {
        self.metrics.dropped_event();
    }

    fn upstream_refused(&mut self, upstream: &UpstreamName, error: &Error) {
        self.metrics.upstream_refused();
        // Only "unavailable" can mean that the upstream is leaving; "overloaded" is temporary.
        if error.kind == ErrorKind::Unavailable {
            self.refused.fwd(upstream.clone());
        }
    }
}
