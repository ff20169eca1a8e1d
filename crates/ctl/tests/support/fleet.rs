//! Three nodes before two engines, a service and the platform, each a process of its own.

use super::process::{Process, bluebellctl, bluebellpond};
use super::{PATIENCE, wait_for};
use bluebell_base::prelude::*;
use bluebell_node::NodeAddresses;
use bluebell_platform::{VmEntry, VmRole, VmState};
use bluebell_stand_ins::platform::{Faults, Operator, VmChange};
use nix::sys::signal::Signal;
use serde::Deserialize;
use serde_json::Value;
use std::time::{Duration, Instant};

/// The operators' credential of every node.
const ADMIN_CREDENTIAL: &str = "a-credential-of-operators";

/// A port of the loopback interface that the system picks.
const FREE_PORT: &str = "127.0.0.1:0";

/// What a fleet is made of.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    pub nodes: usize,
    pub engines: usize,
    /// How many times faster than the clock engines compute.
    pub speed: f64,
    pub lease_ttl_ms: u64,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            nodes: 3,
            engines: 2,
            speed: 2.0,
            lease_ttl_ms: 4_000,
        }
    }
}

#[derive(Deserialize)]
struct Started {
    address: Address,
}

/// A stand-in that runs.
pub struct StandIn {
    pub process: Process,
    pub address: Address,
}

/// A node that runs, or ran.
pub struct NodeProcess {
    pub process: Process,
    pub addresses: NodeAddresses,
}

/// An answer to a caller.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// Whether a header says when to come back.
    pub retry_after: bool,
    pub json: Value,
    pub took: Duration,
}

/// A fleet of processes, all of them ended when it is dropped.
pub struct Fleet {
    plan: FleetPlan,
    pub platform: StandIn,
    pub engines: Vec<StandIn>,
    pub service: StandIn,
    pub nodes: Vec<NodeProcess>,
    agent: ureq::Agent,
}

impl Fleet {
    /// Starts everything and waits until each node takes calls and knows all engines.
    pub fn start(plan: FleetPlan) -> Self {
        let platform = start_platform(FREE_PORT);
        let at = platform.address.clone();
        let engines = (0..plan.engines).map(|i| start_engine(i, plan.speed, &at));
        let mut fleet = Self {
            plan,
            engines: engines.collect(),
            service: start_service(&at),
            nodes: Vec::new(),
            agent: agent(),
            platform,
        };
        let free = NodeAddresses {
            callers: FREE_PORT.into(),
            admin: FREE_PORT.into(),
            peers: FREE_PORT.into(),
        };
        for index in 0..plan.nodes {
            fleet.nodes.push(fleet.start_node(index, &free));
        }
        fleet.list_nodes();
        for index in 0..plan.nodes {
            fleet.wait_ready(index);
        }
        fleet
    }

    /// Puts the nodes on the platform's list of VMs.
    pub fn list_nodes(&self) {
        let operator = Operator::open(&self.platform.address);
        for (index, node) in self.nodes.iter().enumerate() {
            let entry = VmEntry {
                name: node_name(index).as_str().into(),
                role: VmRole::Node,
                address: node.addresses.peers.clone(),
                deployment: "nodes".into(),
                domain: "domain-a".into(),
                state: VmState::Live,
            };
            let change = VmChange::Put(entry);
            operator.change_vms(&change).expect("the platform takes it");
        }
    }

