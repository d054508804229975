//! Routes, services and limits as configured by the operator.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::tenant::Tenants;

/// One version of the complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes by host name, longest path prefix first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Limits on what callers may send.
    pub limits: Limits,
    /// The tenants; `None` if requests need no key.
    pub tenants: Option<Tenants>,
}

/// Destination of the requests for one host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host name that requests must have, in lower case.
    pub host: String,
    /// Prefix that request paths must have.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Target latency: the time within which an answer has its full value to the caller.
    pub target_latency: Duration,
    /// Priority; zero is the most urgent.
    pub priority: u8,
    /// The services that share the requests, by weight.
    pub services: Vec<WeightedService>,
    /// Maximum number of times that one request is sent to a server.
    pub max_attempts: u32,
    /// Regions whose servers may serve the route; empty if all may.
    pub home_regions: Vec<String>,
    /// Whether requests need no key of a tenant.
    pub public: bool,
    /// Whether requests have large bodies.
    pub large_bodies: bool,
}

/// One service's weighted share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service in the configuration.
    pub service: Arc<str>,
    /// Weight, relative to the other services of the route.
    pub weight: u32,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one server accepts from all hosts together.
    pub max_connections: u32,
    /// How long a server is cold after it has started.
    pub warm_up: Duration,
    /// Requests per second that a cold server accepts.
    pub cold_rate: f64,
    /// Whether the keys of its requests are granted to its servers, each to one server at a time.
    pub keyed: bool,
}

/// Limits on size and duration of what callers send.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a complete request head must arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The limits until a configuration is known: those of the published example.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Config {
    /// Creates a configuration; sorts the routes of each host name by the length of their prefix,
    /// longest first.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<Arc<str>, Service>,
        limits: Limits,
    ) -> Self {
        let mut routes_by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            let host = route.host.clone();
            routes_by_host
                .entry(host)
                .or_default()
                .push(Arc::new(route));
        }
        for routes in routes_by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: routes_by_host,
            services,
            limits,
            tenants: None,
        }
    }

    /// Requires the key of a tenant from all requests of routes that are not public.
    #[must_use]
    pub fn with_tenants(self, tenants: Tenants) -> Self {
        Self {
            tenants: Some(tenants),
            ..self
        }
    }

    /// Returns the route whose prefix is the longest match for the request's path, among the routes
    /// of its host name.
    ///
    /// The port in the host name and the query in the target are ignored.
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            let numeric = port.bytes().all(|byte| byte.is_ascii_digit());
            if numeric { name } else { host }
        });
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let routes = self.routes.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whether any route takes large bodies.
    pub fn has_uploads(&self) -> bool {
        self.routes().any(|route| route.large_bodies)
    }

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
