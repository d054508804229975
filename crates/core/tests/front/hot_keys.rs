//! A range of keys that becomes hot, before hundreds of servers and hosts.
//!
//! The pattern is that of the heaviest days of large deployments: two hundred adjacent keys, all of
//! which one or two servers hold, get a third of the traffic from one second to the next.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    Admission, ClusterState, Granter, GranterTiming, Order, OrderReply, Overload, Placement,
    Servers,
};

use crate::fixture::{KEYED, config, server};

const SERVERS: usize = 435;
const HOSTS: usize = 195;
const STEP_MS: u64 = 10;
const REPORT_INTERVAL_MS: u64 = 500;
/// Time for a server to end the work that runs on released keys.
const RELEASE_MS: u64 = 900;
const WORK: Duration = Duration::from_millis(800);
const HOT_KEYS: std::ops::Range<u16> = 30_000..30_200;
const HOT_RATE: f64 = 450.0;
const CALM_RATE: f64 = 700.0;

/// A leader before servers that carry out its orders.
struct Deployment {
    granter: Granter,
    servers: Servers,
    now: u64,
    /// Replies by the time at which they arrive.
    replies: BTreeMap<u64, Vec<(amaranthshunt_core::ids::CallId, OrderReply)>>,
    hot_rate: f64,
}

impl Deployment {
    fn start() -> Self {
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
        let mut servers = Servers::default();
        for number in 0..SERVERS {
            let entry = server(&format!("s{number}"), KEYED, "r/a", 1);
            servers.upsert(Time::from_millis(1_000), entry, None, 0.0);
        }
        let mut deployment = Self {
            granter: Granter::new(
                Time::from_millis(1_000),
                Time::from_millis(1_000),
                &record,
                1,
                timing,
            ),
            servers,
            now: 1_000,
            replies: BTreeMap::new(),
            hot_rate: 0.0,
        };
        deployment.run(10_000);
        deployment
    }

    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            self.step();
        }
    }

    fn step(&mut self) {
        let now = Time::from_millis(self.now);
        if self.now.is_multiple_of(REPORT_INTERVAL_MS) {
            let service = Arc::from(KEYED);
            self.granter.add_key_counts(now, &service, self.demand());
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
    }

    /// Requests by key within a report interval; the calm ones are spread evenly.
    fn demand(&self) -> Vec<(u16, u32)> {
        let seconds = REPORT_INTERVAL_MS as f64 / 1_000.0;
        let calm = (CALM_RATE * seconds) as u32;
        let calm_keys = (0..calm).map(|number| ((number * 65_535 / calm) as u16, 1));
        let hot = (self.hot_rate * seconds) as usize;
        let hot_keys = (0..hot).map(|number| {
            let offset = (number % HOT_KEYS.len()) as u16;
            (HOT_KEYS.start + offset, 1)
        });
        calm_keys.chain(hot_keys).collect()
    }

    /// Share of the demand for hot keys that their servers can serve.
    fn served_share(&self) -> f64 {
        let capacity = 4.0 / WORK.as_secs_f64();
        let per_key = self.hot_rate / HOT_KEYS.len() as f64;
        let mut rates: BTreeMap<Arc<str>, f64> = BTreeMap::new();
        for span in &self.granter.table().services[KEYED] {
            let keys = HOT_KEYS.filter(|key| (span.from..=span.to).contains(key));
            if let Some(server) = &span.server {
                *rates.entry(server.clone()).or_default() += keys.count() as f64 * per_key;
            }
        }
        let served = rates.values().map(|rate| rate.min(capacity)).sum::<f64>();
        served / self.hot_rate
    }
}

#[test]
fn a_hot_range_is_spread_over_servers_within_seconds() {
    let mut deployment = Deployment::start();
    deployment.hot_rate = HOT_RATE;

    deployment.run(1_000);
    let seen = deployment.granter.overloads().to_vec();
    deployment.run(2_000);
    let served = deployment.served_share();

    assert!(!seen.is_empty(), "the hot servers are not seen within 1 s");
    assert!(served > 0.8, "{served:.2} of the hot requests have room");
}

#[test]
fn hosts_together_admit_what_an_overloaded_server_can_serve() {
    let overload = Overload {
        server: Arc::from("s1"),
        share: 0.04,
    };
    let mut hosts = vec![Admission::default(); HOSTS];
    for (index, host) in hosts.iter_mut().enumerate() {
        let phase = (index as f64 * 0.618).fract();
        host.update(
            Time::from_millis(1_000),
            std::slice::from_ref(&overload),
            |_| phase,
        );
    }

    let now = Time::from_millis(1_100);
    let admitted = (0..2_000)
        .filter(|number| hosts[number % HOSTS].admits(now, "s1", 0))
        .count();
    let other = hosts[0].admits(now, "s2", 0);

    assert!((60..=100).contains(&admitted), "{admitted} of 2000");
    assert!(other, "a server that is not overloaded gets all requests");
}

#[test]
fn a_host_that_no_longer_hears_the_leader_admits_all_requests() {
    let overload = Overload {
        server: Arc::from("s1"),
        share: 0.0,
    };
    let mut host = Admission::default();
    host.update(Time::from_millis(1_000), &[overload], |_| 0.0);

    assert!(!host.admits(Time::from_millis(2_000), "s1", 0));
    assert!(host.admits(Time::from_millis(4_000), "s1", 0));
}
