//! Placement of keys over servers of different speeds.
//!
//! The pattern is that of a large site under heavy load: 150 servers with 4 slots, three speeds and
//! work of 250 ms, and 1,092 requests per second, a third of them at times for a few hot keys.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    Admission, ClusterState, Granter, GranterTiming, LoadReport, Order, OrderReply, Overload,
    Placement, ServerSpeeds, Servers, ServiceTime, ServiceTimes,
};
use amaranthshunt_core::ids::CallId;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

use crate::fixture::{KEYED, config, server};

const SERVERS: usize = 150;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
const SLOTS: f64 = 4.0;
const WORK: Duration = Duration::from_millis(250);
const STEP_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 500;
/// Time for a server to end the work that runs on released keys.
const RELEASE_MS: u64 = 300;
const RATE: f64 = 1_092.0;
const HOT_START: u16 = 30_000;
/// Runs over which the results with hot keys are averaged: where they lie is chance.
const HOT_RUNS: u64 = 6;
/// Requests that it costs to move all keys.
const ALL_KEYS_COST: f64 = 240.0;

/// A leader before servers that carry out its orders.
struct Deployment {
    granter: Granter,
    servers: Servers,
    now: u64,
    /// Replies by the time at which they arrive.
    replies: BTreeMap<u64, Vec<(CallId, OrderReply)>>,
    /// The first hot key.
    hot_start: u16,
    /// Number of hot keys and the requests per second for all of them.
    hot: (u16, f64),
    /// Part of a request for each key that has not been reported yet.
    unreported: BTreeMap<u16, f64>,
    rate: f64,
    /// Number of every 16 keys, from the first on, that get calm requests.
    calm_keys: u16,
    /// Factor of the service times that hosts report.
    report_factor: f64,
    moved: u64,
    /// Draws of the requests; without them, rates are exact.
    rng: Option<SmallRng>,
}

impl Deployment {
    fn start(overload_control: bool, rate: f64) -> Self {
        let record = Placement {
            term: 1,
            version: 1,
            leader: "h0".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            services: BTreeMap::new(),
            complete_era: Some(1),
            voters: Some(BTreeSet::new()),
        };
        let timing = GranterTiming {
            lease: Duration::from_secs(4),
            renewal_interval: Duration::from_millis(1_200),
            confirmation_timeout: Duration::from_secs(2),
            order_timeout: Duration::from_millis(800),
            expiry_margin: Duration::from_millis(300),
            cleanup_delay: Duration::from_secs(1),
            storeless_limit: Duration::from_secs(3_600),
        };
        let start = Time::from_millis(1_000);
        let mut deployment = Self {
            granter: Granter::new(start, start, &record, 1, timing),
            servers: Servers::default(),
            now: 1_000,
            replies: BTreeMap::new(),
            hot: (0, 0.0),
            hot_start: HOT_START,
            unreported: BTreeMap::new(),
            rate,
            calm_keys: 4_096,
            report_factor: 1.0,
            moved: 0,
            rng: None,
        };
        deployment.granter.set_overload_control(overload_control);
        for number in 0..SERVERS {
            deployment.add_server(number);
        }
        deployment
    }

    fn add_server(&mut self, number: usize) {
        let entry = server(&format!("s{number}"), KEYED, "r/a", 1);
        self.servers
            .upsert(Time::from_millis(self.now), entry, None, 0.0);
    }

    /// Returns the mean share of the requests that have room, over the time that it runs.
    fn run(&mut self, millis: u64) -> f64 {
        let end = self.now + millis;
        let (mut sum, mut count) = (0.0, 0.0);
        while self.now < end {
            self.now += STEP_MS;
            self.step();
            if self.now.is_multiple_of(100) {
                sum += self.served_share();
                count += 1.0;
            }
        }
        sum / f64::max(count, 1.0)
    }

