//! What a host is told at its start.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::HostId;
use crate::names::DomainName;

/// Time a store write takes in the worst ordinary case, from another region.
const STORE_WRITE: Duration = Duration::from_millis(60);
/// Time for probes, grants and routing after a takeover.
const RESUME: Duration = Duration::from_millis(80);
/// Time within which a key has to be served again after a loss.
const RECOVERY_TARGET: Duration = Duration::from_secs(1);

/// Identity and timing of one entry host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostSettings {
    /// The identifier of this run.
    pub id: HostId,
    /// The name under which operators know the host.
    pub name: String,
    /// The failure domain that the host stands in.
    pub domain: DomainName,
    /// Where other hosts reach this one.
    pub address: SocketAddr,
    /// Peer addresses that are asked for the configuration when the store is silent.
    pub seeds: Vec<SocketAddr>,
    /// Periods and bounds.
    pub timing: Timing,
}

/// Periods and bounds of leases, heartbeats and requests.
///
/// See `docs/design.md`, "Time budget".
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Timing {
    /// Time between two heartbeats to the successor.
    pub heartbeat: Duration,
    /// Silence after which a successor begins a takeover.
    pub suspicion: Duration,
    /// Time for which one promise or one store read keeps a host valid.
    pub validity: Duration,
    /// The most by which two clocks differ.
    pub skew: Duration,
    /// Time for which one grant lets a backend server act.
    pub lease: Duration,
    /// Time between two grants to a backend server.
    pub renewal: Duration,
    /// Time without an answer after which a store call counts as failed.
    pub store_timeout: Duration,
    /// Time for which outcomes of requests are kept for repeats.
    pub ledger_window: Duration,
    /// Time by which an idempotency key may lie ahead of this host's clock.
    pub key_ahead: Duration,
    /// Time for which a request that crashed servers is refused.
    pub quarantine: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            suspicion: Duration::from_millis(280),
            validity: Duration::from_millis(400),
            skew: Duration::from_millis(10),
            lease: Duration::from_millis(400),
            renewal: Duration::from_millis(100),
            store_timeout: Duration::from_millis(250),
            ledger_window: Duration::from_secs(600),
            key_ahead: Duration::from_millis(500),
            quarantine: Duration::from_secs(60),
        }
    }
}

impl Timing {
    /// The wait that covers two clocks which differ in opposite directions.
    pub fn drift(&self) -> Duration {
        self.skew * 2
    }

    /// The longest time from the loss of a host to the first order of its successor.
    pub fn takeover(&self) -> Duration {
        self.heartbeat + self.suspicion + STORE_WRITE + self.validity + self.drift() + RESUME
    }

    /// The longest time from the loss of a backend server to the grant of its shards elsewhere.
    pub fn reassignment(&self) -> Duration {
        self.renewal + self.lease + self.drift() + STORE_WRITE + RESUME
    }

    /// Every clash between the values, as sentences.
    pub fn clashes(&self) -> Vec<String> {
        let mut found = Vec::new();
        let mut require = |holds: bool, text: &str| {
            if !holds {
                found.push(text.to_owned());
            }
        };
        require(
            self.suspicion >= self.heartbeat * 2,
            "timing.suspicion must be at least twice timing.heartbeat",
        );
        require(
            self.validity > self.suspicion,
            "timing.validity must be longer than timing.suspicion",
        );
        require(
            self.lease >= self.renewal * 2,
            "timing.lease must be at least twice timing.renewal",
        );
        require(
            self.skew * 4 < self.lease,
            "timing.skew must be under a quarter of timing.lease",
        );
        require(
            self.takeover() <= RECOVERY_TARGET,
            "heartbeat + suspicion + validity + 2 skew must leave a takeover under 1 s",
        );
        require(
            self.reassignment() <= RECOVERY_TARGET,
            "renewal + lease + 2 skew must leave a reassignment under 1 s",
        );
        found
    }
}
