//! Serves the requests that peers forward.

use super::{HopHead, Outcome};
use crate::call::{self, Answer};
use crate::node::Node;
use bluebell_base::prelude::*;
use hyper::Request;
use hyper::body::Incoming;
use std::cell::Cell;
use std::rc::Rc;

/// The maximum number of forwarded requests that a node serves at a time.
const MAX_FORWARDED: usize = 256;

/// The number of forwarded requests that a node is serving.
#[derive(Clone, Debug, Default)]
pub struct ForwardedCalls(Rc<Cell<usize>>);

/// Counts a forwarded request until it is dropped.
#[derive(Debug)]
pub struct ForwardedGuard(Rc<Cell<usize>>);

impl ForwardedCalls {
    /// Returns the number of forwarded requests that are being served.
    pub fn count(&self) -> usize {
        self.0.get()
    }

    /// Counts one more request. Returns `None` if as many are being served as may be.
    pub fn begin(&self) -> Option<ForwardedGuard> {
        if self.0.get() >= MAX_FORWARDED {
            return None;
        }
        self.0.set(self.0.get() + 1);
        Some(ForwardedGuard(self.0.clone()))
    }
}

impl Drop for ForwardedGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves a request that a peer forwarded. The answer's head states the outcome.
pub async fn answer(node: &Rc<Node>, request: Request<Incoming>, head: HopHead) -> Answer {
    let mut answer = call::serve_forwarded(node.clone(), request, head).await;
    let outcome = answer.extensions_mut().remove::<Outcome>();
    let outcome = outcome.unwrap_or(Outcome::Node(Verdict::MayHaveRun));
    outcome.put(answer.headers_mut());
    answer
}
