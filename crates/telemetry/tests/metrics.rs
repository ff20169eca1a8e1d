//! Tests of the rendered metrics and of the state dump.

use bluebell_base::prelude::*;
use bluebell_telemetry::{Metrics, Peer, StateDump};

/// Returns the rendered lines without those of comments.
fn values(metrics: &Metrics) -> Vec<String> {
    let text = metrics.render().expect("text");
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines.map(str::to_owned).collect()
}

#[test]
fn counters_and_gauges_carry_their_labels() {
    let metrics = Metrics::open().expect("metrics");
    let class = ClassName::from("draft");
    metrics.admitted(&class, LengthBand::From1k);
    metrics.finished(&class, LengthBand::From1k, SpanMs(900));
    metrics.failed(Verdict::MayHaveRun);
    metrics.refused("too_late");
    metrics.refused("too_late");
    metrics.attempt();
    metrics.attempt();
    metrics.retry();
    metrics.recalled();
    metrics.claims(5);
    metrics.append();
    metrics.control_bytes(Peer::Platform, Bytes(120));
    metrics.config_version(ConfigVersion(7));
    metrics.in_flight(3);
    let values = values(&metrics);
    let wanted = [
        r#"bluebell_admitted_total{band="1k-4k",class="draft"} 1"#,
        r#"bluebell_finished_total{band="1k-4k",class="draft"} 1"#,
        r#"bluebell_end_ms_sum{band="1k-4k",class="draft"} 900"#,
        r#"bluebell_failed_total{verdict="may_have_run"} 1"#,
        r#"bluebell_refused_total{reason="too_late"} 2"#,
        "bluebell_attempts_total 2",
        "bluebell_retries_total 1",
        "bluebell_recalls_total 1",
        "bluebell_claims_total 5",
        "bluebell_appends_total 1",
        r#"bluebell_control_bytes_total{peer="platform"} 120"#,
        "bluebell_config_version 7",
        "bluebell_in_flight 3",
    ];
    for line in wanted {
        assert!(
            values.iter().any(|value| value == line),
            "{line} in {values:#?}"
        );
    }
}

#[test]
fn latencies_fall_into_their_buckets_by_class_and_band() {
    let metrics = Metrics::open().expect("metrics");
    let class = ClassName::from("archive");
    metrics.first_token(&class, LengthBand::From256k, SpanMs(550));
    metrics.between_tokens(&class, LengthBand::From256k, SpanMs(60));
    let values = values(&metrics);
    let labels = r#"band="256k-1M",class="archive""#;
    let wanted = [
        format!(r#"bluebell_first_token_ms_bucket{{{labels},le="400"}} 0"#),
        format!(r#"bluebell_first_token_ms_bucket{{{labels},le="600"}} 1"#),
        format!(r#"bluebell_first_token_ms_sum{{{labels}}} 550"#),
        format!(r#"bluebell_between_tokens_ms_bucket{{{labels},le="53"}} 0"#),
        format!(r#"bluebell_between_tokens_ms_bucket{{{labels},le="75"}} 1"#),
    ];
    for line in wanted {
        assert!(values.contains(&line), "{line} in {values:#?}");
    }
}

#[test]
fn two_nodes_in_one_process_have_separate_metrics() {
    let first = Metrics::open().expect("metrics");
    let second = Metrics::open().expect("metrics");
    first.claims(1);
    assert!(
        values(&first)
            .iter()
            .any(|line| line == "bluebell_claims_total 1")
    );
    assert!(
        !values(&second)
            .iter()
            .any(|line| line == "bluebell_claims_total 1")
    );
}

#[test]
fn a_dump_is_valid_json_for_any_section() {
    let mut dump = StateDump::new();
    dump.section("leases", &[1, 2])
        .text("policy", r#"{"engines":3}"#)
        .text("claims", "shard0 owner\nshard1 owner")
        .text("note", "one line");
    let value: serde_json::Value = serde_json::from_str(&dump.render()).expect("JSON");
    assert_eq!(
        value,
        serde_json::json!({
            "leases": [1, 2],
            "policy": {"engines": 3},
            "claims": ["shard0 owner", "shard1 owner"],
            "note": "one line",
        })
    );
}
