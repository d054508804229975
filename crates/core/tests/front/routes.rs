//! Routes, weighted splits and configuration versions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    Credentials, RefusalCause, RoutingSpan, RoutingTable, Tenant, Tenants, WeightedService,
    WeightedSplitter,
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
            .plan(
                Time::from_millis(1_000),
                "shop",
                "/x",
                Credentials::default()
            )
            .unwrap()
            .route
            .name,
        "new"
    );
}

#[test]
fn a_host_without_a_configuration_tells_callers_to_retry() {
    let refusal = router()
        .plan(
            Time::from_millis(1_000),
            "shop",
            "/x",
            Credentials::default(),
        )
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
    let plan = router
        .plan(
            Time::from_millis(1_000),
            "shop",
            "/x",
            Credentials::default(),
        )
        .unwrap();

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

/// Two tenants, the first of which may be served in one region only.
fn tenants() -> Tenants {
    let mut tenants = Tenants::default();
    let acme = Tenant {
        name: Arc::from("acme"),
        priority: Some(0),
        home_regions: vec!["west".to_owned()],
        ..Tenant::default()
    };
    tenants.insert(acme, vec!["k1".to_owned()]);
    let other = Tenant {
        name: Arc::from("other"),
        ..Tenant::default()
    };
    tenants.insert(other, vec!["k2".to_owned()]);
    tenants
}

#[parameterized(
    valid_key = { "/o/", Some("k1"), None, Ok(Some("acme")) },
    unknown_key = { "/o/", Some("k9"), None, Err(RefusalCause::UnknownKey) },
    unknown_key_with_the_name_of_a_tenant = { "/o/", Some("k9"), Some("acme"), Err(RefusalCause::UnknownKey) },
    no_key = { "/o/", None, None, Err(RefusalCause::UnknownKey) },
    checked_by_another_host = { "/o/", None, Some("other"), Ok(Some("other")) },
    no_route_comes_before_no_key = { "/x/", None, None, Err(RefusalCause::NoRoute) },
    public_without_key = { "/p/", None, None, Ok(None) },
    public_with_key = { "/p/", Some("k2"), None, Ok(Some("other")) },
)]
fn a_request_needs_the_key_of_a_tenant(
    path: &str,
    key: Option<&str>,
    tenant: Option<&str>,
    expected: Result<Option<&str>, RefusalCause>,
) {
    let mut router = router();
    let mut open = route("open", "/p/", "orders");
    open.public = true;
    let routes = vec![route("plain", "/o/", "orders"), open];
    router.update_config(Arc::new(config(9, routes).with_tenants(tenants())));

    let plan = router.plan(NOW, "shop", path, Credentials { key, tenant });

    let found = plan.map(|plan| plan.tenant.map(|tenant| tenant.name.to_string()));
    let found = found.map_err(|refusal| refusal.cause);
    assert_eq!(found, expected.map(|name| name.map(str::to_owned)));
}

/// A request could otherwise leave the regions of its tenant because its route has none.
#[parameterized(
    only_the_tenant = { &[], "west", true },
    outside_the_tenant = { &[], "east", false },
    both = { &["west", "east"], "west", true },
    outside_the_route = { &["east"], "west", false },
)]
fn regions_of_route_and_tenant_both_bind(homes: &[&str], region: &str, allowed: bool) {
    let mut router = router();
    let mut plain = route("plain", "/o/", "orders");
    plain.home_regions = homes.iter().map(|home| (*home).to_owned()).collect();
    router.update_config(Arc::new(config(9, vec![plain]).with_tenants(tenants())));
    let credentials = Credentials {
        key: Some("k1"),
        tenant: None,
    };

    let plan = router.plan(NOW, "shop", "/o/", credentials).unwrap();

    assert_eq!(plan.allows_region(Some(&region.to_owned())), allowed);
    assert_eq!(plan.priority(), 0);
}
