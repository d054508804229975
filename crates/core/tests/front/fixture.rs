//! Servers, routes and configurations for tests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    Config, Limits, QuotaTolerance, Route, Router, RouterSettings, RoutingSpan, RoutingTable,
    ServerEntry, Service, WeightedService,
};

/// A service whose servers hold keys.
pub(crate) const KEYED: &str = "catalogue";

/// A warm server that accepts requests.
pub(crate) fn server(id: &str, service: &str, domain: &str, start_id: u64) -> ServerEntry {
    let port = 1 + id.bytes().fold(0_u16, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    }) % 60_000;
    ServerEntry {
        id: Arc::from(id),
        service: Arc::from(service),
        address: ([127, 0, 0, 1], port).into(),
        domain: domain.to_owned(),
        slots: 4,
        draining: false,
        warmup_left: Duration::ZERO,
        start_id: Some(start_id),
    }
}

/// A service with or without keys.
pub(crate) fn service(keyed: bool) -> Service {
    Service {
        health_path: "/health".to_owned(),
        max_connections: 100,
        warm_up: Duration::from_secs(3),
        cold_rate: 10.0,
        keyed,
    }
}

/// A route of the host name `shop`.
pub(crate) fn route(name: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "shop".to_owned(),
        prefix: prefix.to_owned(),
        idempotent: true,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(500),
        priority: 1,
        services: vec![WeightedService {
            service: Arc::from(service),
            weight: 1,
        }],
        max_attempts: 2,
        home_regions: Vec::new(),
        public: false,
        large_bodies: false,
    }
}

/// A configuration with one keyed service and one without keys.
pub(crate) fn config(version: u64, routes: Vec<Route>) -> Config {
    let services = BTreeMap::from([
        (Arc::from(KEYED), service(true)),
        (Arc::from("orders"), service(false)),
    ]);
    Config::new(version, routes, services, Limits::default())
}

/// A host with the given servers of the service without keys, and the server `holder` that holds all
/// keys of the other one.
pub(crate) fn host_before(name: &str, ids: &[&str]) -> Router {
    let mut router = router_of(name);
    let routes = vec![
        route("plain", "/o/", "orders"),
        route("keyed", "/k/", KEYED),
    ];
    router.update_config(Arc::new(config(1, routes)));
    router.set_hosts(1);
    let mut entries: Vec<ServerEntry> = ids
        .iter()
        .map(|id| server(id, "orders", "east-a", 1))
        .collect();
    entries.push(server("holder", KEYED, "east-a", 1));
    router.replace_servers(Time::ZERO, entries, &[]);
    let span = RoutingSpan {
        from: 0,
        to: u16::MAX,
        server: Some(Arc::from("holder")),
    };
    router.update_table(RoutingTable {
        term: 1,
        version: 1,
        services: BTreeMap::from([(Arc::from(KEYED), vec![span])]),
    });
    router
}

/// A router of host `h1` in `east-a`, without configuration or servers.
pub(crate) fn router() -> Router {
    router_of("h1")
}

/// A router of a host in `east-a`, without configuration or servers.
pub(crate) fn router_of(name: &str) -> Router {
    router_in(name, "east-a", false)
}

/// A router of a host in a domain, with or without overload control.
pub(crate) fn router_in(name: &str, domain: &str, overload_control: bool) -> Router {
    let regions = [("east-a", "east"), ("east-b", "east"), ("west-a", "west")];
    Router::new(RouterSettings {
        name: name.to_owned(),
        domain: domain.to_owned(),
        regions: regions
            .map(|(domain, region)| (domain.to_owned(), region.to_owned()))
            .into(),
        retry_ratio: 0.2,
        retry_window: Duration::from_secs(10),
        retry_slack: 60.0,
        drain: Duration::from_millis(2_500),
        warm_factor: 1.5,
        warm_slack: 5.0,
        overload_control,
        quota: QuotaTolerance {
            window: Duration::from_secs(5),
            overshoot: 0.1,
            slack: 20.0,
        },
    })
}
