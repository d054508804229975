//! For how long a caller has tried before, as far as the time that it still waits shows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::config::Route;
use crate::time::Time;

/// Time after which the longest patience of a route is looked for anew.
const MEMORY: Duration = Duration::from_secs(30);

/// The longest time that callers of each route were willing to wait.
///
/// A caller that comes back states less than the first time. Nothing else tells a repeated
/// request from a first one, since each attempt has its own identifier.
#[derive(Clone, Debug, Default)]
pub(super) struct Patience {
    routes: BTreeMap<Arc<str>, (Duration, Time)>,
}

impl Patience {
    /// Takes in how long a caller of a route waits; returns for how long it has waited before.
    pub(super) fn age(&mut self, now: Time, route: &Route, patience: Duration) -> Duration {
        let Some((longest, at)) = self.routes.get_mut(route.name.as_str()) else {
            let name = Arc::from(route.name.as_str());
            self.routes.insert(name, (patience, now));
            return Duration::ZERO;
        };
        if patience >= *longest || now.since(*at) >= MEMORY {
            (*longest, *at) = (patience, now);
        }
        longest.saturating_sub(patience)
    }
}
