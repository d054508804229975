//! Startup settings of a host.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::HostId;
use crate::names::DomainName;

/// The longest store write from another region in normal operation.
const MAX_STORE_WRITE_TIME: Duration = Duration::from_millis(60);
/// The longest time for probes, grants and routing after a takeover or reassignment.
const MAX_RESUME_TIME: Duration = Duration::from_millis(80);
/// Time within which a key must be served again after the loss of a host or server.
const RECOVERY_TARGET: Duration = Duration::from_secs(1);

/// Identity and timing of one entry host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostSettings {
    /// The ID of this process; a restarted host gets a new one.
    pub id: HostId,
    /// The name that operators use for the host.
    pub name: String,
    /// The failure domain of the host.
    pub domain: DomainName,
    /// The address at which other hosts connect to this one.
    pub address: SocketAddr,
    /// Peer addresses to request the configuration from while the store does not respond.
    pub seeds: Vec<SocketAddr>,
    /// Intervals, timeouts and clock bounds.
    pub timing: Timing,
}

/// Intervals, timeouts and clock bounds of leases, heartbeats and requests.
///
/// See `docs/design.md`, "Time budget".
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Timing {
    /// Interval of heartbeats to the successor.
    pub heartbeat: Duration,
    /// Time without a heartbeat after which the successor starts a takeover.
    pub suspicion: Duration,
    /// Time for which one promise or one store read keeps a host valid, counted from its request.
    pub validity: Duration,
    /// The maximum difference between two clocks.
    pub skew: Duration,
    /// Lifetime of the lease in one grant to a backend server.
    pub lease: Duration,
    /// Interval of grants to a backend server.
    pub renewal: Duration,
    /// Timeout of a store call.
    pub store_timeout: Duration,
    /// Time for which outcomes of requests are kept to answer duplicates.
    pub ledger_window: Duration,
    /// The maximum time by which an idempotency key may be ahead of this host's clock.
    pub key_ahead: Duration,
    /// Time for which a request that crashed servers is refused, counted from the last crash.
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
    /// Twice the skew: the margin for two clocks that deviate in opposite directions.
    pub fn clock_margin(&self) -> Duration {
        self.skew * 2
    }

    /// The longest time from the loss of a host to the first order of its successor.
    pub fn max_takeover_time(&self) -> Duration {
        self.heartbeat
            + self.suspicion
            + MAX_STORE_WRITE_TIME
            + self.validity
            + self.clock_margin()
            + MAX_RESUME_TIME
    }

    /// The longest time from the loss of a backend server to the grant of its shards elsewhere.
    pub fn max_reassignment_time(&self) -> Duration {
        self.renewal + self.lease + self.clock_margin() + MAX_STORE_WRITE_TIME + MAX_RESUME_TIME
    }

    /// Every violated constraint between the values, as the rest of a sentence that starts with
    /// `timing`.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut require = |holds: bool, text: &str| {
            if !holds {
                violations.push(text.to_owned());
            }
        };
        require(
            self.suspicion >= self.heartbeat * 2,
            "needs `suspicion_ms` to be at least twice `heartbeat_ms`",
        );
        require(
            self.validity > self.suspicion,
            "needs `validity_ms` to be longer than `suspicion_ms`",
        );
        require(
            self.lease >= self.renewal * 2,
            "needs `lease_ms` to be at least twice `renewal_ms`",
        );
        require(
            self.skew * 4 < self.lease,
            "needs `skew_ms` to be under a quarter of `lease_ms`",
        );
        // 860 ms is what `MAX_STORE_WRITE_TIME` and `MAX_RESUME_TIME` leave of `RECOVERY_TARGET`.
        require(
            self.max_takeover_time() <= RECOVERY_TARGET,
            "needs `heartbeat_ms` + `suspicion_ms` + `validity_ms` + 2 * `skew_ms` to be at \
             most 860, so that a takeover ends within 1 s",
        );
        require(
            self.max_reassignment_time() <= RECOVERY_TARGET,
            "needs `renewal_ms` + `lease_ms` + 2 * `skew_ms` to be at most 860, so that a \
             reassignment ends within 1 s",
        );
        violations
    }
}
