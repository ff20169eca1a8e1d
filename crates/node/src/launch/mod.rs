//! Starting a node on a thread of its own, and the handle to it.
//!
//! Invariants: a node is started whole or not at all; an address that can't be bound is an error
//! before any caller is served.

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

/// Why a node could not start.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// A part could not be opened.
    #[error("{part}: {reason}")]
    Part {
        /// The part.
        part: &'static str,
        /// Why.
        reason: Arc<str>,
    },
    /// The node's thread could not be started.
    #[error("no thread for the node: {0}")]
    Thread(#[from] io::Error),
    /// The node ended while it started.
    #[error("the node ended while it started")]
    Ended,
}

impl LaunchError {
    fn part(part: &'static str, error: impl ToString) -> Self {
        let reason = error.to_string().into();
        Self::Part { part, reason }
    }
}

/// Where a running node listens.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddresses {
    /// The callers' interface.
    pub callers: Address,
    /// The administration API.
    pub admin: Address,
    /// The peer interface.
    pub peers: Address,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    addresses: NodeAddresses,
    stop: NodeStop,
    thread: JoinHandle<()>,
}

/// Tells a running node to stop; usable from any thread, such as a signal handler's.
#[derive(Clone, Debug)]
pub struct NodeStop {
    link: InboxSender,
}

impl NodeStop {
    /// Begins the planned stop.
    pub fn drain(&self) {
        self.link.send(|stakker| wiring::drain(stakker));
    }
}

impl Node {
    /// Starts a node with its settings.
    ///
    /// # Errors
    /// The part that could not be opened, and why.
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

    /// Where it listens.
    pub fn addresses(&self) -> &NodeAddresses {
        &self.addresses
    }

    /// A handle that tells it to stop.
    pub fn stopper(&self) -> NodeStop {
        self.stop.clone()
    }

    /// Waits until the node has ended by itself.
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
            // The receiver waits for exactly this message.
            let _ = started.send(Err(error));
            return;
        }
    };
    let stop = NodeStop {
        link: running.link(),
    };
    let _ = started.send(Ok((running.addresses().clone(), stop)));
    running.run(&mut stakker);
}
