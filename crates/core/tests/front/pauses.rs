//! Servers that turn requests away and ask to be sent nothing for some time.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    AttemptOutcome, Credentials, RefusalCause, RoutePlan, RouteRefusal, Router, ServerSignals,
    Target,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

use crate::fixture::{host_before, server};

const TIME_LEFT: Duration = Duration::from_secs(2);
/// Time after a response that asks for a pause in which requests may still arrive.
const TRANSIT_MS: u64 = 500;
/// Requests of one host that may reach the server within a pause.
const ALLOWED_ARRIVALS: usize = 2;

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

fn plan(router: &mut Router, path: &str) -> RoutePlan {
    router
        .plan(at(0), "shop", path, Credentials::default())
        .unwrap()
}

fn select(router: &mut Router, now: Time, plan: &RoutePlan) -> Result<Target, RouteRefusal> {
    router.select_server(now, plan, Some(7), &[], 0, TIME_LEFT)
}

/// Lets the server of a request turn it away for some time.
fn turn_away(router: &mut Router, now: Time, target: &Target, pause: Duration) {
    let signals = ServerSignals {
        pause: Some(pause),
        ..ServerSignals::default()
    };
    router.record_signals(now, &target.entry, &signals);
    router.record_outcome(now, target, AttemptOutcome::NotRun, None);
}

fn answer(router: &mut Router, now: Time, target: &Target) {
    let outcome = AttemptOutcome::Answered { success: true };
    router.record_outcome(now, target, outcome, None);
}

// Guards against BUDGET: a server that had asked a host for a pause got requests from it in that time.
#[parameterized(
    without_keys = { "/o/" },
    with_keys = { "/k/" },
)]
fn paused_server_gets_no_request_and_callers_are_told_when_to_return(path: &str) {
    let mut router = host_before("h1", &["a"]);
    let plan = plan(&mut router, path);
    let target = select(&mut router, at(0), &plan).unwrap();

    turn_away(&mut router, at(0), &target, Duration::from_secs(3));

    for millis in (10..3_000).step_by(10) {
        let refusal = select(&mut router, at(millis), &plan).unwrap_err();
        assert_eq!(refusal.cause, RefusalCause::Paused);
        let left = Duration::from_millis(3_000 - millis);
        let after = refusal.retry_after.unwrap();
        let spread = Duration::from_millis(1_000);
        assert!(
            after >= left && after <= left + spread,
            "{after:?} of {left:?}"
        );
    }
    assert!(select(&mut router, at(4_000), &plan).is_ok());
}

#[test]
fn other_servers_take_the_requests_of_a_paused_one() {
    let mut router = host_before("h1", &["a", "b"]);
    let plan = plan(&mut router, "/o/");
    let target = select(&mut router, at(0), &plan).unwrap();

    turn_away(&mut router, at(0), &target, Duration::from_secs(3));

    for millis in (10..3_000).step_by(10) {
        let next = select(&mut router, at(millis), &plan).unwrap();
        assert_ne!(next.entry.id, target.entry.id);
        answer(&mut router, at(millis), &next);
    }
}

// Guards against BUDGET: a request that was selected before the response that asked for a pause, and
// waited for a connection, was sent in the pause.
#[test]
fn request_that_waits_is_not_sent_in_a_pause() {
    let mut router = host_before("h1", &["a"]);
    let plan = plan(&mut router, "/o/");
    let first = select(&mut router, at(0), &plan).unwrap();
    let second = select(&mut router, at(0), &plan).unwrap();

    turn_away(&mut router, at(10), &first, Duration::from_secs(3));

    assert!(!router.may_still_send(at(20), &second));
}

// Guards against BUDGET: a repeat that a pause rules out used up the budget for retries.
#[test]
fn repeat_that_is_refused_for_a_pause_costs_no_retry() {
    let mut router = host_before("h1", &["a"]);
    let plan = plan(&mut router, "/k/");
    let target = select(&mut router, at(0), &plan).unwrap();
    turn_away(&mut router, at(0), &target, Duration::from_secs(3));

    for _ in 0..1_000 {
        let repeat = router.select_server(at(10), &plan, Some(7), &[], 1, TIME_LEFT);
        assert_eq!(repeat.unwrap_err().cause, RefusalCause::Paused);
    }

    let repeat = router.select_server(at(5_000), &plan, Some(7), &[], 1, TIME_LEFT);
    assert!(repeat.is_ok());
}

#[test]
fn server_gets_one_request_at_a_time_after_a_pause_until_it_has_executed_one() {
    let mut router = host_before("h1", &["a"]);
    let plan = plan(&mut router, "/o/");
    let target = select(&mut router, at(0), &plan).unwrap();
    turn_away(&mut router, at(0), &target, Duration::from_secs(3));

    let probe = select(&mut router, at(5_000), &plan).unwrap();
    let early = select(&mut router, at(5_010), &plan).unwrap_err();
    answer(&mut router, at(5_100), &probe);
    let later: Vec<bool> = (0..3)
        .map(|_| select(&mut router, at(5_110), &plan).is_ok())
        .collect();

    assert_eq!(early.cause, RefusalCause::Busy);
    assert_eq!(later, [true; 3]);
}

