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

/// The name of the program.
const PROGRAM: &str = "bluebellpond";

/// The description of the program in its help text.
const ABOUT: &str =
    "A node of the serving layer between callers and a shared fleet of model engines.";

settings! {
    /// The checked settings of the node.
    NodeSettings, NodeArgs, NODE_SETTINGS, "A node of the serving layer.";

    /// The VM's name in the platform's list.
    name: VmName, "name", "BLUEBELL_NAME", "text", Required;
    /// The VM's failure domain.
    domain: DomainName, "domain", "BLUEBELL_DOMAIN", "text", Required;
    /// The VM's region.
    region: RegionName, "region", "BLUEBELL_REGION", "text", Required;
    /// The address for callers. Port 0 selects a free port.
    callers_address: Address, "callers-address", "BLUEBELL_CALLERS_ADDRESS", "ip:port", Default("127.0.0.1:8080");
    /// The address of the administration API. Port 0 selects a free port.
    admin_address: Address, "admin-address", "BLUEBELL_ADMIN_ADDRESS", "ip:port", Default("127.0.0.1:8081");
    /// The address for other nodes. Port 0 selects a free port.
    peers_address: Address, "peers-address", "BLUEBELL_PEERS_ADDRESS", "ip:port", Default("127.0.0.1:8082");
    /// The address at which other nodes reach this one, if it differs from the address for other nodes.
    peers_advertised: Option<Address>, "peers-advertised", "BLUEBELL_PEERS_ADVERTISED", "ip:port", Unset;
    /// The addresses of other nodes that are used before the platform's list of VMs is read.
    peer_seeds: Option<AddressList>, "peer-seeds", "BLUEBELL_PEER_SEEDS", "ip:port,...", Unset;
    /// The address of the platform's log, weight store and VM list.
    platform_address: Address, "platform-address", "BLUEBELL_PLATFORM_ADDRESS", "ip:port", Required;
    /// The credential sent to the platform.
    platform_credential: Option<Secret>, "platform-credential", "BLUEBELL_PLATFORM_CREDENTIAL", "secret", Unset;
    /// The secret shared by all nodes of the fleet. It authenticates nodes and signs cursors.
    fleet_secret: Secret, "fleet-secret", "BLUEBELL_FLEET_SECRET", "secret", Required;
    /// The credential of operators for the administration API.
    admin_credential: Secret, "admin-credential", "BLUEBELL_ADMIN_CREDENTIAL", "secret", Required;
    /// The number of threads for calls to upstreams. Each serves one stream at a time.
    io_threads: u32, "io-threads", "BLUEBELL_IO_THREADS", "count", Default("256");
    /// The maximum number of callers that are served at the same time. Further calls are refused.
    max_calls: u32, "max-calls", "BLUEBELL_MAX_CALLS", "count", Default("512");
    /// The maximum memory for the bodies of calls. Calls beyond it are refused.
    body_memory_bytes: Bytes, "body-memory-bytes", "BLUEBELL_BODY_MEMORY_BYTES", "bytes", Default("134217728");
    /// The format of log lines.
    log_format: LogFormat, "log-format", "BLUEBELL_LOG_FORMAT", "text or json", Default("text");
    /// The log level, optionally followed by levels of modules, such as info,requests=debug.
    log_levels: LogLevels, "log-levels", "BLUEBELL_LOG_LEVELS", "level,module=level...", Default("info");
    /// The time after a caller's disconnection at which its work is cancelled.
    hang_up_grace_ms: SpanMs, "hang-up-grace-ms", "BLUEBELL_HANG_UP_GRACE_MS", "ms", Default("2000");
    /// The duration of the lease of a duty. Leases are renewed before they expire.
    lease_ttl_ms: SpanMs, "lease-ttl-ms", "BLUEBELL_LEASE_TTL_MS", "ms", Default("10000");
    /// The number of shards of the idempotency keys. It must be the same on all nodes of the fleet.
    shards: u32, "shards", "BLUEBELL_SHARDS", "count", Default("16");
    /// The interval at which the config stream of the log is read.
    config_poll_ms: SpanMs, "config-poll-ms", "BLUEBELL_CONFIG_POLL_MS", "ms", Default("1000");
    /// The interval at which the platform's list of VMs is read by the node that holds this duty.
    vm_list_poll_ms: SpanMs, "vm-list-poll-ms", "BLUEBELL_VM_LIST_POLL_MS", "ms", Default("1000");
    /// The time for which the platform's log retains records. It must be the same on all nodes of the fleet.
    log_retention_ms: SpanMs, "log-retention-ms", "BLUEBELL_LOG_RETENTION_MS", "ms", Default("86400000");
    /// The path of a configuration file that is published if the log holds no configuration.
    seed_config: Option<PathBuf>, "seed-config", "BLUEBELL_SEED_CONFIG", "path", Unset;
    /// The time for which a stopping node still accepts work after it reports that it isn't ready, so that the balancer notices.
    drain_notice_ms: SpanMs, "drain-notice-ms", "BLUEBELL_DRAIN_NOTICE_MS", "ms", Default("2000");
    /// The maximum time for which a stopping node waits for running work before the process exits.
    drain_limit_ms: SpanMs, "drain-limit-ms", "BLUEBELL_DRAIN_LIMIT_MS", "ms", Default("300000");
}

/// The minimum lease duration. A shorter lease can't be read and renewed in time: control subtracts a margin
/// of one second and reads leases once a second, four times a lease.
const MIN_LEASE_TTL_MS: SpanMs = SpanMs(4_000);

/// The maximum interval between reads of the config stream. With a longer one, changes would not be in force
/// within seconds.
const MAX_CONFIG_POLL_MS: SpanMs = SpanMs(5_000);

impl NodeSettings {
    /// Parses the settings from flags (without the program's name) and environment variables.
    ///
    /// # Errors
    /// Returns all errors.
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

    /// Returns the errors of settings that contradict each other.
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

/// Returns true if an address stands for all interfaces, so that others can't connect to it.
fn is_unspecified(address: &Address) -> bool {
    let parsed: Result<SocketAddr, _> = address.as_str().parse();
    parsed.is_ok_and(|address| address.ip().is_unspecified())
}
