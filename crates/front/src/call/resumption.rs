//! Looks for another engine, or a peer, that goes on with a stream.
//!
//! Invariants: an attempt begins only if the route's number of attempts and the retry budget allow it. An attempt that
//! is given up counts if its replica may have received the request.

use super::Call;
use super::choose::{Chosen, choose_for_resume};
use super::fatal;
use super::hop::{self, HopCause, HopError, PeerWatch};
use super::server::StreamServer;
use super::stream::{self, StartedStream};
use super::tries::{RetryPass, TryError, record_failure};
use crate::forward::ResumePoint;
use crate::journal::{ConnectionKind, Event};
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// The interval at which another engine is looked for while the stream's own is silent.
const POLL_MS: SpanMs = SpanMs(250);

/// The engine or the peer that goes on with a stream.
pub(super) struct Successor {
    pub server: StreamServer,
    pub started: StartedStream,
}

/// The reason for which an attempt to go on with a stream didn't succeed.
enum Failure {
    /// The attempt failed; another may follow.
    Failed(TryError),
    /// No engine takes the stream now, for this reason.
    Refused(Arc<str>),
    /// No further attempt is allowed now.
    Exhausted,
}

/// An attempt that has begun.
enum UnderWay {
    /// At an engine, over this connection.
    Engine(Rc<Cell<ConnectionKind>>),
    /// At a peer.
    Peer,
}

/// The attempts to go on with one stream.
pub(super) struct Resumption {
    call: Rc<Call>,
    /// The number of attempts whose replica received the request.
    delivered: u32,
    /// The engines that aren't tried.
    avoid: Vec<ReplicaKey>,
    retry: RetryPass,
    under_way: Option<UnderWay>,
}

impl Resumption {
    /// Creates the state of a stream that `delivered` attempts were made for.
    pub fn new(call: Rc<Call>, delivered: u32) -> Self {
        Self {
            call,
            delivered,
            avoid: Vec::new(),
            retry: RetryPass::default(),
            under_way: None,
        }
    }

    /// Returns the number of attempts whose replica received the request.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Returns the engine or the peer that goes on behind `last_event`, or the reason for which there is none; `why` if no
    /// attempt is allowed. While `source_is_open`, the stream may still go on at its source, so that the search lasts until
    /// the deadline. The engine `avoid` isn't tried.
    pub async fn run(
        &mut self,
        avoid: Option<ReplicaKey>,
        last_event: Option<Arc<str>>,
        source_is_open: &Cell<bool>,
        mut why: Arc<str>,
    ) -> Result<Successor, Arc<str>> {
        self.avoid = avoid.into_iter().collect();
        while self.call.left_ms() > SpanMs::ZERO {
            match self.attempt(last_event.as_deref()).await {
                Ok(successor) => return Ok(successor),
                Err(Failure::Failed(error)) => {
                    why = error.why;
                    continue;
                }
                Err(Failure::Refused(refused)) if !source_is_open.get() => return Err(refused),
                Err(Failure::Exhausted) if !source_is_open.get() => return Err(why),
                Err(Failure::Refused(_) | Failure::Exhausted) => {}
            }
            let wait_ms = POLL_MS.min(self.call.left_ms());
            tokio::time::sleep(Duration::from(wait_ms)).await;
        }
        Err(why)
    }

    /// Counts an attempt that was given up because the source went on.
    pub fn on_given_up(&mut self) {
        match self.under_way.take() {
            Some(UnderWay::Engine(connection)) if connection.get() != ConnectionKind::None => {
                self.on_delivered();
            }
            Some(UnderWay::Peer) => self.on_peer_used_attempts(),
            Some(UnderWay::Engine(_)) => self.retry.give_back(),
            None => {}
        }
    }

    fn on_delivered(&mut self) {
        self.delivered += 1;
    }

    /// Counts an attempt at a peer, which may have used all attempts that were left.
    fn on_peer_used_attempts(&mut self) {
        self.delivered = self.call.max_attempts();
    }

