//! Selection of servers by the router.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    AttemptOutcome, Credentials, LoadReport, RefusalCause, RoutePlan, RouteRefusal, Router,
    RoutingSpan, RoutingTable, ServerEntry, Target,
};

use yare::parameterized;

use crate::fixture::{KEYED, config, route, router, server};

const TIME_LEFT: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

/// A router with a route to each service and the given servers, all of them warm.
fn initialized_router(entries: Vec<ServerEntry>) -> Router {
    let mut router = router();
    router.update_config(Arc::new(config(
        1,
        vec![
            route("plain", "/o/", "orders"),
            route("keyed", "/k/", KEYED),
        ],
    )));
    router.set_hosts(1);
    router.replace_servers(at(0), entries, &[]);
    router
}

fn send(
    router: &mut Router,
    now: Time,
    plan: &RoutePlan,
    key: Option<u16>,
) -> Result<Target, RouteRefusal> {
    router.select_server(now, plan, key, &[], 0, TIME_LEFT)
}

#[test]
fn the_local_failure_domain_is_preferred_while_it_has_capacity() {
    let mut router = initialized_router(vec![
        server("far", "orders", "east-b", 1),
        server("near", "orders", "east-a", 1),
    ]);
    let plan = router
        .plan(
            Time::from_millis(1_000),
            "shop",
            "/o/",
            Credentials::default(),
        )
        .unwrap();

    let chosen: Vec<String> = (0..8)
        .map(|_| {
            send(&mut router, at(0), &plan, None)
                .unwrap()
                .entry
                .id
                .to_string()
        })
        .collect();

    assert_eq!(chosen[..4], ["near"; 4]);
    assert!(
        chosen.contains(&"far".to_owned()),
        "a full server still gets all requests: {chosen:?}"
    );
}

