//! Writes the progress line on a terminal.

use crate::tally::Tally;
use std::io::{IsTerminal, Write, stderr};
use std::time::Duration;

/// Returns true if standard error is a terminal.
pub fn is_terminal() -> bool {
    stderr().is_terminal()
}

/// Overwrites the progress line.
pub fn write(tally: &Tally, offered: u64, elapsed: Duration) {
    let failed = tally.ended - tally.whole;
    let line = format!(
        "\r{:>6.1} s  ended {}/{offered}  whole {}  failed {failed}  tokens {}\x1b[K",
        elapsed.as_secs_f64(),
        tally.ended,
        tally.whole,
        tally.tokens
    );
    // A closed terminal is no reason to stop the run.
    let _ = stderr().write_all(line.as_bytes());
}

/// Ends the progress line with a newline, so that it stays on the terminal.
pub fn end() {
    let _ = stderr().write_all(b"\n");
}
