//! Prints the cost of a request's digest by the length of its body. Run with `--release`.

use bluebell_quarantine::prelude::*;
use std::time::Instant;

/// The number of requests that are hashed for each length.
const ROUNDS: u32 = 50;

fn main() {
    for kb in [4, 64, 1_024, 4_096] {
        let body = vec![b'a'; kb * 1_024];
        let began = Instant::now();
        for round in 0..ROUNDS {
            let target = format!("/{round}");
            let digest = RequestDigest::of(&RequestParts {
                account: "a",
                method: "POST",
                host: "h",
                target: &target,
                body: &body,
            });
            assert!(digest.may_be_of(&body));
        }
        let each_us = began.elapsed().as_micros() as u64 / u64::from(ROUNDS);
        println!("{kb:>6} KB  {each_us:>6} us");
    }
}
