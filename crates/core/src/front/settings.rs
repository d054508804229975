//! What the program of an entry host is told at its start.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use super::router::RouterSettings;

/// Settings of one entry host that sends requests straight to backend servers.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// The host's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// The region of each failure domain.
    pub regions: BTreeMap<String, String>,
    /// Its address.
    pub ip: IpAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether the host is ready.
    pub ready: SocketAddr,
    /// The first port that is free for traffic between hosts.
    pub peer_port: u16,
    /// Where the platform's store listens.
    pub store: SocketAddr,
    /// Time between a request to stop and the end of the process.
    pub grace: Duration,
    /// Time within which a leaving server must get no more requests.
    pub drain: Duration,
    /// The longest hold that a grant may have.
    pub hold_limit: Duration,
    /// Repeats for each request, over all hosts.
    pub retry_ratio: f64,
    /// Repeats in a window beyond the ratio, over all hosts.
    pub retry_slack: f64,
    /// How far a cold server's rate may be exceeded, as a factor.
    pub warm_factor: f64,
    /// How far a cold server's rate may be exceeded, in requests a second.
    pub warm_slack: f64,
}

impl FrontSettings {
    /// The part that the router is told.
    pub fn router(&self) -> RouterSettings {
        RouterSettings {
            name: self.name.clone(),
            domain: self.domain.clone(),
            regions: self.regions.clone(),
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            warm_factor: self.warm_factor,
            warm_slack: self.warm_slack,
        }
    }

    /// Where the host listens for other hosts.
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}
