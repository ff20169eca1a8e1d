//! The command line, as `argh` reads it.

use argh::FromArgs;

/// Operates a fleet of bluebellpond nodes, loads it and stands in for what surrounds it.
///
/// Exit codes: 0 all went as asked, 1 it did not, 2 the command line was wrong.
#[derive(FromArgs)]
pub struct Ctl {
    /// where a node serves operators, ip:port (BLUEBELL_ADMIN_ADDRESS; default 127.0.0.1:8081)
    #[argh(option)]
    pub admin_address: Option<String>,
    /// the operators' credential (BLUEBELL_ADMIN_CREDENTIAL; no default)
    #[argh(option)]
    pub admin_credential: Option<String>,
    /// print JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// what is logged to standard error: a level and levels by module (default warn)
    #[argh(option, default = "String::from(\"warn\")")]
    pub log_levels: String,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// The command.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// The operators' configuration.
    Config(Config),
    /// The state of one process.
    State(State),
    /// The nodes and upstreams that a node knows.
    Fleet(Fleet),
    /// A planned stop.
    Drain(Drain),
    /// Load.
    Load(Box<Load>),
    /// The policy bench.
    Bench(Bench),
    /// Measure what control costs.
    Capacity(Capacity),
    /// The whole system in one process.
    Demo(Demo),
    /// The events of a request.
    Explain(Explain),
    /// Requests that end replicas.
    Quarantine(Quarantine),
    /// Shares of client accounts.
    Shares(Shares),
    /// The fault soak.
    Soak(Soak),
    /// Stand-ins.
    StandIn(StandIn),
}

/// Run nodes as processes under random faults, and check what callers and replicas see.
#[derive(FromArgs)]
#[argh(subcommand, name = "soak")]
pub struct Soak {
    /// the first seed (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// how many seeds are played, from the first on (default 1)
    #[argh(option, default = "1")]
    pub seeds: u64,
    /// how many are played beside each other (default 1)
    #[argh(option, default = "1")]
    pub jobs: usize,
    /// how long each lasts, in seconds, 14 at least (default 24)
    #[argh(option, default = "24")]
    pub seconds: u64,
    /// where settings and logs of nodes are kept (default soak-logs under the system's folder for
    /// temporary files)
    #[argh(option)]
    pub folder: Option<String>,
}

/// Show what became of a request: its lines from nodes' logs, in order, and what they mean.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the request's id
    #[argh(positional)]
    pub request: String,
    /// the nodes' logs
    #[argh(positional)]
    pub files: Vec<String>,
}

/// Show the requests and the parts of prompts that are run no more, since each replica that ran them
/// ended, on a node of the users' platform; or let one out, at all nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct Quarantine {
    /// where a node serves metrics, ip:port
    #[argh(option)]
    pub at: String,
    /// the digest of the request, or the part (part-ID), to let out
    #[argh(option)]
    pub lift: Option<String>,
}

/// Show the client accounts that ask for the most engine time, and the level that they are held to, as
/// a node of the users' platform knows them.
#[derive(FromArgs)]
#[argh(subcommand, name = "shares")]
pub struct Shares {
    /// where a node serves metrics, ip:port
    #[argh(option)]
    pub at: String,
}

/// Check, publish and show the operators' configuration.
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct Config {
    /// what to do with it
    #[argh(subcommand)]
    pub action: ConfigAction,
}

/// The command on the configuration.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum ConfigAction {
    /// Check a file.
    Check(ConfigCheck),
    /// Publish a file.
    Publish(ConfigPublish),
    /// Show the one in force.
    Show(ConfigShow),
    /// Show earlier ones.
    History(ConfigHistory),
}

/// Check a configuration file without a node; lists every fault with its path and reason.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct ConfigCheck {
    /// the file
    #[argh(positional)]
    pub file: String,
}

