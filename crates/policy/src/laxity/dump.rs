//! Text output of the production policy.

use super::Laxity;
use std::fmt::Write;

impl Laxity {
    /// Returns the policy's state, one item per line.
    pub(super) fn print(&self) -> String {
        let mut text = String::new();
        let queued = self.tables.queue.len();
        let drain = self.demand.drain_per_s().unwrap_or(0.0);
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "policy {}: {queued} queued, drained at {drain:.0} tok/s",
            self.settings.kind
        );
        crate::tables::dump(&self.tables, &mut text);
        text
    }
}