    fn step(&mut self) {
        let now = Time::from_millis(self.now);
        if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
            self.report(now);
        }
        for (call, reply) in self.replies.remove(&self.now).unwrap_or_default() {
            self.granter.handle_reply(now, call, now, reply);
        }
        self.granter.confirm_by_record(now);
        let config = config(1, Vec::new());
        let baselines = BTreeMap::from([(Arc::from(KEYED), WORK)]);
        let evacuated = BTreeSet::new();
        let cluster = ClusterState {
            servers: &self.servers,
            config: &config,
            baseline_latencies: &baselines,
            evacuated: &evacuated,
        };
        for order in self.granter.advance(now, cluster) {
            let (call, after) = match order {
                Order::Grant { call, .. } => (call, 2 * STEP_MS),
                Order::Release { call, .. } => (call, RELEASE_MS),
                Order::Write(placement) => {
                    self.granter.mark_written(now, placement.version);
                    continue;
                }
                Order::Log(_) => continue,
            };
            let reply = OrderReply::Done(None);
            self.replies
                .entry(self.now + after)
                .or_default()
                .push((call, reply));
        }
        self.moved += self.granter.take_moved_keys();
    }

    /// Reports the requests by key and the service times of the servers that answered.
    fn report(&mut self, now: Time) {
        let seconds = REPORT_INTERVAL_MS as f64 / 1_000.0;
        for (key, rate) in self.key_rates() {
            let requests = rate * seconds;
            let drawn = match &mut self.rng {
                Some(rng) => f64::from(poisson(rng, requests)),
                None => requests,
            };
            *self.unreported.entry(key).or_default() += drawn;
        }
        let counts = self.unreported.iter_mut().filter_map(|(key, rest)| {
            let count = rest.floor();
            *rest -= count;
            (count > 0.0).then_some((*key, count as u32))
        });
        let counts: Vec<(u16, u32)> = counts.collect();
        let service = Arc::from(KEYED);
        self.granter.add_key_counts(now, &service, counts);
        let times = self.rates().into_iter().map(|(server, rate)| ServiceTime {
            mean: WORK.div_f64(speed(&server)).mul_f64(self.report_factor),
            answers: (rate.min(capacity(&server)) * seconds).ceil() as u32,
            server,
        });
        let times: Vec<ServiceTime> = times.collect();
        self.granter.add_service_times(now, &times);
    }

    /// Requests per second by key; the calm ones are spread evenly.
    fn key_rates(&self) -> Vec<(u16, f64)> {
        let (hot_keys, hot_rate) = self.hot;
        let calm = self.rate - hot_rate;
        let per_key = calm / f64::from(self.calm_keys);
        let calm_keys = (0..self.calm_keys).map(|number| (number * 16 + 5, per_key));
        let hot = (0..hot_keys).map(|n| (self.hot_start + n, hot_rate / f64::from(hot_keys)));
        calm_keys.chain(hot).collect()
    }

    fn rates(&self) -> BTreeMap<Arc<str>, f64> {
        let mut rates: BTreeMap<Arc<str>, f64> = BTreeMap::new();
        let Some(spans) = self.granter.table().services.get(KEYED) else {
            return rates;
        };
        for (key, rate) in self.key_rates() {
            let index = spans.partition_point(|span| span.to < key);
            if let Some(server) = &spans[index].server {
                *rates.entry(server.clone()).or_default() += rate;
            }
        }
        rates
    }

    /// Share of the requests that are at servers and within their capacity.
    fn served_share(&self) -> f64 {
        let rates = self.rates();
        let served = rates
            .iter()
            .map(|(server, rate)| rate.min(capacity(server)))
            .sum::<f64>();
        served / self.rate
    }

    fn utilization(&self, server: &str) -> f64 {
        let rates = self.rates();
        rates.get(server).copied().unwrap_or_default() / capacity(server)
    }

    fn highest_utilization(&self) -> f64 {
        let rates = self.rates();
        let utilizations = rates.iter().map(|(server, rate)| rate / capacity(server));
        utilizations.fold(0.0, f64::max)
    }

    /// The server of a key, once it is not in transit.
    fn server_of(&self, key: u16) -> Option<Arc<str>> {
        self.granter.table().owner(KEYED, key).cloned()
    }
}

fn speed(server: &str) -> f64 {
    let number: usize = server[1..].parse().unwrap();
    SPEEDS[number % SPEEDS.len()]
}

