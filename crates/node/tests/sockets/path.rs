//! Tests of the whole path over real sockets: caller, node, platform, engine and service.

use crate::support::{Fleet, wait_for};
use serde_json::json;

#[test]
fn requests_are_answered_through_every_node() {
    let fleet = Fleet::start(3, 2);
    for index in 0..3 {
        let body = json!({
            "model": "pond-1", "class": "short-draft", "prompt": "a short notice", "max_tokens": 8
        });
        let answer = fleet.post(index, "/v1/completions", None, &body);
        assert_eq!(answer.status, 200, "{}", answer.text);
        assert!(
            answer.json["choices"][0]["text"].is_string(),
            "{}",
            answer.text
        );
    }
    let stream = json!({
        "model": "pond-1", "class": "short-draft", "prompt": "another", "max_tokens": 8,
        "stream": true
    });
    let answer = fleet.post(0, "/v1/completions", None, &stream);
    assert_eq!(answer.status, 200);
    assert!(
        answer.text.trim_end().ends_with("data: [DONE]"),
        "{}",
        answer.text
    );
    fleet.stop();
}

/// Guards against a request that runs twice because its caller, for whom the first answer came too
/// slowly, sends it again through another node. The second call must be answered that the first
/// holds the key and ran, and no engine may run the request again.
#[test]
fn a_key_runs_once_through_any_node() {
    let fleet = Fleet::start(3, 2);
    let body = json!({
        "model": "pond-1", "class": "notice", "prompt": "the one notice", "max_tokens": 8
    });
    let before = fleet.runs();
    let first = fleet.post_until_claimed(0, "notice-1", &body);
    assert_eq!(first.status, 200, "{}", first.text);
    for index in [1, 2, 0] {
        let answer = fleet.post_until_claimed(index, "notice-1", &body);
        assert_eq!(answer.status, 409, "{}", answer.text);
        assert_eq!(answer.json["error"]["verdict"], "ran", "{}", answer.text);
    }
    assert_eq!(fleet.runs() - before, 1);
    fleet.stop();
}

#[test]
fn a_plain_service_is_reached_under_its_prefix() {
    let fleet = Fleet::start(1, 1);
    let body = json!({ "name": "a notice" });
    let answer = fleet.post(0, "/services/notice-board/notices", None, &body);
    assert!(answer.status < 300, "{} {}", answer.status, answer.text);
    fleet.stop();
}

/// Guards against `null` in place of the upstreams: the administration API takes them from the
/// node's view of the fleet, which contained only the nodes.
#[test]
fn the_administration_api_returns_the_upstreams() {
    let fleet = Fleet::start(1, 2);
    let upstreams = fleet.admin(0, "/admin/upstreams");
    let upstreams = upstreams.as_array().expect("a list of upstreams");
    let mut returned: Vec<_> = upstreams
        .iter()
        .map(|entry| (entry["name"].as_str(), entry["role"].as_str()))
        .collect();
    returned.sort_unstable();
    let wanted = [
        (Some("board-0"), Some("service")),
        (Some("engine-0"), Some("engine")),
        (Some("engine-1"), Some("engine")),
    ];
    assert_eq!(returned, wanted);
    assert!(upstreams.iter().all(|entry| entry["state"] == "live"));
    fleet.stop();
}

/// Guards against a missing metric of the traffic between nodes, which operators compare with the
/// control budget: the peer interface counts its bytes, and the node must add them to the metrics.
#[test]
fn metrics_include_traffic_between_nodes() {
    let fleet = Fleet::start(2, 1);
    let bytes = || fleet.metric(0, r#"bluebell_control_bytes_total{peer="node"}"#);
    wait_for("probes to be counted", || bytes() > 0.0);
    let before = bytes();
    wait_for("further probes to be added", || bytes() > before);
    fleet.stop();
}

/// Guards against nodes that don't find each other while the platform's list names none of them,
/// although their settings name a node that knows the others.
#[test]
fn unlisted_nodes_find_each_other_through_seeds() {
    let mut fleet = Fleet::start(0, 1);
    fleet.start_unlisted(&[]);
    let seed = fleet.nodes[0].addresses().peers.clone();
    fleet.start_unlisted(&[&seed]);
    for (index, other) in [(0, "node-1"), (1, "node-0")] {
        wait_for("the other node to be known", || {
            let view = fleet.admin(index, "/admin/fleet");
            let nodes = view["nodes"].as_array().expect("a list of nodes");
            nodes.iter().any(|card| card["name"] == other)
        });
    }
    fleet.stop();
}
