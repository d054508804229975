//! The share of each host in the requests for a service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::rate_limit::RateLimit;
use crate::time::Time;

/// Half-life of the counts: long against the spread of single requests, short against the time in
/// which callers move between hosts.
const HALF_LIFE: Duration = Duration::from_secs(3);
/// Minimum time between two decays of the counts.
const DECAY_INTERVAL: Duration = Duration::from_millis(50);
/// Number of requests below which shares say nothing.
const MIN_REQUESTS: f64 = 50.0;
/// Time in which requests are counted before shares are told: first shares that are corrected soon
/// after would be used twice.
pub(super) const LEARNING_TIME: Duration = Duration::from_secs(2);
/// Change of a share, as a fraction of it, up to which a host keeps the share that it was told.
pub(super) const TOLERATED_CHANGE: f64 = 0.25;
/// Time between two changes that a host's share takes: a window of the limit, and two heartbeats.
const CHANGE_TIME: Duration = Duration::from_millis(5_300);
/// Number of requests below which a host is forgotten.
pub(super) const FORGOTTEN_REQUESTS: f64 = 0.1;

/// Requests that callers sent to each host, from which the hosts' shares of a limit follow.
///
/// Callers choose hosts unevenly, so of a limit that is divided in equal parts a large part would
/// stay unused. The share of a host that is lost falls only with its counts: it may still serve
/// callers by the share that it was told last.
#[derive(Clone, Debug)]
pub struct DemandShares {
    started: Time,
    decay: DecayClock,
    services: BTreeMap<Arc<str>, ServiceDemand>,
}

/// When counts of requests have last been decayed.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayClock {
    last: Time,
    half_life: Duration,
}

impl DecayClock {
    pub(super) fn new(now: Time, half_life: Duration) -> Self {
        Self {
            last: now,
            half_life,
        }
    }

    /// The time of the last decay.
    pub(super) fn last(self) -> Time {
        self.last
    }

    /// The factor by which counts have decayed since the last call that returned one; `None` if it is
    /// too early for another decay.
    pub(super) fn take_factor(&mut self, now: Time) -> Option<f64> {
        let age = now.since(self.last);
        if age < DECAY_INTERVAL {
            return None;
        }
        self.last = now;
        Some(0.5_f64.powf(age.as_secs_f64() / self.half_life.as_secs_f64()))
    }
}

/// Decaying counts of the requests for one service.
#[derive(Clone, Debug, Default)]
struct ServiceDemand {
    total: f64,
    hosts: BTreeMap<String, HostDemand>,
}

#[derive(Clone, Copy, Debug, Default)]
struct HostDemand {
    requests: f64,
    /// The share that the host was told last.
    told: Option<f64>,
    /// A larger share that it is told at a later time, once the leader has counted out no more of the
    /// difference for a whole window.
    raised: Option<(f64, Time)>,
    /// A larger share that it was told before, and until when it may still have used it within a
    /// window.
    lowered: Option<(f64, Time)>,
}

impl DemandShares {
    /// Starts to count.
    pub fn new(now: Time) -> Self {
        Self {
            started: now,
            decay: DecayClock::new(now, HALF_LIFE),
            services: BTreeMap::new(),
        }
    }

    /// Adds the requests that a host received for a service.
    pub fn record(&mut self, now: Time, host: &str, service: &Arc<str>, requests: u32) {
        self.decay(now);
        let requests = f64::from(requests);
        let demand = self.services.entry(service.clone()).or_default();
        demand.total += requests;
        demand.hosts.entry(host.to_owned()).or_default().requests += requests;
    }

    /// Tells a host its shares by service, from 0 to 1. Services of which too little is known are
    /// left out.
    ///
    /// A share stays as it was told until it is clearly wrong: what one host may send no more and
    /// another may send already is sent twice within a window.
    pub fn tell(&mut self, now: Time, host: &str) -> BTreeMap<Arc<str>, f64> {
        let has_learned = self.decay.last().since(self.started) >= LEARNING_TIME;
        let known = self
            .services
            .iter_mut()
            .filter(|(_, demand)| has_learned && demand.total >= MIN_REQUESTS);
        known
            .map(|(service, demand)| (service.clone(), demand.tell(now, host)))
            .collect()
    }

    /// Number of requests that all hosts together may send to a server with a limit without asking;
    /// `hosts` hosts have equal parts where no shares have been told.
    pub fn divided_requests(
        &self,
        now: Time,
        service: &str,
        limit: RateLimit,
        hosts: usize,
    ) -> u32 {
        let demand = self.services.get(service);
        let told = demand.into_iter().flat_map(|demand| demand.hosts.values());
        let told: Vec<f64> = told.filter_map(|host| host.reserved(now)).collect();
        if told.is_empty() {
            let hosts = hosts.max(1);
            return limit.divided_requests(1.0 / hosts as f64) * hosts as u32;
        }
        told.iter()
            .map(|share| limit.divided_requests(*share))
            .sum()
    }

    fn decay(&mut self, now: Time) {
        let Some(factor) = self.decay.take_factor(now) else {
            return;
        };
        for demand in self.services.values_mut() {
            demand.total *= factor;
            demand.hosts.retain(|_, host| {
                host.requests *= factor;
                host.requests >= FORGOTTEN_REQUESTS
            });
        }
    }
}

impl ServiceDemand {
    fn tell(&mut self, now: Time, host: &str) -> f64 {
        let host = self.hosts.entry(host.to_owned()).or_default();
        host.tell(now, host.requests / self.total)
    }
}

impl HostDemand {
    fn tell(&mut self, now: Time, share: f64) -> f64 {
        let told = *self.told.get_or_insert(share);
        if let Some((raised, _)) = self.raised.take_if(|(_, at)| *at <= now) {
            self.told = Some(raised);
            return raised;
        }
        let is_wrong = (share - told).abs() > told * TOLERATED_CHANGE;
        if is_wrong && share > told {
            self.raised.get_or_insert((share, now + CHANGE_TIME));
        } else if is_wrong {
            self.raised = None;
            let used = self.lowered.filter(|(_, until)| now < *until);
            let used = used.map_or(told, |(used, _)| used.max(told));
            self.lowered = Some((used, now + CHANGE_TIME));
            self.told = Some(share);
            return share;
        }
        told
    }

    /// The largest share that the host may use within the present window.
    fn reserved(&self, now: Time) -> Option<f64> {
        let raised = self.raised.map(|(share, _)| share);
        let lowered = self.lowered.filter(|(_, until)| now < *until);
        let others = raised.into_iter().chain(lowered.map(|(share, _)| share));
        self.told.map(|told| others.fold(told, f64::max))
    }
}
