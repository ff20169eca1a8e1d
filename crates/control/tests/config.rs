//! Configuration on the log, under faults.

mod support;

use bluebell_base::prelude::*;
use bluebell_control::Published;
use support::{Fleet, config_text};

/// An operator publishes; every node has it in force within seconds.
#[test]
fn a_publication_is_in_force_everywhere() {
    let mut fleet = Fleet::with_nodes(1, 9);
    fleet.run_ms(3_000);
    let answer = fleet.publish_now(0, 0, &config_text(1_000));
    let version = ConfigVersion(1);
    assert_eq!(answer, Ok(Published::Accepted { version }));
    fleet.run_ms(1_000);
    for index in 0..9 {
        assert_eq!(fleet.versions(index), vec![version]);
    }
}
