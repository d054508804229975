//! Inputs and results of the router.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::front::config::Route;
use crate::front::quota::QuotaTolerance;
use crate::front::servers::ServerEntry;
use crate::front::tenant::{Quota, Tenant, Tenants};
use crate::ids::ServerKey;
use crate::time::Time;

/// Minimum time after which a refused caller may retry.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);
/// Maximum time after which a refused caller may retry.
pub(super) const MAX_RETRY_AFTER: Duration = Duration::from_millis(600);

/// Settings of a router.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// Name of the host.
    pub name: String,
    /// Failure domain of the host.
    pub domain: String,
    /// The region of each failure domain.
    pub regions: BTreeMap<String, String>,
    /// Retries allowed per request, over all hosts.
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted.
    pub retry_window: Duration,
    /// Retries per window that are allowed in addition, over all hosts.
    pub retry_slack: f64,
    /// Time within which a server that leaves must stop getting requests.
    pub drain: Duration,
    /// Factor by which the request rate of a cold server may be exceeded.
    pub warm_factor: f64,
    /// Requests per second by which the request rate of a cold server may be exceeded in addition.
    pub warm_slack: f64,
    /// Whether requests compete for too little capacity, as the platform's settings say.
    pub overload_control: bool,
    /// How the quotas of tenants are compared with their requests.
    pub quota: QuotaTolerance,
}

/// A request for which a route was found.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// The route that matches the request's host and target.
    pub route: Arc<Route>,
    /// The service selected for it.
    pub service: Arc<str>,
    /// Whether the service's servers hold keys.
    pub keyed: bool,
    /// Version of the configuration that was used.
    pub version: u64,
    /// Whether the configuration has tenants, whose keys servers must not get.
    pub has_tenants: bool,
    /// The tenant that sends it, if the configuration has tenants and the request names one.
    pub tenant: Option<Arc<Tenant>>,
}

impl RoutePlan {
    /// The priority of the request: the tenant's, or the route's if that has none.
    #[must_use]
    pub fn priority(&self) -> u8 {
        let priority = self.tenant.as_ref().and_then(|tenant| tenant.priority);
        priority.unwrap_or(self.route.priority)
    }

    /// The tenant that sends the request and its quota, if it has one.
    #[must_use]
    pub fn quota(&self) -> Option<(&Arc<str>, Quota)> {
        let tenant = self.tenant.as_ref()?;
        Some((&tenant.name, tenant.quota?))
    }

    /// Whether both the route and the tenant allow the request in a region.
    #[must_use]
    pub fn allows_region(&self, region: Option<&String>) -> bool {
        let tenant_homes = self.tenant.iter().map(|tenant| &tenant.home_regions);
        let mut homes = tenant_homes.chain([&self.route.home_regions]);
        homes.all(|homes| homes.is_empty() || region.is_some_and(|region| homes.contains(region)))
    }
}

/// What a request says of its tenant.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Credentials<'a> {
    /// The key that the caller sent.
    pub key: Option<&'a str>,
    /// The tenant's name, from another host that has checked the key.
    pub tenant: Option<&'a str>,
}

impl Credentials<'_> {
    pub(super) fn tenant(self, tenants: &Tenants) -> Option<Arc<Tenant>> {
        let tenant = match (self.key, self.tenant) {
            (Some(key), _) => tenants.of_key(key),
            (None, name) => tenants.named(name?),
        };
        tenant.cloned()
    }
}

/// The server that a request is sent to.
#[derive(Clone, Debug)]
pub struct Target {
    /// Key of the server.
    pub server: ServerKey,
    /// Entry of the server when it was selected.
    pub entry: ServerEntry,
    /// When the request was counted as in flight.
    pub sent: Time,
    /// Whether a new connection is observed for one round trip before the request is sent on it. A
    /// server that accepts no more connections resets it within that time, and the request has then
    /// certainly not run. For requests that may be repeated this is not worth a round trip to
    /// another region unless the server has done so lately.
    pub probes_connection: bool,
}

/// Reason for refusing a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalCause {
    /// No configuration is known yet.
    NoConfig,
    /// No route matches.
    NoRoute,
    /// The route needs the key of a tenant, and the request has none that is valid.
    UnknownKey,
    /// The quota of the tenant is used up, or this host's share of it.
    Quota,
    /// No server of the service is eligible.
    NoServer,
    /// No server holds the key now.
    NoOwner,
    /// All eligible servers are at capacity.
    Busy,
    /// The eligible servers have named limits on requests per second, and this host's share of them
    /// is used up.
    Limited,
    /// The eligible servers have asked this host to send them nothing for some time.
    Paused,
    /// The eligible servers are cold and this host's share of their request rate is used up.
    Cold,
    /// The request has been sent the maximum number of times, or the retry budget is used up.
    Repeats,
    /// The deadline would pass before an answer.
    Deadline,
    /// Several servers have crashed while executing the request.
    Quarantined,
    /// A server has crashed while executing the request, and another attempt of it is running.
    Suspect,
    /// This host reaches no server, and no other host can help.
    NoReach,
    /// The host is shutting down.
    Leaving,
    /// The host itself is too late to serve the request in time.
    HostOverloaded,
    /// The caller has disconnected.
    CallerLeft,
}

/// Refusal to send a request to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RouteRefusal {
    /// Reason for the refusal.
    pub cause: RefusalCause,
    /// Time after which the caller may retry; `None` if retrying does not help.
    pub retry_after: Option<Duration>,
}

impl RouteRefusal {
    pub(super) fn new(cause: RefusalCause, retry_after: Duration) -> Self {
        let after = retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Self {
            cause,
            retry_after: Some(after),
        }
    }
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The server answered.
    Answered {
        /// Whether the status is a success.
        success: bool,
    },
    /// The server reported that it did not execute the request.
    NotRun,
    /// The server did not execute it because it does not hold the key or is not the intended one.
    Misdirected,
    /// Nothing was sent, since no connection could be opened.
    Unreachable,
    /// Nothing was sent, since the server ended the new connection at once: it accepts no more.
    Saturated,
    /// The request was sent, and no complete answer arrived.
    Lost,
    /// This host cancelled the attempt.
    Abandoned,
}
