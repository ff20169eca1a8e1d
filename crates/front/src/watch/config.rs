//! The configuration in force.
//!
//! Load pattern: operators write several versions a second for some seconds, and all nodes have an
//! open read that each of them ends; peers tell of a version at the moment at which the own read
//! is about to.
//!
//! Reason for the limits: a node that reads on a moment later takes several versions in one read,
//! and one that lets its own read end first needs no second one. In each failure domain a few nodes
//! read and the others copy from them.

use super::era;
use super::follow::{self, Followed};
use super::retry::Backoff;
use crate::copies::ConfigCopy;
use crate::journal::Event;
use crate::node::Node;
use crate::platform::{ConfigUpdate, Cursor, DirectoryError};
use bluebell_base::prelude::*;
use bluebell_fleet::long_poll;
use bluebell_fleet::prelude::*;
use bytes::Bytes as Buffer;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::rc::Rc;
use std::time::Duration;

/// How long a node lets its own read end after a peer told of a newer version. A read that is still
/// open then is behind a silent connection.
const OWN_READ_MS: SpanMs = SpanMs(250);

/// The pause after a version was taken: a quarter of the two seconds in which the next must be in
/// force.
const GATHER_MS: SpanMs = SpanMs(500);

/// After how long without an answer the first configuration is asked for again: a sound directory
/// answers within some ms, one that is slow within some hundred.
const AGAIN_MS: SpanMs = SpanMs(400);

/// How long a node waits at most for a configuration as new as its peers': what a peer tells may be
/// wrong, and must not keep the node from serving.
const LONGEST_HELD_BACK_MS: SpanMs = SpanMs(5_000);

/// The pause after a version was copied. It adds up along a chain of nodes that copy from each other.
const COPY_GATHER_MS: SpanMs = SpanMs(200);

/// The pause of a follower that finds a version which a peer named neither at peers nor in the
/// directory: there may be none.
const UNFOUND_PAUSE_MS: SpanMs = SpanMs(2_000);

/// How often a node that waits for a version checks whether it still hears its peers.
pub(super) const PROBE_INTERVAL_MS: SpanMs = SpanMs(1_000);

/// Watches the configuration until the process ends.
pub async fn watch_config(node: Rc<Node>) {
    let mut watch = ConfigWatch {
        node,
        cursor: None,
        held_back_ms: None,
        backoff: Backoff::new("configuration"),
    };
    loop {
        match follow::parent(&watch.node) {
            Some(_) => watch.follow().await,
            None => watch.read().await,
        }
    }
}

/// The state of the watch.
struct ConfigWatch {
    node: Rc<Node>,
    /// Up to where the directory was read; none where what followed was copied, or nothing was read yet.
    cursor: Option<Cursor>,
    /// Since when an older configuration than the peers' isn't taken.
    held_back_ms: Option<MonoMs>,
    backoff: Backoff,
}

impl ConfigWatch {
    /// Waits for the next version at peers, or for this node to become a reader.
    async fn follow(&mut self) {
        self.cursor = None;
        match follow::follow(&self.node).await {
            Followed::Reader => {}
            Followed::Copied(config, copy) => {
                take(&self.node, Rc::new(config), TextFrom::Peer(copy));
                tokio::time::sleep(Duration::from(COPY_GATHER_MS)).await;
            }
            Followed::Nowhere => {
                self.read().await;
                if self.node.directory_watch.is_behind() {
                    tokio::time::sleep(Duration::from(UNFOUND_PAUSE_MS)).await;
                }
            }
        }
    }

    /// Reads the next version from the directory, and pauses.
    async fn read(&mut self) {
        let node = self.node.clone();
        let begun_ms = node.now_ms();
        let read = match self.cursor {
            Some(cursor) => next_read(&node, cursor).await,
            None if node.config_version().is_none() => first_read(&node).await,
            None => {
                let directory = &node.platform.directory;
                directory.read_config(None, SpanMs::ZERO).await
            }
        };
        match read {
            Ok(update) => self.take_in(update).await,
            Err(error) => {
                node.journal.record(&Event::ConfigReadFailed {
                    reason: error.to_string().into(),
                    waited_ms: node.now_ms().since(begun_ms),
                });
                self.backoff.failed(&node, &error).await;
            }
        }
    }

    async fn take_in(&mut self, update: ConfigUpdate) {
        let node = &self.node;
        self.backoff.succeeded(node);
        era::on_era(node, update.cursor.era);
        if let Some(config) = &update.config
            && is_held_back(node, config, &mut self.held_back_ms)
        {
            tokio::time::sleep(Duration::from(AGAIN_MS)).await;
            return;
        }
        self.cursor = Some(update.cursor);
        if let Some(config) = update.config {
            take(node, config, TextFrom::Directory(update.text));
            tokio::time::sleep(Duration::from(GATHER_MS)).await;
        }
    }
}

