//! Requests of a route, shared out by weight.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::config::{Part, Route};

/// Smooth weighted round robin for each route that has several parts.
///
/// Deterministic shares keep each part near its weight within few requests, where random draws
/// need hundreds. The state of a route starts anew when its parts change.
#[derive(Clone, Debug, Default)]
pub struct Splits {
    routes: BTreeMap<String, (Vec<Part>, Vec<i64>)>,
}

impl Splits {
    /// The service of a route's next request; `None` for a route without a part that has weight.
    pub fn next(&mut self, route: &Route) -> Option<Arc<str>> {
        if let [only] = route.parts.as_slice() {
            return Some(only.service.clone());
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
