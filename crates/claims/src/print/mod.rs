//! Prints a reduced shard for dumps and tests, with one key per line.

use crate::reduce::ShardState;
use crate::table::{Entry, EntryState};
use bluebell_peers::ClaimKey;
use std::fmt;

/// The maximum number of keys printed.
const PRINTED_KEYS: usize = 1000;

impl fmt::Display for ShardState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "next {} at {}", self.next, self.log_ms)?;
        match self.epoch {
            Some(epoch) => write!(f, ", {} of {}", epoch.epoch(), epoch.incarnation)?,
            None => f.write_str(", no epoch")?,
        }
        writeln!(
            f,
            ", batch {}, {} keys",
            self.last_batch,
            self.table().len()
        )?;
        let mut entries: Vec<(ClaimKey, &Entry)> = self.table().iter().collect();
        entries.sort_by_key(|(key, _)| *key);
        for (key, entry) in entries.into_iter().take(PRINTED_KEYS) {
            writeln!(f, "{key} {entry}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Entry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match self.state {
            EntryState::Pending => "pending",
            EntryState::Ran => "ran",
            EntryState::Freed => "freed",
            EntryState::Contested => "contested",
        };
        write!(f, "{state} {} since {}s", self.request, self.claimed_s)
    }
}
