//! The cases, and what they share.

mod answers;
mod bodies;
mod chaos;
mod cold;
mod orders;
mod owners;
mod partitions;
mod poison;
mod regions;
mod stops;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::{Value, json};

use crate::client::{Call, Outcome};
use crate::host::Host;
use crate::record::Record;
use crate::store::Store;
use crate::upstream::{Options, SharedLedger, Upstream};

/// A case: whether the rule held, or why it could not run.
pub type Case = fn(&Site) -> Result<bool, String>;

/// The case with a name.
pub fn find(name: &str) -> Option<Case> {
    match name {
        "answers" => Some(answers::run),
        "bodies" => Some(bodies::run),
        "chaos" => Some(chaos::run),
        "cold" => Some(cold::run),
        "orders" => Some(orders::run),
        "owners" => Some(owners::run),
        "partitions" => Some(partitions::run),
        "poison" => Some(poison::run),
        "regions" => Some(regions::run),
        "stops" => Some(stops::run),
        _ => None,
    }
}

/// A deployment: the store and what the upstreams have seen.
pub struct Site {
    pub record: Arc<Record>,
    pub store: Store,
    pub ledger: SharedLedger,
    pub folder: PathBuf,
    pub with_trouble: bool,
    last_id: AtomicU64,
}

impl Site {
    pub fn new(case: &str, record: Arc<Record>, with_trouble: bool) -> Self {
        let name = format!("amaranthshunt-review-{case}-{}", std::process::id());
        let site = Self {
            record,
            store: Store::default(),
            ledger: SharedLedger::default(),
            folder: std::env::temp_dir().join(name),
            with_trouble,
            last_id: AtomicU64::new(0),
        };
        site.store.put("config", "main", config(), Value::Null);
        site
    }

    /// Prepares a host in a zone that reads the store directly.
    pub fn host(&self, name: &str, zone: usize) -> Host {
        let store = self.store.serve(Vec::new());
        Host::new(&self.folder, name, zone, store)
    }

    /// Starts an upstream of a service: `catalogue` holds keys, `orders` does not.
    pub fn upstream(&self, service: &str, id: &str, zone: &str) -> Upstream {
        self.upstream_behind(service, id, zone, |address| address)
    }

    /// Starts an upstream that registers another address than the one that it listens on.
    pub fn upstream_behind(
        &self,
        service: &str,
        id: &str,
        zone: &str,
        through: impl Fn(SocketAddr) -> SocketAddr,
    ) -> Upstream {
        let options = Options {
            service: service.to_owned(),
            zone: zone.to_owned(),
            keyed: service == "catalogue",
            slots: 4,
            queue: 16,
        };
        Upstream::start(
            options,
            id,
            &self.store,
            &self.ledger,
            &self.record,
            through,
        )
    }

    /// A new request identifier.
    pub fn request_id(&self, prefix: &str) -> String {
        let number = self.last_id.fetch_add(1, Ordering::Relaxed);
        format!("{prefix}{number:06x}")
    }

    /// A read of a key.
    pub fn read(&self, key: u16, work: u64) -> Call {
        let mut call = Call::new(
            "GET",
            &format!("/read/x?work={work}"),
            &self.request_id("a"),
        );
        call.key = Some(key);
        call
    }

    /// An order, which must not run twice.
    pub fn order(&self, path: &str, work: u64) -> Call {
        let path = format!("/order/{path}?work={work}");
        let mut call = Call::new("POST", &path, &self.request_id("b"));
        call.body = b"an order".to_vec();
        call
    }

    /// Records what a client sent and what it got.
    pub fn note(&self, client: &str, host: &str, call: &Call, outcome: &Outcome) {
        let key = call.key.map_or(String::new(), |key| format!(" key {key}"));
        self.record.line_at(
            outcome.sent,
            format!(
                "{client} sends {} {} {}{key} to {host}: status {} after {} ms",
                call.id,
                call.method,
                call.path,
                outcome.status,
                outcome.ended.duration_since(outcome.sent).as_millis()
            ),
        );
    }
}

/// The configuration: reads with keys and orders without, as in the site file.
fn config() -> Value {
    let route = |prefix: &str, service: &str, kind: &str, timeout: u64| {
        json!({
            "Host": "shop.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout,
            "TargetLatencyMs": 500, "Priority": 1, "MaxAttempts": 2, "AllowedRegions": [],
            "Service": service,
        })
    };
    let service = |keyed: bool| {
        let mut service = json!({
            "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false,
            "WarmupS": 3.0, "WarmupPerS": 9.9,
        });
        if keyed {
            service["Sharded"] = json!(true);
            service["WarmS"] = json!(5.0);
            service["Grants"] = json!("call");
        }
        service
    };
    json!({
        "Version": "r1",
        "Routes": {
            "read": route("/read/", "catalogue", "safe", 1_500),
            "order": route("/order/", "orders", "unsafe", 2_000),
            "pay": route("/pay/", "catalogue", "unsafe", 1_200),
        },
        "Services": { "catalogue": service(true), "orders": service(false) },
        "Limits": {
            "MaxHeaderBytes": 16_384, "MaxBodyBytes": 67_108_864, "HeaderTimeoutMs": 3_000,
            "IdleTimeoutMs": 15_000,
        },
    })
}
