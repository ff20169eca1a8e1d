//! A fleet with stand-ins in one process, on real sockets with ports that the system picks.

use bluebell_base::prelude::*;
use bluebell_node::Node;
use bluebell_platform::{VmEntry, VmRole, VmState};
use bluebell_settings::{AddressList, EnvVar, NodeSettings, Parsed, SettingValue};
use bluebell_stand_ins::engine::{EngineServer, EngineSettings, ServerOptions};
use bluebell_stand_ins::faults::FaultSwitches;
use bluebell_stand_ins::platform::{PlatformServer, PlatformSettings, VmChange};
use bluebell_stand_ins::service::{ServiceServer, ServiceSettings};
use bluebell_upstreams::engine::LoadedModel;
use std::time::{Duration, Instant};

/// The time limit of any wait in these tests.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The caller's key of the first account in the test configuration.
pub const KEY: &str = "demo-key-1";

/// Nodes, the stand-ins that they use and an HTTP client.
pub struct Fleet {
    pub nodes: Vec<Node>,
    pub platform: PlatformServer,
    pub engines: Vec<EngineServer>,
    pub service: ServiceServer,
    pub agent: ureq::Agent,
}

impl Fleet {
    /// Starts a fleet and waits until every node is ready.
    pub fn start(nodes: usize, engines: usize) -> Self {
        let mut fleet = Self::surroundings(engines);
        fleet.list_upstreams();
        for index in 0..nodes {
            fleet.start_node(index);
        }
        for index in 0..nodes {
            fleet.wait_ready(index);
        }
        fleet
    }

    /// Starts one node whose platform lists no upstream, without waiting for its readiness.
    pub fn start_unready() -> Self {
        let mut fleet = Self::surroundings(0);
        fleet.start_node(0);
        fleet
    }

    fn surroundings(engines: usize) -> Self {
        let settings = PlatformSettings {
            vm_lag_ms: SpanMs(0),
            ..PlatformSettings::default()
        };
        let platform = PlatformServer::bind("127.0.0.1:0", settings).expect("platform binds");
        Self {
            nodes: Vec::new(),
            engines: (0..engines).map(|_| engine()).collect(),
            service: ServiceServer::bind(
                "127.0.0.1:0",
                ServiceSettings::default(),
                FaultSwitches::default(),
            )
            .expect("service binds"),
            platform,
            agent: agent(),
        }
    }

    fn list_upstreams(&self) {
        for (index, engine) in self.engines.iter().enumerate() {
            let name = format!("engine-{index}");
            self.list(&name, VmRole::Engine, "notice-writing", engine.address());
        }
        self.list(
            "board-0",
            VmRole::Service,
            "notice-board",
            self.service.address(),
        );
    }

    fn list(&self, name: &str, role: VmRole, deployment: &str, at: std::net::SocketAddr) {
        let entry = VmEntry {
            name: name.into(),
            role,
            address: Address::from(at.to_string().as_str()),
            deployment: deployment.into(),
            domain: "galway-a".into(),
            state: VmState::Live,
        };
        self.platform.with_model(|model, now_ms| {
            model
                .change_vms(now_ms, VmChange::Put(entry))
                .expect("a new entry can be put");
        });
    }

    fn start_node(&mut self, index: usize) {
        let node = Node::spawn(settings(index, &self.platform)).expect("node starts");
        let address = node.addresses().peers.as_str().parse();
        let address = address.expect("a socket address");
        self.list(&format!("node-{index}"), VmRole::Node, "entry", address);
        self.nodes.push(node);
    }

    /// Starts a node with seed addresses that the platform's list doesn't name.
    pub fn start_unlisted(&mut self, seeds: &[&Address]) {
        let seeds: Vec<&str> = seeds.iter().map(|seed| seed.as_str()).collect();
        let mut settings = settings(self.nodes.len(), &self.platform);
        settings.peer_seeds =
            (!seeds.is_empty()).then(|| AddressList::read(&seeds.join(",")).expect("addresses"));
        self.nodes.push(Node::spawn(settings).expect("node starts"));
    }

    /// Waits until the node is ready and knows all engines with their models.
    pub fn wait_ready(&self, index: usize) {
        let url = self.url(index, "/readyz");
        wait_for("the node to be ready", || {
            let ready = self.agent.get(&url).call();
            let ready = ready.is_ok_and(|answer| answer.status() == 200);
            ready && self.knows_engines(index)
        });
    }

    fn knows_engines(&self, index: usize) -> bool {
        let state = self.state(index);
        let engines = state["engines"].as_array().expect("a list of engines");
        let known = |engine: &serde_json::Value| engine["models"] != serde_json::json!([]);
        engines.len() == self.engines.len() && engines.iter().all(known)
    }

