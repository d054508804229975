//! Servers that say in their responses that they leave.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    AttemptOutcome, Credentials, Departure, RefusalCause, RoutePlan, Router, ServerEntry,
    ServerSignals, Target,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

use crate::fixture::{KEYED, host_before, server};

/// Time within which a server that leaves must stop getting requests.
const DRAIN: Duration = Duration::from_millis(2_500);
const TIME_LEFT: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

fn leaving() -> ServerSignals {
    ServerSignals {
        leaving: true,
        ..ServerSignals::default()
    }
}

fn plan(router: &mut Router, path: &str) -> RoutePlan {
    router
        .plan(at(0), "shop", path, Credentials::default())
        .unwrap()
}

/// The server that a request is sent to, which answers at once.
fn sent_to(router: &mut Router, now: Time, plan: &RoutePlan) -> Result<Target, RefusalCause> {
    let target = router
        .select_server(now, plan, Some(7), &[], 0, TIME_LEFT)
        .map_err(|refusal| refusal.cause)?;
    let outcome = AttemptOutcome::Answered { success: true };
    router.record_outcome(now, &target, outcome, None);
    Ok(target)
}

fn name_of(target: Result<Target, RefusalCause>) -> Result<String, RefusalCause> {
    target.map(|target| target.entry.id.to_string())
}

// Guards against DRAIN: hosts sent requests to servers whose responses had said that they leave.
#[test]
fn other_servers_take_the_requests_of_one_that_leaves_at_once() {
    let mut router = host_before("h1", &["a", "b"]);
    let plan = plan(&mut router, "/o/");
    let first = sent_to(&mut router, at(0), &plan).unwrap();

    router.record_signals(at(10), &first.entry, &leaving());

    for millis in 20..60 {
        let next = sent_to(&mut router, at(millis), &plan).unwrap();
        assert_ne!(next.entry.id, first.entry.id);
    }
}

// Guards against DRAIN: a server that no other can replace was sent requests without end.
#[parameterized(
    without_keys = { "/o/", "a", RefusalCause::NoServer },
    with_keys = { "/k/", "holder", RefusalCause::NoOwner },
)]
fn irreplaceable_server_gets_requests_until_the_drain_time_is_over(
    path: &str,
    id: &str,
    refused: RefusalCause,
) {
    let mut router = host_before("h1", &["a"]);
    let plan = plan(&mut router, path);
    let target = sent_to(&mut router, at(0), &plan).unwrap();
    router.record_signals(at(0), &target.entry, &leaving());

    let early = name_of(sent_to(&mut router, at(2_000), &plan));
    let late = name_of(sent_to(&mut router, at(2_500), &plan));

    assert_eq!(early, Ok(id.to_owned()));
    assert_eq!(late, Err(refused));
}

// Guards against DRAIN: a request that was selected for a server before its response said that it
// leaves, and waited for a connection, was sent when the drain time was over.
#[test]
fn request_that_waits_is_not_sent_after_the_drain_time() {
    let mut router = host_before("h1", &["a", "b"]);
    let plan = plan(&mut router, "/o/");
    let target = sent_to(&mut router, at(0), &plan).unwrap();
    router.record_signals(at(10), &target.entry, &leaving());

    let may_send = [at(100), at(2_600)].map(|now| router.may_still_send(now, &target));

    assert_eq!(may_send, [true, false]);
}

// Guards against DRAIN: a leave was forgotten when the store's entry lapsed, was restored from a copy
// or changed, though the process was the same.
#[parameterized(
    unchanged_entry = { false, false, 1 },
    lapsed_entry = { true, false, 1 },
    drained_entry_that_is_restored = { false, true, 1 },
    drained_entry_that_lapses_and_is_restored = { true, true, 1 },
)]
fn leave_outlasts_the_entry(lapses: bool, drains: bool, start_id: u64) {
    let mut router = host_before("h1", &["a"]);
    let plan = plan(&mut router, "/o/");
    let target = sent_to(&mut router, at(0), &plan).unwrap();
    if drains {
        let mut entry = target.entry.clone();
        entry.draining = true;
        router.upsert_server(at(0), entry);
    } else {
        router.record_signals(at(0), &target.entry, &leaving());
    }

    if lapses {
        router.remove_server(at(3_000), "a");
    }
    router.upsert_server(at(4_000), server("a", "orders", "east-a", start_id));

    assert_eq!(
        sent_to(&mut router, at(4_100), &plan).unwrap_err(),
        RefusalCause::NoServer
    );
}

#[test]
fn response_that_arrives_after_the_entry_was_removed_counts_when_it_returns() {
    let mut router = host_before("h1", &["a"]);
    let plan = plan(&mut router, "/o/");
    let target = sent_to(&mut router, at(0), &plan).unwrap();
    router.remove_server(at(10), "a");

    router.record_signals(at(20), &target.entry, &leaving());
    router.upsert_server(at(3_000), server("a", "orders", "east-a", 1));

    assert!(sent_to(&mut router, at(3_100), &plan).is_err());
}

// Guards against a server that is taken out for ever: a leave ends with the life that told it.
#[test]
fn next_life_of_a_server_that_left_gets_requests() {
    let mut router = host_before("h1", &["a"]);
    let plan = plan(&mut router, "/o/");
    let target = sent_to(&mut router, at(0), &plan).unwrap();
    router.record_signals(at(0), &target.entry, &leaving());

    router.upsert_server(at(5_000), server("a", "orders", "east-a", 2));
    router.record_signals(at(5_010), &target.entry, &leaving());

    assert_eq!(
        name_of(sent_to(&mut router, at(9_000), &plan)),
        Ok("a".to_owned())
    );
}