    /// Makes one attempt, at an engine or at a peer.
    async fn attempt(&mut self, last_event: Option<&str>) -> Result<Successor, Failure> {
        let may_repeat = self.call.route.kind.repeatable();
        if !may_repeat || self.delivered >= self.call.max_attempts() {
            return Err(Failure::Exhausted);
        }
        if !self.retry.is_available(&self.call) {
            return Err(Failure::Exhausted);
        }
        if hop::is_needed(&self.call) {
            return self.attempt_at_peer(last_event, &HopCause::LinksLost).await;
        }
        match choose_for_resume(&self.call, &self.avoid) {
            Ok(chosen) => self.attempt_at_engine(chosen, last_event).await,
            Err(refusal) => match HopCause::of_refusal(&self.call, &self.avoid, refusal) {
                Some(cause) => self.attempt_at_peer(last_event, &cause).await,
                None => Err(Failure::Refused(refusal.to_string().into())),
            },
        }
    }

    async fn attempt_at_engine(
        &mut self,
        chosen: Chosen,
        last_event: Option<&str>,
    ) -> Result<Successor, Failure> {
        if !self.retry.take(&self.call) {
            return Err(Failure::Exhausted);
        }
        self.avoid.push(chosen.key);
        self.record_resumed(last_event);
        let target = chosen.target();
        self.under_way = Some(UnderWay::Engine(target.connection.clone()));
        let attempt = self.delivered + 1;
        let (first, silence) = stream::attempt(
            &self.call,
            chosen,
            &self.avoid,
            attempt,
            self.delivered,
            last_event.map(Arc::from),
        );
        let result = tokio::select! {
            (chosen, started) = first => started.map(|started| (chosen, started)),
            error = silence => Err(error),
        };
        self.under_way = None;
        match result {
            Ok((chosen, started)) => {
                self.on_delivered();
                Ok(Successor {
                    server: StreamServer::Engine(Box::new(chosen)),
                    started,
                })
            }
            Err(error) => {
                record_failure(&self.call, &target, attempt, &error);
                match error.delivered {
                    true => self.on_delivered(),
                    false => self.retry.give_back(),
                }
                fatal::on_failed(&self.call, &target.replica, &error).await;
                Err(Failure::Failed(error))
            }
        }
    }

    async fn attempt_at_peer(
        &mut self,
        last_event: Option<&str>,
        cause: &HopCause,
    ) -> Result<Successor, Failure> {
        if !self.retry.take(&self.call) {
            return Err(Failure::Exhausted);
        }
        let resume = ResumePoint {
            last_event: last_event.map(Arc::from),
        };
        self.under_way = Some(UnderWay::Peer);
        let watch = PeerWatch::default();
        let started = hop::first_event(&self.call, self.delivered, Some(resume), cause, &watch);
        let started = tokio::select! {
            started = started => started,
            error = watch.lost(&self.call.node) => Err(HopError::Failed(error)),
        };
        self.under_way = None;
        match started {
            Ok((started, peer, delivered)) => {
                self.record_resumed(last_event);
                self.delivered = delivered;
                Ok(Successor {
                    server: StreamServer::Peer(peer),
                    started,
                })
            }
            Err(HopError::NoPeer(refusal)) => {
                self.retry.give_back();
                Err(Failure::Refused(refusal.to_string().into()))
            }
            Err(HopError::Answered(answer)) => {
                match answer.may_have_run() {
                    true => self.on_peer_used_attempts(),
                    false => self.retry.give_back(),
                }
                Err(Failure::Refused(answer.why().into()))
            }
            Err(HopError::Failed(error)) => {
                self.on_peer_used_attempts();
                Err(Failure::Failed(error))
            }
        }
    }

    fn record_resumed(&self, last_event: Option<&str>) {
        self.call.node.journal.record(&Event::Resumed {
            request: self.call.head.request.clone(),
            last_event: last_event.map(Arc::from),
        });
    }
}
