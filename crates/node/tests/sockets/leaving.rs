//! Tests of engines that are leaving or unreachable while the platform's list still has them live.

use crate::support::{Fleet, wait_for};
use bluebell_stand_ins::faults::FaultSwitches;
use serde_json::json;

/// An engine whose VM is about to be replaced refuses a request while the list still has it live.
/// Another engine must answer the request, and both nodes must send the leaving engine nothing more.
#[test]
fn an_engine_that_reports_leaving_gets_no_new_work_from_any_node() {
    let fleet = Fleet::start(2, 2);
    fleet.engines[0].set_faults(FaultSwitches {
        leaving: true,
        ..FaultSwitches::default()
    });
    for index in 0..2 {
        wait_for("the node to learn that the engine is leaving", || {
            let state = fleet.state(index);
            state["engines"][0]["leaving"] == true || state["engines"][1]["leaving"] == true
        });
    }
    let before = fleet.engines[0].stats().requests_run;
    for index in [0, 1, 0, 1] {
        let body = json!({
            "model": "pond-1", "class": "short-draft", "prompt": "x", "max_tokens": 4
        });
        let answer = fleet.post(index, "/v1/completions", None, &body);
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    assert_eq!(fleet.engines[0].stats().requests_run, before);
    fleet.stop();
}

/// An engine's process ends, and its VM refuses connections until the engine is started again. No
/// node may count it as leaving and report that to its peers. Otherwise the fleet would send it
/// nothing for a minute after its return, and a node with a broken network would exclude all engines.
#[test]
fn an_engine_that_refuses_connections_is_not_reported_as_leaving() {
    let mut fleet = Fleet::start(1, 1);
    fleet.engines.clear();
    let body = json!({
        "model": "pond-1", "class": "short-draft", "prompt": "x", "max_tokens": 4
    });
    wait_for("a refused connection", || {
        let refused = fleet.post(0, "/v1/completions", None, &body);
        assert_ne!(refused.status, 200, "{}", refused.text);
        fleet.metric(0, "bluebell_upstream_refusals") > 0.0
    });
    assert_eq!(fleet.state(0)["members"]["refused"], json!([]));
    fleet.stop();
}
