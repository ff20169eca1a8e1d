//! Start of a node on its own thread, and the handle to the running node.
//!
//! Invariants: a node starts with all its parts or not at all. An address that can't be bound is an
//! error before any caller is served.

mod wiring;

use bluebell_base::prelude::*;
use bluebell_bridge::InboxSender;
use bluebell_settings::NodeSettings;
use crossbeam_channel::{Sender, bounded};
use serde::{Deserialize, Serialize};
use stakker::Stakker;
use std::io;
use std::thread::{self, JoinHandle};
use wiring::Running;

/// The error of a node that couldn't start.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// A part couldn't be opened.
    #[error("{part}: {reason}")]
    Part {
        /// The name of the part.
        part: &'static str,
        /// The part's error.
        reason: Arc<str>,
    },
    /// The node's thread couldn't be started.
    #[error("the node's thread can't be started: {0}")]
    Thread(#[from] io::Error),
    /// The node's thread ended before the node had started.
    #[error("the node ended while it started")]
    Ended,
}

impl LaunchError {
    fn part(part: &'static str, error: impl ToString) -> Self {
        let reason = error.to_string().into();
        Self::Part { part, reason }
    }
}

/// The addresses on which a running node listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddresses {
    /// The address of the callers' interface.
    pub callers: Address,
    /// The address of the administration API.
    pub admin: Address,
    /// The address of the peer interface.
    pub peers: Address,
}

/// A handle to a running node.
#[derive(Debug)]
pub struct Node {
    addresses: NodeAddresses,
    stop: NodeStop,
    thread: JoinHandle<()>,
}

/// A handle that stops a running node. It can be used from any thread, such as that of a signal
/// handler.
#[derive(Clone, Debug)]
pub struct NodeStop {
    inbox: InboxSender,
}

impl NodeStop {
    /// Begins the node's planned stop.
    pub fn drain(&self) {
        self.inbox.send(|stakker| wiring::drain(stakker));
    }
}

impl Node {
    /// Starts a node with its settings and waits until it listens.
    ///
    /// # Errors
    /// Returns an error if a part couldn't be opened or the node's thread couldn't be started.
    pub fn spawn(settings: NodeSettings) -> Result<Self, LaunchError> {
        let (started, start) = bounded(1);
        let name = format!("node-{}", settings.name);
        let thread = thread::Builder::new()
            .name(name)
            .spawn(move || run(settings, &started))?;
        let (addresses, stop) = start.recv().map_err(|_| LaunchError::Ended)??;
        Ok(Self {
            addresses,
            stop,
            thread,
        })
    }

    /// Returns the addresses on which the node listens.
    pub fn addresses(&self) -> &NodeAddresses {
        &self.addresses
    }

    /// Returns a handle that stops the node.
    pub fn stopper(&self) -> NodeStop {
        self.stop.clone()
    }

    /// Waits until the node's thread has ended.
    pub fn join(self) {
        if self.thread.join().is_err() {
            log::error!("the node's thread panicked");
        }
    }
}

type Started = Result<(NodeAddresses, NodeStop), LaunchError>;

fn run(settings: NodeSettings, started: &Sender<Started>) {
    let mut stakker = Stakker::new(std::time::Instant::now());
    let running = match Running::open(&mut stakker, settings) {
        Ok(running) => running,
        Err(error) => {
            // The receiver waits for this message, so sending it can't fail.
            let _ = started.send(Err(error));
            return;
        }
    };
    let stop = NodeStop {
        inbox: running.inbox_sender(),
    };
    let _ = started.send(Ok((running.addresses().clone(), stop)));
    running.run(&mut stakker);
}
