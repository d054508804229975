//! Entries and reports whose values are in range of their type, but odd.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    AttemptOutcome, ClusterState, Credentials, Granter, GranterTiming, LoadReport, Order,
    Placement, ServerChanges, ServerEntry, Servers, first_term,
};
use yare::parameterized;

use crate::fixture::{KEYED, config, host_before, server};

const TIME_LEFT: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

/// The ranges of keys that a first leader gives to servers with the given slots.
fn first_ranges(slots: &[u32]) -> Vec<(u16, u16)> {
    let mut servers = Servers::default();
    for (number, slots) in slots.iter().enumerate() {
        let mut entry = server(&format!("s{number}"), KEYED, "east-a", 1);
        entry.slots = *slots;
        servers.upsert(at(0), entry, None, 0.0);
    }
    let record = Placement {
        term: first_term(1),
        version: 1,
        leader: "h1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        services: BTreeMap::new(),
        complete_era: Some(1),
        voters: Some(BTreeSet::new()),
    };
    let timing = GranterTiming {
        lease: Duration::from_secs(4),
        renewal_interval: Duration::from_secs(1),
        confirmation_timeout: Duration::from_secs(2),
        order_timeout: Duration::from_secs(1),
        expiry_margin: Duration::from_millis(300),
        cleanup_delay: Duration::from_secs(1),
        storeless_limit: Duration::from_secs(3_600),
    };
    let mut granter = Granter::new(at(0), at(0), &record, 1, timing);
    let config = config(1, Vec::new());
    let cluster = ClusterState {
        servers: &servers,
        config: &config,
        baseline_latencies: &BTreeMap::new(),
        evacuated: &BTreeSet::new(),
    };
    let orders = granter.advance(at(0), cluster);
    let written = orders.into_iter().find_map(|order| match order {
        Order::Write(placement) => Some(placement),
        _ => None,
    });
    let spans = &written.unwrap().services[KEYED];
    spans.iter().map(|span| (span.from, span.to)).collect()
}

// Guards against a panic, or two servers with the same keys, where one entry claims so many slots that
// another server's share of the keys is empty.
#[parameterized(
    alike = { &[4, 4, 4, 4] },
    one_of_many = { &[1, 65_535, 65_535] },
    last_of_many = { &[65_535, 65_535, 1] },
    several = { &[65_535, 1, 1, 65_535, 1] },
)]
fn first_ranges_cover_all_keys_once(slots: &[u32]) {
    let ranges = first_ranges(slots);

    let mut next = 0;
    for (from, to) in &ranges {
        assert_eq!(u32::from(*from), next, "{ranges:?}");
        assert!(from <= to, "{ranges:?}");
        next = u32::from(*to) + 1;
    }
    assert_eq!(next, 65_536, "{ranges:?}");
}

// Guards against sums that wrap: a time beyond what a clock can show is its end.
#[test]
fn time_beyond_the_clock_is_the_latest_one() {
    let long = Duration::from_millis(u64::MAX);

    assert_eq!(at(0) + long, Time::from_micros(u64::MAX));
    assert_eq!(at(0) - long, Time::ZERO);
}

#[test]
fn load_beyond_all_numbers_marks_a_server_as_full() {
    let mut router = host_before("h1", &["a"]);
    let plan = router
        .plan(at(0), "shop", "/o/", Credentials::default())
        .unwrap();
    router.set_hosts(100);
    let report = LoadReport {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: 1,
        duration_percent: Some(u32::MAX),
    };
    let target = router
        .select_server(at(0), &plan, None, &[], 0, TIME_LEFT)
        .unwrap();

    let outcome = AttemptOutcome::Answered { success: true };
    router.record_outcome(at(10), &target, outcome, Some(report));

    assert!(
        router
            .select_server(at(20), &plan, None, &[], 0, TIME_LEFT)
            .is_err()
    );
}

fn unreadable(id: &str) -> ServerChanges {
    ServerChanges {
        unreadable: vec![Arc::from(id)],
        ..ServerChanges::default()
    }
}

// Guards against a good server that is dropped, with its keys, because its entry was odd for a moment.
#[test]
fn server_with_an_unreadable_entry_stays_until_its_next_heartbeat_is_overdue() {
    let mut router = host_before("h1", &["a"]);
    router.apply_server_changes(at(0), unreadable("a"));
    router.apply_server_changes(at(500), unreadable("a"));

    router.tick(at(1_900));
    let kept = router.servers().find("a").is_some();
    router.tick(at(2_000));
    let dropped = router.servers().find("a").is_none();

    assert!(kept && dropped);
}

#[test]
fn readable_entry_ends_the_wait_for_one() {
    let mut router = host_before("h1", &["a"]);
    router.apply_server_changes(at(0), unreadable("a"));

    router.upsert_server(at(900), server("a", "orders", "east-a", 1));
    router.tick(at(5_000));

    assert!(router.servers().find("a").is_some());
}

#[test]
fn removed_entry_is_gone_though_it_was_unreadable() {
    let mut router = host_before("h1", &["a"]);
    router.apply_server_changes(at(0), unreadable("a"));

    router.remove_server(at(100), "a");

    assert!(router.servers().find("a").is_none());
}

#[test]
fn unreadable_entry_of_an_unknown_server_adds_none() {
    let mut router = host_before("h1", &["a"]);

    let changes = router.replace_servers(
        at(0),
        vec![server("a", "orders", "east-a", 1)],
        &[Arc::from("holder"), Arc::from("odd")],
    );

    let ids: Vec<&str> = changes.unreadable.iter().map(|id| &**id).collect();
    assert_eq!((changes.removed.len(), ids), (0, vec!["holder", "odd"]));
    assert!(router.servers().find("holder").is_some());
    assert!(router.servers().find("odd").is_none());
}

// Guards against a server that is cold for ever, or taken for another life, because of one odd entry.
#[test]
fn odd_entry_neither_hides_the_life_of_a_server_nor_keeps_it_cold() {
    let mut router = host_before("h1", &["a"]);
    let odd = ServerEntry {
        warmup_left: Duration::from_millis(u64::MAX),
        ..server("a", "orders", "east-a", 1)
    };
    let nameless_life = ServerEntry {
        start_id: None,
        draining: true,
        ..server("a", "orders", "east-a", 1)
    };

    router.upsert_server(at(0), odd);
    router.upsert_server(at(10), nameless_life);

    let state = router.servers().life("a", Some(1)).unwrap();
    assert!(state.is_cold(at(1_000)) && !state.is_cold(at(601_000)));
    assert!(!state.is_leaving());
}