    /// Returns a node's state dump.
    pub fn state(&self, index: usize) -> serde_json::Value {
        self.admin(index, "/admin/state")
    }

    /// Returns the JSON answer of a node's administration API.
    pub fn admin(&self, index: usize, path: &str) -> serde_json::Value {
        let admin = &self.nodes[index].addresses().admin;
        let call = self.agent.get(format!("http://{admin}{path}"));
        let call = call.header("authorization", "Bearer admin-credential");
        let mut answer = call.call().expect("an answer");
        answer.body_mut().read_json().expect("JSON")
    }

    /// Returns the sum of all series of a node's metrics whose line begins with `name`.
    pub fn metric(&self, index: usize, name: &str) -> f64 {
        let admin = &self.nodes[index].addresses().admin;
        let call = self.agent.get(format!("http://{admin}/metrics"));
        let call = call.header("authorization", "Bearer admin-credential");
        let mut answer = call.call().expect("metrics");
        let text = answer.body_mut().read_to_string().expect("text");
        let lines = text.lines().filter(|line| line.starts_with(name));
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
        values.sum()
    }

    /// Returns a URL of a node's callers' interface.
    pub fn url(&self, index: usize, path: &str) -> String {
        format!("http://{}{path}", self.nodes[index].addresses().callers)
    }

    /// Posts JSON as the first account's caller and returns the answer.
    pub fn post(
        &self,
        index: usize,
        path: &str,
        key: Option<&str>,
        body: &serde_json::Value,
    ) -> Answer {
        let mut call = self
            .agent
            .post(self.url(index, path))
            .header("authorization", format!("Bearer {KEY}"));
        if let Some(key) = key {
            call = call.header("idempotency-key", key);
        }
        let mut answer = call.send_json(body).expect("an HTTP answer");
        let text = answer.body_mut().read_to_string().expect("a text body");
        Answer {
            status: answer.status().as_u16(),
            json: serde_json::from_str(&text).unwrap_or(serde_json::Value::Null),
            text,
        }
    }

    /// Posts a completion with an idempotency key, and again while the key can't be claimed yet.
    pub fn post_until_claimed(&self, index: usize, key: &str, body: &serde_json::Value) -> Answer {
        let mut last = None;
        wait_for("the shard's owner to serve", || {
            let answer = self.post(index, "/v1/completions", Some(key), body);
            let unclaimed = answer.status == 503;
            assert!(!unclaimed || answer.json["error"]["verdict"] == "not_run");
            last = Some(answer);
            !unclaimed
        });
        last.expect("an answer came")
    }

    /// Returns the number of requests that all engines have begun.
    pub fn runs(&self) -> u64 {
        let begun = self
            .engines
            .iter()
            .map(|engine| engine.stats().requests_run);
        begun.sum()
    }

    /// Stops all nodes and waits until they have ended.
    pub fn stop(self) {
        for node in &self.nodes {
            node.stopper().drain();
        }
        for node in self.nodes {
            node.join();
        }
        self.platform.stop();
    }
}

/// An HTTP answer.
pub struct Answer {
    pub status: u16,
    pub json: serde_json::Value,
    pub text: String,
}

/// Waits until `done` returns true. Panics with `what` after [`PATIENCE`].
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !done() {
        assert!(Instant::now() < end, "waited {PATIENCE:?} for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE));
    config.build().new_agent()
}

fn engine() -> EngineServer {
    let model = |name: &str| LoadedModel {
        model: name.into(),
        version: 1,
    };
    let settings = EngineSettings {
        models: vec![model("pond-1")],
        time_scale: 8.0,
        ..EngineSettings::default()
    };
    EngineServer::bind("127.0.0.1:0", settings, ServerOptions::default()).expect("engine binds")
}

fn settings(index: usize, platform: &PlatformServer) -> NodeSettings {
    let name = format!("node-{index}");
    let platform = platform.address();
    let seed = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/tests/sockets/support/fleet.json"
    );
    let flags = [
        ["--name", name.as_str()],
        ["--domain", "galway-a"],
        ["--region", "eire-west"],
        ["--callers-address", "127.0.0.1:0"],
        ["--admin-address", "127.0.0.1:0"],
        ["--peers-address", "127.0.0.1:0"],
        ["--fleet-secret", "a-fleet-secret-for-tests"],
        ["--admin-credential", "admin-credential"],
        ["--drain-notice-ms", "300"],
        ["--platform-address", platform.as_str()],
        ["--seed-config", seed],
    ];
    let args = flags.as_flattened();
    match NodeSettings::from_args_and_env(args, &[] as &[EnvVar]) {
        Ok(Parsed::Run { settings, .. }) => settings,
        Ok(_) => panic!("the settings ask for no run"),
        Err(errors) => panic!("{errors:?}"),
    }
}
