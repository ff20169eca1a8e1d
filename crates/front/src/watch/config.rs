//! The configuration in force.

use super::retry::Backoff;
use crate::journal::Event;
use crate::node::Node;
use crate::outside::ConfigNews;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::rc::Rc;

/// How long one read waits for a new version where no peer is heard. A connection that has gone
/// silent is noticed after it, so it bounds how late a version comes into force.
const ALONE_WAIT_MS: SpanMs = SpanMs(1_200);

/// How long it waits where peers are heard, who tell of a new version.
const HEARD_WAIT_MS: SpanMs = SpanMs(8_000);

/// How many peers must be heard for the longer wait: one alone may be behind the same cut.
const HEARD_PEERS: usize = 2;

/// Watches the configuration until the process ends.
pub async fn watch_config(node: Rc<Node>) {
    let mut cursor = None;
    let mut backoff = Backoff::new("configuration");
    loop {
        let wait_ms = match node.outbox.peers_there() {
            there if there >= HEARD_PEERS => HEARD_WAIT_MS,
            _ => ALONE_WAIT_MS,
        };
        let read = tokio::select! {
            read = node.outside.directory.read_config(cursor, wait_ms) => read,
            () = node.watching.newer_config.notified() => {
                node.outside.directory.read_config(cursor, SpanMs::ZERO).await
            }
        };
        match read {
            Ok(ConfigNews { cursor: at, config }) => {
                backoff.succeeded(&node);
                cursor = Some(at);
                if let Some(config) = config {
                    take(&node, config);
                }
            }
            Err(error) => {
                backoff.failed(&node, &error).await;
            }
        }
    }
}

/// Puts a configuration in force where it is newer than the one that is.
fn take(node: &Node, config: Rc<ServingConfig>) {
    let version = config.version();
    let routes = config.route_count();
    let replaced = node.with(|state| {
        let old = state.config.as_ref().map(|c| c.version());
        if old.is_some_and(|old| old >= version) {
            return None;
        }
        state.config = Some(config);
        Some(old)
    });
    let Some(replaced) = replaced else {
        return;
    };
    node.outbox.config(version);
    node.journal.tell(&Event::ConfigInForce {
        version,
        routes,
        replaced,
    });
}
