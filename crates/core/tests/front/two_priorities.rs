//! Urgent and less urgent requests for one service without keys, before many hosts, near and beyond its
//! capacity.
//!
//! The load is that of a day on which payments (target 0.8 s) and reports (target 6 s) shared servers:
//! 26 in 100 payments were lost, since the servers' own queues were full of reports. Callers that are
//! refused come again at another host after `Retry-After`, as long as their time allows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    AdmissionQueue, AttemptOutcome, Credentials, LoadReport, QueueTicket, RefusalCause, RoutePlan,
    RouteRefusal, Router, ServerEntry, Target,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

use crate::fixture::{config, route, router_with, server};

const HOSTS: usize = 24;
const SERVERS: usize = 22;
const SLOTS: usize = 4;
/// Requests that a server holds; it turns away what comes beyond them.
const SERVER_CAPACITY: usize = 12;
const WORK_MS: u64 = 250;
/// Share of the requests that are urgent.
const URGENT_SHARE: f64 = 0.7;
/// Target and timeout of urgent and of less urgent requests.
const TIMES_MS: [[u64; 2]; 2] = [[800, 2_500], [6_000, 12_000]];
const RUN_MS: u64 = 40_000;
/// Time in which the hosts learn, which is not measured.
const LEARNING_MS: u64 = 8_000;
/// Time at the end in which requests are still answered, and not measured.
const LAST_MS: u64 = 12_000;
/// Interval of the timer of a host's queue.
const TIMER_MS: u64 = 20;

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
struct Call {
    class: usize,
    asked: u64,
    /// When the host that it is at received it.
    received: u64,
    refusals: usize,
}

impl Call {
    fn deadline(&self) -> u64 {
        self.asked + TIMES_MS[self.class][1]
    }
}

struct Running {
    host: usize,
    target: Target,
    call: Call,
    ends: Option<u64>,
}

/// What became of the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    asked: usize,
    served: usize,
    in_target: usize,
    refusals: usize,
    /// Milliseconds that requests have spent in the hosts' queues.
    held: u64,
    queued: usize,
}

impl Tally {
    fn share(count: usize, of: usize) -> f64 {
        count as f64 / of.max(1) as f64
    }
}

struct Simulation {
    rng: SmallRng,
    hosts: Vec<Router>,
    queues: Vec<AdmissionQueue>,
    waiting: BTreeMap<(usize, QueueTicket), (Call, u64)>,
    /// Factor of the work from the middle of the run on.
    later_work: f64,
    with_queue: bool,
    plans: Vec<RoutePlan>,
    at_servers: BTreeMap<Arc<str>, Vec<Running>>,
    returning: BTreeMap<u64, Vec<Call>>,
    tallies: [Tally; 2],
}

impl Simulation {
    fn new(seed: u64, with_queue: bool, later_work: f64) -> Self {
        let entries: Vec<ServerEntry> = (0..SERVERS)
            .map(|number| server(&format!("s{number}"), "orders", "east-a", 1))
            .collect();
        let routes = [("pay", 0), ("report", 1)].map(|(name, class)| {
            let mut route = route(name, &format!("/{name}/"), "orders");
            route.idempotent = false;
            route.priority = if class == 0 { 0 } else { 2 };
            route.target_latency = Duration::from_millis(TIMES_MS[class][0]);
            route.timeout = Duration::from_millis(TIMES_MS[class][1]);
            route
        });
        let config = Arc::new(config(1, routes.to_vec()));
        let start = Time::from_millis(1_000);
        let host = |number: usize| {
            let mut router = router_with(&format!("h{number}"), |settings| {
                settings.overload_control = with_queue;
            });
            router.update_config(config.clone());
            router.set_hosts(HOSTS);
            router.replace_servers(start, entries.clone(), &[]);
            router
        };
        let mut hosts: Vec<Router> = (0..HOSTS).map(host).collect();
        let plans = ["/pay/", "/report/"].map(|path| {
            let plan = hosts[0].plan(start, "shop", path, Credentials::default());
            plan.unwrap()
        });
        Self {
            rng: SmallRng::seed_from_u64(seed),
            hosts,
            queues: vec![AdmissionQueue::new(256, 1 << 20); HOSTS],
            waiting: BTreeMap::new(),
            later_work,
            with_queue,
            plans: plans.to_vec(),
            at_servers: BTreeMap::new(),
            returning: BTreeMap::new(),
            tallies: [Tally::default(); 2],
        }
    }

    fn run(mut self, load: f64) -> [Tally; 2] {
        let per_millisecond = load * (SERVERS * SLOTS) as f64 / WORK_MS as f64;
        for now in 1_000..RUN_MS + LAST_MS {
            self.end_requests(now);
            for call in self.returning.remove(&now).unwrap_or_default() {
                self.arrive(now, call);
            }
            if now < RUN_MS && self.rng.random_bool(per_millisecond) {
                let class = usize::from(!self.rng.random_bool(URGENT_SHARE));
                let call = Call {
                    class,
                    asked: now,
                    received: now,
                    refusals: 0,
                };
                self.tallies[class].asked += usize::from(is_measured(&call));
                self.arrive(now, call);
            }
            if now % TIMER_MS == 0 {
                self.fire_timers(now);
            }
        }
        self.tallies
    }

