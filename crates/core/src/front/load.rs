//! This host's estimate of the load of one backend server.

use std::time::Duration;

use crate::time::Time;

/// Weight of the latest answer in the mean latency of a server.
const LATENCY_WEIGHT: f64 = 0.15;
/// Minimum number of requests beyond its slots that a server is assumed to have when it rejects
/// one.
const ASSUMED_QUEUE: f64 = 4.0;
/// Half-life of the estimate of other hosts' requests in flight.
const IN_FLIGHT_HALF_LIFE: Duration = Duration::from_millis(700);
/// Half-life of a server's deviation from the baseline latency while it gives no answers.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(3);
/// Baseline latency of a service before its first answer.
pub(super) const INITIAL_LATENCY: Duration = Duration::from_millis(120);

/// Load that a server reported together with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests being executed.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Duration of work on the server's machine, as a percentage of its usual duration.
    pub duration_percent: Option<u32>,
}

/// Load of one server: requests of this host in flight, an estimate of those of other hosts, and
/// the mean latency.
#[derive(Clone, Debug, Default)]
pub struct ServerLoad {
    in_flight: Vec<Time>,
    remote_requests: f64,
    remote_updated: Time,
    mean_micros: f64,
    last_answer: Time,
}

impl ServerLoad {
    /// Records that a request was sent.
    pub fn request_sent(&mut self, now: Time) {
        self.in_flight.push(now);
    }

    /// Records that a request sent at `started` is no longer in flight.
    pub fn request_ended(&mut self, started: Time) {
        if let Some(index) = self.in_flight.iter().position(|at| *at == started) {
            self.in_flight.swap_remove(index);
        }
    }

    /// Records a load report of the server.
    ///
    /// `weight` is that of the report against the estimate so far.
    pub fn record_report(&mut self, now: Time, report: LoadReport, typical: f64, weight: f64) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let remote_requests = (total - self.in_flight.len() as f64).max(0.0);
        let prior = self.decayed_remote(now, typical);
        self.remote_requests = prior + (remote_requests - prior) * weight;
        self.remote_updated = now;
    }

    /// Records that the server rejected a request, so that it must be full whatever the estimate
    /// was.
    pub fn record_rejection(&mut self, now: Time, slots: u32, typical: f64) {
        let full = f64::from(slots) + ASSUMED_QUEUE;
        self.remote_requests = self
            .decayed_remote(now, typical)
            .max(full - self.in_flight.len() as f64);
        self.remote_updated = now;
    }

    /// Records the latency of an answer.
    pub fn record_latency(&mut self, now: Time, latency: Duration, baseline_latency: Duration) {
        let micros = latency.as_micros() as f64;
        let prior = self.mean_latency(now, baseline_latency).as_micros() as f64;
        self.mean_micros = prior + (micros - prior) * LATENCY_WEIGHT;
        self.last_answer = now;
    }

    /// Requests of this host in flight.
    pub fn own_in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Estimated requests of all hosts in flight.
    ///
    /// `typical` is the mean of other hosts' requests at a server of the service, which is assumed
    /// while nothing newer is known.
    pub fn total_in_flight(&self, now: Time, typical: f64) -> f64 {
        self.in_flight.len() as f64 + self.decayed_remote(now, typical)
    }

    /// Time since the oldest request in flight was sent.
    pub fn oldest_age(&self, now: Time) -> Duration {
        let oldest = self.in_flight.iter().min();
        oldest.map_or(Duration::ZERO, |at| now.since(*at))
    }

    /// The mean latency of this server; while no answers arrive, it returns to `baseline_latency`,
    /// that of the service.
    pub fn mean_latency(&self, now: Time, baseline_latency: Duration) -> Duration {
        if self.last_answer == Time::ZERO {
            return baseline_latency;
        }
        let baseline_latency = baseline_latency.as_micros() as f64;
        let remaining = decay_factor(now.since(self.last_answer), LATENCY_HALF_LIFE);
        Duration::from_micros(
            (baseline_latency + (self.mean_micros - baseline_latency) * remaining).max(0.0) as u64,
        )
    }

    /// Expected latency of a request sent now, if the server has `slots` slots.
    pub fn expected_latency(
        &self,
        now: Time,
        slots: u32,
        baseline_latency: Duration,
        typical: f64,
    ) -> Duration {
        let slots = f64::from(slots.max(1));
        let rounds = 1.0 + ((self.total_in_flight(now, typical) + 1.0 - slots) / slots).max(0.0);
        self.mean_latency(now, baseline_latency).mul_f64(rounds)
    }

    fn decayed_remote(&self, now: Time, typical: f64) -> f64 {
        let remaining = decay_factor(now.since(self.remote_updated), IN_FLIGHT_HALF_LIFE);
        typical + (self.remote_requests - typical) * remaining
    }
}

pub(super) fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
