//! Limits on requests per second that servers name, before many hosts.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    AttemptOutcome, Credentials, DemandShares, LimitSignal, RateLimit, RateLimitReport, RatePool,
    RefusalCause, RoutePlan, Router, RoutingSpan, RoutingTable, ServerSignals, Target,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

use crate::fixture::{KEYED, config, route, router, router_of, server};

const SERVER: &str = "s1";
const START_MS: u64 = 1_000;
const RUN_MS: u64 = 30_000;
/// Time from which the use of the limit is measured.
const LEARNING_MS: u64 = 10_000;
const HEARTBEAT_MS: u64 = 500;
/// Longest time that a request takes to a server, with the time to open a connection.
const MAX_TRANSIT_MS: u64 = 280;
/// Servers of the service, which share its keys; one of them names the limit.
const SERVERS: u32 = 20;
/// Time that a request takes.
const WORK_MS: u64 = 100;
/// Time after its first response with the limit from which the requests of a host count.
const TOLD_MS: u64 = 500;
/// Any time of this length counts.
const WINDOW_MS: u64 = 4_000;
/// Requests per host and second in proportion, as callers happen to choose hosts.
const UNEVEN: [f64; 12] = [
    45.0, 45.0, 45.0, 75.0, 75.0, 61.0, 61.0, 61.0, 64.0, 64.0, 154.0, 152.0,
];

/// Records that a response of a server names a limit, or none.
fn name_limit(router: &mut Router, target: &Target, limit: Option<RateLimit>) {
    let signals = ServerSignals {
        limit: limit.map_or(LimitSignal::Ended, LimitSignal::Named),
        ..ServerSignals::default()
    };
    router.record_signals(target.sent, &target.entry, &signals);
}

/// Most requests that a server with a limit may get in any window.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

/// The leader's part: it counts demand and what it has given out.
struct Leader {
    demand: DemandShares,
    pool: RatePool,
}

impl Leader {
    fn new(now: u64) -> Self {
        Self {
            demand: DemandShares::new(Time::from_millis(now)),
            pool: RatePool::new(Time::from_millis(now)),
        }
    }
}

/// Hosts before one server that names a limit and holds all keys.
struct Simulation {
    rng: SmallRng,
    weights: Vec<f64>,
    hosts: Vec<Router>,
    plan: RoutePlan,
    limit: RateLimit,
    /// When the server begins to name its limit.
    named: u64,
    leader: Option<Leader>,
    running: VecDeque<(u64, usize, Target)>,
    sent: Vec<u64>,
    /// Requests that count: those of hosts that have known of the limit for long enough.
    counted: Vec<(u64, usize)>,
    /// When each host first got a response with the limit.
    told: BTreeMap<usize, u64>,
    arrivals: BTreeMap<usize, u32>,
}

impl Simulation {
    fn new(seed: u64, weights: &[f64], limit: f64) -> Self {
        let entry = Arc::new(config(1, vec![route("read", "/r/", KEYED)]));
        let span = RoutingSpan {
            from: 0,
            to: u16::MAX,
            server: Some(Arc::from(SERVER)),
        };
        let table = RoutingTable {
            term: 1,
            version: 1,
            services: [(Arc::from(KEYED), vec![span])].into(),
        };
        let host = |number: usize| {
            let mut router = router_of(&format!("h{number}"));
            let mut entry_of_server = server(SERVER, KEYED, "east-a", 1);
            entry_of_server.slots = 1_000;
            router.update_config(entry.clone());
            router.set_hosts(weights.len());
            router.replace_servers(Time::from_millis(START_MS), vec![entry_of_server], &[]);
            router.update_table(table.clone());
            router
        };
        let mut hosts: Vec<Router> = (0..weights.len()).map(host).collect();
        let plan = hosts[0].plan(
            Time::from_millis(START_MS),
            "shop",
            "/r/x",
            Credentials::default(),
        );
        Self {
            rng: SmallRng::seed_from_u64(seed),
            weights: weights.to_vec(),
            hosts,
            plan: plan.unwrap(),
            limit: RateLimit::new(limit).unwrap(),
            named: 0,
            leader: Some(Leader::new(0)),
            running: VecDeque::new(),
            sent: Vec::new(),
            counted: Vec::new(),
            told: BTreeMap::new(),
            arrivals: BTreeMap::new(),
        }
    }

