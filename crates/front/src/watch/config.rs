//! The configuration in force.

use super::retry::Backoff;
use crate::journal::Event;
use crate::node::Node;
use crate::outside::ConfigNews;
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::rc::Rc;

/// How long one read waits for a new version. A connection that has gone silent is noticed after
/// it, so it bounds how late a version comes into force.
const WAIT_MS: SpanMs = SpanMs(1_500);

/// Watches the configuration until the process ends.
pub async fn watch_config(node: Rc<Node>) {
    let mut cursor = None;
    let mut backoff = Backoff::new("configuration");
    loop {
        let read = node.outside.directory.read_config(cursor, WAIT_MS);
        match read.await {
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
