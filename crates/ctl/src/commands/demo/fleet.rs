//! The demo's nodes: started, given a configuration, waited for, and stopped gracefully.

use crate::admin::{Admin, Publication};
use crate::outcome::CommandError;
use bluebell_base::prelude::*;
use bluebell_control::Published;
use bluebell_node::Node;
use bluebell_settings::{NodeSettings, Parsed};
use serde_json::Value;
use serde_json::value::RawValue;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The demo's configuration, the file that the example commands use, too.
const CONFIG: &str = include_str!("../../../../../examples/demo-fleet.json");

/// Secrets of a fleet that lives in one process and ends with it.
const FLEET_SECRET: &str = "the-demo-fleet-secret";
const ADMIN_CREDENTIAL: &str = "the-demo-admin-credential";

/// Failure domains over which nodes and upstreams are spread.
pub const DOMAINS: [&str; 3] = ["domain-a", "domain-b", "domain-c"];

/// The time within which the fleet must be ready.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// The pause between two looks at whether it is.
const READY_PAUSE: Duration = Duration::from_millis(100);

/// Running nodes.
pub struct Nodes {
    nodes: Vec<Node>,
}

impl Nodes {
    /// Starts nodes on free ports of the loopback interface.
    pub fn spawn(count: usize, platform: &Address) -> Result<Self, CommandError> {
        let nodes: Result<Vec<_>, _> = (0..count).map(|i| spawn_node(i, platform)).collect();
        Ok(Self { nodes: nodes? })
    }

    /// Returns the addresses for callers.
    pub fn callers(&self) -> Vec<Address> {
        let callers = |node: &Node| node.addresses().callers.clone();
        self.nodes.iter().map(callers).collect()
    }

    /// Returns the addresses for peers, with the nodes' names.
    pub fn peers(&self) -> impl Iterator<Item = (VmName, Address)> {
        let named = |(i, node): (usize, &Node)| (node_name(i), node.addresses().peers.clone());
        self.nodes.iter().enumerate().map(named)
    }

    /// Publishes the configuration through the first node's administration API.
    pub fn publish_config(&self) -> Result<ConfigVersion, CommandError> {
        let admin = self.admin(&self.nodes[0]);
        let body = Publication {
            base: ConfigVersion(0),
            config: RawValue::from_string(CONFIG.into()).map_err(CommandError::failed)?,
        };
        let body = serde_json::to_string(&body).map_err(CommandError::failed)?;
        let answer = wait_for(|| admin.post("/admin/config", &body))?;
        match serde_json::from_str(&answer).map_err(CommandError::failed)? {
            Published::Accepted { version } => Ok(version),
            Published::Conflict { current } => {
                let why = format!("conflict: version {} came first", current.0);
                Err(CommandError::failed(why))
            }
        }
    }

    /// Waits until every node is ready and has heard of that many engines.
    pub fn wait_ready(&self, engines: usize) -> Result<(), CommandError> {
        for node in &self.nodes {
            let admin = self.admin(node);
            wait_for(|| admin.get("/admin/ready"))?;
            wait_for(|| knows_engines(&admin, engines))?;
        }
        Ok(())
    }

    /// Stops every node gracefully and waits for its end.
    pub fn stop(self) {
        for node in &self.nodes {
            node.stopper().drain();
        }
        for node in self.nodes {
            node.join();
        }
    }

    fn admin(&self, node: &Node) -> Admin {
        Admin::at(node.addresses().admin.clone(), ADMIN_CREDENTIAL.into())
    }
}

fn node_name(index: usize) -> VmName {
    VmName::from(format!("node-{index}").as_str())
}

fn spawn_node(index: usize, platform: &Address) -> Result<Node, CommandError> {
    let name = node_name(index);
    let args = [
        ("--name", name.as_str()),
        ("--domain", DOMAINS[index % DOMAINS.len()]),
        ("--region", "demo"),
        ("--platform-address", platform.as_str()),
        ("--fleet-secret", FLEET_SECRET),
        ("--admin-credential", ADMIN_CREDENTIAL),
        ("--callers-address", "127.0.0.1:0"),
        ("--admin-address", "127.0.0.1:0"),
        ("--peers-address", "127.0.0.1:0"),
    ];
    let args: Vec<&str> = args
        .iter()
        .flat_map(|(flag, value)| [*flag, *value])
        .collect();
    match NodeSettings::from_args_and_env(&args, &[]) {
        Ok(Parsed::Run { settings, .. }) => Node::spawn(settings).map_err(CommandError::failed),
        Ok(_) => Err(CommandError::failed("the demo's settings ask for no run")),
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(|error| error.to_string()).collect();
            Err(CommandError::failed(lines.join("\n")))
        }
    }
}

/// Returns true if a node's state contains this many engines with known models.
fn knows_engines(admin: &Admin, engines: usize) -> Result<(), CommandError> {
    let state = admin.get("/admin/state")?;
    let state: Value = serde_json::from_str(&state).map_err(CommandError::failed)?;
    let listed = state["engines"].as_array().into_iter().flatten();
    let is_known = |engine: &&Value| engine["models"].as_array().is_some_and(|m| !m.is_empty());
    let known = listed.filter(is_known).count();
    if known >= engines {
        return Ok(());
    }
    let why = format!("a node knows {known} of {engines} engines");
    Err(CommandError::failed(why))
}

/// Tries until it succeeds; the last failure where it does not in time.
fn wait_for<T>(mut probe: impl FnMut() -> Result<T, CommandError>) -> Result<T, CommandError> {
    let limit = Instant::now() + READY_LIMIT;
    loop {
        match probe() {
            Ok(value) => return Ok(value),
            Err(error) if Instant::now() >= limit => return Err(error),
            Err(_) => sleep(READY_PAUSE),
        }
    }
}
