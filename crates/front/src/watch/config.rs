//! Keeps the configuration in force up to date.
//!
//! Load pattern: operators write several versions a second for some seconds, and each version ends the
//! long poll that every node holds open. Peers announce a version at about the time at which the
//! node's own poll returns it.
//!
//! Reason for the limits: a node that pauses briefly before its next read gets several versions in one
//! read, and a node that lets its own poll finish first needs no second read. In each failure domain a
//! few nodes read the directory and the others copy from them. Peers may get a version while the directory
//! doesn't answer a reader, which then copies it as well.

use super::era;
use super::evacuations;
use super::follow::{self, FollowResult};
use super::join;
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
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

/// The time that a node's own read of the directory gets to return after a peer announced a newer version.
/// A long poll that is still open then is on a silent connection.
const POLL_GRACE_MS: SpanMs = SpanMs(250);

/// The pause after a version was read, in which further versions gather: a quarter of the two seconds
/// within which a version must be in force.
const READ_PAUSE_MS: SpanMs = SpanMs(500);

/// The time without an answer after which a node sends another read for its first configuration. A
/// healthy directory answers within a few ms, a slow one within a few hundred ms.
const FIRST_READ_RETRY_MS: SpanMs = SpanMs(400);

/// The maximum time for which a node waits for a configuration as new as its peers'. What a peer
/// announces may be wrong, and must not keep the node from serving.
const MAX_HOLD_BACK_MS: SpanMs = SpanMs(5_000);

/// The pause after a version was copied. It adds up along a chain of nodes that copy from each other.
const COPY_PAUSE_MS: SpanMs = SpanMs(200);

/// The pause of a follower that found an announced version neither at its peers nor in the directory.
/// The version may not exist.
const NOT_FOUND_PAUSE_MS: SpanMs = SpanMs(2_000);

/// The pause after which a node that the directory turned away asks its peers again.
const PEER_RETRY_MS: SpanMs = SpanMs(500);

/// The interval at which a node that waits for a version checks that enough peers are still live.
pub(super) const PEER_CHECK_MS: SpanMs = SpanMs(1_000);

/// Watches the configuration until the process ends.
pub async fn watch_config(node: Rc<Node>) {
    let mut watch = ConfigWatch {
        node,
        cursor: None,
        held_back_since_ms: None,
        backoff: Backoff::for_shared_calls("configuration"),
        next_call_ms: MonoMs(0),
    };
    join::wait(&watch.node).await;
    loop {
        match follow::parent(&watch.node) {
            Some(_) => watch.follow().await,
            None => watch.read().await,
        }
    }
}

/// The state of the configuration watcher.
struct ConfigWatch {
    node: Rc<Node>,
    /// The position up to which the directory was read. `None` if nothing was read yet, or if this node was
    /// a follower since.
    cursor: Option<Cursor>,
    /// The time since which a configuration older than the peers' is held back.
    held_back_since_ms: Option<MonoMs>,
    backoff: Backoff,
    /// The time before which a follower doesn't call the directory, because a call failed.
    next_call_ms: MonoMs,
}

impl ConfigWatch {
    /// Waits for the next version from peers, or for this node to become a reader.
    async fn follow(&mut self) {
        self.cursor = None;
        match follow::follow(&self.node).await {
            FollowResult::Reader => {}
            FollowResult::Copied(config, copy) => {
                put_copy_in_force(&self.node, config, copy);
                tokio::time::sleep(Duration::from(COPY_PAUSE_MS)).await;
            }
            FollowResult::NotFound => self.read_as_follower().await,
        }
    }

    /// Reads a version that no peer provided, unless the directory turned this node away shortly before. Peers
    /// may have the version by the time at which it may call again, or before the directory answers.
    async fn read_as_follower(&mut self) {
        let mut pause_ms = PEER_RETRY_MS;
        if self.node.now_ms() >= self.next_call_ms {
            let node = self.node.clone();
            let read = tokio::select! {
                read = self.try_read() => read,
                never = copy_meanwhile(&node) => match never {},
            };
            match read {
                Ok(()) => pause_ms = NOT_FOUND_PAUSE_MS,
                Err(call_pause_ms) => self.next_call_ms = self.node.now_ms() + call_pause_ms,
            }
        }
        if self.node.directory_watch.is_behind() {
            tokio::time::sleep(Duration::from(pause_ms)).await;
        }
    }