#[test]
fn a_full_server_gets_no_more_requests_and_callers_get_a_retry_time() {
    let mut router = initialized_router(vec![server("a", "orders", "east-a", 1)]);
    let plan = router
        .plan(
            Time::from_millis(1_000),
            "shop",
            "/o/",
            Credentials::default(),
        )
        .unwrap();

    let sent = (0..50)
        .filter(|_| send(&mut router, at(0), &plan, None).is_ok())
        .count();
    let refusal = send(&mut router, at(0), &plan, None).unwrap_err();

    assert_eq!(
        sent, 6,
        "four slots, and a queue depth of two for the second priority"
    );
    assert_eq!(refusal.cause, RefusalCause::Busy);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn requests_of_other_hosts_count_as_load() {
    let mut router = initialized_router(vec![server("a", "orders", "east-a", 1)]);
    let plan = router
        .plan(
            Time::from_millis(1_000),
            "shop",
            "/o/",
            Credentials::default(),
        )
        .unwrap();
    let report = LoadReport {
        running: 4,
        waiting: 12,
        slots: 4,
        duration_percent: None,
    };
    for _ in 0..6 {
        let target = send(&mut router, at(0), &plan, None);
        let Ok(target) = target else { break };
        router.record_outcome(
            at(50),
            &target,
            AttemptOutcome::Answered { success: true },
            Some(report),
        );
    }

    let refusal = send(&mut router, at(60), &plan, None).unwrap_err();

    assert_eq!(refusal.cause, RefusalCause::Busy);
}

#[test]
fn draining_removed_and_evacuated_servers_get_no_requests() {
    let mut draining = server("a", "orders", "east-a", 1);
    draining.draining = true;
    let mut router = initialized_router(vec![
        server("a", "orders", "east-a", 1),
        server("b", "orders", "east-b", 1),
        server("c", "orders", "west-a", 1),
    ]);
    let plan = router
        .plan(
            Time::from_millis(1_000),
            "shop",
            "/o/",
            Credentials::default(),
        )
        .unwrap();

    router.upsert_server(at(10), draining);
    router.remove_server(at(10), "b");
    router.set_evacuated(at(10), BTreeSet::from(["west-a".to_owned()]));
    let refusal = send(&mut router, at(10), &plan, None).unwrap_err();

    assert_eq!(refusal.cause, RefusalCause::NoServer);
}

#[test]
fn an_entry_that_expired_in_an_outage_has_two_seconds_to_return() {
    let mut router = initialized_router(vec![server("a", "orders", "east-a", 1)]);
    let plan = router
        .plan(
            Time::from_millis(1_000),
            "shop",
            "/o/",
            Credentials::default(),
        )
        .unwrap();
    router.extend_reregistration(at(1_000));
    router.remove_server(at(1_100), "a");

    router.tick(at(2_000));
    assert!(
        router.servers().find("a").is_some(),
        "the server was removed within its time to register again"
    );
    assert!(
        send(&mut router, at(2_000), &plan, None).is_err(),
        "a server without an entry gets requests"
    );

    router.tick(at(3_000));
    assert!(
        router.servers().find("a").is_none(),
        "the server was not removed after its time to register again"
    );
}

#[test]
fn an_entry_of_an_earlier_incarnation_is_ignored() {
    let mut router = initialized_router(vec![server("a", "orders", "east-a", 5)]);
    let mut stale = server("a", "orders", "east-a", 4);
    stale.draining = true;
    let plan = router
        .plan(
            Time::from_millis(1_000),
            "shop",
            "/o/",
            Credentials::default(),
        )
        .unwrap();

    router.upsert_server(at(10), stale);

    assert!(send(&mut router, at(10), &plan, None).is_ok());
}

#[test]
fn requests_to_a_cold_server_stay_within_the_share_of_the_host() {
    let mut router = initialized_router(vec![server("old", "orders", "west-a", 1)]);
    router.set_hosts(4);
    router.remove_server(at(5), "old");
    router.upsert_server(at(10), server("new", "orders", "east-a", 1));
    let plan = router
        .plan(
            Time::from_millis(1_000),
            "shop",
            "/o/",
            Credentials::default(),
        )
        .unwrap();

    // The share of one of four hosts of 10 x 1.5 + 5 - 1 requests per second.
    let mut sent = 0;
    for step in 0..100 {
        if let Ok(target) = send(&mut router, at(10 + step * 10), &plan, None) {
            router.record_outcome(
                at(11 + step * 10),
                &target,
                AttemptOutcome::Answered { success: true },
                None,
            );
            sent += 1;
        }
    }

    assert_eq!(sent, 4);
}

#[test]
fn an_unreachable_server_is_ejected_and_then_counts_as_cold() {
    let mut router = initialized_router(vec![server("a", "orders", "east-a", 1)]);
    let plan = router
        .plan(
            Time::from_millis(1_000),
            "shop",
            "/o/",
            Credentials::default(),
        )
        .unwrap();
    let target = send(&mut router, at(0), &plan, None).unwrap();

    router.record_outcome(at(10), &target, AttemptOutcome::Unreachable, None);

    assert_eq!(
        send(&mut router, at(20), &plan, None).unwrap_err().cause,
        RefusalCause::NoServer
    );
    let key = router.servers().find("a").unwrap();
    assert!(send(&mut router, at(400), &plan, None).is_ok());
    assert!(
        router.servers().get(key).unwrap().is_cold(at(400)),
        "the server may have restarted unnoticed"
    );
}

#[test]
fn a_key_is_sent_only_to_its_owner() {
    let mut router = initialized_router(vec![
        server("a", KEYED, "east-a", 1),
        server("b", KEYED, "east-b", 1),
    ]);
    let plan = router
        .plan(
            Time::from_millis(1_000),
            "shop",
            "/k/",
            Credentials::default(),
        )
        .unwrap();
    let spans = vec![
        RoutingSpan {
            from: 0,
            to: 99,
            server: Some(Arc::from("b")),
        },
        RoutingSpan {
            from: 100,
            to: 65_535,
            server: None,
        },
    ];
    let services = [(Arc::from(KEYED), spans)].into();
    router.update_table(RoutingTable {
        term: 1,
        version: 1,
        services,
    });

    let owned = send(&mut router, at(0), &plan, Some(99)).unwrap();
    let in_transit = send(&mut router, at(0), &plan, Some(100)).unwrap_err();
    let keyless = send(&mut router, at(0), &plan, None).unwrap_err();

    assert_eq!(&*owned.entry.id, "b");
    assert_eq!(in_transit.cause, RefusalCause::NoOwner);
    assert_eq!(keyless.cause, RefusalCause::NoOwner);
}

#[test]
fn an_older_table_is_ignored() {
    let mut router = router();
    router.update_table(RoutingTable {
        term: 3,
        version: 2,
        ..RoutingTable::default()
    });

    router.update_table(RoutingTable {
        term: 2,
        version: 9,
        ..RoutingTable::default()
    });
    router.update_table(RoutingTable {
        term: 3,
        version: 1,
        ..RoutingTable::default()
    });

    assert_eq!((router.table().term, router.table().version), (3, 2));
}

#[test]
fn a_server_that_rejects_a_request_counts_as_full_for_a_while() {
    let mut router = initialized_router(vec![
        server("near", "orders", "east-a", 1),
        server("far", "orders", "east-b", 1),
    ]);
    let plan = router
        .plan(
            Time::from_millis(1_000),
            "shop",
            "/o/",
            Credentials::default(),
        )
        .unwrap();
    let target = send(&mut router, at(0), &plan, None).unwrap();
    assert_eq!(&*target.entry.id, "near");

    router.record_outcome(at(5), &target, AttemptOutcome::NotRun, None);

    let next = send(&mut router, at(10), &plan, None).unwrap();
    assert_eq!(&*next.entry.id, "far");
    let later = send(&mut router, at(5_000), &plan, None).unwrap();
    assert_eq!(&*later.entry.id, "near");
}

#[test]
fn a_server_that_ends_new_connections_counts_as_full() {
    let mut router = initialized_router(vec![server("a", "orders", "west-a", 1)]);
    let plan = router
        .plan(at(0), "shop", "/o/", Credentials::default())
        .unwrap();

    let first = send(&mut router, at(0), &plan, None).unwrap();
    router.record_outcome(at(100), &first, AttemptOutcome::Saturated, None);
    let refusal = send(&mut router, at(110), &plan, None).unwrap_err();
    let later = send(&mut router, at(3_000), &plan, None).unwrap();

    assert_eq!(refusal.cause, RefusalCause::Busy);
    assert!(!first.probes_connection, "another region, may be repeated");
    assert!(later.probes_connection, "has ended a connection lately");
}

#[test]
fn failed_responses_do_not_shorten_a_longer_ejection() {
    let mut router = initialized_router(vec![server("a", "orders", "east-a", 1)]);
    let plan = router
        .plan(at(0), "shop", "/o/", Credentials::default())
        .unwrap();
    let targets: Vec<Target> = (0..6)
        .map(|_| send(&mut router, at(0), &plan, None).unwrap())
        .collect();
    let (unreachable, failed) = targets.split_at(3);

    // The third time that it is unreachable, it is ejected for 1.2 s.
    for target in unreachable {
        router.record_outcome(at(0), target, AttemptOutcome::Unreachable, None);
    }
    for target in failed {
        router.record_outcome(at(0), target, AttemptOutcome::Lost, None);
    }

    assert!(send(&mut router, at(1_000), &plan, None).is_err());
}

#[parameterized(
    short_target = { 500, "far" },
    long_target = { 2_500, "near" },
)]
fn a_request_leaves_its_domain_only_if_its_target_is_in_danger(target: u64, expected: &str) {
    let mut router = initialized_router(vec![
        server("far", "orders", "east-b", 1),
        server("near", "orders", "east-a", 1),
    ]);
    let mut slow = route("slow", "/slow/", "orders");
    slow.target_latency = Duration::from_millis(target);
    router.update_config(Arc::new(config(2, vec![slow])));
    let plan = router
        .plan(at(0), "shop", "/slow/", Credentials::default())
        .unwrap();
    for _ in 0..5 {
        send(&mut router, at(0), &plan, None).unwrap();
    }

    let next = send(&mut router, at(0), &plan, None).unwrap();

    assert_eq!(&*next.entry.id, expected);
}
