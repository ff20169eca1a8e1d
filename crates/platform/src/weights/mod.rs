//! The weight store: the model versions that it holds and the rate at which they may be read.
//!
//! Engines fetch weights themselves when they are ordered to load them. The fleet shares the
//! store's rate limit, so the node with the duty for load orders paces them.

mod http;

pub use http::HttpWeights;

use bluebell_base::prelude::*;
use serde::{Deserialize, Serialize};
use stakker::{Core, Ret};

/// The store's description of one model version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightInfo {
    /// The model.
    pub model: ModelName,
    /// The version of its weights or adapter.
    pub version: u64,
    /// The size of the weights or adapter.
    pub size_bytes: Bytes,
    /// The maximum rate of all readers together, in bytes per second.
    pub limit_bytes: PerSecond,
}

/// The port to the platform's weight store.
pub trait WeightPort {
    /// Returns the description of one model version. The error is of kind `NotFound` if the version
    /// doesn't exist.
    fn info(
        &self,
        core: &mut Core,
        model: &ModelName,
        version: u64,
        ret: Ret<Result<WeightInfo, Error>>,
    );
}
