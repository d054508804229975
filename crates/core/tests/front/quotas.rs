//! Quotas of tenants before 60 hosts and leaders that change, with messages that take time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    AllowanceNeed, Config, Credentials, Quota, QuotaLedger, QuotaTolerance, RefusalCause,
    RoutePlan, Router, Tenant, TenantUsage, Tenants,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

use crate::fixture::{config, route, router_of, server};

const HOSTS: usize = 60;
pub(crate) const START_MS: u64 = 10_000;
const HEARTBEAT_MS: u64 = 500;
const WINDOW_MS: u64 = 5_000;
/// Longest time that a message between hosts takes.
const MAX_LINK_MS: u64 = 80;
/// Longest time that a request takes to a server.
const MAX_TRANSIT_MS: u64 = 150;
/// Times that a request waits for an allowance, at most.
const MAX_WAITS: u32 = 4;
/// Time in which a leader that is replaced may still be confirmed.
const CONFIRMED_MS: u64 = 2_000;
/// Hosts that callers of the tenant are connected to.
const CALLER_HOSTS: usize = 10;
const QUOTA: Quota = Quota {
    per_second: 40.0,
    burst: 20.0,
};
/// Usual requests per second of the tenant.
const USUAL: f64 = 25.0;
const FLOOD: f64 = 7.5 * USUAL;
const TOLERANCE: QuotaTolerance = QuotaTolerance {
    window: Duration::from_millis(WINDOW_MS),
    overshoot: 0.1,
    slack: 20.0,
};

fn tenant_config() -> Arc<Config> {
    let mut tenants = Tenants::default();
    for (name, quota) in [("acme", Some(QUOTA)), ("free", None)] {
        let tenant = Tenant {
            name: Arc::from(name),
            quota,
            ..Tenant::default()
        };
        tenants.insert(tenant, vec![format!("key-{name}")]);
    }
    let config = config(1, vec![route("pay", "/p/", "orders")]);
    Arc::new(config.with_tenants(tenants))
}

/// A host that has just started.
pub(crate) fn start_host(number: usize, now: u64) -> Router {
    let mut router = router_of(&format!("h{number}"));
    let mut entry = server("o1", "orders", "east-a", 1);
    entry.slots = 1_000_000;
    router.update_config(tenant_config());
    router.replace_servers(Time::from_millis(now), vec![entry], &[]);
    router
}

pub(crate) fn plan_of(router: &mut Router, now: u64, key: &str) -> RoutePlan {
    let credentials = Credentials {
        key: Some(key),
        ..Credentials::default()
    };
    router
        .plan(Time::from_millis(now), "shop", "/p/x", credentials)
        .unwrap()
}

enum Event {
    Heartbeat {
        term: usize,
        sent: u64,
        shares: Vec<(Arc<str>, f64)>,
    },
    Report {
        term: usize,
        echo: u64,
        usages: Vec<TenantUsage>,
    },
    Ask {
        term: usize,
        asked: u64,
        wanted: u32,
    },
    Reply {
        asked: u64,
        reply: Result<u32, Duration>,
    },
    Request {
        waits: u32,
    },
}

struct Leader {
    ledger: QuotaLedger,
    /// Until when it is confirmed.
    until: u64,
}

struct Simulation {
    rng: SmallRng,
    hosts: Vec<Router>,
    /// Incremented when a host restarts, so that events of its predecessor are dropped.
    lives: Vec<u32>,
    plan: RoutePlan,
    callers: Vec<usize>,
    /// The term of the leader that each host follows, if it reaches it.
    follows: Vec<Option<usize>>,
    /// Hosts that reach no leader.
    cut: BTreeSet<usize>,
    leaders: Vec<Leader>,
    events: BTreeMap<(u64, u64), (usize, u32, Event)>,
    event_count: u64,
    arrivals: Vec<u64>,
    offered: u32,
    refused: u32,
}