/// Draws a number of requests that come by chance.
fn poisson(rng: &mut SmallRng, mean: f64) -> u32 {
    let (limit, mut product, mut count) = ((-mean).exp(), rng.random::<f64>(), 0);
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

/// Requests per second that a server can serve.
fn capacity(server: &str) -> f64 {
    SLOTS / WORK.as_secs_f64() * speed(server)
}

/// Guards against keys that move because of chance: each is unserved for a moment.
#[parameterized(usual = { 1.0 }, busy = { 1.4 })]
fn chance_moves_few_keys(load: f64) {
    let results = [false, true].map(|overload_control| {
        let mut deployment = Deployment::start(overload_control, RATE * load);
        deployment.rng = Some(SmallRng::seed_from_u64(1));
        deployment.run(30_000);
        let settled = deployment.moved;
        let share = deployment.run(30_000);
        let late = deployment.moved - settled;
        (share, deployment.highest_utilization(), settled, late)
    });
    println!("load {load}, before and after: {results:.3?}");

    let cost = results[1].3 as f64 * ALL_KEYS_COST / 65_536.0;
    let requests = RATE * load * 30.0;
    assert!(
        cost <= requests / 1_000.0,
        "{cost} of {requests}: {results:?}"
    );
    assert!(results[1].0 >= results[0].0 - 0.005, "{results:?}");
}

/// Guards against hot keys that stay at a few servers for as long as they are hot.
#[parameterized(sixty = { 60 }, two_hundred = { 200 })]
fn hot_keys_find_room_while_they_are_hot(keys: u16) {
    let outcome = |overload_control: bool| {
        let (mut share, mut moved) = (0.0, 0.0);
        for seed in 1..=HOT_RUNS {
            let mut deployment = Deployment::start(overload_control, RATE);
            deployment.rng = Some(SmallRng::seed_from_u64(seed));
            deployment.run(20_000);
            deployment.moved = 0;
            deployment.hot_start = (seed * 9_500) as u16;
            deployment.hot = (keys, RATE / 3.0);
            share += deployment.run(4_500) / HOT_RUNS as f64;
            moved += deployment.moved as f64 / HOT_RUNS as f64;
        }
        (share, moved)
    };
    let (before, after) = (outcome(false), outcome(true));
    println!("{keys} hot keys, before and after: {before:.3?}, {after:.3?}");

    let gained = (after.0 - before.0) * RATE * 4.5;
    let cost = (after.1 - before.1) * ALL_KEYS_COST / 65_536.0;
    assert!(
        gained > cost,
        "{gained} requests gained at a cost of {cost}"
    );
    assert!(after.1 <= 4_000.0, "{after:?}, before {before:?}");
}

/// Guards against slow servers that are full while fast ones have room.
#[parameterized(measured = { RATE * 1.6, 1.0 })]
fn servers_of_different_speeds_are_utilized_alike(rate: f64, bound: f64) {
    let results = [false, true].map(|overload_control| {
        let mut deployment = Deployment::start(overload_control, rate);
        let share = deployment.run(60_000);
        let settled = deployment.moved;
        deployment.run(20_000);
        let late = deployment.moved - settled;
        (share, deployment.highest_utilization(), settled, late)
    });
    println!("highest utilization, before and after: {results:.3?}");

    assert!(results[1].1 <= bound, "{results:?}");
    assert!(results[1].1 < results[0].1, "{results:?}");
    assert_eq!(results[1].3, 0, "keys move at a constant load: {results:?}");
}

/// Guards against a key that passes from server to server, or blocks the other keys of its own.
#[parameterized(for_any_server = { 60.0, 1 }, for_a_slow_server = { 14.0, 2 })]
fn a_key_that_is_too_much_for_a_server_ends_alone(rate: f64, max_places: usize) {
    let results = [false, true].map(|overload_control| {
        let mut deployment = Deployment::start(overload_control, RATE);
        deployment.run(20_000);
        deployment.hot = (1, rate);
        let mut places = BTreeSet::new();
        for _ in 0..250 {
            deployment.run(100);
            places.extend(deployment.server_of(HOT_START));
        }
        let server = deployment.server_of(HOT_START).unwrap();
        let other = deployment.utilization(&server) * capacity(&server) - rate;
        (places.len(), other, deployment.served_share())
    });
    println!(
        "{rate}: places of the key, rate of others beside it, served, before and after: {results:.3?}"
    );

    let (places, other, served) = results[1];
    assert!(places <= max_places, "{results:?}");
    assert!(rate < 20.0 || other < 1.0, "{results:?}");
    assert!(served >= results[0].2 - 0.005, "{results:?}");
}

/// Guards against servers that join, or hold keys that nobody asks for, and get no request all day:
/// the widest range of keys had none.
#[test]
fn servers_without_requests_get_some_within_seconds() {
    let results = [false, true].map(|overload_control| {
        let mut deployment = Deployment::start(overload_control, RATE * 0.4);
        deployment.calm_keys = 2_048;
        deployment.run(10_000);
        for number in SERVERS..SERVERS + 3 {
            deployment.add_server(number);
        }
        deployment.run(4_000);
        let joined: Vec<f64> = (SERVERS..SERVERS + 3)
            .map(|number| deployment.utilization(&format!("s{number}")))
            .collect();
        deployment.run(26_000);
        let idle = (0..SERVERS + 3).filter(|n| deployment.utilization(&format!("s{n}")) == 0.0);
        (joined, idle.count(), deployment.moved)
    });
    println!("utilizations of joined servers, idle ones, before and after: {results:.3?}");

    let (joined, idle, moved) = &results[1];
    assert!(
        joined
            .iter()
            .all(|utilization| (0.01..=0.5).contains(utilization)),
        "{results:?}"
    );
    assert_eq!(*idle, 0, "{results:?}");
    assert!(*moved <= 16_000, "{results:?}");
}

/// Guards against reports that are wrong or missing: from a host with a wrong clock or an earlier
/// release.
#[parameterized(
    all_too_long = { 50.0 },
    all_too_short = { 0.001 },
    absent = { 0.0 },
)]
fn wrong_service_times_do_no_harm(factor: f64) {
    let mut known = Deployment::start(false, RATE);
    let without = known.run(20_000);
    let mut deployment = Deployment::start(true, RATE);
    deployment.report_factor = factor;
    let share = deployment.run(20_000);
    println!(
        "{factor}: {share:.3}, without {without:.3}, {} moved",
        deployment.moved
    );

    assert!(share >= without - 0.05, "{share:.3}, without {without:.3}");
}