    /// Runs from one time to another with `rate` requests per second.
    fn run(&mut self, from: u64, to: u64, rate: f64) {
        for now in from..to {
            self.answer(now);
            if now % HEARTBEAT_MS == 0 {
                self.send_heartbeats(now);
            }
            if self.rng.random_bool(rate / 1_000.0) {
                let host = self.choose_host();
                self.request(now, host);
                for _ in 0..SERVERS {
                    let host = self.choose_host();
                    *self.arrivals.entry(host).or_default() += 1;
                }
            }
        }
    }

    fn choose_host(&mut self) -> usize {
        let mut left = self.rng.random_range(0.0..self.weights.iter().sum());
        self.weights
            .iter()
            .position(|weight| {
                left -= weight;
                left < 0.0
            })
            .unwrap_or_default()
    }

    fn answer(&mut self, now: u64) {
        while self.running.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, host, target)) = self.running.pop_front() else {
                return;
            };
            let limit = Some(self.limit).filter(|_| now >= self.named);
            if limit.is_some() {
                self.told.entry(host).or_insert(now);
            }
            let router = &mut self.hosts[host];
            name_limit(router, &target, limit);
            let outcome = AttemptOutcome::Answered { success: true };
            router.record_outcome(Time::from_millis(now), &target, outcome, None);
        }
    }

    fn send_heartbeats(&mut self, now: u64) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let time = Time::from_millis(now);
        let service = Arc::from(KEYED);
        for (host, count) in std::mem::take(&mut self.arrivals) {
            leader
                .demand
                .record(time, &format!("h{host}"), &service, count);
        }
        for (number, host) in self.hosts.iter_mut().enumerate() {
            host.update_demand_shares(time, leader.demand.tell(time, &format!("h{number}")));
        }
    }

    fn request(&mut self, now: u64, host: usize) {
        let time = Time::from_millis(now);
        let mut chosen = self.select(now, host);
        if matches!(chosen, Err(RefusalCause::Limited)) && self.ask_leader(time, host) {
            chosen = self.select(now, host);
        }
        if let Ok(target) = chosen {
            let now = now + self.rng.random_range(0..MAX_TRANSIT_MS);
            let told = self.told.get(&host);
            if told.is_some_and(|told| now - told >= TOLD_MS) {
                self.counted.push((now, host));
            }
            self.sent.push(now);
            self.running.push_back((now + WORK_MS, host, target));
        }
    }

    fn select(&mut self, now: u64, host: usize) -> Result<Target, RefusalCause> {
        let (time, left) = (Time::from_millis(now), Duration::from_secs(2));
        let router = &mut self.hosts[host];
        let chosen = router.select_server(time, &self.plan, Some(7), &[], 0, left);
        chosen.map_err(|refusal| refusal.cause)
    }

    fn ask_leader(&mut self, now: Time, host: usize) -> bool {
        let router = &mut self.hosts[host];
        let report = router.negotiable_limit(now, &self.plan, Some(7));
        let (Some(report), Some(leader)) = (report, &mut self.leader) else {
            return false;
        };
        let hosts = self.weights.len();
        let divided = leader
            .demand
            .divided_requests(now, KEYED, self.limit, hosts);
        let reply = leader.pool.take(now, &report.server, self.limit, divided);
        router.record_allowance(now, &report.server, reply);
        reply.is_ok()
    }

    /// Most requests that count in any window.
    fn most_in_window(&self) -> usize {
        let times: Vec<u64> = self.counted.iter().map(|(at, _)| *at).collect();
        let count = |start: &u64| {
            let within = |at: &&u64| **at >= *start && **at < start + WINDOW_MS;
            times.iter().filter(within).count()
        };
        times.iter().map(count).max().unwrap_or_default()
    }
}

