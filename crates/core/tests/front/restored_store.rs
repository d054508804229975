//! What a router believes after the store was restored from a copy.

use std::collections::BTreeSet;
use std::sync::Arc;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Credentials, Router, ServerEntry};

use crate::fixture::{config, route, router, server};

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

fn domains(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// A router that knows the given servers when the store is restored.
fn router_at_restore(entries: Vec<ServerEntry>) -> Router {
    let mut router = router();
    router.update_config(Arc::new(config(1, vec![route("plain", "/o/", "orders")])));
    router.set_hosts(1);
    router.replace_servers(at(0), entries, &[]);
    router
}

/// Whether a request is sent to one of the servers.
fn serves(router: &mut Router, now: Time) -> bool {
    let plan = router
        .plan(now, "shop", "/o/", Credentials::default())
        .unwrap();
    let time_left = std::time::Duration::from_secs(2);
    router
        .select_server(now, &plan, None, &[], 0, time_left)
        .is_ok()
}

// Guards against CONFIG and lost service: a server that had registered in the lost seconds was
// missing from the restored list and lost its requests and keys until it had registered again.
#[test]
fn a_server_that_the_store_has_lost_is_used_until_it_had_time_to_register_again() {
    let mut router = router_at_restore(vec![server("a", "orders", "east-a", 1)]);

    router.begin_settling(at(1_000));
    router.replace_servers(at(1_000), Vec::new(), &[]);
    let serves_at_once = serves(&mut router, at(1_500));
    router.tick(at(3_500));

    assert!(serves_at_once);
    assert!(router.servers().find("a").is_none());
}

// Guards against DRAIN: the restored list showed a server that had left as it was before.
#[test]
fn a_server_that_had_left_comes_back_only_when_the_store_has_settled() {
    let entry = server("a", "orders", "east-a", 1);
    let mut router = router_at_restore(vec![entry.clone()]);
    router.remove_server(at(500), "a");

    router.begin_settling(at(1_000));
    router.replace_servers(at(1_000), vec![entry], &[]);
    router.tick(at(4_500));
    let is_back_early = router.servers().find("a").is_some();
    router.tick(at(5_500));

    assert!(!is_back_early);
    assert!(serves(&mut router, at(5_500)));
}

// Guards against DRAIN: the restored list showed a leaving server as ready.
#[test]
fn a_leaving_server_stays_so_until_the_store_has_settled() {
    let ready = server("a", "orders", "east-a", 1);
    let mut leaving = ready.clone();
    leaving.draining = true;
    let mut router = router_at_restore(vec![leaving]);

    router.begin_settling(at(1_000));
    router.replace_servers(at(1_000), vec![ready.clone()], &[]);
    let serves_early = serves(&mut router, at(4_000));
    router.remove_server(at(4_200), "a");
    router.tick(at(5_500));

    assert!(!serves_early);
    assert!(
        !serves(&mut router, at(5_500)),
        "the entry was removed meanwhile"
    );
}

// Guards against EVAC: an evacuation that the store had lost was taken for one that had ended.
#[test]
fn an_evacuation_that_the_store_has_lost_stays_until_the_store_has_settled() {
    let mut router = router_at_restore(Vec::new());
    router.set_evacuated(at(0), domains(&["east-b", "west-a"]));
    router.set_evacuated(at(500), domains(&["west-a"]));

    router.begin_settling(at(1_000));
    router.set_evacuated(at(1_000), domains(&["east-b"]));
    let early = router.evacuated().clone();
    router.tick(at(5_500));

    assert_eq!(early, domains(&["west-a"]), "east-b had been taken back");
    assert_eq!(router.evacuated(), &domains(&["east-b"]));
}
