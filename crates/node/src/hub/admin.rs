//! Calls from operators to the administration API.

use super::Hub;
use bluebell_base::prelude::*;
use bluebell_claims::ClaimsReport;
use bluebell_control::{ControlDump, CoordinatorDump, Published, VersionSeen};
use bluebell_entry::{AdminCall, ConfigText, Reply};
use bluebell_members::MembersDump;
use bluebell_peers::{CallKind, NodeCard};
use bluebell_platform::{VmEntry, VmRole, VmState};
use bluebell_telemetry::{Peer, StateDump};
use serde::Serialize;
use stakker::{CX, Ret, call, ret_some_to};

/// The nodes and upstreams as the administration API returns them.
#[derive(Debug, Serialize)]
struct FleetView {
    /// The node that answers the call.
    this: NodeCard,
    /// The live nodes that it knows.
    nodes: Vec<NodeCard>,
    /// The upstreams that it knows.
    upstreams: Vec<VmEntry>,
}

impl Hub {
    /// Handles a call from an operator.
    pub fn on_admin(&mut self, cx: CX![], call: AdminCall) {
        match call {
            AdminCall::Config(reply) => {
                let ret = Ret::new(move |current| reply(config_text(current)));
                call!([self.parts.control], in_force(ret));
            }
            AdminCall::History(reply) => {
                let ret = Ret::new(move |versions| reply(history(versions)));
                call!([self.parts.control], history(ret));
            }
            AdminCall::Publish { base, body, reply } => {
                let ret = Ret::new(move |answer: Option<Result<Published, Error>>| {
                    reply(answer.unwrap_or_else(|| Err(unanswered())));
                });
                call!([self.parts.control], publish(base, body, ret));
            }
            AdminCall::Drain(reply) => {
                self.drain(cx);
                reply(Ok(()));
            }
            AdminCall::Dump(reply) => self.dump(cx, reply),
            AdminCall::Fleet(reply) => {
                let ret = ret_some_to!([cx], on_fleet(reply) as (MembersDump));
                call!([self.parts.members], dump(ret));
            }
            AdminCall::Ready(reply) => reply(self.ready()),
            AdminCall::Metrics(reply) => reply(self.metrics_text()),
        }
    }

    /// Returns an error with the reason if the node isn't ready for callers.
    pub(super) fn ready(&self) -> Result<(), Error> {
        let not_ready = |why: &str| Err(Error::not_run(ErrorKind::Unavailable, why));
        if self.stopping {
            return not_ready("the node is draining");
        }
        if self.parts.card.config == ConfigVersion(0) {
            return not_ready("no configuration is in force yet");
        }
        if !self.knows_upstream {
            return not_ready("no upstream is known yet");
        }
        Ok(())
    }

    fn metrics_text(&mut self) -> Result<Arc<str>, Error> {
        self.count_peer_bytes();
        let in_flight = self.parts.callers.calls_in_progress();
        self.parts.metrics.in_flight(in_flight);
        let text = self.parts.metrics.render();
        let text = text.map_err(|e| Error::not_run(ErrorKind::Internal, e.to_string()))?;
        Ok(text.into())
    }

    /// Adds the traffic that the peer interface has counted since the last call to the metrics.
    fn count_peer_bytes(&mut self) {
        let stats = &self.parts.peer_stats;
        let counts = CallKind::ALL.into_iter().map(|kind| stats.count(kind));
        let total: Bytes = counts.map(|c| c.sent_bytes + c.received_bytes).sum();
        let more = total.saturating_sub(self.peer_bytes);
        self.parts.metrics.control_bytes(Peer::Node, more);
        self.peer_bytes = total;
    }

    fn on_fleet(&mut self, _cx: CX![], reply: Reply<Arc<str>>, members: MembersDump) {
        reply(self.fleet_text(members));
    }

    fn fleet_text(&self, members: MembersDump) -> Result<Arc<str>, Error> {
        let view = FleetView {
            this: self.card(),
            nodes: self.parts.live_nodes.borrow().clone(),
            upstreams: upstreams(members),
        };
        let text = serde_json::to_string_pretty(&view);
        let text = text.map_err(|e| Error::not_run(ErrorKind::Internal, e.to_string()))?;
        Ok(text.into())
    }

    /// Collects the parts' dumps one after another. Each part answers at once.
    fn dump(&mut self, cx: CX![], reply: Reply<Arc<str>>) {
        let mut dump = StateDump::new();
        dump.section("node", &self.card());
        dump.section("nodes", &*self.parts.live_nodes.borrow());
        dump.section("engines", &self.engine_dump());
        let ret = ret_some_to!([cx], dump_requests(dump, reply) as (ControlDump));
        call!([self.parts.control], dump(ret));
    }

    fn dump_requests(
        &mut self,
        cx: CX![],
        mut dump: StateDump,
        reply: Reply<Arc<str>>,
        control: ControlDump,
    ) {
        dump.section("control", &control);
        let ret = ret_some_to!([cx], dump_claims(dump, reply) as (Arc<str>));
        self.parts.requests.dump(ret);
    }

    fn dump_claims(
        &mut self,
        cx: CX![],
        mut dump: StateDump,
        reply: Reply<Arc<str>>,
        requests: Arc<str>,
    ) {
        dump.text("requests", &requests);
        let ret = ret_some_to!([cx], dump_members(dump, reply) as (ClaimsReport));
        self.parts.claims.report(cx, ret);
    }

    fn dump_members(
        &mut self,
        cx: CX![],
        mut dump: StateDump,
        reply: Reply<Arc<str>>,
        claims: ClaimsReport,
    ) {
        dump.section("claims", &claims);
        let ret = ret_some_to!([cx], dump_coordinator(dump, reply) as (MembersDump));
        call!([self.parts.members], dump(ret));
    }

    fn dump_coordinator(
        &mut self,
        cx: CX![],
        mut dump: StateDump,
        reply: Reply<Arc<str>>,
        members: MembersDump,
    ) {
        dump.section("members", &members);
        let ret = ret_some_to!([cx], dump_done(dump, reply) as (CoordinatorDump));
        call!([self.parts.control], coordinator_dump(ret));
    }

    fn dump_done(
        &mut self,
        _cx: CX![],
        mut dump: StateDump,
        reply: Reply<Arc<str>>,
        coordinator: CoordinatorDump,
    ) {
        dump.section("coordinator", &coordinator);
        reply(Ok(dump.render()));
    }
}

/// Returns the listed upstreams. An upstream that reported that it is leaving is returned as leaving,
/// since the list lags.
fn upstreams(members: MembersDump) -> Vec<VmEntry> {
    let refused = members.refused;
    let with_reported_state = |mut entry: VmEntry| {
        if refused.iter().any(|name| name.0 == entry.name.0) {
            entry.state = VmState::Leaving;
        }
        entry
    };
    let listed = members.listed.into_iter();
    let upstreams = listed.filter(|entry| entry.role != VmRole::Node);
    upstreams.map(with_reported_state).collect()
}

fn unanswered() -> Error {
    Error::may_have_run(ErrorKind::Unavailable, "the node stopped before an answer")
}

fn config_text(current: Option<(ConfigVersion, Arc<str>)>) -> Result<ConfigText, Error> {
    let (version, body) = current.ok_or_else(unanswered)?;
    if version == ConfigVersion(0) {
        return Err(Error::not_run(
            ErrorKind::NotFound,
            "no configuration is in force yet",
        ));
    }
    Ok(ConfigText { version, body })
}

fn history(versions: Option<Vec<VersionSeen>>) -> Result<Vec<VersionSeen>, Error> {
    versions.ok_or_else(unanswered)
}
