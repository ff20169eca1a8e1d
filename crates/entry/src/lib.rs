//! The HTTP interfaces for callers and operators, built on `tiny_http`, and their codecs.
//!
//! Terms: the *callers' interface* accepts completions and service calls; the *administration API*
//! accepts the operators' calls on an address of its own.

mod admin;
mod callers;
mod calls;
mod http;
mod settings;

pub use admin::Admin;
pub use callers::Callers;
#[doc(hidden)]
pub use callers::decoding;
pub use settings::{AdminSettings, BindError, CallersSettings};

use bluebell_base::prelude::*;
use bluebell_control::{Published, VersionSeen};

/// Receives the answer to an operator's call.
pub type Reply<T> = Box<dyn FnOnce(Result<T, Error>) + Send>;

/// A call from the administration API, already authenticated.
pub enum AdminCall {
    /// Returns the version and text of the configuration in force.
    Config(Reply<ConfigText>),
    /// Returns the versions that came into force at this node, oldest first.
    History(Reply<Vec<VersionSeen>>),
    /// Publishes a configuration that is based on a given version.
    Publish {
        /// The version that the configuration is based on.
        base: ConfigVersion,
        /// The JSON text of the configuration, already validated.
        body: Arc<str>,
        /// Receives the answer.
        reply: Reply<Published>,
    },
    /// Stops the node gracefully: it accepts no new work, finishes running work, hands its duties
    /// over and exits.
    Drain(Reply<()>),
    /// Returns the state of the process as JSON text.
    Dump(Reply<Arc<str>>),
    /// Returns the known nodes and upstreams as JSON text.
    Fleet(Reply<Arc<str>>),
    /// Checks that the node accepts new work. The error gives the reason if it doesn't.
    Ready(Reply<()>),
    /// Returns the metrics in the Prometheus text format.
    Metrics(Reply<Arc<str>>),
}

/// The version and text of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ConfigText {
    /// The version.
    pub version: ConfigVersion,
    /// The JSON text.
    pub body: Arc<str>,
}
