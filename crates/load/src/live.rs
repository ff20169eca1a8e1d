//! The live line on a terminal.

use crate::tally::Tally;
use std::io::{IsTerminal, Write, stderr};
use std::time::Duration;

/// Whether a live line would be seen.
pub fn is_seen() -> bool {
    stderr().is_terminal()
}

/// Overwrites the live line.
pub fn write(tally: &Tally, offered: u64, elapsed: Duration) {
    let failed = tally.ended - tally.whole;
    let line = format!(
        "\r{:>6.1} s  ended {}/{offered}  whole {}  failed {failed}  tokens {}\x1b[K",
        elapsed.as_secs_f64(),
        tally.ended,
        tally.whole,
        tally.tokens
    );
    // A terminal that went away is no reason to stop the run.
    let _ = stderr().write_all(line.as_bytes());
}

/// Leaves the live line behind.
pub fn end() {
    let _ = stderr().write_all(b"\n");
}