#[test]
fn one_wrong_service_time_counts_for_at_most_three_times_the_mean() {
    let now = Time::from_millis(5_000);
    let names: Vec<Arc<str>> = ["a", "b", "c", "d"].map(Arc::from).to_vec();
    let mut speeds = ServerSpeeds::default();
    for (name, millis) in names.iter().zip([200, 200, 0, 100_000]) {
        let time = ServiceTime {
            server: name.clone(),
            mean: Duration::from_millis(millis),
            answers: 50,
        };
        speeds.record(now, &time);
    }

    let times = speeds.service_times(now, names.iter()).unwrap();
    let mean = times[2];

    assert!(
        times[3] <= mean * 3.0 && times[0] >= mean / 3.0,
        "{times:?}"
    );
}

#[test]
fn few_or_old_answers_say_nothing_of_a_server() {
    let names: Vec<Arc<str>> = vec![Arc::from("a")];
    let mut speeds = ServerSpeeds::default();
    let record = |speeds: &mut ServerSpeeds, answers| {
        let time = ServiceTime {
            server: names[0].clone(),
            mean: WORK,
            answers,
        };
        speeds.record(Time::from_millis(1_000), &time);
    };
    record(&mut speeds, 3);
    let few = speeds.service_times(Time::from_millis(1_000), names.iter());
    record(&mut speeds, 20);
    let enough = speeds.service_times(Time::from_millis(1_000), names.iter());
    let old = speeds.service_times(Time::from_millis(60_000), names.iter());

    assert_eq!((few, old), (None, None));
    assert_eq!(enough, Some(vec![WORK.as_secs_f64()]));
}

#[test]
fn time_in_the_queue_does_not_count_as_work() {
    let server = Arc::from("a");
    let mut times = ServiceTimes::default();
    let report = LoadReport {
        running: 4,
        waiting: 8,
        slots: 4,
        duration_percent: None,
    };
    times.record(&server, WORK * 3, report);

    assert_eq!(times.take()[0].mean, WORK);
    assert!(times.take().is_empty());
}

/// Guards against thinning that refuses urgent requests while it admits others.
#[test]
fn urgent_requests_are_admitted_first_to_an_overloaded_server() {
    let overload = Overload {
        server: Arc::from("s1"),
        share: 0.5,
    };
    let mut host = Admission::default();
    host.update(Time::from_millis(1_000), &[overload], |_| 0.5);
    let mut admitted = [0; 3];
    for number in 0..3_000_usize {
        let priority = number % 3;
        let now = Time::from_millis(1_100);
        admitted[priority] += u32::from(host.admits(now, "s1", priority as u8));
    }

    assert!(admitted[0] >= 950 && admitted[2] <= 50, "{admitted:?}");
    assert!(
        (1_450..=1_550).contains(&admitted.iter().sum::<u32>()),
        "{admitted:?}"
    );
}
