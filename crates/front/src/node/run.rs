//! Starts a node and runs it until its planned stop.

use super::connections::Connections;
use super::{Node, listen};
use crate::http::CutAnswer;
use crate::http::bounds::Cut;
use crate::journal::{Event, Journal, JournalWriter};
use crate::metrics::{Metrics, MetricsError};
use crate::platform::Platform;
use crate::{gossip, limits, peers, quarantine, shares, startup, watch};
use bluebell_base::prelude::*;
use bluebell_fleet::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// The interval at which a stopping node checks whether its last connection is closed.
const STOP_POLL_MS: SpanMs = SpanMs(50);

/// The interval at which idle connections and old work are expired.
const EXPIRE_INTERVAL_MS: SpanMs = SpanMs(500);

/// The interval at which the memory that is held for slow readers is checked, and cut answers are logged.
const BOUNDS_INTERVAL_MS: SpanMs = SpanMs(100);

/// The age at which work in flight is dropped, because no end of it was reported. Callers never wait
/// that long.
const MAX_WORK_AGE_MS: SpanMs = SpanMs(60_000);

/// The settings of a node's serving path.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// The node's name.
    pub name: VmName,
    /// The node's failure domain.
    pub domain: DomainName,
    /// The address to which callers connect.
    pub callers: SocketAddr,
    /// The address of the balancer's readiness probe.
    pub ready: SocketAddr,
    /// The address to which peers send gossip by datagram, and connect for copies of the configuration.
    pub gossip: SocketAddr,
    /// The addresses at which some nodes that may be running receive gossip. A starting node copies its
    /// state from them; without any it reads the directory.
    pub seeds: Vec<SocketAddr>,
    /// The address of the operators' page, with the metrics and the requests in quarantine.
    pub metrics: SocketAddr,
    /// The retry limits, for all nodes together.
    pub retry_limits: RetryLimits,
    /// The memory that the node may use.
    pub memory: Bytes,
    /// True if requests beyond their account's share are held under contention. Otherwise the shares are
    /// only reported: holding serves small accounts at the expense of large ones, which is the operators' choice.
    pub holds_accounts: bool,
    /// The maximum duration of a planned stop.
    pub grace_ms: SpanMs,
    /// The time after which the directory drops the entry of a replica that has crashed.
    pub replica_lapse_ms: SpanMs,
}

/// An error that keeps a node from starting or running.
#[derive(Debug, thiserror::Error)]
pub enum FrontError {
    /// An address couldn't be bound.
    #[error("can't listen at {address}: {reason}")]
    Bind {
        /// The address that couldn't be bound.
        address: SocketAddr,
        /// The system's error.
        reason: Arc<str>,
    },
    /// The metrics' exporter couldn't be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// A signal handler couldn't be installed.
    #[error("can't receive signals: {0}")]
    Signals(Arc<str>),
}

/// A running node.
pub struct FrontHandle {
    node: Rc<Node>,
    connections: Rc<Connections>,
    writer: JournalWriter,
    stop: Rc<Notify>,
}

/// A handle that begins a node's planned stop.
#[derive(Clone, Debug)]
pub struct Stopper(Rc<Notify>);

impl Stopper {
    /// Begins the stop. Further calls have no effect.
    pub fn stop(&self) {
        self.0.notify_one();
    }
}

impl FrontHandle {
    /// Binds the addresses and starts the node's tasks on the current local task set.
    ///
    /// # Errors
    /// [`FrontError`] if an address can't be bound or the metrics can't be set up.
    pub async fn spawn(
        mut settings: FrontSettings,
        platform: Platform,
    ) -> Result<Self, FrontError> {
        let callers = bind_tcp(&mut settings.callers)?;
        let ready = bind_tcp(&mut settings.ready)?;
        let metrics = bind_tcp(&mut settings.metrics)?;
        let (gossip, peer_listener) = bind_for_peers(&mut settings.gossip).await?;
        let (journal, writer) = Journal::open(settings.name.clone(), Metrics::open()?);
        let node = Node::open(settings, platform, journal);
        node.journal.record(&Event::Started {
            callers: node.settings.callers,
            incarnation: node.owner.0,
        });
        let connections = Rc::<Connections>::default();
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
        spawn_local(peers::serve_peers(node.clone(), peer_listener));
        spawn_local(startup::warm_up(node.clone()));
        watch::begin_join(&node);
        spawn_local(watch::join(node.clone()));
        spawn_local(watch::watch_config(node.clone()));
        spawn_local(watch::watch_replicas(node.clone()));
        spawn_local(watch::watch_nodes(node.clone()));
        spawn_local(watch::watch_paces(node.clone()));
        spawn_local(watch::watch_quarantine(node.clone()));
        spawn_local(watch::restore_quarantine(node.clone()));
        spawn_local(expire(node.clone()));
        spawn_local(bound_bytes(node.clone()));
        Ok(Self {
            node,
            connections,
            writer,
            stop: Rc::default(),
        })
    }

