//! Which server a request goes to, or why to none.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Router;
use super::types::{LONGEST_RETURN, Plan, RefusalCause, Refused, SHORTEST_RETURN, Target};
use crate::front::config::{Route, Service};
use crate::front::load::FIRST_MEAN;
use crate::front::servers::Standing;
use crate::ids::ServerKey;
use crate::time::Time;

/// What a server in another failure domain of the region is taken to cost more, in time.
const DOMAIN_PENALTY: Duration = Duration::from_millis(30);
/// What a server in another region is taken to cost more, in time.
const REGION_PENALTY: Duration = Duration::from_millis(110);
/// Part of the usual time of work by which a host prefers some servers to others, so that hosts
/// that know equally little do not all choose the same one.
const PREFERENCE: f64 = 0.3;
/// Requests beyond its slots that a server is sent for the most urgent rank.
const URGENT_QUEUE: f64 = 3.0;
/// Requests that each rank less is sent fewer.
const RANK_STEP: f64 = 1.0;
/// Requests beyond its slots that a server is sent for any rank, at least.
const LEAST_QUEUE: f64 = 1.0;
/// Time after which keys between two servers are likely to be served again.
const KEY_RETURN: Duration = Duration::from_millis(250);

impl Router {
    /// Finds the route and service of a request.
    ///
    /// # Errors
    ///
    /// Refuses where no configuration is known or no route matches.
    pub fn plan(&mut self, host: &str, target: &str) -> Result<Plan, Refused> {
        let Some(config) = self.config.clone() else {
            return Err(Refused::new(RefusalCause::NoConfig, LONGEST_RETURN));
        };
        let Some(route) = config.route(host, target) else {
            return Err(Refused {
                cause: RefusalCause::NoRoute,
                retry_after: None,
            });
        };
        let Some(service) = self.splits.next(route) else {
            return Err(Refused::new(RefusalCause::NoServer, LONGEST_RETURN));
        };
        let keyed = config
            .services
            .get(&service)
            .is_some_and(|service| service.keyed);
        self.retries.earn(&service);
        Ok(Plan {
            route: route.clone(),
            service,
            keyed,
            version: config.version,
        })
    }

    /// Chooses a server for a request and counts the request as running there.
    ///
    /// `avoided` names servers that did not serve it, `sends` says how often it was sent before.
    ///
    /// # Errors
    ///
    /// Refuses where no server may or can serve it now.
    pub fn pick(
        &mut self,
        now: Time,
        plan: &Plan,
        key: Option<u16>,
        avoided: &[ServerKey],
        sends: usize,
        left: Duration,
    ) -> Result<Target, Refused> {
        if sends > 0 {
            self.admit_repeat(plan, sends)?;
        }
        let chosen = match key {
            Some(key) if plan.keyed => self.owner(now, plan, key)?,
            _ if plan.keyed => return Err(Refused::new(RefusalCause::NoOwner, KEY_RETURN)),
            _ => self.cheapest(now, plan, avoided)?,
        };
        let usual = self.usual(&plan.service);
        let Some(standing) = self.servers.get_mut(chosen) else {
            return Err(Refused::new(RefusalCause::NoServer, LONGEST_RETURN));
        };
        let expected = standing.load.expected(now, standing.entry.slots, usual);
        let waits = standing.load.total(now) >= f64::from(standing.entry.slots);
        if waits && expected > left {
            return Err(Refused {
                cause: RefusalCause::Deadline,
                retry_after: None,
            });
        }
        if standing.is_cold(now) {
            standing.cold.spend(now);
        } else {
            standing.cold.clear();
        }
        standing.load.sent(now);
        let entry = standing.entry.clone();
        if let Some(key) = key.filter(|_| plan.keyed) {
            let counts = self.heat.entry(plan.service.clone()).or_default();
            *counts.entry(key).or_default() += 1;
        }
        Ok(Target {
            server: chosen,
            entry,
            sent: now,
        })
    }

    fn admit_repeat(&mut self, plan: &Plan, sends: usize) -> Result<(), Refused> {
        let allowed = sends < plan.route.attempts.max(1) as usize;
        if allowed && self.retries.spend(&plan.service) {
            return Ok(());
        }
        Err(Refused::new(RefusalCause::Repeats, SHORTEST_RETURN * 2))
    }

