//! Routes, services and limits as the operator wrote them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// One version of the whole configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Its version; a higher one replaces a lower one.
    pub version: u64,
    /// Routes, the longest path prefix of a host name first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// What callers may send.
    pub limits: Limits,
}

/// Where requests of one host name and path prefix go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host name of its requests, in lower case.
    pub host: String,
    /// What their paths begin with.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub idempotent: bool,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is worth most.
    pub target: Duration,
    /// Its rank; zero is the most urgent.
    pub priority: u8,
    /// The services that share its requests.
    pub parts: Vec<Part>,
    /// The most servers that one request may be sent to.
    pub attempts: u32,
    /// The regions that may serve it; empty when all may.
    pub homes: Vec<String>,
}

/// One service's share of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The service.
    pub service: Arc<str>,
    /// Its weight beside the other parts.
    pub weight: u32,
}

/// What is known of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The path that answers health checks.
    pub health_path: String,
    /// Connections that one server accepts from all hosts together.
    pub connections: u32,
    /// How long a server that has started is cold.
    pub warm_up: Duration,
    /// Requests a second that a cold server bears.
    pub warm_rate: f64,
    /// Whether its servers hold keys.
    pub keyed: bool,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time for a whole head to arrive.
    pub header_timeout: Duration,
    /// Time for which a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// The limits before a configuration is known, those of the published example.
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
    /// Makes a configuration; routes are put in the order in which they are tried.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<Arc<str>, Service>,
        limits: Limits,
    ) -> Self {
        let mut by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            let host = route.host.clone();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            routes: by_host,
            services,
            limits,
        }
    }

    /// The route of a request: the longest prefix of the path among the routes of the host name.
    ///
    /// A port behind the host name and the query behind the path do not count.
    pub fn route(&self, host: &str, target: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            let numeric = port.bytes().all(|byte| byte.is_ascii_digit());
            if numeric { name } else { host }
        });
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let routes = self.routes.get(name.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Every route.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }
}
