//! Other hosts that serve requests for a host that reaches no server.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use amaranthshunt_core::Time;

use crate::clock;
use crate::lock::lock;
use crate::messages::HelperMessage;

/// Time for which a host that could not help is not asked again.
const SUSPENSION: Duration = Duration::from_secs(1);

/// How far another host is from this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Distance {
    /// In the same failure domain.
    Domain,
    /// In the same region.
    Region,
    /// In another region.
    Remote,
}

impl Distance {
    /// Requests in flight at a host of the same domain that count as much as the distance: bytes
    /// between domains and regions have a price.
    fn cost(self) -> usize {
        match self {
            Self::Domain => 0,
            Self::Region => 3,
            Self::Remote => 8,
        }
    }
}

#[derive(Clone, Debug)]
struct Helper {
    address: SocketAddr,
    domain: String,
    in_flight: usize,
    suspended_until: Time,
}

/// The hosts that can help, as the leader has told last.
#[derive(Debug, Default)]
pub(crate) struct Helpers {
    hosts: Mutex<BTreeMap<String, Helper>>,
}

impl Helpers {
    /// Replaces the hosts that can help; keeps what is known of those that stay.
    pub(crate) fn update(&self, messages: &[HelperMessage]) {
        let mut hosts = lock(&self.hosts);
        let mut next = BTreeMap::new();
        for message in messages {
            let Ok(address) = message.address.parse() else {
                continue;
            };
            let known = hosts.remove(&message.name);
            let known = known.filter(|known| known.address == address);
            let helper = known.unwrap_or_else(|| Helper {
                address,
                domain: message.domain.clone(),
                in_flight: 0,
                suspended_until: Time::ZERO,
            });
            next.insert(message.name.clone(), helper);
        }
        *hosts = next;
    }

    /// The addresses of the hosts.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let hosts = lock(&self.hosts);
        hosts.values().map(|helper| helper.address).collect()
    }

    /// Chooses the host with the fewest requests of this one, near ones first, and counts a request
    /// there until the guard is dropped. `distance` is `None` for domains that are not allowed.
    pub(crate) fn choose(
        &self,
        excluded: &[String],
        distance: impl Fn(&str) -> Option<Distance>,
    ) -> Option<HelperGuard<'_>> {
        let now = clock::now();
        let mut hosts = lock(&self.hosts);
        let usable = hosts
            .iter_mut()
            .filter(|(name, helper)| !excluded.contains(name) && helper.suspended_until <= now);
        let costs = usable.filter_map(|(name, helper)| {
            let cost = distance(&helper.domain)?.cost() + helper.in_flight;
            Some((cost, name, helper))
        });
        let (_, name, helper) = costs.min_by_key(|(cost, ..)| *cost)?;
        helper.in_flight += 1;
        Some(HelperGuard {
            helpers: self,
            name: name.clone(),
            address: helper.address,
        })
    }
}

/// Counts one request at another host until it is dropped.
pub(crate) struct HelperGuard<'a> {
    helpers: &'a Helpers,
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
}

impl HelperGuard<'_> {
    /// Asks the host for no more help for a while.
    pub(crate) fn suspend(&self) {
        if let Some(helper) = lock(&self.helpers.hosts).get_mut(&self.name) {
            helper.suspended_until = clock::now() + SUSPENSION;
        }
    }
}

impl Drop for HelperGuard<'_> {
    fn drop(&mut self) {
        if let Some(helper) = lock(&self.helpers.hosts).get_mut(&self.name) {
            helper.in_flight = helper.in_flight.saturating_sub(1);
        }
    }
}
