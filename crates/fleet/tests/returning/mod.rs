//! What the tests of return times share.

use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;

/// The shortest time after which a return is useful.
pub const SOONEST_MS: SpanMs = SpanMs(300);

pub fn service() -> ServiceName {
    ServiceName("render".into())
}

pub fn work(placed_ms: u64) -> Work {
    Work {
        first: ReplicaKey(0),
        helpers: Vec::new(),
        memory: Vec::new(),
        stage: Stage::Reading,
        placed_ms: MonoMs(placed_ms),
        prompt_tokens: Tokens(5_000),
        part_ms: 20.0,
        gap_ms: SpanMs(200),
        due_ms: MonoMs(placed_ms + 300),
    }
}

pub fn id(sequence: u32) -> WorkId {
    let owner = OwnerId(1);
    WorkId { owner, sequence }
}
