//! Weighted distribution of a route's requests over services.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::config::{Route, WeightedService};

/// Smooth weighted round-robin for each route that has several services.
///
/// A deterministic distribution stays close to the weights within a few requests, where random
/// selection takes hundreds. The state of a route is reset when its services change.
#[derive(Clone, Debug, Default)]
pub struct WeightedSplitter {
    routes: BTreeMap<String, (Vec<WeightedService>, Vec<i64>)>,
}

impl WeightedSplitter {
    /// Returns the service of a route's next request; `None` if the route has no services, or
    /// several that all have a weight of zero.
    pub fn next_service(&mut self, route: &Route) -> Option<Arc<str>> {
        if let [single] = route.services.as_slice() {
            return Some(single.service.clone());
        }
        let (services, credit) = self.routes.entry(route.name.clone()).or_default();
        if *services != route.services {
            *services = route.services.clone();
            *credit = vec![0; services.len()];
        }
        let total: i64 = services
            .iter()
            .map(|service| i64::from(service.weight))
            .sum();
        if total == 0 {
            return None;
        }
        for (service, credit) in services.iter().zip(credit.iter_mut()) {
            *credit += i64::from(service.weight);
        }
        let best =
            (0..services.len()).max_by_key(|index| (credit[*index], std::cmp::Reverse(*index)))?;
        credit[best] -= total;
        Some(services[best].service.clone())
    }
}
