//! The instruments that record the metrics, in groups, with their names and help texts.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

/// Bucket bounds of the times from a request's arrival to its first token and to the end of its
/// answer, in milliseconds.
const FIRST_TOKEN_BOUNDS_MS: [f64; 16] = [
    10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 600.0, 800.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0,
    16_000.0, 32_000.0, 64_000.0, 128_000.0,
];

/// Bucket bounds of the time between tokens, in milliseconds.
const BETWEEN_TOKENS_BOUNDS_MS: [f64; 12] = [
    5.0, 10.0, 20.0, 30.0, 40.0, 53.0, 75.0, 100.0, 200.0, 500.0, 1_000.0, 5_000.0,
];

/// Histograms of answer latencies, in milliseconds.
#[derive(Debug)]
pub(super) struct Times {
    pub(super) first_token: Histogram<f64>,
    pub(super) between_tokens: Histogram<f64>,
    pub(super) end: Histogram<f64>,
}

impl Times {
    pub(super) fn open(meter: &Meter) -> Self {
        Self {
            first_token: histogram(
                meter,
                "bluebell_first_token_ms",
                "Time from arrival to the first token, in milliseconds.",
                &FIRST_TOKEN_BOUNDS_MS,
            ),
            between_tokens: histogram(
                meter,
                "bluebell_between_tokens_ms",
                "Time between two tokens of an answer, in milliseconds.",
                &BETWEEN_TOKENS_BOUNDS_MS,
            ),
            end: histogram(
                meter,
                "bluebell_end_ms",
                "Time from arrival to the end of a whole answer, in milliseconds.",
                &FIRST_TOKEN_BOUNDS_MS,
            ),
        }
    }
}

/// Counters of request outcomes, and the gauge of requests in flight.
#[derive(Debug)]
pub(super) struct RequestCounts {
    pub(super) admitted: Counter<u64>,
    pub(super) refused: Counter<u64>,
    pub(super) finished: Counter<u64>,
    pub(super) failed: Counter<u64>,
    pub(super) cancelled: Counter<u64>,
    pub(super) in_flight: Gauge<u64>,
}

impl RequestCounts {
    pub(super) fn open(meter: &Meter) -> Self {
        Self {
            admitted: counter(meter, "bluebell_admitted", "Requests admitted."),
            refused: counter(
                meter,
                "bluebell_refused",
                "Requests refused before any work, by reason.",
            ),
            finished: counter(
                meter,
                "bluebell_finished",
                "Requests that got their whole answer.",
            ),
            failed: counter(
                meter,
                "bluebell_failed",
                "Admitted requests that failed, by verdict.",
            ),
            cancelled: counter(meter, "bluebell_cancelled", "Requests cancelled."),
            in_flight: gauge(
                meter,
                "bluebell_in_flight",
                "Requests admitted and not yet ended.",
            ),
        }
    }
}

/// Counters of attempts and their outcomes.
#[derive(Debug)]
pub(super) struct AttemptCounts {
    pub(super) attempts: Counter<u64>,
    pub(super) retries: Counter<u64>,
    pub(super) recalls: Counter<u64>,
    pub(super) retries_denied: Counter<u64>,
    pub(super) upstream_refusals: Counter<u64>,
    pub(super) dropped_events: Counter<u64>,
}

impl AttemptCounts {
    pub(super) fn open(meter: &Meter) -> Self {
        Self {
            attempts: counter(meter, "bluebell_attempts", "Attempts sent to upstreams."),
            retries: counter(meter, "bluebell_retries", "Attempts after a first one."),
            recalls: counter(
                meter,
                "bluebell_recalls",
                "Attempts taken back from their engines, to be placed anew.",
            ),
            retries_denied: counter(
                meter,
                "bluebell_retries_denied",
                "Retries that were due while the budget was used up.",
            ),
            upstream_refusals: counter(
                meter,
                "bluebell_upstream_refusals",
                "Attempts that an upstream refused before it began.",
            ),
            dropped_events: counter(
                meter,
                "bluebell_dropped_events",
                "Events and answers dropped because they came late, crossed or twice.",
            ),
        }
    }
}

/// Counters of control work and traffic, and the version of the configuration in force.
#[derive(Debug)]
pub(super) struct ControlCounts {
    pub(super) claims: Counter<u64>,
    pub(super) appends: Counter<u64>,
    pub(super) control_bytes: Counter<u64>,
    pub(super) config_version: Gauge<u64>,
}

impl ControlCounts {
    pub(super) fn open(meter: &Meter) -> Self {
        Self {
            claims: counter(
                meter,
                "bluebell_claims",
                "Claims of idempotency keys written.",
            ),
            appends: counter(
                meter,
                "bluebell_appends",
                "Appends sent to the platform's log.",
            ),
            control_bytes: counter(
                meter,
                "bluebell_control_bytes",
                "Bytes of control traffic, by peer.",
            ),
            config_version: gauge(
                meter,
                "bluebell_config_version",
                "Version of the configuration in force here.",
            ),
        }
    }
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
