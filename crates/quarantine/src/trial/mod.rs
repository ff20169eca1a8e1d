//! The trials of suspected requests: which of them run, and on which servers.
//!
//! Load pattern: several fatal requests, and sound ones beside them, share the few servers of a service. Each
//! crash has all of them on it, so that crashes alone don't show which of them is the cause.
//!
//! Reason for the limits: a suspect that is run once at a time, on a server without another suspect, shows by
//! the first crash or the first answer what it is. One node runs the trials of a service, so that no two
//! nodes try a request at the same time.
//!
//! Invariants: a request has at most one trial at a time, and a server at most one suspect in a trial.

use crate::digest::RequestDigest;
use crate::evidence::ServerRun;
use crate::review;
use rustc_hash::{FxHashMap, FxHasher};
use std::hash::Hasher;

/// The trials of suspected requests that this node runs.
#[derive(Debug, Default)]
pub struct SuspectTrials {
    /// The server of each trial, or `None` while it has none.
    running: FxHashMap<RequestDigest, Option<ServerRun>>,
}

impl SuspectTrials {
    /// Returns true if no trial is under way.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns true if a trial of a request is under way.
    pub fn is_running(&self, digest: &RequestDigest) -> bool {
        self.running.contains_key(digest)
    }

    /// Begins a trial of a request. Returns false if one is under way.
    pub fn begin(&mut self, digest: RequestDigest) -> bool {
        if self.is_running(&digest) {
            return false;
        }
        self.running.insert(digest, None);
        true
    }

    /// Records that the trial of a request runs on a server.
    pub fn on_sent(&mut self, digest: &RequestDigest, run: ServerRun) {
        if let Some(server) = self.running.get_mut(digest) {
            *server = Some(run);
        }
    }

    /// Ends the trial of a request.
    pub fn end(&mut self, digest: &RequestDigest) {
        self.running.remove(digest);
    }

    /// Returns the servers on which other requests than this one are tried.
    pub fn servers_of_others(&self, digest: &RequestDigest) -> impl Iterator<Item = ServerRun> {
        let others = self.running.iter();
        let others = others.filter(move |(other, _)| *other != digest);
        others.filter_map(|(_, server)| *server)
    }
}

/// Returns the node among `nodes` that tries the suspected requests of a service. Nodes with the same live
/// peers agree.
pub fn trial_node(service: &str, nodes: impl IntoIterator<Item = u64>) -> Option<u64> {
    let mut hasher = FxHasher::default();
    hasher.write(service.as_bytes());
    review::first(hasher.finish(), nodes)
}