// Guards against LIMIT: hosts that each keep a limit for themselves send a multiple of it together.
#[parameterized(
    uneven_hosts = { &UNEVEN, 10.0, 26.0 },
    small_limit = { &UNEVEN, 1.5, 6.0 },
    limit_of_a_few = { &UNEVEN[..9], 3.6, 14.0 },
    hundreds_of_hosts = { &[1.0; 195], 1.5, 6.0 },
    far_more_demand = { &[1.0; 61], 12.0, 200.0 },
    no_requests_wanted = { &UNEVEN, 0.0, 20.0 },
    single_host = { &[1.0], 8.0, 40.0 },
)]
fn hosts_together_keep_the_limit_of_a_server_and_use_it(weights: &[f64], limit: f64, rate: f64) {
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed, weights, limit);

        simulation.run(START_MS, RUN_MS, rate);

        let most = simulation.most_in_window();
        assert!(
            most <= allowed(limit),
            "seed {seed}: {most} of {}",
            allowed(limit)
        );
        let later = simulation.sent.iter().filter(|at| **at >= LEARNING_MS);
        let mean = later.count() as f64 * 1_000.0 / (RUN_MS - LEARNING_MS) as f64;
        assert!(mean >= limit, "seed {seed}: {mean} requests per second");
    }
}

// Guards against LIMIT: shares that are told only once a server names its limit replace equal ones,
// of which hosts have used theirs already.
#[test]
fn limit_is_kept_from_the_moment_on_at_which_a_server_names_it() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, &UNEVEN, 10.0);
        simulation.named = 10_000;

        simulation.run(START_MS, RUN_MS, 60.0);

        let most = simulation.most_in_window();
        assert!(most <= allowed(10.0), "seed {seed}: {most}");
    }
}

// Guards against LIMIT: a new leader would count out once more what the lost one has given out.
#[parameterized(
    at_once = { 0 },
    after_a_while = { 2_000 },
)]
fn limit_is_kept_when_the_leader_is_lost_and_replaced(pause: u64) {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, &UNEVEN, 10.0);
        simulation.run(START_MS, 10_000, 60.0);

        simulation.leader = None;
        simulation.run(10_000, 10_000 + pause, 60.0);
        simulation.leader = Some(Leader::new(10_000 + pause));
        simulation.run(10_000 + pause, RUN_MS, 60.0);

        let most = simulation.most_in_window();
        assert!(most <= allowed(10.0), "seed {seed}: {most}");
    }
}

// Guards against LIMIT: hosts that start know nothing of what the others have sent.
#[test]
fn limit_is_kept_while_hosts_restart_one_after_another() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, &UNEVEN, 10.0);
        simulation.run(START_MS, 8_000, 60.0);

        for (number, from) in (8_000..26_000).step_by(1_500).enumerate() {
            let fresh = Simulation::new(seed, &UNEVEN, 10.0)
                .hosts
                .swap_remove(number);
            simulation.hosts[number] = fresh;
            // A restart excuses a host.
            simulation.told.remove(&number);
            simulation.counted.retain(|(_, host)| *host != number);
            simulation.run(from, from + 1_500, 60.0);
        }

        let most = simulation.most_in_window();
        assert!(most <= allowed(10.0), "seed {seed}: {most}");
    }
}

/// A host with one server without keys, and a target of a request to it.
fn host_with_server(start_id: u64) -> (Router, RoutePlan, Target) {
    let mut router = router();
    let now = Time::from_millis(START_MS);
    router.update_config(Arc::new(config(1, vec![route("pay", "/p/", "orders")])));
    router.set_hosts(1);
    let mut entry = server("o1", "orders", "east-a", start_id);
    entry.slots = 100;
    router.replace_servers(now, vec![entry], &[]);
    let plan = router
        .plan(now, "shop", "/p/x", Credentials::default())
        .unwrap();
    let target = router
        .select_server(now, &plan, None, &[], 0, Duration::from_secs(2))
        .unwrap();
    (router, plan, target)
}

fn served(router: &mut Router, plan: &RoutePlan, requests: usize) -> usize {
    let now = Time::from_millis(START_MS + 100);
    let left = Duration::from_secs(2);
    (0..requests)
        .filter(|_| router.select_server(now, plan, None, &[], 0, left).is_ok())
        .count()
}

