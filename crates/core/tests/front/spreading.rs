//! Requests without keys from many hosts before servers of different speeds.
//!
//! The pattern is that of a large site under heavy load: a host sends a few requests per second, and
//! a given server answers it once in many seconds. Today's selection left servers without a request
//! for a whole run while others rejected what they were sent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    AttemptOutcome, Credentials, LoadReport, RoutePlan, Router, ServerEntry, Target,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

use crate::fixture::{config, route, router_in, server};

const HOSTS: usize = 100;
const SERVERS: usize = 84;
const SLOTS: usize = 4;
/// Requests that a server holds; it rejects what comes beyond them.
const SERVER_CAPACITY: usize = 8;
const WORK_MS: u64 = 800;
const TARGET_MS: u64 = 2_400;

const TIMEOUT_MS: u64 = 8_000;
/// Requests that a server gets on average while it is measured.
const MEASURED_REQUESTS: f64 = 100.0;
/// Time in which the hosts learn, which is not measured.
const LEARNING_MS: u64 = 10_000;
/// The domains and the hosts of a hundred in each; the servers are spread evenly over them.
const DOMAINS: [(&str, usize); 3] = [("east-a", 40), ("east-b", 30), ("west-a", 30)];
/// Relative speeds of the servers.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];

struct Running {
    host: usize,
    target: Target,
    sent: u64,
    /// When it ends; `None` while it waits for a slot.
    ends: Option<u64>,
}

struct Backend {
    entry: ServerEntry,
    speed: f64,
    held: Vec<Running>,
    requests: u32,
}