impl Simulation {
    fn new(seed: u64, is_first: bool) -> Self {
        let mut hosts: Vec<Router> = (0..HOSTS).map(|host| start_host(host, START_MS)).collect();
        let plan = plan_of(&mut hosts[0], START_MS, "key-acme");
        let mut simulation = Self {
            rng: SmallRng::seed_from_u64(seed),
            hosts,
            lives: vec![0; HOSTS],
            plan,
            callers: (0..CALLER_HOSTS).collect(),
            follows: vec![None; HOSTS],
            cut: BTreeSet::new(),
            leaders: Vec::new(),
            events: BTreeMap::new(),
            event_count: 0,
            arrivals: Vec::new(),
            offered: 0,
            refused: 0,
        };
        simulation.elect(START_MS, is_first);
        simulation
    }

    /// Starts the leader of a new term, which all hosts follow that are not cut off. The one before it
    /// stays confirmed for a while, though hosts have left it.
    fn elect(&mut self, now: u64, is_first: bool) {
        if let Some(last) = self.leaders.last_mut() {
            last.until = last.until.min(now + CONFIRMED_MS);
        }
        let ledger = QuotaLedger::new(Time::from_millis(now), TOLERANCE, is_first);
        let until = u64::MAX;
        self.leaders.push(Leader { ledger, until });
        for host in 0..HOSTS {
            if !self.cut.contains(&host) {
                self.follows[host] = Some(self.leaders.len() - 1);
            }
        }
    }

    fn lose_leader(&mut self) {
        self.leaders.last_mut().unwrap().until = 0;
    }

    fn restart(&mut self, now: u64, host: usize) {
        self.hosts[host] = start_host(host, now);
        self.lives[host] += 1;
        let is_cut = self.cut.contains(&host);
        self.follows[host] = (!is_cut).then(|| self.leaders.len() - 1);
    }

    /// Cuts a host off from a leader and the others.
    fn cut_off(&mut self, host: usize) {
        self.cut.insert(host);
        self.follows[host] = None;
    }

    fn rejoin(&mut self, host: usize) {
        self.cut.remove(&host);
        self.follows[host] = Some(self.leaders.len() - 1);
    }

    /// Delay of the messages of a host, which is always the same, so that their order is kept.
    fn delay(host: usize) -> u64 {
        2 + (host as u64 * 37) % MAX_LINK_MS
    }

    fn push(&mut self, at: u64, host: usize, event: Event) {
        self.event_count += 1;
        let life = self.lives[host];
        self.events
            .insert((at, self.event_count), (host, life, event));
    }

