//! Tests the token bucket and the backoff by themselves.

use bluebell_base::prelude::*;
use bluebell_platform::{Backoff, BackoffSettings, TokenBucket};
use proptest::prelude::*;

proptest! {
    /// No more tokens are taken than the burst and the rate allow, and a returned wait is
    /// sufficient.
    #[test]
    fn bucket_stays_within_its_rate(
        rate in 0.1f64..500.0,
        burst in 1.0f64..20.0,
        steps_ms in prop::collection::vec(0u64..200, 1..300),
    ) {
        let mut bucket = TokenBucket::new(PerSecond(rate), burst, 0);
        let (mut now_ms, mut taken) = (0, 0.0);
        for step_ms in steps_ms {
            now_ms += step_ms;
            if let Err(wait_ms) = bucket.take(now_ms) {
                now_ms += wait_ms.0;
                prop_assert_eq!(bucket.take(now_ms), Ok(()));
            }
            taken += 1.0;
            let allowed = burst + rate * now_ms as f64 / 1000.0;
            prop_assert!(taken <= allowed + 0.01, "{} of {}", taken, allowed);
        }
    }

    /// Delays double up to the cap and are in the upper half of their step.
    #[test]
    fn backoff_delays_stay_within_their_steps(seed in any::<u64>()) {
        let settings = BackoffSettings { first_ms: SpanMs(100), cap_ms: SpanMs(1_000) };
        let mut backoff = Backoff::new(settings, seed);
        for round in 0..2 {
            for step_ms in [100, 200, 400, 800, 1_000, 1_000] {
                let delay_ms = backoff.next_delay().0;
                let fits = (step_ms / 2..=step_ms).contains(&delay_ms);
                prop_assert!(fits, "{} in round {}", delay_ms, round);
            }
            backoff.reset();
        }
    }
}

#[test]
fn clock_that_goes_backwards_adds_no_tokens() {
    let mut bucket = TokenBucket::new(PerSecond(1.0), 1.0, 1_000);
    assert_eq!(bucket.take(1_000), Ok(()));
    assert_eq!(bucket.take(0), Err(SpanMs(1_000)));
    assert_eq!(bucket.take(1_000), Err(SpanMs(1_000)));
    assert_eq!(bucket.take(2_000), Ok(()));
}

#[test]
fn bucket_without_rate_gives_its_burst_only() {
    let mut bucket = TokenBucket::new(PerSecond(0.0), 2.0, 0);
    assert_eq!(bucket.take(0), Ok(()));
    assert_eq!(bucket.take(0), Ok(()));
    assert!(bucket.take(1_000_000).is_err());
}
