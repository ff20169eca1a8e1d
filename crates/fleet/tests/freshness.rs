//! Tests of the lag of a node's configuration.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;

fn at(ms: u64) -> MonoMs {
    MonoMs(ms)
}

/// Guards against a lag that is too short: it counts from the first version that was missed.
#[test]
fn the_lag_counts_from_the_first_missed_version() {
    let mut freshness = ConfigFreshness::default();
    assert!(freshness.on_known(ConfigVersion(3), at(0)));
    assert!(!freshness.is_behind(), "nothing is in force yet");
    assert_eq!(freshness.on_in_force(ConfigVersion(3), at(10)), SpanMs(0));
    assert!(freshness.on_known(ConfigVersion(5), at(100)));
    assert!(freshness.on_known(ConfigVersion(8), at(400)));
    assert!(!freshness.on_known(ConfigVersion(5), at(500)));
    assert_eq!(freshness.behind_ms(at(600)), SpanMs(500));
    // The version that comes into force isn't the newest one, so the remaining lag is that of the newest.
    assert_eq!(
        freshness.on_in_force(ConfigVersion(5), at(700)),
        SpanMs(600)
    );
    assert_eq!(freshness.behind_ms(at(900)), SpanMs(500));
    assert_eq!(
        freshness.on_in_force(ConfigVersion(8), at(900)),
        SpanMs(500)
    );
    assert!(!freshness.is_behind());
    assert_eq!(freshness.behind_ms(at(9_000)), SpanMs(0));
}

/// Guards against a log without a report of a node that stays behind, or with too many of them.
#[test]
fn a_long_lag_is_reported_once() {
    let mut freshness = ConfigFreshness::default();
    freshness.on_in_force(ConfigVersion(3), at(0));
    freshness.on_known(ConfigVersion(4), at(0));
    assert_eq!(freshness.report(at(999)), None);
    let lag = ConfigLag {
        in_force: ConfigVersion(3),
        newest: ConfigVersion(4),
        behind_ms: SpanMs(1_200),
    };
    assert_eq!(freshness.report(at(1_200)), Some(lag));
    assert_eq!(freshness.report(at(5_000)), None);
    freshness.on_in_force(ConfigVersion(4), at(6_000));
    freshness.on_known(ConfigVersion(5), at(7_000));
    assert!(freshness.report(at(8_000)).is_some());
}
