//! Tests of the timeouts of directory reads.

use bluebell_fleet::long_poll::long_poll_timeout;
use expect_test::expect;

/// Guards against reads that end more often than the directory demands, each of which is a call more, and against
/// reads of nodes that started together which all end at the same moment.
#[test]
fn reads_stay_open_for_long_and_drift_apart() {
    let mut table = String::from("draw  open, ms\n");
    for draw in [0.0, 0.5, 1.0] {
        table.push_str(&format!("{draw:>4}  {:>8}\n", long_poll_timeout(draw).0));
    }
    expect![[r#"
        draw  open, ms
           0     25000
         0.5     18750
           1     12500
    "#]]
    .assert_eq(&table);
}