    /// Reads the next version from the directory. If the call fails, this node goes on reading, and copies
    /// versions from peers meanwhile.
    async fn read(&mut self) {
        let Err(pause_ms) = self.try_read().await else {
            return;
        };
        let node = self.node.clone();
        tokio::select! {
            () = self.read_again(pause_ms) => {}
            never = copy_meanwhile(&node) => match never {},
        }
    }

    /// Calls the directory after the pause, and again after each failure, until it answers or this node is no
    /// longer a reader.
    async fn read_again(&mut self, mut pause_ms: SpanMs) {
        loop {
            tokio::time::sleep(Duration::from(pause_ms)).await;
            if follow::parent(&self.node).is_some() {
                return;
            }
            match self.try_read().await {
                Ok(()) => return,
                Err(next_pause_ms) => pause_ms = next_pause_ms,
            }
        }
    }

    /// Reads the next version from the directory. After a failure it returns the pause before the next call.
    async fn try_read(&mut self) -> Result<(), SpanMs> {
        let node = self.node.clone();
        let started_ms = node.now_ms();
        let read = match self.cursor {
            Some(cursor) => next_read(&node, cursor).await,
            None if node.config_version().is_none() => first_read(&node).await,
            None => {
                let directory = &node.platform.directory;
                directory.read_config(None, SpanMs::ZERO).await
            }
        };
        match read {
            Ok(update) => {
                self.on_update(update).await;
                Ok(())
            }
            Err(error) => {
                node.journal.record(&Event::ConfigReadFailed {
                    reason: error.to_string().into(),
                    waited_ms: node.now_ms().since(started_ms),
                });
                Err(self.backoff.on_failed(&node, &error))
            }
        }
    }

    /// Puts a configuration that was read in force, or holds it back, and pauses.
    async fn on_update(&mut self, update: ConfigUpdate) {
        let node = &self.node;
        self.backoff.succeeded(node);
        era::on_era(node, update.cursor.era);
        evacuations::on_read(node, &update.evacuations, update.cursor);
        if let Some(config) = &update.config
            && is_held_back(node, config, &mut self.held_back_since_ms)
        {
            tokio::time::sleep(Duration::from(FIRST_READ_RETRY_MS)).await;
            return;
        }
        self.cursor = Some(update.cursor);
        if let Some(config) = update.config {
            put_in_force(node, config, TextSource::Directory(update.text));
            tokio::time::sleep(Duration::from(READ_PAUSE_MS)).await;
        }
    }
}

/// Copies the versions that peers announce and that this node doesn't get in time, without end.
async fn copy_meanwhile(node: &Node) -> Infallible {
    loop {
        node.directory_watch.wait_until_behind().await;
        tokio::time::sleep(Duration::from(POLL_GRACE_MS)).await;
        if !node.directory_watch.is_behind() {
            continue;
        }
        let pause_ms = match follow::copy_from_holders(node).await {
            Some((config, copy)) => {
                put_copy_in_force(node, config, copy);
                COPY_PAUSE_MS
            }
            None => PEER_RETRY_MS,
        };
        tokio::time::sleep(Duration::from(pause_ms)).await;
    }
}

/// Returns true if a node's first configuration must be held back because peers have a newer one. The
/// directory then came back from an older copy, and the operators' later writes are about to be repeated
/// there. `since_ms` keeps the time at which holding back began.
fn is_held_back(node: &Node, config: &ServingConfig, since_ms: &mut Option<MonoMs>) -> bool {
    let first = node.with(|state| state.config.is_none());
    if !first || !node.directory_watch.is_older_than_known(config.version()) {
        return false;
    }
    let now_ms = node.now_ms();
    now_ms.since(*since_ms.get_or_insert(now_ms)) < MAX_HOLD_BACK_MS
}

/// Reads the newest configuration. Adds one more connection after each [`FIRST_READ_RETRY_MS`] without
/// an answer.
///
/// A node that starts during a directory outage gets no answer to its first read, and a lost answer
/// never arrives. With a timeout of a second or two on a single read, nodes began to serve up to 0.9 s
/// after the directory was back.
async fn first_read(node: &Node) -> Result<ConfigUpdate, DirectoryError> {
    let directory = &node.platform.directory;
    let mut reads = FuturesUnordered::new();
    loop {
        reads.push(directory.read_config(None, SpanMs::ZERO));
        let retry = tokio::time::sleep(Duration::from(FIRST_READ_RETRY_MS));
        tokio::pin!(retry);
        loop {
            let read = tokio::select! {
                Some(read) = reads.next() => read,
                () = &mut retry => break,
            };
            if read.is_ok() || reads.is_empty() {
                if read.is_ok() && node.directory_watch.first_read_unanswered.replace(false) {
                    node.directory_watch.directory_back.notify_one();
                }
                node.directory_watch
                    .first_read_unanswered
                    .set(read.is_err());
                return read;
            }
        }
        node.directory_watch.first_read_unanswered.set(true);
    }
}

