//! The share of each host in the requests for a service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::rate_limit::RateLimit;
use crate::time::Time;

/// Half-life of the counts: long against the spread of single requests, short against the time in
/// which callers move between hosts.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Number of requests below which shares say nothing.
const MIN_REQUESTS: f64 = 50.0;
/// Time in which requests are counted before shares are told: first shares that are corrected soon
/// after would be used twice.
pub(super) const LEARNING_TIME: Duration = Duration::from_secs(2);
/// Change of a share, as a fraction of it, up to which a host keeps the share that it was told.
const TOLERATED_CHANGE: f64 = 0.25;
/// Number of requests below which a host is forgotten.
const FORGOTTEN_REQUESTS: f64 = 0.1;

/// Requests that callers sent to each host, from which the hosts' shares of a limit follow.
///
/// Callers choose hosts unevenly, so of a limit that is divided in equal parts a large part would
/// stay unused. The share of a host that is lost falls only with its counts: it may still serve
/// callers by the share that it was told last.
#[derive(Clone, Debug)]
pub struct DemandShares {
    started: Time,
    counts: BTreeMap<Arc<str>, BTreeMap<String, f64>>,
    /// The share that each host was told last.
    told: BTreeMap<Arc<str>, BTreeMap<String, f64>>,
    decayed_at: Time,
}

impl DemandShares {
    /// Starts to count.
    pub fn new(now: Time) -> Self {
        Self {
            started: now,
            counts: BTreeMap::new(),
            told: BTreeMap::new(),
            decayed_at: now,
        }
    }

    /// Adds the requests that a host received for a service.
    pub fn record(&mut self, now: Time, host: &str, service: &Arc<str>, requests: u32) {
        self.decay(now);
        let counts = self.counts.entry(service.clone()).or_default();
        *counts.entry(host.to_owned()).or_default() += f64::from(requests);
    }

    /// Tells a host its shares by service, from 0 to 1. Services of which too little is known are
    /// left out.
    ///
    /// A share stays as it was told until it is clearly wrong: what one host may send no more and
    /// another may send already is sent twice within a window.
    pub fn tell(&mut self, host: &str) -> BTreeMap<Arc<str>, f64> {
        let mut shares = BTreeMap::new();
        let services: Vec<Arc<str>> = self.counts.keys().cloned().collect();
        for service in services {
            let Some(total) = self.known_total(&service) else {
                continue;
            };
            let counts = self.counts.get(&service);
            let own = counts.and_then(|counts| counts.get(host));
            let share = own.copied().unwrap_or_default() / total;
            let told = self.told.entry(service.clone()).or_default();
            let told = told.entry(host.to_owned()).or_insert(share);
            if (share - *told).abs() > *told * TOLERATED_CHANGE {
                *told = share;
            }
            shares.insert(service.clone(), *told);
        }
        shares
    }

    /// Requests for a service, if these are enough to tell shares.
    fn known_total(&self, service: &str) -> Option<f64> {
        let has_learned = self.decayed_at.since(self.started) >= LEARNING_TIME;
        let total = self.counts.get(service)?.values().sum();
        (has_learned && total >= MIN_REQUESTS).then_some(total)
    }

    /// Number of requests that all hosts together may send to a server with a limit without asking;
    /// `hosts` hosts have equal parts where shares are not known.
    pub fn divided_requests(&self, service: &str, limit: RateLimit, hosts: usize) -> u32 {
        match self.told.get(service) {
            Some(told) => told
                .values()
                .map(|share| limit.divided_requests(*share))
                .sum(),
            None => {
                let hosts = hosts.max(1);
                limit.divided_requests(1.0 / hosts as f64) * hosts as u32
            }
        }
    }

    fn decay(&mut self, now: Time) {
        let age = now.since(self.decayed_at);
        self.decayed_at = now;
        let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for counts in self.counts.values_mut() {
            counts.retain(|_, count| {
                *count *= factor;
                *count >= FORGOTTEN_REQUESTS
            });
        }
        for (service, told) in &mut self.told {
            let counts = self.counts.get(service);
            told.retain(|host, _| counts.is_some_and(|counts| counts.contains_key(host)));
        }
    }
}
