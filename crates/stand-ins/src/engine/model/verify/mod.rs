//! Re-checks all invariants of the model from its records; for tests, after each call.

use super::EngineModel;
use super::stream::Phase;

impl EngineModel {
    /// Checks every invariant anew.
    ///
    /// # Errors
    /// What does not hold, in words.
    pub fn verify(&self) -> Result<(), String> {
        self.verify_memory()?;
        self.verify_lists()
    }

    fn verify_memory(&self) -> Result<(), String> {
        let running = self.streams.iter().filter(|(_, stream)| stream.runs());
        let streams: u64 = running.map(|(_, stream)| stream.need_tokens).sum();
        let rows = self.reservations.values();
        let reserved: u64 = rows.map(|row| row.what.kv_tokens.0).sum();
        let exported: u64 = self.exports.values().map(|row| row.what.tokens.0).sum();
        let held = streams + reserved + exported;
        check(held == self.held_tokens, || {
            format!("{held} tokens are held, {} counted", self.held_tokens)
        })?;
        let reclaimable = self.cache.count_reclaimable();
        check(reclaimable == self.cache.reclaimable_tokens(), || {
            format!("{reclaimable} tokens are reclaimable, another count is kept")
        })?;
        let capacity = self.settings.kv_capacity_tokens.0;
        check(held + reclaimable <= capacity, || {
            format!("{held} held and {reclaimable} reclaimable exceed {capacity} tokens")
        })
    }

    fn verify_lists(&self) -> Result<(), String> {
        check(self.running.len() <= self.settings.slots as usize, || {
            "more streams run than there are slots".into()
        })?;
        for (key, stream) in self.streams.iter() {
            let waits = self.waiting.contains(&key);
            let runs = self.running.contains(&key);
            let right = match stream.phase {
                Phase::Waiting => waits && !runs,
                Phase::Prefill | Phase::Decode => runs && !waits,
                Phase::Ended => !runs && !waits && stream.kept_prefixes == 0,
            };
            check(right, || format!("{key} is in the wrong list"))?;
            check(stream.produced <= stream.total, || {
                format!("{key} gave more events than its answer has")
            })?;
        }
        Ok(())
    }
}

fn check(holds: bool, fault: impl FnOnce() -> String) -> Result<(), String> {
    if holds { Ok(()) } else { Err(fault()) }
}