/// Publish a configuration file; refused where another was published since the version it is
/// based on.
#[derive(FromArgs)]
#[argh(subcommand, name = "publish")]
pub struct ConfigPublish {
    /// the file
    #[argh(positional)]
    pub file: String,
    /// the version that the file is based on; 0 where there is none yet
    #[argh(option)]
    pub base: u64,
}

/// Show the configuration in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ConfigShow {}

/// Show the versions still known, oldest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub struct ConfigHistory {}

/// Dump the state of the node asked.
#[derive(FromArgs)]
#[argh(subcommand, name = "state")]
pub struct State {}

/// Show which nodes are there, live or leaving, and their configuration versions.
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct Fleet {}

/// Stop the node asked gracefully: no new work, what runs is finished, duties are handed over.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {}

/// Send open-loop load, check every answer and report latency by prompt length.
///
/// Fails where an answer was wrong or a request got no word.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub struct Load {
    /// where a node serves callers, ip:port; repeat for more (default 127.0.0.1:8080)
    #[argh(option)]
    pub target: Vec<String>,
    /// mean arrivals per second, a Poisson process (default 10)
    #[argh(option, default = "10.0")]
    pub rate: f64,
    /// requests in all (default 200)
    #[argh(option, default = "200")]
    pub requests: u64,
    /// the schedule's seed (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// prompt lengths: mixed (log-uniform 1k to 1M tokens, one in fifty over 100k), short, long or
    /// a number of tokens (default mixed)
    #[argh(option, default = "String::from(\"mixed\")")]
    pub mix: String,
    /// cut longer prompts to this many tokens
    #[argh(option)]
    pub max_prompt_tokens: Option<u64>,
    /// the model asked for (default pond-1)
    #[argh(option, default = "String::from(\"pond-1\")")]
    pub model: String,
    /// a class of work as name:longest prompt in tokens, ascending, repeated, the last as name
    /// only (default short-draft:4000 condensed-text:64000 archive-read)
    #[argh(option)]
    pub class: Vec<String>,
    /// tokens asked for in each answer (default 32)
    #[argh(option, default = "32")]
    pub answer_tokens: u64,
    /// the class of requests that must run at most once (default notice)
    #[argh(option, default = "String::from(\"notice\")")]
    pub keyed_class: String,
    /// the share of requests that must run at most once, 0 to 1 (default 0)
    #[argh(option, default = "0.0")]
    pub keyed_share: f64,
    /// a routed service path to post to (default /services/board/notices)
    #[argh(option, default = "String::from(\"/services/board/notices\")")]
    pub service_path: String,
    /// the share of requests that go to the service, 0 to 1 (default 0)
    #[argh(option, default = "0.0")]
    pub service_share: f64,
    /// an account's key; repeat for more (BLUEBELL_ACCOUNT_KEYS, separated by commas; default the
    /// keys of examples/demo-fleet.json)
    #[argh(option)]
    pub account_key: Vec<String>,
    /// how often a request is tried in all (default 3)
    #[argh(option, default = "3")]
    pub tries: u32,
    /// the most requests in flight (default 128)
    #[argh(option, default = "128")]
    pub threads: usize,
    /// how long one answer is waited for, in ms (default 300000)
    #[argh(option, default = "300_000")]
    pub patience_ms: u64,
    /// the length of the beginning that an account's prompts share, in tokens (default 0)
    #[argh(option, default = "0")]
    pub shared_prefix_tokens: u64,
    /// a stand-in engine or service, ip:port, that is asked afterwards what it ran, so that
    /// verdicts can be checked; repeat for all of them
    #[argh(option)]
    pub upstream: Vec<String>,
    /// a stand-in engine, ip:port, that is also called directly; repeat for more
    #[argh(option)]
    pub direct_engine: Vec<String>,
    /// the share of requests sent to an engine directly, 0 to 1 (default 0)
    #[argh(option, default = "0.0")]
    pub direct_share: f64,
    /// the engines are real ones, whose answers aren't known beforehand
    #[argh(switch)]
    pub real_engines: bool,
}

