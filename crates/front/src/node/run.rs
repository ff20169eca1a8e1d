//! Starting a node, and its planned stop.

use super::{Node, listen};
use crate::journal::{Event, Journal, JournalWriter};
use crate::metrics::{Metrics, MetricsError};
use crate::platform::Platform;
use crate::{copies, gossip, limits, quarantine, watch};
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// How often a stopping node looks whether its last connection is gone.
const STOP_POLL_MS: SpanMs = SpanMs(50);

/// How often kept connections and old work are looked through.
const EXPIRE_EVERY_MS: SpanMs = SpanMs(500);

/// How long work may be in flight before it is taken for forgotten: the longest that callers wait,
/// and more.
const WORK_EXPIRES_MS: SpanMs = SpanMs(60_000);

/// The settings of a node's serving path.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// The node's name.
    pub name: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the node is ready.
    pub ready: SocketAddr,
    /// Where peers send their gossip, by datagram, and ask for copies, by connection.
    pub gossip: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
    /// The limits of retries, for all nodes together.
    pub retry_limits: RetryLimits,
    /// How long a stopping node may take.
    pub grace_ms: SpanMs,
}

/// Why a node can't start.
#[derive(Debug, thiserror::Error)]
pub enum FrontError {
    /// An address can't be bound.
    #[error("can't listen at {address}: {reason}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        reason: Arc<str>,
    },
    /// The metrics can't be opened.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// Signals can't be received.
    #[error("can't receive signals: {0}")]
    Signals(Arc<str>),
}

/// A running node.
pub struct FrontHandle {
    node: Rc<Node>,
    connections: Rc<Cell<usize>>,
    writer: JournalWriter,
    stop: Rc<Notify>,
}

/// Begins a node's planned stop.
#[derive(Clone, Debug)]
pub struct Stopper(Rc<Notify>);

impl Stopper {
    /// Begins the stop; a second time changes nothing.
    pub fn stop(&self) {
        self.0.notify_one();
    }
}

impl FrontHandle {
    /// Binds the addresses and starts the tasks, on the current local task set.
    pub async fn spawn(
        mut settings: FrontSettings,
        platform: Platform,
    ) -> Result<Self, FrontError> {
        let callers = bind_tcp(&mut settings.callers)?;
        let ready = bind_tcp(&mut settings.ready)?;
        let metrics = bind_tcp(&mut settings.metrics)?;
        let (gossip, copies) = bind_for_peers(&mut settings.gossip).await?;
        let (journal, writer) = Journal::open(settings.name.clone(), Metrics::open()?);
        let node = Node::open(settings, platform, journal);
        node.journal.record(&Event::Started {
            callers: node.settings.callers,
            incarnation: node.owner.0,
        });
        let connections = Rc::new(Cell::new(0));
        spawn_local(listen::serve_callers(
            node.clone(),
            callers,
            connections.clone(),
        ));
        spawn_local(listen::serve_page(node.clone(), ready, listen::ready_page));
        spawn_local(listen::serve_page(
            node.clone(),
            metrics,
            listen::operators_page,
        ));
        let gossip = Rc::new(gossip);
        spawn_local(gossip::receive(node.clone(), gossip.clone()));
        spawn_local(gossip::send(node.clone(), gossip));
        spawn_local(copies::serve_copies(node.clone(), copies));
        spawn_local(watch::watch_config(node.clone()));
        spawn_local(watch::watch_replicas(node.clone()));
        spawn_local(watch::watch_nodes(node.clone()));
        spawn_local(watch::watch_paces(node.clone()));
        spawn_local(watch::watch_quarantine(node.clone()));
        spawn_local(watch::restore_quarantine(node.clone()));
        spawn_local(expire(node.clone()));
        Ok(Self {
            node,
            connections,
            writer,
            stop: Rc::default(),
        })
    }

    /// The settings, with the ports that the system picked.
    pub fn settings(&self) -> &FrontSettings {
        &self.node.settings
    }

    /// Begins the node's planned stop from elsewhere than a signal.
    pub fn stopper(&self) -> Stopper {
        Stopper(self.stop.clone())
    }

    /// Runs until a planned stop has ended.
    pub async fn run(self) -> Result<(), FrontError> {
        let receive = |kind| signal(kind).map_err(|e| FrontError::Signals(e.to_string().into()));
        let mut terminate = receive(SignalKind::terminate())?;
        let mut interrupt = receive(SignalKind::interrupt())?;
        let mut reload = receive(SignalKind::hangup())?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                () = self.stop.notified() => break,
                _ = reload.recv() => self.node.journal.record(&Event::Reloaded),
            }
        }
        self.stop().await;
        Ok(())
    }

    async fn stop(self) {
        let node = &self.node;
        let open = self.connections.get();
        node.journal.record(&Event::Stopping { connections: open });
        let plan = node.begin_stop();
        loop {
            let now_ms = node.now_ms();
            let idle = self.connections.get() == 0 && now_ms >= plan.notice_end_ms();
            if idle || now_ms >= plan.end_ms() {
                break;
            }
            tokio::time::sleep(Duration::from(STOP_POLL_MS)).await;
        }
        let open = self.connections.get();
        node.journal.record(&Event::Stopped { connections: open });
        node.journal.flush();
        self.writer.close();
    }
}

/// The longest queue of new connections, for bursts of callers that all come back at once.
const BACKLOG: u32 = 1024;

/// Listens at `address`, and notes the port where the system picked it.
fn bind_tcp(address: &mut SocketAddr) -> Result<TcpListener, FrontError> {
    let bind = || {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(*address)?;
        let listener = socket.listen(BACKLOG)?;
        Ok((listener.local_addr()?, listener))
    };
    let (bound, listener) = bind().map_err(|error| cannot_bind(*address, &error))?;
    *address = bound;
    Ok(listener)
}

/// How often another port is tried where the system's pick is taken for the other protocol.
const PORT_TRIES: usize = 16;

/// Binds one port for datagrams and connections of peers, and notes it where the system picked it.
async fn bind_for_peers(address: &mut SocketAddr) -> Result<(UdpSocket, TcpListener), FrontError> {
    let mut tries = if address.port() == 0 { PORT_TRIES } else { 1 };
    loop {
        let mut bound = *address;
        let listener = bind_tcp(&mut bound)?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => {
                *address = bound;
                return Ok((socket, listener));
            }
            Err(error) => {
                tries -= 1;
                if tries == 0 {
                    return Err(cannot_bind(bound, &error));
                }
            }
        }
    }
}

fn cannot_bind(address: SocketAddr, error: &std::io::Error) -> FrontError {
    FrontError::Bind {
        address,
        reason: error.to_string().into(),
    }
}

/// Closes connections that were kept for too long and forgets work that nobody ended.
async fn expire(node: Rc<Node>) {
    loop {
        tokio::time::sleep(Duration::from(EXPIRE_EVERY_MS)).await;
        node.pool.expire();
        node.journal.flush();
        quarantine::expire(&node);
        limits::expire(&node);
        node.directory_watch.report_lag(&node);
        let now_ms = node.now_ms();
        let dropped = node.with(|state| {
            state.ledger.expire(now_ms - WORK_EXPIRES_MS);
            state.paces.expire(now_ms);
            state.replica_backoffs.expire(now_ms);
            state.replicas.expire(now_ms)
        });
        for replica in dropped {
            node.journal.record(&Event::ReplicaGone {
                instance: replica.instance.clone(),
            });
        }
    }
}