    fn arrive(&mut self, now: u64, mut call: Call) {
        let host = self.rng.random_range(0..HOSTS);
        call.received = now;
        let time = Time::from_millis(now);
        let plan = &self.plans[call.class];
        let deadline = Time::from_millis(call.deadline());
        let waiting = self.hosts[host].waiting(time, plan, None, time, deadline);
        if self.with_queue && self.queues[host].must_wait(time, &waiting) {
            let refusal = RouteRefusal {
                cause: RefusalCause::Busy,
                retry_after: None,
            };
            return self.queue_or_refuse(now, host, call, refusal);
        }
        if let Err(refusal) = self.send(now, host, call) {
            self.queue_or_refuse(now, host, call, refusal);
        }
    }

    fn queue_or_refuse(&mut self, now: u64, host: usize, call: Call, refusal: RouteRefusal) {
        if !self.with_queue || refusal.cause != RefusalCause::Busy {
            return self.refuse(now, call, refusal);
        }
        let time = Time::from_millis(now);
        let plan = &self.plans[call.class];
        let received = Time::from_millis(call.received);
        let deadline = Time::from_millis(call.deadline());
        let waiting = self.hosts[host].waiting(time, plan, None, received, deadline);
        let offer = self.queues[host].offer(time, waiting.clone());
        for shed in offer.shed {
            let (shed, _) = self.waiting.remove(&(host, shed)).unwrap();
            self.refuse_queued(now, host, shed);
        }
        match offer.result {
            Ok(ticket) => {
                self.tallies[call.class].queued += usize::from(is_measured(&call));
                self.waiting.insert((host, ticket), (call, now));
            }
            Err(_) => {
                let wait = self.queues[host].expected_wait(time, &waiting);
                let left = deadline.since(time);
                let refusal = self.hosts[host].queue_refusal(refusal, wait, left);
                assert!(refusal.retry_after.unwrap() <= left / 3);
                self.refuse(now, call, refusal);
            }
        }
    }

    fn refuse_queued(&mut self, now: u64, host: usize, call: Call) {
        let refusal = RouteRefusal {
            cause: RefusalCause::Busy,
            retry_after: None,
        };
        let left = Duration::from_millis(call.deadline().saturating_sub(now));
        let refusal = self.hosts[host].queue_refusal(refusal, Duration::ZERO, left);
        self.refuse(now, call, refusal);
    }

    fn refuse(&mut self, now: u64, mut call: Call, refusal: RouteRefusal) {
        self.tallies[call.class].refusals += usize::from(is_measured(&call));
        call.refusals += 1;
        let Some(after) = refusal.retry_after else {
            return;
        };
        let left = call.deadline().saturating_sub(now);
        let after = (after.as_millis() as u64).max(1);
        if after <= left / 3 {
            self.returning.entry(now + after).or_default().push(call);
        }
    }

    fn send(&mut self, now: u64, host: usize, call: Call) -> Result<(), RouteRefusal> {
        let time = Time::from_millis(now);
        let left = Duration::from_millis(call.deadline().saturating_sub(now));
        let plan = &self.plans[call.class];
        let target = self.hosts[host].select_server(time, plan, None, &[], 0, left)?;
        let held = self.at_servers.entry(target.entry.id.clone()).or_default();
        if held.len() < SERVER_CAPACITY {
            held.push(Running {
                host,
                target,
                call,
                ends: None,
            });
            return Ok(());
        }
        let report = report(held);
        let outcome = AttemptOutcome::NotRun;
        self.hosts[host].record_outcome(time, &target, outcome, Some(report));
        let refusal = RouteRefusal {
            cause: RefusalCause::Busy,
            retry_after: Some(Duration::from_millis(150)),
        };
        self.refuse(now, call, refusal);
        Ok(())
    }

    fn try_queued(&mut self, now: u64, host: usize, ticket: QueueTicket) {
        let mut next = Some(ticket);
        while let Some(ticket) = next {
            let (call, since) = self.waiting[&(host, ticket)];
            if self.send(now, host, call).is_err() {
                return self.queues[host].record_refusal(ticket);
            }
            self.waiting.remove(&(host, ticket));
            self.record_hold(&call, now - since);
            next = self.queues[host].record_service(Time::from_millis(now), ticket);
        }
    }

    fn record_hold(&mut self, call: &Call, held: u64) {
        if is_measured(call) {
            self.tallies[call.class].held += held;
        }
    }

