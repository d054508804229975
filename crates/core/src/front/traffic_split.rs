//! Weighted distribution of a route's requests over services.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::config::{Part, Route};

/// Smooth weighted round-robin for each route that has several parts.
///
/// A deterministic distribution stays close to the weights within a few requests, where random
/// selection takes hundreds. The state of a route is reset when its parts change.
#[derive(Clone, Debug, Default)]
pub struct TrafficSplitter {
    routes: BTreeMap<String, (Vec<Part>, Vec<i64>)>,
}

impl TrafficSplitter {
    /// Returns the service of a route's next request; `None` if no part of the route has a weight.
    pub fn next_service(&mut self, route: &Route) -> Option<Arc<str>> {
        if let [single] = route.parts.as_slice() {
            return Some(single.service.clone());
        }
        let (parts, credit) = self.routes.entry(route.name.clone()).or_default();
        if *parts != route.parts {
            *parts = route.parts.clone();
            *credit = vec![0; parts.len()];
        }
        let total: i64 = parts.iter().map(|part| i64::from(part.weight)).sum();
        if total == 0 {
            return None;
        }
        for (part, credit) in parts.iter().zip(credit.iter_mut()) {
            *credit += i64::from(part.weight);
        }
        let best =
            (0..parts.len()).max_by_key(|index| (credit[*index], std::cmp::Reverse(*index)))?;
        credit[best] -= total;
        Some(parts[best].service.clone())
    }
}
