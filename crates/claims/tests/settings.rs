//! The validation of the settings, and the assignment of keys to shards.

use bluebell_base::prelude::*;
use bluebell_claims::{ClaimSettings, SettingsError, shard_of};
use bluebell_peers::ClaimKey;

const HOUR_MS: u64 = 3_600_000;

#[test]
fn a_key_must_expire_before_its_record() {
    let settings = ClaimSettings::default();
    let cases = [(24.0, true), (1.25, true), (1.2, false), (1.0, false)];
    for (hours, accepted) in cases {
        let retention_ms = SpanMs(HOUR_MS).mul_f64(hours);
        let checked = settings.check(retention_ms);
        assert_eq!(checked.is_ok(), accepted, "{hours} h: {checked:?}");
    }
}

#[test]
fn limits_of_zero_are_refused() {
    let day_ms = SpanMs(24 * HOUR_MS);
    let no_shards = ClaimSettings {
        shards: 0,
        ..ClaimSettings::default()
    };
    assert_eq!(no_shards.check(day_ms), Err(SettingsError::NoShards));
    let zero_limit = ClaimSettings {
        batch_ops: 0,
        ..ClaimSettings::default()
    };
    assert_eq!(zero_limit.check(day_ms), Err(SettingsError::ZeroLimit));
}

#[test]
fn every_key_has_a_shard() {
    for shards in [1, 3, 16, 64] {
        for key in [0, 1, u128::MAX, u128::MAX / 3] {
            assert!(shard_of(ClaimKey(key), shards) < ShardId(shards));
        }
    }
}