/// Run the whole system in one process: stand-ins of platform, engines and a service, three nodes,
/// mixed load, and a report by prompt length.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// nodes (default 3)
    #[argh(option, default = "3")]
    pub nodes: usize,
    /// stand-in engines (default 6)
    #[argh(option, default = "6")]
    pub engines: usize,
    /// how many times faster than the clock the engines compute (default 2)
    #[argh(option, default = "2.0")]
    pub speed: f64,
    /// mean arrivals per second (default 6)
    #[argh(option, default = "6.0")]
    pub rate: f64,
    /// requests in all (default 200)
    #[argh(option, default = "200")]
    pub requests: u64,
    /// the schedule's seed (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// tokens asked for in each answer (default 32)
    #[argh(option, default = "32")]
    pub answer_tokens: u64,
}

/// Measure the policy beside baselines, with fake engines under virtual time; the same seed gives
/// the same figures.
#[derive(FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Bench {
    /// the seed of all randomness (default 1)
    #[argh(option)]
    pub seed: Option<u64>,
    /// how long each run's arrivals go on, in seconds of virtual time (default 240)
    #[argh(option)]
    pub seconds: Option<u64>,
    /// how many runs with seeds of their own make one row (default 1)
    #[argh(option)]
    pub repeats: Option<u32>,
    /// the most threads that work on runs at once (default 4)
    #[argh(option)]
    pub threads: Option<usize>,
    /// a part to run: loads, nodes, lags, faults, accounts or cost; repeat for more (default all)
    #[argh(option)]
    pub part: Vec<String>,
    /// a policy to run: laxity, round-robin, least-requests or least-tokens; repeat for more
    /// (default all, which the targets that compare need)
    #[argh(option)]
    pub policy: Vec<String>,
    /// a file for the whole result as JSON
    #[argh(option)]
    pub json_file: Option<String>,
    /// a file for the plot of slowdown by length against load, as SVG
    #[argh(option)]
    pub svg_file: Option<String>,
}

/// Measure what control costs a node at several sizes of the fleet, and fit straight lines.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct Capacity {
    /// a part to measure: nodes, upstreams, fleet, config, force, start, outage, memory or wire; repeat
    /// for more (default all)
    #[argh(option)]
    pub part: Vec<String>,
    /// the seed of all randomness (default 1)
    #[argh(option)]
    pub seed: Option<u64>,
    /// a number of nodes; repeat for more (default 3 9 25 50)
    #[argh(option)]
    pub nodes: Vec<usize>,
    /// a number of upstreams; repeat for more (default 30 300 900 1800)
    #[argh(option)]
    pub upstreams: Vec<usize>,
    /// a number of accounts; repeat for more (default 10 300 1000 2200)
    #[argh(option)]
    pub accounts: Vec<usize>,
    /// a number of configuration changes in the log; repeat for more (default 0 100 300 950)
    #[argh(option)]
    pub changes: Vec<usize>,
}

/// Run a stand-in for what surrounds the nodes, or set one up.
#[derive(FromArgs)]
#[argh(subcommand, name = "stand-in")]
pub struct StandIn {
    /// which
    #[argh(subcommand)]
    pub kind: StandInKind,
}

/// The stand-in to run.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum StandInKind {
    /// An engine.
    Engine(StandInEngine),
    /// A plain service.
    Service(StandInService),
    /// The platform.
    Platform(StandInPlatform),
    /// The list of VMs.
    Vm(StandInVm),
    /// Faults.
    Faults(StandInFaults),
}

