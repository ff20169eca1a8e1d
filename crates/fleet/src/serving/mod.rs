//! The operators' configuration in force: routes, services, client accounts and limits.
//!
//! Terms: a *route* maps a host and a path prefix to a service; the longest prefix wins. A *split*
//! divides a route's requests between services by share.
//!
//! Invariants: a lookup depends only on the configuration and the request, never on earlier ones.

use bluebell_base::prelude::*;
use rustc_hash::FxHashMap;

use crate::engine::EngineSpec;

/// What may be repeated of a route's requests, and how they are answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteKind {
    /// One answer; the request is idempotent.
    Idempotent,
    /// One answer; the request runs at most once.
    AtMostOnce,
    /// A stream of events.
    Stream {
        /// Whether another replica may go on after the last event.
        resumable: bool,
        /// The longest pause between two events that still counts as on time.
        gap_ms: SpanMs,
    },
}

impl RouteKind {
    /// Whether a request may be sent again although an earlier try may have run.
    pub fn repeatable(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream { resumable, .. } => resumable,
        }
    }
}

/// A part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// The service that takes this part.
    pub service: ServiceName,
    /// Its share, relative to the other parts.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The operators' name for it.
    pub name: Arc<str>,
    /// The host that it answers to, in lower case and without a port.
    pub host: Arc<str>,
    /// The beginning of its paths; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: SpanMs,
    /// The time within which an answer, or a stream's first event, is on time.
    pub target_ms: SpanMs,
    /// Its rank; 0 goes first.
    pub priority: u8,
    /// Where its requests go.
    pub splits: Vec<Split>,
    /// The most replicas that one request may be sent to.
    pub max_attempts: u32,
    /// Whether it is open to callers without a key.
    pub public: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The most connections that one replica accepts from all callers together.
    pub max_connections: u32,
    /// How its replicas read and write; none for a plain service.
    pub engine: Option<EngineSpec>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: AccountName,
    /// Its rank, which goes before the route's; none where the route's counts.
    pub priority: Option<u8>,
}

/// What a caller may send, and how long it may be idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// The largest head of a request.
    pub head_bytes: Bytes,
    /// The largest body of a request.
    pub body_bytes: Bytes,
    /// The longest time that a head may take to arrive.
    pub head_timeout_ms: SpanMs,
    /// How long a connection without a request is kept.
    pub idle_timeout_ms: SpanMs,
}

/// What a lookup of a route found.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteLookup {
    /// The route that the request is on.
    Found(Arc<Route>),
    /// No route answers to host and path.
    Unknown,
}

/// One version of the configuration.
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
    /// An empty configuration; `requires_key` tells whether requests need a key.
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

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let host = self.routes.entry(route.host.clone()).or_default();
        host.insert(route.path_prefix.clone(), Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: Service) {
        self.services
            .insert(service.name.clone(), Arc::new(service));
    }

    /// Lets `key` stand for `account`.
    pub fn add_key(&mut self, key: Arc<str>, account: Arc<Account>) {
        self.accounts.insert(key, account);
    }

    /// Its version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// What callers may send.
    pub fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Whether requests on routes that aren't public need a key.
    pub fn requires_key(&self) -> bool {
        self.requires_key
    }

    /// The route of `host` with the longest prefix of `path`.
    ///
    /// Each slash of the path ends a candidate prefix, so the cost follows the path's depth and
    /// not the number of routes.
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

    /// The service called `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// The account that holds `key`.
    pub fn account(&self, key: &str) -> Option<&Arc<Account>> {
        self.accounts.get(key)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(FxHashMap::len).sum()
    }
}

impl Route {
    /// The service for a request whose `draw` is spread evenly over `u32`.
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