struct Simulation {
    rng: SmallRng,
    hosts: Vec<(Router, &'static str)>,
    plan: RoutePlan,
    backends: BTreeMap<Arc<str>, Backend>,
    sent: u32,
    in_target: u32,
    rejected: u32,
    refused: u32,
}

/// What a run has shown.
#[derive(Debug)]
struct Outcome {
    idle: usize,
    /// Requests at the busiest server, relative to its share by speed.
    busiest: f64,
    in_target: f64,
    rejected: f64,
    refused: f64,
}

fn domain_of(index: usize, counts: &[(&'static str, usize)]) -> &'static str {
    let mut left = index;
    for (domain, count) in counts {
        if left < *count {
            return domain;
        }
        left -= count;
    }
    counts[0].0
}

impl Simulation {
    fn new(seed: u64, overload_control: bool) -> Self {
        let now = Time::from_millis(1_000);
        let per_domain = SERVERS / DOMAINS.len();
        let server_domains = DOMAINS.map(|(domain, _)| (domain, per_domain));
        let backends: BTreeMap<Arc<str>, Backend> = (0..SERVERS)
            .map(|number| {
                let domain = domain_of(number, &server_domains);
                let entry = server(&format!("s{number}"), "orders", domain, 1);
                let backend = Backend {
                    entry: entry.clone(),
                    speed: SPEEDS[number % SPEEDS.len()],
                    held: Vec::new(),
                    requests: 0,
                };
                (entry.id, backend)
            })
            .collect();
        let mut plain = route("plain", "/o/", "orders");
        plain.target_latency = Duration::from_millis(TARGET_MS);
        let config = Arc::new(config(1, vec![plain]));
        let entries: Vec<ServerEntry> = backends.values().map(|one| one.entry.clone()).collect();
        let host = |number: usize| {
            let domain = domain_of(number, &DOMAINS);
            let mut router = router_in(&format!("h{number}"), domain, overload_control);
            router.update_config(config.clone());
            router.set_hosts(HOSTS);
            router.replace_servers(now, entries.clone(), &[]);
            (router, domain)
        };
        let mut hosts: Vec<_> = (0..HOSTS).map(host).collect();
        let plan = hosts[0].0.plan(now, "shop", "/o/", Credentials::default());
        Self {
            rng: SmallRng::seed_from_u64(seed),
            plan: plan.unwrap(),
            hosts,
            backends,
            sent: 0,
            in_target: 0,
            rejected: 0,
            refused: 0,
        }
    }

    fn run(mut self, load: f64) -> Outcome {
        let capacity: f64 = self.backends.values().map(|one| one.speed).sum();
        let per_millisecond = load * capacity * SLOTS as f64 / WORK_MS as f64;
        let measured_ms = MEASURED_REQUESTS * SERVERS as f64 / per_millisecond;
        for now in 1_000..LEARNING_MS + measured_ms as u64 {
            self.end_requests(now);
            let extra = self.rng.random_bool(per_millisecond.fract());
            for _ in 0..per_millisecond as u32 + u32::from(extra) {
                self.send(now);
            }
        }
        let total: u32 = self.backends.values().map(|one| one.requests).sum();
        let share = |one: &Backend| f64::from(total) * one.speed / capacity;
        let relative = self
            .backends
            .values()
            .map(|one| f64::from(one.requests) / share(one));
        let of_sent = |count: u32| f64::from(count) / f64::from(self.sent);
        Outcome {
            idle: self
                .backends
                .values()
                .filter(|one| one.requests == 0)
                .count(),
            busiest: relative.fold(0.0, f64::max),
            in_target: of_sent(self.in_target),
            rejected: of_sent(self.rejected),
            refused: of_sent(self.refused),
        }
    }

    fn send(&mut self, now: u64) {
        let host = self.rng.random_range(0..HOSTS);
        let is_measured = u32::from(now > LEARNING_MS);
        self.sent += is_measured;
        let time = Time::from_millis(now);
        let left = Duration::from_millis(TIMEOUT_MS);
        let router = &mut self.hosts[host].0;
        let mut excluded = Vec::new();
        for sends in 0..2 {
            let selected = router.select_server(time, &self.plan, None, &excluded, sends, left);
            let Ok(target) = selected else {
                self.refused += is_measured;
                return;
            };
            let backend = self.backends.get_mut(&target.entry.id).unwrap();
            if backend.held.len() < SERVER_CAPACITY {
                backend.requests += is_measured;
                backend.held.push(Running {
                    host,
                    target,
                    sent: now,
                    ends: None,
                });
                return;
            }
            self.rejected += is_measured;
            excluded.push(target.server);
            let report = LoadReport {
                running: SLOTS as u32,
                waiting: (SERVER_CAPACITY - SLOTS) as u32,
                slots: SLOTS as u32,
                duration_percent: None,
            };
            router.record_outcome(time, &target, AttemptOutcome::NotRun, Some(report));
        }
    }

    fn end_requests(&mut self, now: u64) {
        let time = Time::from_millis(now);
        for backend in self.backends.values_mut() {
            while let Some(index) = backend.held.iter().position(|one| one.ends == Some(now)) {
                let ended = backend.held.remove(index);
                let running = backend.held.iter().filter(|one| one.ends.is_some()).count();
                let report = LoadReport {
                    running: running as u32,
                    waiting: (backend.held.len() - running) as u32,
                    slots: SLOTS as u32,
                    duration_percent: None,
                };
                let (router, domain) = &mut self.hosts[ended.host];
                let outcome = AttemptOutcome::Answered { success: true };
                router.record_outcome(time, &ended.target, outcome, Some(report));
                let distance = distance_ms(domain, &backend.entry.domain);
                let is_in_target = now - ended.sent + distance <= TARGET_MS;
                self.in_target += u32::from(is_in_target && ended.sent > LEARNING_MS);
            }
            let free = SLOTS - backend.held.iter().filter(|one| one.ends.is_some()).count();
            let waiting = backend.held.iter_mut().filter(|one| one.ends.is_none());
            for one in waiting.take(free) {
                let work = self.rng.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
                one.ends = Some(now + (work as f64 / backend.speed) as u64);
            }
        }
    }
}

/// Time in which a request and its answer cross between two domains.
fn distance_ms(from: &str, to: &str) -> u64 {
    if from == to {
        0
    } else if from[..4] == to[..4] {
        4
    } else {
        60
    }
}

/// Guards against hosts that send all requests to the same few servers, each its own.
#[parameterized(nearly_idle = { 0.1, 2.0 }, calm = { 0.3, 2.0 }, busy = { 0.6, 1.8 })]
fn no_server_is_idle_while_another_has_much_more_than_its_share(load: f64, bound: f64) {
    let before = Simulation::new(1, false).run(load);
    let after = Simulation::new(1, true).run(load);
    println!("load {load}: {before:.3?} before, {after:.3?} after");

    assert_eq!(after.idle, 0, "{after:?}");
    assert!(after.busiest <= bound, "{after:?}, before {before:?}");
    assert!(
        after.busiest < before.busiest,
        "{after:?}, before {before:?}"
    );
}

/// Guards against a spread that ignores what a host knows of full servers.
#[parameterized(busy = { 0.8 }, nearly_full = { 0.95 }, beyond_capacity = { 1.1 })]
fn no_fewer_requests_are_answered_in_time_near_capacity(load: f64) {
    let before = Simulation::new(1, false).run(load);
    let after = Simulation::new(1, true).run(load);
    println!("load {load}: {before:.3?} before, {after:.3?} after");

    assert_eq!(after.idle, 0, "{after:?}");
    assert!(after.rejected + after.refused <= before.rejected + before.refused + 0.03);
    assert!(
        after.in_target >= before.in_target - 0.02,
        "{after:?}, before {before:?}"
    );
}

/// Guards against hosts that, after a surge, take all servers for full and so never hear otherwise.
#[test]
fn a_host_that_has_heard_of_full_servers_only_tries_again() {
    let mut host = router_in("h1", "east-a", true);
    host.update_config(Arc::new(config(1, vec![route("plain", "/o/", "orders")])));
    host.set_hosts(HOSTS);
    let ids: Vec<String> = (0..20).map(|number| format!("s{number}")).collect();
    let entries = ids.iter().map(|id| server(id, "orders", "east-a", 1));
    host.replace_servers(Time::from_millis(1_000), entries.collect(), &[]);
    let credentials = Credentials::default();
    let plan = host.plan(Time::from_millis(1_000), "shop", "/o/", credentials);
    let plan = plan.unwrap();
    let left = Duration::from_secs(30);
    let full = LoadReport {
        running: 4,
        waiting: 30,
        slots: 4,
        duration_percent: None,
    };
    let mut sent = 0;
    while let Ok(target) =
        host.select_server(Time::from_millis(2_000 + sent), &plan, None, &[], 0, left)
    {
        sent += 1;
        let outcome = AttemptOutcome::Answered { success: true };
        host.record_outcome(
            Time::from_millis(2_000 + sent),
            &target,
            outcome,
            Some(full),
        );
        assert!(sent < 1_000, "the host never takes the servers for full");
    }

    let later = Time::from_millis(12_000);
    let again = host.select_server(later, &plan, None, &[], 0, left);

    assert!(again.is_ok(), "{again:?}");
}