    fn start_node(&self, index: usize, at: &NodeAddresses) -> NodeProcess {
        let name = node_name(index);
        let ttl_ms = self.plan.lease_ttl_ms.to_string();
        let config = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/../../examples/demo-fleet.json"
        );
        let flags = [
            ["--name", &name],
            ["--domain", "domain-a"],
            ["--region", "eire-west"],
            ["--callers-address", at.callers.as_str()],
            ["--admin-address", at.admin.as_str()],
            ["--peers-address", at.peers.as_str()],
            ["--platform-address", self.platform.address.as_str()],
            ["--fleet-secret", "a-fleet-secret-for-tests"],
            ["--admin-credential", ADMIN_CREDENTIAL],
            ["--lease-ttl-ms", &ttl_ms],
            ["--seed-config", config],
        ];
        let process = Process::start(&name, bluebellpond(), flags.as_flattened());
        let addresses = process.next_line();
        NodeProcess { process, addresses }
    }

    /// Starts a node that has ended again, where it listened before.
    pub fn restart_node(&mut self, index: usize) {
        let at = self.nodes[index].addresses.clone();
        self.nodes[index] = self.start_node(index, &at);
    }

    /// Stops a node as planned; it must end by itself, without a failure.
    pub fn stop_node(&mut self, index: usize) {
        let process = &mut self.nodes[index].process;
        process.signal(Signal::SIGTERM);
        let status = process.wait_end(PATIENCE);
        assert!(status.success(), "{status}: {}", process.log());
    }

    /// Starts the platform, killed before, with nothing on its log, where it listened before.
    pub fn restart_platform(&mut self) {
        self.platform = start_platform(self.platform.address.as_str());
    }

    /// Switches the platform's faults.
    pub fn set_platform_faults(&self, faults: &Faults) {
        let operator = Operator::open(&self.platform.address);
        operator
            .set_faults(faults)
            .expect("the platform takes them");
    }

    /// Posts JSON to a node as a caller does.
    pub fn post(&self, index: usize, path: &str, key: Option<&str>, body: &Value) -> Answer {
        let url = format!("http://{}{path}", self.nodes[index].addresses.callers);
        let call = self.agent.post(url);
        let mut call = call.header("authorization", "Bearer demo-key-0");
        if let Some(key) = key {
            call = call.header("idempotency-key", key);
        }
        let begun = Instant::now();
        let mut answer = call.send_json(body).expect("an HTTP answer");
        let retry_after = answer.headers().get("retry-after").is_some();
        Answer {
            status: answer.status().as_u16(),
            retry_after,
            json: answer.body_mut().read_json().expect("a JSON body"),
            took: begun.elapsed(),
        }
    }

    /// The version of the configuration that a node has in force.
    pub fn config_version(&self, index: usize) -> Value {
        self.admin(index, "/admin/config")["version"].clone()
    }

    /// Waits until a node takes calls and knows what every engine serves.
    pub fn wait_ready(&self, index: usize) {
        let wanted = self.engines.len();
        wait_for("the node to know the engines", || {
            self.status(index, "/admin/ready") == 200 && self.known_engines(index) >= wanted
        });
        wait_for("the node to be ready for callers", || {
            let url = format!("http://{}/readyz", self.nodes[index].addresses.callers);
            let answer = self.agent.get(url).call();
            answer.is_ok_and(|answer| answer.status() == 200)
        });
    }

    fn known_engines(&self, index: usize) -> usize {
        let state = self.admin(index, "/admin/state");
        let engines = state["engines"].as_array().into_iter().flatten();
        let known = |engine: &&Value| engine["models"].as_array().is_some_and(|m| !m.is_empty());
        engines.filter(known).count()
    }

    fn status(&self, index: usize, path: &str) -> u16 {
        self.get_admin(index, path)
            .map_or(0, |answer| answer.status().as_u16())
    }

    /// What a node's administration API says; null where it says nothing.
    pub fn admin(&self, index: usize, path: &str) -> Value {
        let answer = self.get_admin(index, path);
        let read = answer.and_then(|mut answer| answer.body_mut().read_json());
        read.unwrap_or_default()
    }

    fn get_admin(
        &self,
        index: usize,
        path: &str,
    ) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        let url = format!("http://{}{path}", self.nodes[index].addresses.admin);
        let call = self.agent.get(url);
        call.header("authorization", format!("Bearer {ADMIN_CREDENTIAL}"))
            .call()
    }

    /// Where callers are served.
    pub fn callers(&self) -> Vec<Address> {
        let callers = |node: &NodeProcess| node.addresses.callers.clone();
        self.nodes.iter().map(callers).collect()
    }

    /// Everything that runs requests.
    pub fn upstreams(&self) -> Vec<Address> {
        let engines = self.engines.iter().chain([&self.service]);
        engines.map(|upstream| upstream.address.clone()).collect()
    }
}

fn node_name(index: usize) -> String {
    format!("node-{index}")
}

fn stand_in(name: &str, args: &[&str]) -> StandIn {
    let args: Vec<&str> = ["--json", "stand-in"].iter().chain(args).copied().collect();
    let process = Process::start(name, bluebellctl(), &args);
    let Started { address } = process.next_line();
    StandIn { process, address }
}

fn start_platform(at: &str) -> StandIn {
    let args = ["platform", "--listen", at, "--vm-lag-ms", "500"];
    stand_in("platform", &args)
}

fn start_engine(index: usize, speed: f64, platform: &Address) -> StandIn {
    let (name, speed) = (format!("engine-{index}"), speed.to_string());
    let platform = platform.as_str();
    let args = ["engine", "--name", &name, "--platform", platform];
    stand_in(&name, &[&args[..], &["--speed", &speed]].concat())
}

fn start_service(platform: &Address) -> StandIn {
    let platform = platform.as_str();
    let args = ["service", "--name", "board-0", "--platform", platform];
    stand_in("board-0", &args)
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE));
    config.build().new_agent()
}