/// Whether a node's first configuration is not to be taken, since peers hold a newer one: the directory
/// came back from an older copy, and what the operators had written there is written again in a moment.
fn is_held_back(node: &Node, config: &ServingConfig, since_ms: &mut Option<MonoMs>) -> bool {
    let first = node.with(|state| state.config.is_none());
    if !first || !node.directory_watch.is_older_than_known(config.version()) {
        return false;
    }
    let now_ms = node.now_ms();
    now_ms.since(*since_ms.get_or_insert(now_ms)) < LONGEST_HELD_BACK_MS
}

/// Reads the newest configuration, on one more connection at a time while none answers.
///
/// Nodes that start while the directory is away send their first read into silence, and an answer that
/// was lost never comes. Given up after a second or two, it kept nodes from serving for up to 0.9 s
/// after the directory was back.
async fn first_read(node: &Node) -> Result<ConfigUpdate, DirectoryError> {
    let directory = &node.platform.directory;
    let mut reads = FuturesUnordered::new();
    loop {
        reads.push(directory.read_config(None, SpanMs::ZERO));
        let again = tokio::time::sleep(Duration::from(AGAIN_MS));
        tokio::pin!(again);
        loop {
            let read = tokio::select! {
                Some(read) = reads.next() => read,
                () = &mut again => break,
            };
            if read.is_ok() || reads.is_empty() {
                if read.is_ok() && node.directory_watch.directory_away.replace(false) {
                    node.directory_watch.directory_back.notify_one();
                }
                node.directory_watch.directory_away.set(read.is_err());
                return read;
            }
        }
        node.directory_watch.directory_away.set(true);
    }
}

/// Waits for a newer configuration.
async fn next_read(node: &Node, cursor: Cursor) -> Result<ConfigUpdate, DirectoryError> {
    let directory = &node.platform.directory;
    let other_readers = follow::readers(node) - 1;
    let wait_ms = long_poll::long_poll_timeout(other_readers, rand::random());
    tokio::select! {
        read = directory.read_config(Some(cursor), wait_ms) => read,
        // A read that was begun before is behind a connection that may never answer.
        () = node.directory_watch.directory_returned() => {
            directory.read_config(Some(cursor), SpanMs::ZERO).await
        }
        () = overtaken(node) => directory.read_config(Some(cursor), SpanMs::ZERO).await,
        // An open read may be behind a connection to the directory as it was.
        () = era::later_than(node, cursor.era) => directory.read_config(None, SpanMs::ZERO).await,
    }
}

/// Ends where the open read isn't to be relied on: a peer has known a newer version for a while, or
/// the peers on which its length relied are no longer heard.
async fn overtaken(node: &Node) {
    let told = long_poll::can_rely_on_peers(node.outbox.live_peer_count());
    loop {
        let probe = tokio::time::sleep(Duration::from(PROBE_INTERVAL_MS));
        tokio::select! {
            () = node.directory_watch.newer_config.notified() => {
                tokio::time::sleep(Duration::from(OWN_READ_MS)).await;
            }
            () = probe => {}
        }
        let alone = told && !long_poll::can_rely_on_peers(node.outbox.live_peer_count());
        if alone || node.directory_watch.is_behind() {
            return;
        }
    }
}

/// Where a configuration's text came from.
enum TextFrom {
    Directory(Option<Buffer>),
    Peer(ConfigCopy),
}

/// Puts a configuration in force where it is newer than the one that is.
fn take(node: &Node, config: Rc<ServingConfig>, text: TextFrom) {
    let version = config.version();
    let routes = config.route_count();
    let now_ms = node.now_ms();
    let replaced = node.with(|state| {
        let old = state.config.as_ref().map(|c| c.version());
        if old.is_some_and(|old| old >= version) {
            return None;
        }
        let services = config.services().map(|service| service.name.clone());
        state.replicas.set_services(services);
        state.config = Some(config);
        Some(old)
    });
    let Some(replaced) = replaced else {
        return;
    };
    let from = match &text {
        TextFrom::Directory(_) => "directory",
        TextFrom::Peer(_) => "peer",
    };
    match text {
        TextFrom::Directory(text) => node.copies.on_read(text),
        TextFrom::Peer(copy) => node.copies.on_copied(copy),
    }
    let behind_ms = node.directory_watch.on_config_in_force(version, now_ms);
    node.directory_watch.learned.notify_waiters();
    node.outbox.config(version);
    node.journal.record(&Event::ConfigInForce {
        version,
        routes,
        replaced,
        from,
        behind_ms,
    });
}
