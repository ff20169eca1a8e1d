//! The whole path over real sockets: caller, node, platform, engine, service.

use crate::support::{Fleet, wait_for};
use serde_json::json;

#[test]
fn work_is_answered_through_every_node() {
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

/// A family's notice is sent once more through another node because the first answer was slow to
/// come: the second call must be told that the first holds the key, and no engine runs it twice.
#[test]
fn a_key_runs_once_through_whichever_node_it_comes() {
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

/// An operator asks a node for its upstreams and reads `null`, whatever serves: the administration
/// API takes them out of the node's word on the fleet, which had the nodes only.
#[test]
fn operators_are_told_of_the_upstreams() {
    let fleet = Fleet::start(1, 2);
    let upstreams = fleet.admin(0, "/admin/upstreams");
    let upstreams = upstreams.as_array().expect("a list of upstreams");
    let mut told: Vec<_> = upstreams
        .iter()
        .map(|entry| (entry["name"].as_str(), entry["role"].as_str()))
        .collect();
    told.sort_unstable();
    let wanted = [
        (Some("board-0"), Some("service")),
        (Some("engine-0"), Some("engine")),
        (Some("engine-1"), Some("engine")),
    ];
    assert_eq!(told, wanted);
    assert!(upstreams.iter().all(|entry| entry["state"] == "live"));
    fleet.stop();
}

/// An operator watches what nodes tell one another against the control budget and finds no such
/// metric: the peer interface counted its bytes, but nobody handed the counts to the metrics.
#[test]
fn traffic_between_nodes_is_a_metric() {
    let fleet = Fleet::start(2, 1);
    let bytes = || fleet.metric(0, r#"bluebell_control_bytes_total{peer="node"}"#);
    wait_for("probes to be counted", || bytes() > 0.0);
    let before = bytes();
    wait_for("further probes to be added", || bytes() > before);
    fleet.stop();
}

/// Nodes that start while the platform's list names none of them stand alone, though their
/// settings name a node that could tell them of the others.
#[test]
fn nodes_that_no_list_names_meet_by_seeds() {
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
