//! Tests of the order in which waiting requests are admitted.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use expect_test::expect;

/// Guards against a short request that waits at its engine behind a long archive prompt that came
/// earlier, and against a ranked account's request that waits behind all others.
#[test]
fn ranks_go_first_and_then_short_targets() {
    let mut table = String::from("rank  300 ms  1500 ms  4000 ms\n");
    for rank in [0, 1, 2, 7] {
        let urgency = |target_ms| Urgency::of(rank, SpanMs(target_ms)).0;
        let (short, middle, long) = (urgency(300), urgency(1_500), urgency(4_000));
        table.push_str(&format!("{rank:>4}  {short:>6}  {middle:>7}  {long:>7}\n"));
    }
    expect![[r#"
        rank  300 ms  1500 ms  4000 ms
           0       0        1        2
           1       3        4        5
           2       6        7        8
           7       6        7        8
    "#]]
    .assert_eq(&table);
}
