//! Tests of the timeouts of directory reads, for fleets of several sizes.

use bluebell_fleet::long_poll::long_poll_timeout;
use expect_test::expect;

/// A node whose connection has failed silently learns of a new configuration only from its peers.
/// With reads of equal length that began together, no node would begin a new one for seconds.
#[test]
fn reads_stay_open_longer_in_larger_fleets() {
    let mut table = String::from("peers  shortest  longest, ms\n");
    for peers in [0, 1, 2, 8, 29, 59, 399] {
        let (shortest, longest) = (
            long_poll_timeout(peers, 1.0).0,
            long_poll_timeout(peers, 0.0).0,
        );
        table.push_str(&format!("{peers:>5}  {shortest:>8}  {longest:>7}\n"));
    }
    expect![[r#"
        peers  shortest  longest, ms
            0      1200     1200
            1      1200     1200
            2      4000     8000
            8      4000     8000
           29      6000    12000
           59     12000    24000
          399     12500    25000
    "#]]
    .assert_eq(&table);
}
