//! Configuration of the operators that is in force: routes, services, client accounts and limits.
//!
//! Terms: a *route* maps a host and a path prefix to a service; the longest prefix wins. A *split*
//! divides a route's requests between services by share.
//!
//! Invariants: a lookup depends only on the configuration and the request, never on earlier ones.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use crate::engine::EngineSpec;

/// Kind of a route: the form of its answers, and the condition on which its requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteKind {
    /// One answer; the request is idempotent.
    Idempotent,
    /// One answer; the request runs at most once.
    AtMostOnce,
    /// A stream of events.
    Stream {
        /// True if another replica may continue after the last event.
        resumable: bool,
        /// The longest pause between two events that still counts as on time.
        gap_ms: SpanMs,
    },
}

impl RouteKind {
    /// Returns true if a request may be sent again although an earlier attempt may have run.
    pub fn repeatable(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream { resumable, .. } => resumable,
        }
    }
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The service that the share goes to.
    pub service: ServiceName,
    /// The size of the share, relative to the other shares.
    pub weight: u32,
}

/// The mapping of a host and a path prefix to services, with the targets and limits of its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The operators' name for the route.
    pub name: Arc<str>,
    /// The host of the route, in lower case and without a port.
    pub host: Arc<str>,
    /// The prefix of the route's paths; it begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// The kind of the route.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: SpanMs,
    /// The time within which an answer, or a stream's first event, is on time.
    pub target_ms: SpanMs,
    /// The rank of its requests; 0 is the highest.
    pub priority: u8,
    /// The services that its requests go to.
    pub splits: Vec<Split>,
    /// The highest number of replicas that one request may be sent to.
    pub max_attempts: u32,
    /// True if the route is open to callers without a key.
    pub public: bool,
}

/// A set of replicas that serve the same requests, as the operators configured it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceName,
    /// The highest number of connections that one replica accepts from all callers together. Nodes don't
    /// enforce it.
    pub max_connections: u32,
    /// The path at which a replica answers a request for its health; `None` if it has none.
    pub health_path: Option<Arc<str>>,
    /// The figures of its engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// The bounds of replicas that are cold; `None` if they bear as much as others.
    pub cold: Option<ColdSpec>,
}

/// The bounds of a service's cold replicas, as the operators configured them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpec {
    /// The time for which a replica is cold after a start.
    pub span_ms: SpanMs,
    /// The rate of requests that a cold replica bears from all nodes together.
    pub rate: PerSecond,
}

/// A client account, to which callers are assigned by their keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The name of the account.
    pub name: AccountName,
    /// The rank of its requests, which overrides the route's; `None` if the route's applies.
    pub priority: Option<u8>,
}

/// Limits on the size of requests and on slow or idle callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The largest head of a request.
    pub head_bytes: Bytes,
    /// The largest body of a request.
    pub body_bytes: Bytes,
    /// The longest time that a head may take to arrive. Nodes don't enforce it; the idle timeout also covers
    /// the arrival of a head.
    pub head_timeout_ms: SpanMs,
    /// The longest time that a connection without a request is kept.
    pub idle_timeout_ms: SpanMs,
}

/// Result of looking up the route of a request by its host and path.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteLookup {
    /// The route of the request.
    Found(Arc<Route>),
    /// No route matches host and path.
    Unknown,
}

/// One version of the operators' configuration: its routes, services, client accounts and limits.
#[derive(Clone, Debug)]
pub struct ServingConfig {
    version: ConfigVersion,
    routes: FxHashMap<Arc<str>, FxHashMap<Arc<str>, Arc<Route>>>,
    services: FxHashMap<ServiceName, Arc<Service>>,
    accounts: FxHashMap<Arc<str>, Arc<Account>>,
    requires_key: bool,
    limits: ClientLimits,
}

impl ServingConfig {
    /// Creates an empty configuration. Requests need a key if `requires_key` is true.
    pub fn new(version: ConfigVersion, limits: ClientLimits, requires_key: bool) -> Self {
        Self {
            version,
            routes: FxHashMap::default(),
            services: FxHashMap::default(),
            accounts: FxHashMap::default(),
            requires_key,
            limits,
        }
    }

    /// Adds a route. It replaces a route with the same host and prefix.
    pub fn add_route(&mut self, route: Route) {
        let host = self.routes.entry(route.host.clone()).or_default();
        host.insert(route.path_prefix.clone(), Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services
            .insert(service.name.clone(), Arc::new(service));
    }

    /// Assigns `key` to `account`.
    pub fn add_key(&mut self, key: Arc<str>, account: Arc<Account>) {
        self.accounts.insert(key, account);
    }

    /// Returns the version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns true if requests on routes that aren't public need a key.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// Returns the route of `host` with the longest prefix of `path`.
    ///
    /// Each slash of the path ends a candidate prefix, so the cost depends on the depth of the path
    /// and not on the number of routes.
    pub fn route(&self, host: &str, path: &str) -> RouteLookup {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host = match name.bytes().any(|b| b.is_ascii_uppercase()) {
            true => self.routes.get(name.to_ascii_lowercase().as_str()),
            false => self.routes.get(name),
        };
        let Some(routes) = host else {
            return RouteLookup::Unknown;
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = routes.get(&path[..=slash]) {
                return RouteLookup::Found(route.clone());
            }
            end = slash;
        }
        RouteLookup::Unknown
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the account that holds `key`.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }

    /// Returns the accounts of all keys. An account with several keys is returned for each.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.accounts.values()
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(FxHashMap::len).sum()
    }
}

impl Route {
    /// Chooses the service for a request by `draw`, a random number spread evenly over `u32`. Returns
    /// `None` if the route has no services.
    pub fn service(&self, draw: u32) -> Option<&ServiceName> {
        let total: u64 = self.splits.iter().map(|s| u64::from(s.weight)).sum();
        if total == 0 {
            return self.splits.first().map(|s| &s.service);
        }
        let mut point = (u64::from(draw) * total) >> 32;
        for split in &self.splits {
            if point < u64::from(split.weight) {
                return Some(&split.service);
            }
            point -= u64::from(split.weight);
        }
        None
    }
}
