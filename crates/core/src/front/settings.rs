//! What the program of an entry host is told at its start.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use super::router::RouterSettings;

/// Least part of a core with which a host passes on what all hosts need: that of every host of
/// today's smaller sites, whose granting hosts carry it. Not measured at other sizes.
const RELAY_CORE: f64 = 0.2;
/// Least link with which a host does so, in Mbit/s: 300 entries of 100 bytes to 60 hosts are
/// 14 Mbit, a seventh of a second.
const RELAY_LINK: f64 = 100.0;

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
    /// Its part of a core, where the platform tells it.
    pub core_share: Option<f64>,
    /// Its link in Mbit/s, where the platform tells it.
    pub link_rate: Option<f64>,
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

    /// Whether the host is too small to be the first choice for granting keys and passing on what
    /// the store tells.
    pub fn is_small(&self) -> bool {
        let below = |value: Option<f64>, least| value.is_some_and(|value| value < least);
        below(self.core_share, RELAY_CORE) || below(self.link_rate, RELAY_LINK)
    }

    /// Where the host listens for other hosts.
    pub fn peers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}