// Guards against a server that takes itself out of service for ever by one odd response.
#[test]
fn pause_has_a_longest_time_and_ends_with_the_life_of_the_server() {
    let mut router = host_before("h1", &["a", "b"]);
    let plan = plan(&mut router, "/o/");
    let first = select(&mut router, at(0), &plan).unwrap();
    turn_away(&mut router, at(0), &first, Duration::MAX);
    let second = select(&mut router, at(0), &plan).unwrap();
    turn_away(&mut router, at(0), &second, Duration::MAX);

    let refused = select(&mut router, at(50_000), &plan).unwrap_err();
    router.upsert_server(at(50_000), server(&first.entry.id, "orders", "east-a", 2));
    let next_life = select(&mut router, at(55_000), &plan).unwrap();
    let after = router.select_server(at(62_000), &plan, None, &[next_life.server], 0, TIME_LEFT);

    assert_eq!(refused.cause, RefusalCause::Paused);
    assert_eq!(next_life.entry.id, first.entry.id);
    assert_eq!(after.unwrap().entry.id, second.entry.id);
}

#[test]
fn hosts_return_at_different_times_after_a_pause() {
    let returns: Vec<u64> = (0..12)
        .map(|number| {
            let mut router = host_before(&format!("h{number}"), &["a"]);
            let plan = plan(&mut router, "/o/");
            let target = select(&mut router, at(0), &plan).unwrap();
            turn_away(&mut router, at(0), &target, Duration::from_secs(4));
            let mut times = (4_000..6_000).step_by(10);
            times
                .find(|millis| select(&mut router, at(*millis), &plan).is_ok())
                .unwrap()
        })
        .collect();

    let (first, last) = (returns.iter().min().unwrap(), returns.iter().max().unwrap());
    assert!(last - first >= 500, "{returns:?}");
}

/// Runs twelve hosts before servers that are in need by turns and ask each host for pauses. Responses
/// take time, hosts restart, entries lapse. Returns the pauses in which a host sent too much.
fn broken_pauses(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let ids = ["a", "b", "c"];
    let mut hosts: Vec<Router> = (0..12)
        .map(|number| host_before(&format!("h{number}"), &ids))
        .collect();
    let mut needs: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
    // Requests on their way to a server: arrival, host, target.
    let mut sent: Vec<(u64, usize, Target)> = Vec::new();
    // Responses on their way to a host: arrival, host, target, pause.
    let mut answers: Vec<(u64, usize, Target, Option<u64>)> = Vec::new();
    // Pauses: host, server, asked at, end, arrivals that count.
    let mut pauses: Vec<(usize, String, u64, u64, usize)> = Vec::new();
    let mut broken = Vec::new();
    for now in (0..20_000).step_by(5) {
        if rng.random_ratio(1, 300) {
            let id = ids[rng.random_range(0..ids.len())];
            needs.insert(id, (now, now + rng.random_range(500..5_000)));
        }
        let (arrived, rest) = sent.into_iter().partition(|(when, ..)| *when <= now);
        sent = rest;
        for (_, host, target) in arrived {
            let id = target.entry.id.to_string();
            for pause in pauses
                .iter_mut()
                .filter(|pause| pause.0 == host && pause.1 == id)
            {
                if now > pause.2 + TRANSIT_MS && now < pause.3 {
                    pause.4 += 1;
                }
            }
            let need = needs
                .get(id.as_str())
                .filter(|(from, to)| (*from..*to).contains(&now));
            let pause = need.map(|_| rng.random_range(600..4_000));
            if let Some(millis) = pause {
                pauses.push((host, id, now, now + millis, 0));
            }
            let takes = if pause.is_some() { 1..60 } else { 50..1_500 };
            answers.push((now + rng.random_range(takes), host, target, pause));
        }
        let (due, rest) = answers.into_iter().partition(|(when, ..)| *when <= now);
        answers = rest;
        for (_, host, target, pause) in due {
            match pause {
                Some(millis) => {
                    let pause = Duration::from_millis(millis);
                    turn_away(&mut hosts[host], at(now), &target, pause);
                }
                None => answer(&mut hosts[host], at(now), &target),
            }
        }
        let number = rng.random_range(0..hosts.len());
        let id = ids[rng.random_range(0..ids.len())];
        match rng.random_range(0..500) {
            0 => hosts[number].remove_server(at(now), id),
            1 => hosts[number].upsert_server(at(now), server(id, "orders", "east-a", 1)),
            2 => {
                hosts[number] = host_before(&format!("h{number}"), &ids);
                sent.retain(|(_, host, _)| *host != number);
                answers.retain(|(_, host, ..)| *host != number);
                pauses.retain(|pause| pause.0 != number);
            }
            _ => {}
        }
        let plan = plan(&mut hosts[number], "/o/");
        if let Ok(target) = select(&mut hosts[number], at(now), &plan) {
            sent.push((now + rng.random_range(1..150), number, target));
        }
        let (over, rest) = pauses.into_iter().partition(|pause| pause.3 <= now);
        pauses = rest;
        broken.extend(
            over.into_iter()
                .filter(|pause| pause.4 > ALLOWED_ARRIVALS)
                .map(|pause| format!("seed {seed}: {pause:?}")),
        );
    }
    broken
}

// Guards against BUDGET, over many hosts: responses that take time, entries that lapse, pauses that
// overlap.
#[test]
fn no_host_sends_more_than_two_requests_in_a_pause() {
    let broken: Vec<String> = (0..100).flat_map(broken_pauses).collect();

    assert_eq!(broken, Vec::<String>::new());
}
