//! Catalogue entries and their validation.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::finding::Finding;
use crate::names::{DomainName, is_valid_name};

/// The largest request body that an entry may allow, in bytes.
pub const MAX_BODY_BYTES: u32 = 1 << 20;
/// The most shards that an entry may have in a region.
pub const MAX_SHARDS: u32 = 16_384;

/// The kind of requests that an entry serves, lowest priority first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Idempotent reads.
    Read,
    /// Confirmations and registrations; run at most once.
    Confirm,
    /// Deposits and payouts; run at most once.
    Payment,
}

impl Class {
    /// Whether a request of this class may safely run twice.
    pub fn is_idempotent(self) -> bool {
        self == Self::Read
    }
}

/// One catalogue entry.
///
/// See `docs/settings.md`, "Catalogue entries".
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// The name of the entry, used in request paths.
    pub name: String,
    /// The party that pays for the entry.
    pub owner: String,
    /// The kind of requests.
    pub class: Class,
    /// The home regions of the entry's keys.
    pub regions: Vec<String>,
    /// Home regions of individual tenants, each a subset of `regions`.
    #[serde(default)]
    pub tenants: BTreeMap<String, Vec<String>>,
    /// The number of shards in each region.
    pub shards: u32,
    /// The capacity of each backend server.
    pub limits: Limits,
    /// The backend servers.
    pub servers: Vec<Server>,
}

/// The capacity of one backend server of an entry.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Concurrent requests on a warm server.
    pub slots: u32,
    /// Concurrent requests during warm-up.
    pub cold_slots: u32,
    /// Milliseconds after a server's start during which only `cold_slots` apply.
    pub warm_up: u32,
    /// Open connections to the server.
    pub connections: u32,
    /// The most requests that may wait for a slot.
    pub queue: u32,
    /// The largest request body in bytes.
    pub body: u32,
}

/// One backend server of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The name, unique in the catalogue.
    pub name: String,
    /// The failure domain.
    pub domain: DomainName,
    /// The address at which the server accepts orders.
    pub address: SocketAddr,
    /// Whether the server checks the fence token of each order.
    #[serde(default)]
    #[serde(rename = "checks")]
    pub checks_token: bool,
}

impl Entry {
    /// The home regions of a tenant's keys.
    pub fn home_regions(&self, tenant: &str) -> &[String] {
        self.tenants.get(tenant).unwrap_or(&self.regions)
    }

    /// All validation errors of the entry.
    pub fn findings(&self) -> Vec<Finding> {
        let mut findings = Vec::new();
        self.check_names(&mut findings);
        self.check_limits(&mut findings);
        self.check_servers(&mut findings);
        findings
    }

    /// All changes that forbid replacing `old` with this entry.
    ///
    /// A changed shard count or home region would map a key to a second shard, and so to a second
    /// owner.
    pub fn replacement_findings(&self, old: &Self) -> Vec<Finding> {
        let mut findings = Vec::new();
        let immutable = "cannot change while the entry has keys; create another entry";
        if self.shards != old.shards {
            findings.push(Finding::new("shards", immutable));
        }
        if self.regions != old.regions {
            findings.push(Finding::new("regions", immutable));
        }
        if self.tenants != old.tenants {
            findings.push(Finding::new("tenants", immutable));
        }
        if self.class.is_idempotent() != old.class.is_idempotent() {
            findings.push(Finding::new("class", immutable));
        }
        findings
    }

    fn check_names(&self, findings: &mut Vec<Finding>) {
        if !is_valid_name(&self.name) {
            findings.push(Finding::new(
                "name",
                "must be 1 to 64 letters, digits, `-` or `_`",
            ));
        }
        if self.owner.is_empty() {
            findings.push(Finding::new("owner", "must not be empty"));
        }
        if self.regions.is_empty() {
            findings.push(Finding::new("regions", "must name at least one region"));
        }
        for region in self.regions.iter().filter(|name| !is_valid_name(name)) {
            findings.push(Finding::new(
                "regions",
                format!("contains `{region}`, which is not a valid region name"),
            ));
        }
        for (tenant, regions) in &self.tenants {
            let path = format!("tenants.{tenant}");
            if !is_valid_name(tenant) {
                findings.push(Finding::new(&path, "is not a valid tenant name"));
            }
            if regions.is_empty() {
                findings.push(Finding::new(&path, "must name at least one region"));
            }
            for region in regions.iter().filter(|name| !self.regions.contains(name)) {
                findings.push(Finding::new(
                    &path,
                    format!("contains `{region}`, which is not in `regions`"),
                ));
            }
        }
    }

    fn check_limits(&self, findings: &mut Vec<Finding>) {
        let limits = &self.limits;
        let mut require = |condition: bool, path: &str, text: &str| {
            if !condition {
                findings.push(Finding::new(path, text));
            }
        };
        let shards_fit = (1..=MAX_SHARDS).contains(&self.shards);
        require(shards_fit, "shards", "must be 1 to 16384");
        require(limits.slots > 0, "limits.slots", "must be at least 1");
        let cold_fits = (1..=limits.slots).contains(&limits.cold_slots);
        require(
            cold_fits,
            "limits.cold_slots",
            "must be 1 to `limits.slots`",
        );
        let connections_fit = limits.connections >= limits.slots;
        require(
            connections_fit,
            "limits.connections",
            "must be at least `limits.slots`",
        );
        let body_fits = (1..=MAX_BODY_BYTES).contains(&limits.body);
        require(body_fits, "limits.body", "must be 1 to 1048576 bytes");
    }

    fn check_servers(&self, findings: &mut Vec<Finding>) {
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, server) in self.servers.iter().enumerate() {
            let path = format!("servers[{index}]");
            if !is_valid_name(&server.name) {
                findings.push(Finding::new(
                    &path,
                    "`name` must be 1 to 64 letters, digits, `-` or `_`",
                ));
            }
            if !names.insert(&server.name) {
                findings.push(Finding::new(
                    &path,
                    format!("reuses the name `{}`", server.name),
                ));
            }
            if !addresses.insert(server.address) {
                findings.push(Finding::new(
                    &path,
                    format!("reuses the address {}", server.address),
                ));
            }
            if !self
                .regions
                .iter()
                .any(|region| region == server.domain.region())
            {
                let text = format!(
                    "is in failure domain `{}`, which lies outside `regions`",
                    server.domain
                );
                findings.push(Finding::new(&path, text));
            }
        }
    }
}
