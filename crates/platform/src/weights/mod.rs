//! The weight store: what versions of which model it holds, and how fast it may be read.
//!
//! Engines fetch weights themselves when ordered to load; the store's rate limit is shared by the
//! fleet, so orders to load are paced by whoever holds the duty for them.

mod http;

pub use http::HttpWeights;

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use stakker::{Core, Ret};

/// What the store says of one model version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightInfo {
    /// The model.
    pub model: ModelName,
    /// The version of its weights or adapter.
    pub version: u64,
    /// Its size.
    pub size_bytes: Bytes,
    /// The rate all readers together may take.
    pub limit_bytes: PerSecond,
}

/// The platform's weight store.
pub trait WeightPort {
    /// Looks up one model version; an error of kind `NotFound` where it does not exist.
    fn info(
        &self,
        core: &mut Core,
        model: &ModelName,
        version: u64,
        ret: Ret<Result<WeightInfo, Error>>,
    );
}
