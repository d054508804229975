//! Startup settings of an entry host.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use super::quota::QuotaTolerance;
use super::router::RouterSettings;

/// Minimum share of a CPU core for a host that relays data to all other hosts. Every host of the
/// present smaller sites has this share, and their leaders carry the relay load with it.
const MIN_RELAY_CORE_SHARE: f64 = 0.2;
/// Minimum link rate of such a host, in Mbit/s: 300 entries of 100 bytes to 60 hosts are 14 Mbit,
/// which take a seventh of a second.
const MIN_RELAY_LINK_MBPS: f64 = 100.0;

/// Memory that a host is assumed to have if the platform does not state it, in MB.
const DEFAULT_MEMORY_MB: f64 = 256.0;
/// Share of the memory that messages may occupy together, beyond what each request has room for.
const BUFFER_MEMORY_SHARE: f64 = 0.4;
/// Share of the memory for what each request in hand has room for.
const REQUEST_MEMORY_SHARE: f64 = 0.3;
/// Memory that each request has room for, in bytes: its tasks, connections and small messages.
const REQUEST_BYTES: f64 = 48.0 * 1024.0;

/// Descriptors of `MaxFds` that are reserved for files.
const FILE_FDS: usize = 200;
/// Shares of the other descriptors, in tenths: for callers' connections, for requests in hand, each of which
/// may use a connection to a server, and for idle connections to servers. The rest is for other hosts, the
/// store and listeners.
const CALLER_FD_TENTHS: usize = 4;
const REQUEST_FD_TENTHS: usize = 2;
const POOL_FD_TENTHS: usize = 2;
/// Callers' connections for each request that the memory has room for. Callers keep connections for their
/// next requests, and one without a request occupies far less than a request does.
const CONNECTIONS_PER_REQUEST: usize = 2;

/// Settings of one entry host that sends requests directly to backend servers.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Name of the host.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// Region of the host.
    pub region: String,
    /// The region of each failure domain.
    pub regions: BTreeMap<String, String>,
    /// Address of the host.
    pub ip: IpAddr,
    /// Address on which callers connect.
    pub callers_address: SocketAddr,
    /// Address of the readiness check.
    pub readiness_address: SocketAddr,
    /// First port available for traffic between hosts.
    pub peer_port: u16,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Share of a CPU core, if the platform states it.
    pub core_share: Option<f64>,
    /// Link rate in Mbit/s, if the platform states it.
    pub link_mbps: Option<f64>,
    /// Memory of the host in MB (10^6 bytes), if the platform states it.
    pub memory_mb: Option<f64>,
    /// Descriptors that the host may use, if the platform states it.
    pub max_fds: Option<f64>,
    /// Time between the request to stop and the end of the process.
    pub grace: Duration,
    /// Time within which a draining server must stop getting requests.
    pub drain: Duration,
    /// Maximum lease duration of a grant.
    pub max_lease: Duration,
    /// Retries allowed per request, over all hosts.
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted.
    pub retry_window: Duration,
    /// Retries per window that are allowed in addition, over all hosts.
    pub retry_slack: f64,
    /// Factor by which the request rate of a cold server may be exceeded.
    pub warm_factor: f64,
    /// Requests per second by which the request rate of a cold server may be exceeded in addition.
    pub warm_slack: f64,
    /// Whether requests compete for too little capacity, so that keys are placed by the measured speed of
    /// servers, and hosts spread requests without keys.
    pub overload_control: bool,
    /// Window in which the requests of a tenant are compared with its quota.
    pub quota_window: Duration,
    /// Fraction by which a quota may be exceeded within the window.
    pub quota_overshoot: f64,
    /// Number of requests by which a quota may be exceeded in addition.
    pub quota_slack: f64,
}

impl FrontSettings {
    /// Returns the settings of the router.
    pub fn router(&self) -> RouterSettings {
        RouterSettings {
            name: self.name.clone(),
            domain: self.domain.clone(),
            regions: self.regions.clone(),
            retry_ratio: self.retry_ratio,
            retry_window: self.retry_window,
            retry_slack: self.retry_slack,
            drain: self.drain,
            warm_factor: self.warm_factor,
            warm_slack: self.warm_slack,
            overload_control: self.overload_control,
            quota: QuotaTolerance {
                window: self.quota_window,
                overshoot: self.quota_overshoot,
                slack: self.quota_slack,
            },
        }
    }

    /// Whether the host is too small to be a preferred leader, which grants keys and relays store
    /// changes.
    pub fn is_small(&self) -> bool {
        let is_below = |value: Option<f64>, minimum| value.is_some_and(|value| value < minimum);
        is_below(self.core_share, MIN_RELAY_CORE_SHARE)
            || is_below(self.link_mbps, MIN_RELAY_LINK_MBPS)
    }

    fn memory(&self) -> f64 {
        self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB) * 1e6
    }

    /// Bytes that the messages in hand may occupy together, beyond what each request has room for.
    pub fn buffer_memory(&self) -> usize {
        (self.memory() * BUFFER_MEMORY_SHARE) as usize
    }

    /// Number of requests that the memory has room for.
    fn memory_requests(&self) -> usize {
        (self.memory() * REQUEST_MEMORY_SHARE / REQUEST_BYTES) as usize
    }

    /// A share of the descriptors that are not reserved for files; at least one.
    fn descriptors(&self, tenths: usize) -> usize {
        self.max_fds.map_or(usize::MAX, |count| {
            let sockets = (count as usize).saturating_sub(FILE_FDS);
            (sockets / 10 * tenths).max(1)
        })
    }

    /// Number of requests that the host has in hand at a time.
    pub fn max_requests(&self) -> usize {
        self.memory_requests()
            .min(self.descriptors(REQUEST_FD_TENTHS))
    }

    /// Number of callers' connections that are open at a time.
    pub fn max_connections(&self) -> usize {
        (self.memory_requests() * CONNECTIONS_PER_REQUEST).min(self.descriptors(CALLER_FD_TENTHS))
    }

    /// Number of idle connections to servers that are kept.
    pub fn max_pooled(&self) -> usize {
        self.descriptors(POOL_FD_TENTHS)
    }

    /// Whether the host itself listens on an address.
    pub fn is_own_address(&self, address: SocketAddr) -> bool {
        let own = [
            self.callers_address,
            self.readiness_address,
            self.peers_address(),
        ];
        own.contains(&address)
    }

    /// Address on which the host listens for other hosts.
    pub fn peers_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}
