//! The settings of the node program.

use crate::check::SettingError;
use crate::print::help_text;
use crate::resolve::{EnvVar, Parsed, Resolver, unknown_env};
use crate::table::Fallback::{Default, Required, Unset};
use crate::value::{AddressList, Secret};
use argh::FromArgs;
use bluebell_base::prelude::*;
use bluebell_telemetry::{LogFormat, LogLevels};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The program's name.
const PROGRAM: &str = "bluebellpond";

/// What the program is, for its help.
const ABOUT: &str =
    "A node of the serving layer between callers and a shared fleet of model engines.";

settings! {
    /// The node's settings, checked.
    NodeSettings, NodeArgs, NODE_SETTINGS, "A node of the serving layer.";

    /// This VM's name, as the platform's list names it.
    name: VmName, "name", "BLUEBELL_NAME", "text", Required;
    /// This VM's failure domain.
    domain: DomainName, "domain", "BLUEBELL_DOMAIN", "text", Required;
    /// This VM's region.
    region: RegionName, "region", "BLUEBELL_REGION", "text", Required;
    /// Where callers are served; port 0 takes a free one.
    callers_address: Address, "callers-address", "BLUEBELL_CALLERS_ADDRESS", "ip:port", Default("127.0.0.1:8080");
    /// Where operators are served; port 0 takes a free one.
    admin_address: Address, "admin-address", "BLUEBELL_ADMIN_ADDRESS", "ip:port", Default("127.0.0.1:8081");
    /// Where other nodes are served; port 0 takes a free one.
    peers_address: Address, "peers-address", "BLUEBELL_PEERS_ADDRESS", "ip:port", Default("127.0.0.1:8082");
    /// Where other nodes reach this one, if not at the peers' address.
    peers_advertised: Option<Address>, "peers-advertised", "BLUEBELL_PEERS_ADVERTISED", "ip:port", Unset;
    /// Where other nodes are reached at the start, before the platform's list of VMs is read.
    peer_seeds: Option<AddressList>, "peer-seeds", "BLUEBELL_PEER_SEEDS", "ip:port,...", Unset;
    /// Where the platform's log, weight store and VM list are.
    platform_address: Address, "platform-address", "BLUEBELL_PLATFORM_ADDRESS", "ip:port", Required;
    /// The credential sent to the platform.
    platform_credential: Option<Secret>, "platform-credential", "BLUEBELL_PLATFORM_CREDENTIAL", "secret", Unset;
    /// The secret that all nodes of the fleet share: authenticates nodes and signs cursors.
    fleet_secret: Secret, "fleet-secret", "BLUEBELL_FLEET_SECRET", "secret", Required;
    /// The credential that operators give to the administration API.
    admin_credential: Secret, "admin-credential", "BLUEBELL_ADMIN_CREDENTIAL", "secret", Required;
    /// Threads that talk to upstreams; each carries one stream at a time.
    io_threads: u32, "io-threads", "BLUEBELL_IO_THREADS", "count", Default("256");
    /// The most callers served at the same time; more are refused.
    max_calls: u32, "max-calls", "BLUEBELL_MAX_CALLS", "count", Default("512");
    /// The most memory for callers' bodies; calls beyond it are refused.
    body_memory_bytes: Bytes, "body-memory-bytes", "BLUEBELL_BODY_MEMORY_BYTES", "bytes", Default("134217728");
    /// The form of log lines: text or json.
    log_format: LogFormat, "log-format", "BLUEBELL_LOG_FORMAT", "text or json", Default("text");
    /// What is logged: a level, and levels by module, such as info,requests=debug.
    log_levels: LogLevels, "log-levels", "BLUEBELL_LOG_LEVELS", "level,module=level...", Default("info");
    /// How long a caller may be gone before its work is cancelled.
    hang_up_grace_ms: SpanMs, "hang-up-grace-ms", "BLUEBELL_HANG_UP_GRACE_MS", "ms", Default("2000");
    /// How long a lease of a duty lasts unless renewed.
    lease_ttl_ms: SpanMs, "lease-ttl-ms", "BLUEBELL_LEASE_TTL_MS", "ms", Default("10000");
    /// Shards of the idempotency keys; the same on all nodes of the fleet.
    shards: u32, "shards", "BLUEBELL_SHARDS", "count", Default("16");
    /// How often the config stream of the log is read.
    config_poll_ms: SpanMs, "config-poll-ms", "BLUEBELL_CONFIG_POLL_MS", "ms", Default("1000");
    /// How often the platform's list of VMs is read by the node whose duty that is.
    vm_list_poll_ms: SpanMs, "vm-list-poll-ms", "BLUEBELL_VM_LIST_POLL_MS", "ms", Default("1000");
    /// How long the platform's log keeps records; the same on all nodes of the fleet.
    log_retention_ms: SpanMs, "log-retention-ms", "BLUEBELL_LOG_RETENTION_MS", "ms", Default("86400000");
    /// A configuration file that is published where the log holds none yet.
    seed_config: Option<PathBuf>, "seed-config", "BLUEBELL_SEED_CONFIG", "path", Unset;
    /// How long a planned stop waits for running work before the process exits all the same.
    drain_limit_ms: SpanMs, "drain-limit-ms", "BLUEBELL_DRAIN_LIMIT_MS", "ms", Default("300000");
}