    fn owner(&mut self, now: Time, plan: &Plan, key: u16) -> Result<ServerKey, Refused> {
        let no_owner = Refused::new(RefusalCause::NoOwner, KEY_RETURN);
        let id = self.table.owner(&plan.service, key).ok_or(no_owner)?;
        let server = self.servers.find(id).ok_or(no_owner)?;
        let service = self.service(&plan.service);
        if !self.is_open(now, server, plan) {
            return Err(no_owner);
        }
        self.has_room(now, server, plan, service.as_ref())
            .map(|()| server)
    }

    /// Whether a server may get requests of a route at all.
    fn is_open(&self, now: Time, server: ServerKey, plan: &Plan) -> bool {
        let Some(standing) = self.servers.get(server) else {
            return false;
        };
        let entry = &standing.entry;
        let home = self.is_home(&plan.route, &entry.domain);
        entry.service == plan.service
            && home
            && !entry.draining
            && !self.leaving.contains_key(&entry.id)
            && !self.evacuated.contains(&entry.domain)
            && standing.shunned_until <= now
    }

    fn is_home(&self, route: &Route, domain: &str) -> bool {
        let region = self.settings.regions.get(domain);
        route.homes.is_empty() || region.is_some_and(|region| route.homes.contains(region))
    }

    /// Whether a server has room for one more request of a rank.
    fn has_room(
        &mut self,
        now: Time,
        server: ServerKey,
        plan: &Plan,
        service: Option<&Service>,
    ) -> Result<(), Refused> {
        let bound = service.map_or(1.0, |service| {
            service.warm_rate * self.settings.warm_factor + self.settings.warm_slack - 1.0
        });
        let hosts = self.hosts;
        let usual = self.usual(&plan.service);
        let Some(standing) = self.servers.get_mut(server) else {
            return Err(Refused::new(RefusalCause::NoServer, LONGEST_RETURN));
        };
        if standing.is_cold(now)
            && !standing
                .cold
                .admits(now, bound, hosts, 1.0 - standing.preference)
        {
            return Err(Refused::new(RefusalCause::Cold, KEY_RETURN));
        }
        let slots = f64::from(standing.entry.slots);
        let queue = URGENT_QUEUE - RANK_STEP * f64::from(plan.route.priority);
        if standing.load.total(now) + 1.0 > slots + queue.max(LEAST_QUEUE) {
            let expected = standing.load.expected(now, standing.entry.slots, usual);
            return Err(Refused::new(RefusalCause::Busy, expected / 2));
        }
        Ok(())
    }

    /// The server that is likely to answer first, far ones at a penalty.
    fn cheapest(
        &mut self,
        now: Time,
        plan: &Plan,
        avoided: &[ServerKey],
    ) -> Result<ServerKey, Refused> {
        let service = self.service(&plan.service);
        let mut servers: Vec<(Duration, ServerKey)> = Vec::new();
        for server in self.servers.of(&plan.service) {
            let open = self.is_open(now, *server, plan) && !avoided.contains(server);
            if let Some(standing) = self.servers.get(*server).filter(|_| open) {
                servers.push((self.cost(now, standing), *server));
            }
        }
        servers.sort();
        let mut refused = Refused::new(RefusalCause::NoServer, LONGEST_RETURN / 2);
        for (_, server) in servers {
            match self.has_room(now, server, plan, service.as_ref()) {
                Ok(()) => return Ok(server),
                Err(reason) => refused = reason,
            }
        }
        Err(refused)
    }

    fn cost(&self, now: Time, standing: &Standing) -> Duration {
        let entry = &standing.entry;
        let regions = &self.settings.regions;
        let penalty = if entry.domain == self.settings.domain {
            Duration::ZERO
        } else if regions.get(&entry.domain) == regions.get(&self.settings.domain) {
            DOMAIN_PENALTY
        } else {
            REGION_PENALTY
        };
        let usual = self.usual(&entry.service);
        let expected = standing.load.expected(now, entry.slots, usual);
        let preference = usual.mul_f64(PREFERENCE * standing.preference);
        expected.max(standing.load.oldest(now) / 2) + penalty + preference
    }

    /// The usual time of work of each service, as this host has seen it.
    pub fn usual_times(&self) -> &BTreeMap<Arc<str>, Duration> {
        &self.usual
    }

    pub(super) fn usual(&self, service: &str) -> Duration {
        self.usual.get(service).copied().unwrap_or(FIRST_MEAN)
    }

    fn service(&self, name: &str) -> Option<Service> {
        self.config.as_ref()?.services.get(name).cloned()
    }
}