    /// Returns the settings, with the ports that the system picked in place of port 0.
    pub fn settings(&self) -> &FrontSettings {
        &self.node.settings
    }

    /// Returns a handle that begins the planned stop without a signal.
    pub fn stopper(&self) -> Stopper {
        Stopper(self.stop.clone())
    }

    /// Runs the node until a planned stop has ended.
    ///
    /// # Errors
    /// [`FrontError::Signals`] if a signal handler can't be installed.
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

    /// Performs the planned stop: waits for connections to close, up to the plan's end.
    async fn stop(self) {
        let node = &self.node;
        let open = self.connections.count();
        node.journal.record(&Event::Stopping { connections: open });
        let plan = node.begin_stop();
        loop {
            let now_ms = node.now_ms();
            let open = self.connections.count() + node.forwarded_calls.count();
            let idle = open == 0 && now_ms >= plan.notice_end_ms();
            if idle || now_ms >= plan.end_ms() {
                break;
            }
            tokio::time::sleep(Duration::from(STOP_POLL_MS)).await;
        }
        let open = self.connections.count();
        self.connections.record_cut(node);
        node.journal.record(&Event::Stopped { connections: open });
        node.journal.flush();
        self.writer.close();
    }
}

/// The maximum length of the queue of new connections, for bursts of callers that reconnect at once.
const BACKLOG_CONNECTIONS: u32 = 1024;

/// Listens at `address`, and writes the port back if the system picked it.
fn bind_tcp(address: &mut SocketAddr) -> Result<TcpListener, FrontError> {
    let bind = || {
        let socket = tokio::net::TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(*address)?;
        let listener = socket.listen(BACKLOG_CONNECTIONS)?;
        Ok((listener.local_addr()?, listener))
    };
    let (bound, listener) = bind().map_err(|error| cannot_bind(*address, &error))?;
    *address = bound;
    Ok(listener)
}

/// The number of ports tried if the port that the system picked for TCP is in use for UDP.
const PORT_TRIES: usize = 16;

/// Binds one port for peers' datagrams and connections, and writes it back if the system picked it.
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

/// Expires idle connections and old state at regular intervals. Also flushes the log and reports the
/// configuration's lag.
async fn expire(node: Rc<Node>) {
    loop {
        tokio::time::sleep(Duration::from(EXPIRE_INTERVAL_MS)).await;
        node.pool.expire();
        node.journal.flush();
        quarantine::expire(&node);
        limits::expire(&node);
        shares::update(&node);
        watch::expire_evacuations(&node);
        node.directory_watch.report_lag(&node);
        let now_ms = node.now_ms();
        let dropped = node.with(|state| {
            state.ledger.expire(now_ms - MAX_WORK_AGE_MS);
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

/// Closes the slowest readers while too much memory is held, and logs them and the answers that were cut.
async fn bound_bytes(node: Rc<Node>) {
    loop {
        tokio::time::sleep(Duration::from(BOUNDS_INTERVAL_MS)).await;
        for CutAnswer { address, cut } in node.pool.take_cut_answers() {
            let Cut { part, bytes } = cut;
            let part = part.as_str();
            node.journal.record(&Event::AnswerCut {
                part,
                address,
                bytes,
            });
        }
        for reader in node.held.close_slowest() {
            node.journal.record(&Event::ReaderClosed {
                held: reader.held,
                stalled_ms: reader.stalled_ms,
                total: node.held.total(),
            });
        }
        node.journal.metrics().record_held(node.held.total());
    }
}