/// A lease shorter than this could not be read and renewed in time: control takes a margin of a
/// second off, and reads leases once a second, four times a lease.
const MIN_LEASE_TTL_MS: SpanMs = SpanMs(4_000);

/// Reading the config stream less often would not bring changes into force within seconds.
const MAX_CONFIG_POLL_MS: SpanMs = SpanMs(5_000);

impl NodeSettings {
    /// Reads the settings from flags (without the program's name) and environment variables.
    ///
    /// # Errors
    /// Every fault found.
    pub fn from_args_and_env(
        args: &[&str],
        env: &[EnvVar],
    ) -> Result<Parsed<NodeSettings>, Vec<SettingError>> {
        let args = match NodeArgs::from_args(&[PROGRAM], args) {
            Ok(args) => args,
            Err(exit) if exit.status.is_ok() => {
                return Ok(Parsed::Help(help_text(PROGRAM, ABOUT, NODE_SETTINGS)));
            }
            Err(exit) => return Err(vec![SettingError::Usage(exit.output.trim().into())]),
        };
        let check = args.check;
        let mut resolver = Resolver::new(NODE_SETTINGS, env);
        let settings = Self::resolve(args, &mut resolver);
        let clashes = settings.as_ref().map(Self::clashes).unwrap_or_default();
        let effective = resolver.finish()?;
        if !clashes.is_empty() {
            return Err(clashes);
        }
        let settings = settings.expect("a setting is only missing with an error");
        if check {
            return Ok(Parsed::Check(effective));
        }
        Ok(Parsed::Run {
            settings,
            effective,
            unknown_env: unknown_env(NODE_SETTINGS, env),
        })
    }

    /// Settings that are right alone but wrong together.
    fn clashes(&self) -> Vec<SettingError> {
        let mut errors = Vec::new();
        let mut clash = |reason: &str| errors.push(SettingError::Clash(reason.into()));
        if self.peers_advertised.is_none() && is_unspecified(&self.peers_address) {
            clash(
                "--peers-advertised is needed where --peers-address is not one other nodes can call",
            );
        }
        if self.lease_ttl_ms < MIN_LEASE_TTL_MS {
            clash(&format!(
                "--lease-ttl-ms must be at least {}",
                MIN_LEASE_TTL_MS.0
            ));
        }
        if self.config_poll_ms > MAX_CONFIG_POLL_MS {
            clash(&format!(
                "--config-poll-ms must be at most {}: changes shall be in force within seconds",
                MAX_CONFIG_POLL_MS.0
            ));
        }
        errors
    }
}

/// Whether an address means "every interface" and so can't be called by others.
fn is_unspecified(address: &Address) -> bool {
    let parsed: Result<SocketAddr, _> = address.as_str().parse();
    parsed.is_ok_and(|address| address.ip().is_unspecified())
}
