//! A bench of processes: the built programs on ports the system picks, ended by their ids.

pub mod fleet;
pub mod loads;
pub mod process;

use std::time::{Duration, Instant};

/// Generous bound on any wait.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The pause between two looks at what is waited for.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Waits for a condition that other processes bring about.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "waited {PATIENCE:?} for {what}");
        std::thread::sleep(LOOK_PAUSE);
    }
}
