//! When a host finds that it reaches no server, and when it reaches them again.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{AttemptOutcome, Credentials, Router, Target};

use crate::fixture::{config, route, router, server};

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

/// A router with six servers in three failure domains.
fn router_of_three_domains() -> Router {
    let mut router = router();
    router.update_config(Arc::new(config(1, vec![route("plain", "/o/", "orders")])));
    router.set_hosts(1);
    let domains = ["east-a", "east-b", "west-a"];
    let entries = (0..6).map(|index| server(&format!("s{index}"), "orders", domains[index / 2], 1));
    router.replace_servers(at(0), entries.collect(), &[]);
    router.record_connection(at(0));
    router
}

fn send(router: &mut Router, now: Time) -> Target {
    let plan = router
        .plan(now, "shop", "/o/", Credentials::default())
        .unwrap();
    let time_left = Duration::from_secs(2);
    router
        .select_server(now, &plan, None, &[], 0, time_left)
        .unwrap()
}

fn fail(router: &mut Router, now: Time) {
    let target = send(router, now);
    router.record_outcome(now, &target, AttemptOutcome::Unreachable, None);
}

#[test]
fn one_dead_server_is_no_reason_for_a_check() {
    let mut router = router_of_three_domains();

    fail(&mut router, at(1_000));

    assert!(router.servers_to_check(at(1_010)).is_empty());
    assert!(router.reaches_servers());
}

// Guards against RECOVER: a leader that sends orders to a single server found nothing out.
#[test]
fn connections_to_one_server_that_fail_again_and_again_are_a_reason_for_a_check() {
    let mut router = router_of_three_domains();
    for index in 0..3 {
        router.record_failed_order(at(1_000 + index * 250), &Arc::from("s0"));
    }

    let checked = router.servers_to_check(at(1_510));
    router.record_check(at(1_520), true);
    for index in 0..3 {
        router.record_failed_order(at(1_600 + index * 100), &Arc::from("s0"));
    }

    assert_eq!(checked.len(), 5);
    assert!(
        router.servers_to_check(at(2_000)).is_empty(),
        "a server was found just before"
    );
}

#[test]
fn failed_connections_are_checked_in_all_failure_domains() {
    let mut router = router_of_three_domains();
    fail(&mut router, at(1_000));
    fail(&mut router, at(1_001));

    let checked = router.servers_to_check(at(1_010));

    let domains: BTreeSet<&str> = checked.iter().map(|entry| entry.domain.as_str()).collect();
    assert_eq!(checked.len(), 5);
    assert_eq!(domains.len(), 3);
    assert!(router.reaches_servers(), "a suspicion is no finding");
    assert!(
        router.servers_to_check(at(1_100)).is_empty(),
        "the check is under way"
    );
}

#[test]
fn an_opened_connection_ends_the_suspicion() {
    let mut router = router_of_three_domains();
    fail(&mut router, at(1_000));
    router.record_connection(at(1_001));
    fail(&mut router, at(1_002));

    assert!(router.servers_to_check(at(1_400)).is_empty());
}

// Guards against RECOVER: connections that hang show no error until each request's deadline.
#[test]
fn servers_that_are_all_silent_are_checked() {
    let mut router = router_of_three_domains();
    for index in 0..12 {
        send(&mut router, at(1_000 + index));
    }

    let early = router.servers_to_check(at(1_300));
    let late = router.servers_to_check(at(1_600));

    assert!(early.is_empty());
    assert_eq!(late.len(), 5);
}

// Guards against RECOVER: servers that a cut host could not reach counted as dead and cold for
// seconds after the cut.
#[test]
fn servers_are_used_at_once_when_they_are_reached_again() {
    let mut router = router_of_three_domains();
    for index in 0..6 {
        fail(&mut router, at(1_000 + index));
    }
    router.record_check(at(1_400), false);
    let was_lost = !router.reaches_servers();

    let checked = router.servers_to_check(at(1_800));
    router.record_check(at(1_810), true);

    assert!(was_lost);
    assert_eq!(checked.len(), 2);
    assert!(router.reaches_servers());
    let target = send(&mut router, at(1_820));
    let state = router.servers().get(target.server).unwrap();
    assert!(!state.is_cold(at(1_820)));
}
