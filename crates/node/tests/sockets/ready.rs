//! When a node says that it is ready.

use crate::support::Fleet;

/// A node starts while no engine is known, such as with the platform's list down. A peer gave it
/// the configuration, so callers' work would be taken and refused for want of an engine; the
/// balancer must not send any here.
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