    /// Runs with `rate` requests per second on average.
    fn run(&mut self, from: u64, to: u64, rate: f64) {
        for now in from..to {
            if now % HEARTBEAT_MS == 0 {
                self.send_heartbeats(now);
            }
            if self.rng.random_bool(rate / 1_000.0) {
                let caller = self.rng.random_range(0..self.callers.len());
                let host = self.callers[caller];
                self.offered += 1;
                self.hosts[host].record_tenant_demand(&self.plan);
                self.push(now, host, Event::Request { waits: 0 });
            }
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > now {
                    break;
                }
                let (host, life, event) = entry.remove();
                if self.lives[host] == life {
                    self.handle(now, host, event);
                }
            }
        }
    }

    fn send_heartbeats(&mut self, now: u64) {
        let time = Time::from_millis(now);
        for term in 0..self.leaders.len() {
            if self.leaders[term].until <= now {
                continue;
            }
            self.leaders[term]
                .ledger
                .settle(time, HOSTS, |_| Some(QUOTA));
            for host in 0..HOSTS {
                let is_leader = host == HOSTS - 1 && term + 1 == self.leaders.len();
                if self.follows[host] != Some(term) {
                    continue;
                }
                let shares = self.leaders[term].ledger.tell(time, &format!("h{host}"));
                let delay = if is_leader { 0 } else { Self::delay(host) };
                let sent = now;
                self.push(now + delay, host, Event::Heartbeat { term, sent, shares });
            }
        }
    }

    fn handle(&mut self, now: u64, host: usize, event: Event) {
        let time = Time::from_millis(now);
        let delay = Self::delay(host);
        match event {
            Event::Heartbeat { term, sent, shares } if self.follows[host] == Some(term) => {
                let router = &mut self.hosts[host];
                router.set_hosts(HOSTS);
                router.update_quota_shares(time, Time::from_millis(sent), true, shares);
                let usages = router.take_tenant_usage(time);
                let echo = sent;
                self.push(now + delay, host, Event::Report { term, echo, usages });
            }
            Event::Report { term, echo, usages } if self.is_heard(now, term, host) => {
                let name = format!("h{host}");
                let ledger = &mut self.leaders[term].ledger;
                ledger.record(time, Time::from_millis(echo), &name, &usages);
            }
            Event::Ask {
                term,
                asked,
                wanted,
            } if self.is_heard(now, term, host) => {
                let tenant = Arc::from("acme");
                let ledger = &mut self.leaders[term].ledger;
                let reply = ledger.count_out(time, &tenant, QUOTA, wanted);
                self.push(now + delay, host, Event::Reply { asked, reply });
            }
            Event::Reply { asked, reply } => {
                let asked = Time::from_millis(asked);
                self.hosts[host].record_tenant_allowance(time, asked, &self.plan, reply);
            }
            Event::Request { waits } => self.request(now, host, waits),
            _ => {}
        }
    }

    fn is_heard(&self, now: u64, term: usize, host: usize) -> bool {
        self.leaders[term].until > now && self.follows[host] == Some(term)
    }

    fn request(&mut self, now: u64, host: usize, waits: u32) {
        let (time, left) = (Time::from_millis(now), Duration::from_secs(2));
        let router = &mut self.hosts[host];
        let chosen = router.select_server(time, &self.plan, None, &[], 0, left);
        let refusal = match chosen {
            Ok(_) => {
                let transit = self.rng.random_range(0..MAX_TRANSIT_MS);
                self.arrivals.push(now + transit);
                return;
            }
            Err(refusal) => refusal,
        };
        assert_eq!(refusal.cause, RefusalCause::Quota);
        let need = if waits < MAX_WAITS {
            router.allowance_need(time, &self.plan)
        } else {
            AllowanceNeed::Refuse
        };
        let waits = waits + 1;
        match need {
            AllowanceNeed::Ask(wanted) => {
                let delay = Self::delay(host);
                if let Some(term) = self.follows[host] {
                    let asked = now;
                    let event = Event::Ask {
                        term,
                        asked,
                        wanted,
                    };
                    self.push(now + delay, host, event);
                }
                self.push(now + 2 * delay + 1, host, Event::Request { waits });
            }
            AllowanceNeed::Wait(wait) => {
                let after = wait.as_millis() as u64 + 1;
                self.push(now + after, host, Event::Request { waits });
            }
            AllowanceNeed::Refuse => {
                let refusal = router.quota_refusal(time, &self.plan);
                assert!(refusal.retry_after.is_some());
                self.refused += 1;
            }
        }
    }

    /// Most requests that arrived in any window.
    fn most_in_window(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let arrivals = &self.arrivals;
        let starts = arrivals.iter().enumerate();
        let counts = starts
            .map(|(index, start)| arrivals.partition_point(|at| *at < start + WINDOW_MS) - index);
        counts.max().unwrap_or_default()
    }

    fn assert_bound(&mut self, context: &str) {
        let most = self.most_in_window();
        assert!(most <= allowed(), "{context}: {most} of {}", allowed());
    }
}

/// Most requests that may arrive in any window.
fn allowed() -> usize {
    let planned = QUOTA.per_second * TOLERANCE.window.as_secs_f64() + QUOTA.burst;
    (planned * (1.0 + TOLERANCE.overshoot) + TOLERANCE.slack) as usize
}

