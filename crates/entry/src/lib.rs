//! The callers' and the operators' HTTP interfaces, on `tiny_http`, and their codecs.
//!
//! Terms: the *callers' interface* takes completions and service calls; the *administration API*
//! takes the operators' calls on an address of its own.

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

/// Takes the answer to an operator's call.
pub type Reply<T> = Box<dyn FnOnce(Result<T, Error>) + Send>;

/// A call from the administration API, already authenticated.
pub enum AdminCall {
    /// The configuration in force: version and text.
    Config(Reply<ConfigText>),
    /// The versions that came into force at this node, oldest first.
    History(Reply<Vec<VersionSeen>>),
    /// Publish a configuration based on a version.
    Publish {
        /// The version it was based on.
        base: ConfigVersion,
        /// Its text, already checked.
        body: Arc<str>,
        /// Takes the answer.
        reply: Reply<Published>,
    },
    /// Stop gracefully: no new work, finish what runs, hand duties over, exit.
    Drain(Reply<()>),
    /// The state of the process, as JSON text.
    Dump(Reply<Arc<str>>),
    /// Who is there, as JSON text.
    Fleet(Reply<Arc<str>>),
    /// Whether the node takes new work; an error says why not.
    Ready(Reply<()>),
    /// The metrics in the Prometheus text format.
    Metrics(Reply<Arc<str>>),
}

/// A configuration's version and text.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ConfigText {
    /// The version.
    pub version: ConfigVersion,
    /// The JSON text.
    pub body: Arc<str>,
}
