//! Tests of a node's readiness.

use crate::support::Fleet;

/// Guards against a node that is ready before it knows an upstream, for example because it started
/// while the platform's list was down. It has the configuration from a peer, so the balancer would
/// send it requests, and it would refuse them because it knows no engine.
#[test]
fn a_node_that_knows_no_upstream_is_not_ready() {
    let fleet = Fleet::start_unready();
    crate::support::wait_for("the configuration", || {
        fleet.metric(0, "bluebell_config_version") >= 1.0
    });
    let answer = fleet.agent.get(fleet.url(0, "/readyz")).call();
    assert_eq!(answer.expect("an answer").status(), 503);
    fleet.stop();
}