// Guards against refusals below the quota: callers of a tenant come to few of the hosts, so that equal
// parts would be too small, and they move.
#[parameterized(
    first_leader = { true },
    later_leader = { false },
)]
fn tenant_within_its_quota_is_not_refused(is_first: bool) {
    let (mut refused, mut offered) = (0, 0);
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, is_first);
        simulation.run(START_MS, 25_000, USUAL);
        (simulation.offered, simulation.refused) = (0, 0);

        for step in 0..10 {
            let from = 25_000 + step * 4_000;
            let moved = simulation.rng.random_range(0..CALLER_HOSTS);
            simulation.callers[moved] = simulation.rng.random_range(0..HOSTS);
            simulation.run(from, from + 4_000, USUAL);
        }

        refused += simulation.refused;
        offered += simulation.offered;
    }
    assert!(refused * 1_000 <= offered, "{refused} of {offered}");
}

// Guards against a tenant that gets a multiple of its quota: hosts that each keep it for themselves, a
// new leader that counts out again what the lost one has given out, lost hosts whose shares others get
// while they still use them, and hosts that start with the share that their predecessor has used.
#[test]
fn hosts_together_keep_the_quota_through_faults() {
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, seed % 2 == 0);
        let (mut now, mut rate) = (START_MS, FLOOD);
        while now < 140_000 {
            let next = now + simulation.rng.random_range(500..5_000);
            match simulation.rng.random_range(0..8) {
                0 => simulation.lose_leader(),
                1 => simulation.elect(now, false),
                2 => {
                    for _ in 0..simulation.rng.random_range(1..20) {
                        let host = simulation.rng.random_range(0..HOSTS);
                        simulation.cut_off(host);
                    }
                }
                3 => {
                    for host in simulation.cut.clone() {
                        simulation.rejoin(host);
                    }
                }
                4 => {
                    let host = simulation.rng.random_range(0..HOSTS);
                    simulation.restart(now, host);
                }
                5 => rate = if rate == FLOOD { USUAL } else { FLOOD },
                _ => {
                    let caller = simulation.rng.random_range(0..CALLER_HOSTS);
                    simulation.callers[caller] = simulation.rng.random_range(0..HOSTS);
                }
            }
            simulation.run(now, next, rate);
            now = next;
        }
        simulation.assert_bound(&format!("seed {seed}"));
    }
}

// Guards against a quota that is exceeded only after a long time: the lease of a host that is cut off
// ends, others get its share, and it comes back.
#[test]
fn hosts_that_are_cut_off_for_long_keep_the_quota() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(seed, true);
        simulation.run(START_MS, 30_000, FLOOD);

        for host in 0..5 {
            simulation.cut_off(host);
        }
        simulation.run(30_000, 110_000, FLOOD);
        for host in 0..5 {
            simulation.rejoin(host);
        }
        simulation.run(110_000, 125_000, FLOOD);

        simulation.assert_bound(&format!("seed {seed}"));
    }
}

// Guards against a tenant that loses its quota with the leader: hosts keep their shares.
#[test]
fn most_requests_within_the_quota_are_sent_while_the_leader_is_replaced() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(seed, true);
        simulation.run(START_MS, 40_000, USUAL);
        (simulation.offered, simulation.refused) = (0, 0);

        simulation.lose_leader();
        simulation.run(40_000, 43_000, USUAL);
        simulation.elect(43_000, false);
        simulation.run(43_000, 60_000, USUAL);

        let (refused, offered) = (simulation.refused, simulation.offered);
        assert!(
            refused * 5 <= offered,
            "seed {seed}: {refused} of {offered}"
        );
        simulation.assert_bound(&format!("seed {seed}"));
    }
}

// Guards against a bound that is kept by refusing too much.
#[test]
fn tenant_beyond_its_quota_still_gets_it() {
    for seed in 0..5 {
        let mut simulation = Simulation::new(seed, true);
        simulation.run(START_MS, 25_000, USUAL);
        simulation.arrivals.clear();

        simulation.run(25_000, 45_000, FLOOD);

        let mean = simulation.arrivals.len() as f64 / 20.0;
        assert!(mean >= QUOTA.per_second, "seed {seed}: {mean}");
        simulation.assert_bound(&format!("seed {seed}"));
    }
}
