//! Tenants, and the keys by which their requests are recognized.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A customer whose requests share one quota.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenant {
    /// Name, as servers get it.
    pub name: Arc<str>,
    /// Priority of its requests, which takes precedence over the route's; zero is the most urgent.
    pub priority: Option<u8>,
    /// The limit on its requests over all hosts, if there is one.
    pub quota: Option<Quota>,
    /// Regions whose servers may serve its requests; empty if all may.
    pub home_regions: Vec<String>,
}

/// A limit on the requests of a tenant over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained requests per second.
    pub per_second: f64,
    /// Requests that may come at once in addition.
    pub burst: f64,
}

/// All tenants of a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    by_name: BTreeMap<Arc<str>, Arc<Tenant>>,
    /// `None` for a key that several tenants list, which identifies none of them.
    by_key: BTreeMap<String, Option<Arc<Tenant>>>,
}

impl Tenants {
    /// Adds a tenant with its keys; returns the keys that another tenant lists, too. Those are no longer
    /// valid for either.
    pub fn insert(&mut self, tenant: Tenant, keys: Vec<String>) -> Vec<String> {
        let tenant = Arc::new(tenant);
        self.by_name.insert(tenant.name.clone(), tenant.clone());
        let mut ambiguous = Vec::new();
        for key in keys {
            let known = self.by_key.get(&key);
            let is_taken =
                known.is_some_and(|known| known.as_ref().is_none_or(|it| it.name != tenant.name));
            if is_taken {
                self.by_key.insert(key.clone(), None);
                ambiguous.push(key);
            } else {
                self.by_key.insert(key, Some(tenant.clone()));
            }
        }
        ambiguous
    }

    /// The tenant that a key identifies.
    #[must_use]
    pub fn of_key(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)?.as_ref()
    }

    /// The tenant with a name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// Iterates over all tenants.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }
}