    fn fire_timers(&mut self, now: u64) {
        let time = Time::from_millis(now);
        for host in 0..HOSTS {
            for ticket in self.queues[host].expire(time) {
                let (call, since) = self.waiting.remove(&(host, ticket)).unwrap();
                self.record_hold(&call, now - since);
                self.refuse_queued(now, host, call);
            }
            for ticket in self.queues[host].due(time) {
                self.try_queued(now, host, ticket);
            }
        }
    }

    fn end_requests(&mut self, now: u64) {
        let time = Time::from_millis(now);
        let mut freed = Vec::new();
        let factor = if now > RUN_MS / 2 {
            self.later_work
        } else {
            1.0
        };
        for held in self.at_servers.values_mut() {
            while let Some(index) = held.iter().position(|one| one.ends == Some(now)) {
                let ended = held.remove(index);
                let outcome = AttemptOutcome::Answered { success: true };
                let router = &mut self.hosts[ended.host];
                router.record_outcome(time, &ended.target, outcome, Some(report(held)));
                let call = ended.call;
                let tally = &mut self.tallies[call.class];
                let age = now - call.asked;
                let is_served = is_measured(&call) && now <= call.deadline();
                tally.served += usize::from(is_served);
                tally.in_target += usize::from(is_served && age <= TIMES_MS[call.class][0]);
                freed.push((ended.host, ended.target.entry.service.clone()));
            }
            let free = SLOTS - held.iter().filter(|one| one.ends.is_some()).count();
            for one in held.iter_mut().filter(|one| one.ends.is_none()).take(free) {
                let work = self.rng.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
                one.ends = Some(now + (work as f64 * factor) as u64);
            }
        }
        for (host, service) in freed {
            if let Some(ticket) = self.queues[host].next(time, &service, None) {
                self.try_queued(now, host, ticket);
            }
        }
    }
}

fn is_measured(call: &Call) -> bool {
    call.asked > LEARNING_MS
}

fn report(held: &[Running]) -> LoadReport {
    let running = held.iter().filter(|one| one.ends.is_some()).count() as u32;
    LoadReport {
        running,
        waiting: held.len() as u32 - running,
        slots: SLOTS as u32,
        duration_percent: None,
    }
}

/// Shares of one class, as means over three seeds.
#[derive(Clone, Copy, Debug, Default)]
struct Shares {
    in_target: f64,
    served: f64,
    refusals: f64,
    held_ms: f64,
}

fn shares(with_queue: bool, load: f64, later_work: f64) -> [Shares; 2] {
    let mut means = [Shares::default(); 2];
    for seed in 1..=3 {
        let tallies = Simulation::new(seed, with_queue, later_work).run(load);
        for (mean, tally) in means.iter_mut().zip(tallies) {
            mean.in_target += Tally::share(tally.in_target, tally.asked) / 3.0;
            mean.served += Tally::share(tally.served, tally.asked) / 3.0;
            mean.refusals += Tally::share(tally.refusals, tally.asked) / 3.0;
            mean.held_ms += Tally::share(tally.held as usize, tally.queued) / 3.0;
        }
    }
    means
}

/// The bounds are what today's rules without a queue reach, less what differs between seeds; far beyond
/// capacity, urgent requests may lose some of it to less urgent ones that wait for the same slots.
#[parameterized(
    calm = { 0.9, 0.99, 0.97, 1.0 },
    beyond_capacity = { 1.1, 0.99, 0.65, 0.5 },
    far_beyond_capacity = { 1.3, 0.88, 0.23, 0.7 },
)]
fn queue_serves_two_priorities_with_fewer_refusals(
    load: f64,
    urgent_bound: f64,
    other_bound: f64,
    refusal_bound: f64,
) {
    let before = shares(false, load, 1.0);
    let [urgent, other] = shares(true, load, 1.0);
    println!("load {load}\n before {before:.3?}\n after  {urgent:.3?} {other:.3?}");

    assert!(urgent.in_target >= urgent_bound, "{urgent:?}");
    assert!(other.in_target >= other_bound, "{other:?}");
    assert!(other.served >= before[1].served - 0.03, "{other:?}");
    for (after, before) in [urgent, other].iter().zip(before) {
        let bound = (before.refusals * refusal_bound).max(0.01);
        assert!(after.refusals <= bound, "{after:?}, before {before:?}");
    }
}

/// From the middle of the run on, all requests take longer or less long than was learnt.
#[parameterized(
    three_times_as_long = { 3.0, 0.03 },
    a_third = { 0.34, 0.0 },
)]
fn wrong_estimates_cost_urgent_requests_little(factor: f64, loss: f64) {
    let before = shares(false, 0.9, factor);
    let after = shares(true, 0.9, factor);
    println!("factor {factor}\n before {before:.3?}\n after  {after:.3?}");

    assert!(after[0].served >= before[0].served - loss);
    assert!(after[0].in_target >= before[0].in_target - loss);
    assert!(after[1].served >= before[1].served - 0.15);
}