#[test]
fn limit_ends_with_a_response_that_names_none() {
    let (mut router, plan, target) = host_with_server(1);
    name_limit(&mut router, &target, RateLimit::new(1.0));
    let limited = served(&mut router, &plan, 50);

    name_limit(&mut router, &target, None);

    assert!(limited <= allowed(1.0), "{limited}");
    assert_eq!(served(&mut router, &plan, 50), 50);
}

#[test]
fn limit_ends_with_the_life_of_the_server() {
    let (mut router, plan, target) = host_with_server(1);
    name_limit(&mut router, &target, RateLimit::new(0.0));
    let mut reborn = server("o1", "orders", "east-a", 2);
    reborn.slots = 100;
    router.replace_servers(Time::from_millis(START_MS + 50), vec![reborn], &[]);

    // A late response of the earlier life says nothing about the present one.
    name_limit(&mut router, &target, RateLimit::new(0.0));

    assert_eq!(router.rate_limit_count(), 0);
    assert!(served(&mut router, &plan, 10) > 5);
}

#[test]
fn limit_observed_by_another_host_is_applied_and_reported_once() {
    let (mut observer, _, target) = host_with_server(1);
    let (mut leader, ..) = host_with_server(1);
    name_limit(&mut observer, &target, RateLimit::new(2.5));

    let reports = observer.take_rate_limit_reports(target.sent);
    let again = observer.take_rate_limit_reports(target.sent);
    leader.apply_rate_limit(target.sent, &reports[0]);
    leader.apply_rate_limit(
        target.sent,
        &RateLimitReport {
            start_id: Some(0),
            limit: None,
            ..reports[0].clone()
        },
    );

    assert_eq!((reports.len(), again.len()), (1, 0));
    let (limit, _) = leader.rate_limit("o1").unwrap();
    assert_eq!(limit.per_second(), 2.5);
}

// Guards against a server that gets no requests for good: a host that had not heard yet that its limit of
// zero had ended told the leader of it once more, and the leader moved its keys away.
#[test]
fn older_report_does_not_bring_back_a_limit_that_has_ended() {
    let (mut observer, _, target) = host_with_server(1);
    let (mut leader, ..) = host_with_server(1);
    name_limit(&mut observer, &target, RateLimit::new(0.0));
    name_limit(&mut leader, &target, RateLimit::new(0.0));
    let later = target.sent + Duration::from_secs(3);
    let signals = ServerSignals {
        limit: LimitSignal::Ended,
        ..ServerSignals::default()
    };
    leader.record_signals(later, &target.entry, &signals);

    let reported = later + Duration::from_millis(600);
    for report in observer.take_rate_limit_reports(reported) {
        leader.apply_rate_limit(reported, &report);
    }
    let outdated = leader.rate_limit_count();
    name_limit(&mut observer, &target, None);
    observer.record_signals(
        reported,
        &target.entry,
        &ServerSignals {
            limit: LimitSignal::Named(RateLimit::new(2.0).unwrap()),
            ..ServerSignals::default()
        },
    );
    for report in observer.take_rate_limit_reports(reported) {
        leader.apply_rate_limit(reported, &report);
    }

    assert_eq!(outdated, 0);
    assert_eq!(leader.rate_limit_count(), 1, "a later report counts");
}

#[test]
fn part_of_a_limit_is_left_to_more_urgent_requests() {
    let (mut router, plan, target) = host_with_server(1);
    name_limit(&mut router, &target, RateLimit::new(10.0));
    let mut urgent = plan.clone();
    urgent.route = Arc::new(amaranthshunt_core::front::Route {
        priority: 0,
        ..(*plan.route).clone()
    });
    served(&mut router, &urgent, 1);

    let other = served(&mut router, &plan, 200);
    let more_urgent = served(&mut router, &urgent, 200);

    assert!(other > 20, "{other}");
    assert!(more_urgent > 10, "{more_urgent}");
}

#[parameterized(
    infinite = { f64::INFINITY },
    negative = { -1.0 },
    not_a_number = { f64::NAN },
)]
fn unusable_numbers_are_no_limits(per_second: f64) {
    assert_eq!(RateLimit::new(per_second), None);
}