/// Run a model engine's stand-in, with continuous batching, KV memory and a prefix cache.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct StandInEngine {
    /// where it listens, ip:port (default 127.0.0.1:0, which takes a free port)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub listen: String,
    /// its name on the platform's list of VMs
    #[argh(option)]
    pub name: String,
    /// the platform's stand-in with which it registers itself, ip:port; none: not registered
    #[argh(option)]
    pub platform: Option<String>,
    /// its deployment (default engines)
    #[argh(option, default = "String::from(\"engines\")")]
    pub deployment: String,
    /// its failure domain (default domain-a)
    #[argh(option, default = "String::from(\"domain-a\")")]
    pub domain: String,
    /// the model it serves (default pond-1)
    #[argh(option, default = "String::from(\"pond-1\")")]
    pub model: String,
    /// the model's version (default 1)
    #[argh(option, default = "1")]
    pub model_version: u64,
    /// the credential that nodes must show
    #[argh(option)]
    pub credential: Option<String>,
    /// KV memory in tokens (default 480000)
    #[argh(option)]
    pub kv_tokens: Option<u64>,
    /// how many times faster than the clock it computes (default 1)
    #[argh(option)]
    pub speed: Option<f64>,
    /// it takes orders with an old fencing number, too
    #[argh(switch)]
    pub ignores_fencing: bool,
    /// decides which cache events are lost (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Run a plain service's stand-in, which counts the effects of each call.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub struct StandInService {
    /// where it listens, ip:port (default 127.0.0.1:0, which takes a free port)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    pub listen: String,
    /// its name on the platform's list of VMs
    #[argh(option)]
    pub name: String,
    /// the service as the configuration names it (default board)
    #[argh(option, default = "String::from(\"board\")")]
    pub service: String,
    /// the platform's stand-in with which it registers itself, ip:port; none: not registered
    #[argh(option)]
    pub platform: Option<String>,
    /// its failure domain (default domain-a)
    #[argh(option, default = "String::from(\"domain-a\")")]
    pub domain: String,
    /// how long each call takes, in ms (default 5)
    #[argh(option, default = "5")]
    pub work_ms: u64,
}

/// Run the platform's stand-in: log, weight store and list of VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct StandInPlatform {
    /// where it listens, ip:port (default 127.0.0.1:7000)
    #[argh(option, default = "String::from(\"127.0.0.1:7000\")")]
    pub listen: String,
    /// the credential that clients must show
    #[argh(option)]
    pub credential: Option<String>,
    /// how long the log keeps records, in ms (default 86400000)
    #[argh(option)]
    pub retention_ms: Option<u64>,
    /// appends per second that the log takes (default 300)
    #[argh(option)]
    pub appends_per_second: Option<f64>,
    /// how late changes of the list of VMs are seen, in ms (default 2000)
    #[argh(option)]
    pub vm_lag_ms: Option<u64>,
}

/// Change the platform stand-in's list of VMs.
#[derive(FromArgs)]
#[argh(subcommand, name = "vm")]
pub struct StandInVm {
    /// where the platform's stand-in is, ip:port (default 127.0.0.1:7000)
    #[argh(option, default = "String::from(\"127.0.0.1:7000\")")]
    pub platform: String,
    /// the VM's name
    #[argh(option)]
    pub name: String,
    /// live, leaving or gone (default live)
    #[argh(option, default = "String::from(\"live\")")]
    pub state: String,
    /// what runs on it: node, engine or service (needed for a new one)
    #[argh(option)]
    pub role: Option<String>,
    /// where it is reached, ip:port; for a node its peers' address (needed for a new one)
    #[argh(option)]
    pub address: Option<String>,
    /// its deployment; for a service its name (default nodes, engines, or needed for a service)
    #[argh(option)]
    pub deployment: Option<String>,
    /// its failure domain (default domain-a)
    #[argh(option, default = "String::from(\"domain-a\")")]
    pub domain: String,
}

/// Switch the faults of a running stand-in.
#[derive(FromArgs)]
#[argh(subcommand, name = "faults")]
pub struct StandInFaults {
    /// where the stand-in is, ip:port
    #[argh(option)]
    pub at: String,
    /// all faults that shall be in force, as JSON, such as {"down":true}; {} for none
    #[argh(positional)]
    pub faults: String,
}