/// Waits for a configuration that is newer than the one at `cursor`.
async fn next_read(node: &Node, cursor: Cursor) -> Result<ConfigUpdate, DirectoryError> {
    let directory = &node.platform.directory;
    let wait_ms = long_poll::long_poll_timeout(rand::random());
    tokio::select! {
        read = directory.read_config(Some(cursor), wait_ms) => read,
        // A read from before the outage is on a connection that may never answer.
        () = node.directory_watch.wait_for_directory_return() => {
            directory.read_config(Some(cursor), SpanMs::ZERO).await
        }
        // The connections that are kept for the next read may be silent as well.
        () = wait_until_stale(node) => tokio::select! {
            read = directory.read_config(Some(cursor), SpanMs::ZERO) => read,
            never = copy_meanwhile(node) => match never {},
        },
        update = check_beside_lists(node, cursor) => Ok(update),
        // An open read may be on a connection to the directory of the earlier era.
        () = era::wait_for_later(node, cursor.era) => directory.read_config(None, SpanMs::ZERO).await,
    }
}

/// Waits until the open long poll can no longer be relied on: a peer has known a newer version for
/// [`POLL_GRACE_MS`].
async fn wait_until_stale(node: &Node) {
    loop {
        node.directory_watch.wait_until_behind().await;
        tokio::time::sleep(Duration::from(POLL_GRACE_MS)).await;
        if node.directory_watch.is_behind() {
            return;
        }
    }
}

/// Reads the operators' entries after each of this node's own reads of the replica list, until there is
/// something after `cursor`. The open long poll then is on a silent connection.
///
/// Nothing shows that a connection is silent but a read on another one. The readers read the list in turn
/// and notify their peers, so in a fleet of any size some node makes this read about once a second.
async fn check_beside_lists(node: &Node, cursor: Cursor) -> ConfigUpdate {
    let directory = &node.platform.directory;
    let mut list_reads = node.directory_watch.list_reads();
    let opened_ms = node.now_ms();
    loop {
        // The sender lives as long as the node.
        let _ = list_reads.changed().await;
        let checked_ms = node.now_ms();
        match directory.read_config(Some(cursor), SpanMs::ZERO).await {
            Ok(update) if update.cursor == cursor => {}
            Ok(update) => {
                node.journal.record(&Event::OpenReadSilent {
                    open_ms: node.now_ms().since(opened_ms),
                });
                return update;
            }
            // The next read of the list is followed by another check.
            Err(error) => node.journal.record(&Event::ConfigReadFailed {
                reason: error.to_string().into(),
                waited_ms: node.now_ms().since(checked_ms),
            }),
        }
    }
}

/// The source of a configuration, with its text.
enum TextSource {
    /// Read from the directory. The text is `None` if it can't be copied.
    Directory(Option<Buffer>),
    /// Copied from a peer.
    Peer(ConfigCopy),
}

/// Puts a configuration that was copied from a peer in force if it is newer than the current one.
pub(super) fn put_copy_in_force(node: &Node, config: ServingConfig, copy: ConfigCopy) {
    put_in_force(node, Rc::new(config), TextSource::Peer(copy));
}

/// Puts a configuration in force if it is newer than the current one.
fn put_in_force(node: &Node, config: Rc<ServingConfig>, text: TextSource) {
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
        state
            .links
            .retain(|service| config.service(service).is_some());
        state
            .returns
            .retain_services(|service| config.service(service).is_some());
        state.config = Some(config);
        Some(old)
    });
    let Some(replaced) = replaced else {
        return;
    };
    let from = match &text {
        TextSource::Directory(_) => "directory",
        TextSource::Peer(_) => "peer",
    };
    match text {
        TextSource::Directory(text) => node.copies.on_read(text),
        TextSource::Peer(copy) => node.copies.on_copied(copy),
    }
    let behind_ms = node.directory_watch.on_config_in_force(version, now_ms);
    node.directory_watch.data_changed.notify_waiters();
    node.outbox.config(version);
    node.journal.record(&Event::ConfigInForce {
        version,
        routes,
        replaced,
        from,
        behind_ms,
    });
}