// Guards against a server that is taken out by another one that uses its address.
#[test]
fn misdirected_request_tells_nothing_where_another_server_may_have_answered() {
    let mut router = host_before("h1", &["a"]);
    let mut other = server("other", KEYED, "east-a", 1);
    let holder = server("holder", KEYED, "east-a", 1);
    assert!(router.may_misdirect(&holder));

    other.address = holder.address;
    router.upsert_server(at(0), other);

    assert!(!router.may_misdirect(&holder));
    assert!(!router.may_misdirect(&server("a", "orders", "east-a", 1)));
}

/// A server before twelve hosts, as the hosts' callers and the store's entry see it.
struct LeavingServer {
    id: String,
    life: u64,
    leaves_at: u64,
}

/// When each host passed on a response that says that a life of a server leaves.
type Told = BTreeMap<(usize, String, u64), u64>;

/// Runs twelve hosts before servers that leave and return, with late responses, entries that lapse
/// and are restored, hosts that restart, and no store; returns the requests that came too late.
fn late_requests(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ids = ["a", "b", "c", "d"];
    let mut hosts: Vec<Router> = (0..12)
        .map(|n| host_before(&format!("h{n}"), &ids))
        .collect();
    let mut servers: Vec<LeavingServer> = ids
        .iter()
        .map(|id| LeavingServer {
            id: (*id).to_owned(),
            life: 1,
            leaves_at: rng.random_range(0..8_000),
        })
        .collect();
    let mut told = Told::new();
    let mut running: Vec<(u64, usize, Target)> = Vec::new();
    let mut late = Vec::new();
    for now in (0..30_000).step_by(10) {
        for server in &mut servers {
            if now >= server.leaves_at + 9_000 {
                server.life += 1;
                server.leaves_at = now + rng.random_range(1_000..8_000);
                let entry = server_entry(server);
                let tell = |router: &mut Router| router.upsert_server(at(now), entry.clone());
                hosts.iter_mut().for_each(tell);
            }
        }
        let (due, rest) = running.into_iter().partition(|(when, ..)| *when <= now);
        running = rest;
        for (_, number, target) in due {
            let server = servers.iter().find(|server| *server.id == *target.entry.id);
            let server = server.expect("requests go to known servers");
            let outcome = AttemptOutcome::Answered { success: true };
            hosts[number].record_outcome(at(now), &target, outcome, None);
            let says_it = Some(server.life) == target.entry.start_id && now >= server.leaves_at;
            if says_it {
                hosts[number].record_signals(at(now), &target.entry, &leaving());
                let key = (number, server.id.clone(), server.life);
                told.entry(key).or_insert(now);
            }
        }
        let number = rng.random_range(0..hosts.len());
        let server = &servers[rng.random_range(0..servers.len())];
        match rng.random_range(0..400) {
            0 => hosts[number].remove_server(at(now), &server.id),
            1 => hosts[number].upsert_server(at(now), server_entry(server)),
            2 => {
                hosts[number] = host_before(&format!("h{number}"), &[]);
                for server in &servers {
                    hosts[number].upsert_server(at(now), server_entry(server));
                }
                told.retain(|(host, ..), _| *host != number);
                running.retain(|(_, host, _)| *host != number);
            }
            3 => {
                for departure in hosts[number].take_departure_reports() {
                    let tell = |router: &mut Router| router.apply_departure(at(now), &departure);
                    hosts.iter_mut().for_each(tell);
                }
            }
            _ => {}
        }
        let router = &mut hosts[number];
        let plan = plan(router, "/o/");
        let Ok(target) = router.select_server(at(now), &plan, None, &[], 0, TIME_LEFT) else {
            continue;
        };
        let id = target.entry.id.to_string();
        let life = target.entry.start_id.unwrap_or_default();
        let since = told.get(&(number, id.clone(), life));
        if since.is_some_and(|since| now > since + DRAIN.as_millis() as u64) {
            late.push(format!(
                "seed {seed}, {now} ms: host {number} to {id}/{life}"
            ));
        }
        running.push((now + rng.random_range(20..2_000), number, target));
    }
    late
}

fn server_entry(server: &LeavingServer) -> ServerEntry {
    self::server(&server.id, "orders", "east-a", server.life)
}

// Guards against DRAIN, over many hosts: late and contradictory responses, entries that lapse and are
// restored, hosts that restart and hear of a leave from others.
#[test]
fn no_host_sends_to_a_leaving_server_after_the_drain_time() {
    let late: Vec<String> = (0..200).flat_map(late_requests).collect();

    assert_eq!(late, Vec::<String>::new());
}

#[test]
fn departure_is_told_once_and_known_to_those_who_are_told() {
    let (mut first, mut second) = (
        host_before("h1", &["a", "b"]),
        host_before("h2", &["a", "b"]),
    );
    let entry = server("a", "orders", "east-a", 1);
    first.record_signals(at(0), &entry, &leaving());
    first.record_signals(at(50), &entry, &leaving());

    let reports = first.take_departure_reports();
    for departure in &reports {
        second.apply_departure(at(100), departure);
    }

    let expected = Departure {
        server: Arc::from("a"),
        start_id: Some(1),
    };
    assert_eq!(reports, std::slice::from_ref(&expected));
    assert!(first.take_departure_reports().is_empty());
    assert_eq!(second.departures(at(0)), [expected]);
    assert_eq!(second.departures(at(200)), []);
    let plan = plan(&mut second, "/o/");
    let chosen: BTreeSet<String> = (200..240)
        .map(|millis| name_of(sent_to(&mut second, at(millis), &plan)).unwrap())
        .collect();
    assert_eq!(chosen, BTreeSet::from(["b".to_owned()]));
}
