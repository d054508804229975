//! Catalogue entries as operators write them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::finding::Finding;
use crate::names::{DomainName, is_label};

/// The largest body that an entry may allow, in bytes.
pub const BODY_LIMIT: u32 = 1 << 20;
/// The most shards that an entry may have in a region.
pub const SHARD_LIMIT: u32 = 16_384;

/// What kind of work an entry does, lowest priority first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Reads; idempotent.
    Read,
    /// Confirmations and registrations; run at most once.
    Confirm,
    /// Deposits and payouts; run at most once.
    Payment,
}

impl Class {
    /// Whether running a request of this class twice does no harm.
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
    /// The name in the path of requests.
    pub name: String,
    /// Who pays for the entry.
    pub owner: String,
    /// The kind of work.
    pub class: Class,
    /// The regions in which the entry's keys live.
    pub regions: Vec<String>,
    /// Regions of single tenants, a part of `regions`.
    #[serde(default)]
    pub tenants: BTreeMap<String, Vec<String>>,
    /// Shards in each region.
    pub shards: u32,
    /// What each backend server bears.
    pub limits: Limits,
    /// The backend servers.
    pub servers: Vec<Server>,
}

/// What one backend server of an entry bears.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that run at the same time in a cold start.
    pub cold_slots: u32,
    /// Milliseconds for which a started server bears only `cold_slots`.
    pub warm_up: u32,
    /// Open connections.
    pub connections: u32,
    /// Requests that wait for a slot.
    pub queue: u32,
    /// Bytes of a request body.
    pub body: u32,
}

/// One backend server of an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// The name, unique over the whole catalogue.
    pub name: String,
    /// The failure domain.
    pub domain: DomainName,
    /// Where the server takes orders.
    pub address: SocketAddr,
    /// Whether the server checks the fence token of each order.
    #[serde(default)]
    pub checks: bool,
}

impl Entry {
    /// The regions in which a tenant's keys live.
    pub fn home_regions(&self, tenant: &str) -> &[String] {
        self.tenants.get(tenant).unwrap_or(&self.regions)
    }

    /// Everything that is wrong with the entry, each finding with its place.
    pub fn findings(&self) -> Vec<Finding> {
        let mut found = Vec::new();
        self.check_names(&mut found);
        self.check_limits(&mut found);
        self.check_servers(&mut found);
        found
    }

    /// Everything that forbids replacing `old` by this entry.
    ///
    /// A changed shard count or home region would give a key a second shard, and with it a
    /// second owner.
    pub fn replacement_findings(&self, old: &Self) -> Vec<Finding> {
        let mut found = Vec::new();
        let fixed = "cannot change while keys live under it; create another entry";
        if self.shards != old.shards {
            found.push(Finding::new("shards", fixed));
        }
        if self.regions != old.regions {
            found.push(Finding::new("regions", fixed));
        }
        if self.tenants != old.tenants {
            found.push(Finding::new("tenants", fixed));
        }
        if self.class.is_idempotent() != old.class.is_idempotent() {
            found.push(Finding::new("class", fixed));
        }
        found
    }

    fn check_names(&self, found: &mut Vec<Finding>) {
        if !is_label(&self.name) {
            found.push(Finding::new(
                "name",
                "must be 1 to 64 letters, digits, `-` or `_`",
            ));
        }
        if self.owner.is_empty() {
            found.push(Finding::new("owner", "must not be empty"));
        }
        if self.regions.is_empty() {
            found.push(Finding::new("regions", "must name at least one region"));
        }
        for region in self.regions.iter().filter(|name| !is_label(name)) {
            found.push(Finding::new(
                "regions",
                format!("`{region}` is no region name"),
            ));
        }
        for (tenant, regions) in &self.tenants {
            let place = format!("tenants.{tenant}");
            if !is_label(tenant) {
                found.push(Finding::new(&place, "is no tenant name"));
            }
            if regions.is_empty() {
                found.push(Finding::new(&place, "must name at least one region"));
            }
            for region in regions.iter().filter(|name| !self.regions.contains(name)) {
                found.push(Finding::new(
                    &place,
                    format!("`{region}` is not in `regions`"),
                ));
            }
        }
    }

    fn check_limits(&self, found: &mut Vec<Finding>) {
        let limits = &self.limits;
        let mut require = |holds: bool, place: &str, text: &str| {
            if !holds {
                found.push(Finding::new(place, text));
            }
        };
        let shards_fit = (1..=SHARD_LIMIT).contains(&self.shards);
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
        let body_fits = (1..=BODY_LIMIT).contains(&limits.body);
        require(body_fits, "limits.body", "must be 1 to 1048576 bytes");
    }

    fn check_servers(&self, found: &mut Vec<Finding>) {
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, server) in self.servers.iter().enumerate() {
            let place = format!("servers[{index}]");
            if !is_label(&server.name) {
                found.push(Finding::new(
                    &place,
                    "`name` must be 1 to 64 letters, digits, `-` or `_`",
                ));
            }
            if !names.insert(&server.name) {
                found.push(Finding::new(
                    &place,
                    format!("`{}` is named twice", server.name),
                ));
            }
            if !addresses.insert(server.address) {
                found.push(Finding::new(
                    &place,
                    format!("{} is used twice", server.address),
                ));
            }
            if !self
                .regions
                .iter()
                .any(|region| region == server.domain.region())
            {
                let text = format!("`{}` lies outside `regions`", server.domain);
                found.push(Finding::new(&place, text));
            }
        }
    }
}
