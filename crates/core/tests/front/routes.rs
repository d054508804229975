//! Routes, weighted splits and configuration versions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    RefusalCause, RoutingSpan, RoutingTable, WeightedService, WeightedSplitter,
};
use yare::parameterized;

use crate::fixture::{config, route, router, server};

const NOW: Time = Time::from_millis(10_000);

#[parameterized(
    longest_prefix = { "shop", "/a/b/c", Some("deep") },
    shorter_prefix = { "shop", "/a/c", Some("wide") },
    query_does_not_count = { "shop", "/a/x?y=/a/b/", Some("wide") },
    port_does_not_count = { "shop:8080", "/a/b/", Some("deep") },
    case_of_host_does_not_count = { "SHOP", "/a/b/", Some("deep") },
    prefix_without_its_slash = { "shop", "/a", None },
    other_host = { "shops", "/a/b/", None },
)]
fn a_request_matches_by_host_and_longest_prefix(host: &str, target: &str, name: Option<&str>) {
    let config = config(
        1,
        vec![
            route("wide", "/a/", "orders"),
            route("deep", "/a/b/", "orders"),
        ],
    );

    let found = config.route(host, target).map(|route| route.name.clone());

    assert_eq!(found.as_deref(), name);
}

#[test]
fn a_split_matches_its_weights_within_few_requests() {
    let mut route_with_services = route("r", "/", "orders");
    route_with_services.services = [("a", 70), ("b", 20), ("c", 10)]
        .map(|(name, weight)| WeightedService {
            service: Arc::from(name),
            weight,
        })
        .to_vec();
    let mut splitter = WeightedSplitter::default();
    let mut counts: BTreeMap<Arc<str>, u32> = BTreeMap::new();

    for _ in 0..50 {
        *counts
            .entry(splitter.next_service(&route_with_services).unwrap())
            .or_default() += 1;
    }

    assert_eq!(counts.into_values().collect::<Vec<u32>>(), [35, 10, 5]);
}

#[test]
fn a_split_without_weights_selects_no_service() {
    let mut route_with_services = route("r", "/", "orders");
    route_with_services.services = ["a", "b"]
        .map(|name| WeightedService {
            service: Arc::from(name),
            weight: 0,
        })
        .to_vec();

    assert_eq!(
        WeightedSplitter::default().next_service(&route_with_services),
        None
    );
}

#[test]
fn an_older_configuration_does_not_replace_a_newer_one() {
    let mut router = router();
    router.update_config(Arc::new(config(7, vec![route("new", "/", "orders")])));

    let replaced = router.update_config(Arc::new(config(5, vec![route("old", "/", "orders")])));

    assert!(!replaced);
    assert_eq!(
        router
            .plan(Time::from_millis(1_000), "shop", "/x")
            .unwrap()
            .route
            .name,
        "new"
    );
}

#[test]
fn a_host_without_a_configuration_tells_callers_to_retry() {
    let refusal = router()
        .plan(Time::from_millis(1_000), "shop", "/x")
        .unwrap_err();

    assert_eq!(refusal.cause, RefusalCause::NoConfig);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn a_route_with_home_regions_is_served_only_there() {
    let mut router = router();
    let mut home = route("r", "/", "orders");
    home.home_regions = vec!["east".to_owned()];
    router.update_config(Arc::new(config(1, vec![home])));
    router.replace_servers(NOW, vec![server("w1", "orders", "west-a", 1)], &[]);
    let plan = router.plan(Time::from_millis(1_000), "shop", "/x").unwrap();

    let refusal = router
        .select_server(NOW, &plan, None, &[], 0, Duration::from_secs(1))
        .unwrap_err();
    assert_eq!(refusal.cause, RefusalCause::NoServer);

    router.upsert_server(NOW, server("e1", "orders", "east-a", 1));
    let target = router
        .select_server(NOW, &plan, None, &[], 0, Duration::from_secs(1))
        .unwrap();
    assert_eq!(&*target.entry.id, "e1");
}

#[test]
fn applying_the_changes_yields_the_later_table() {
    let span = |from, to, server: Option<&str>| RoutingSpan {
        from,
        to,
        server: server.map(Arc::from),
    };
    let table = |version, spans: Vec<RoutingSpan>| RoutingTable {
        term: 1,
        version,
        services: [(Arc::from("catalogue"), spans)].into(),
    };
    let before = table(
        1,
        vec![span(0, 99, Some("a")), span(100, 65_535, Some("b"))],
    );
    let after = table(
        2,
        vec![
            span(0, 9, Some("a")),
            span(10, 20, None),
            span(21, 99, Some("a")),
            span(100, 65_000, Some("c")),
            span(65_001, 65_535, Some("b")),
        ],
    );

    let changes = after.changes_since(&before);
    let mut updated = before.clone();
    updated.apply(2, &changes);

    assert_eq!(changes[&Arc::from("catalogue")].len(), 2);
    assert_eq!(updated, after);
}
