//! Measured service times of servers: collected by each host, merged by the leader.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::load::{LoadReport, decay_factor};
use crate::time::Time;

/// Half-life of measured answers at the leader. Machines change their speed within minutes, and a
/// server with few requests needs several seconds for [`MIN_ANSWERS`].
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Decayed number of answers from which a server's own service time is used.
const MIN_ANSWERS: f64 = 8.0;
/// Factor by which a server's service time may differ from the mean of its service, so that wrong
/// reports neither empty a server of keys nor overload it beyond this.
const MAX_DEVIATION: f64 = 3.0;
/// Fraction of a service's servers with enough answers from which their mean is used.
const MIN_MEASURED: f64 = 0.25;
/// Longest service time that is taken from a report; longer ones are errors.
const MAX_SERVICE_TIME: Duration = Duration::from_secs(600);
/// Answers of one report that are counted at most for a server, which bounds what a wrong report
/// can do.
const MAX_ANSWERS: u32 = 1_000;
/// Number of servers in one report; bounds its size at 15 KB.
const MAX_REPORTED: usize = 256;

/// Mean service time of a server as one host saw it since its last report.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceTime {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// Mean time from the start of a request's execution to its answer.
    pub mean: Duration,
    /// Number of answers.
    pub answers: u32,
}

/// Service times that a host has seen since its last report.
#[derive(Clone, Debug, Default)]
pub struct ServiceTimes {
    sums: BTreeMap<Arc<str>, (Duration, u32)>,
}

impl ServiceTimes {
    /// Records the latency of an answer with the load that the server reported.
    ///
    /// A request waits for as many others as are behind it when it ends, in a queue of steady
    /// length, so that the time in the queue can be taken off.
    pub fn record(&mut self, server: &Arc<str>, latency: Duration, report: LoadReport) {
        let queued = f64::from(report.waiting) / f64::from(report.slots.max(1));
        let (sum, answers) = self.sums.entry(server.clone()).or_default();
        *sum += latency.div_f64(1.0 + queued);
        *answers += 1;
    }

    /// Returns the service times since the last call, those of the most answers if there are too
    /// many for a report.
    pub fn take(&mut self) -> Vec<ServiceTime> {
        let sums = std::mem::take(&mut self.sums).into_iter();
        let mut times: Vec<ServiceTime> = sums
            .map(|(server, (sum, answers))| ServiceTime {
                server,
                mean: sum / answers.max(1),
                answers,
            })
            .collect();
        times.sort_by_key(|time| std::cmp::Reverse(time.answers));
        times.truncate(MAX_REPORTED);
        times
    }
}

/// Service times of servers by the reports of all hosts.
#[derive(Clone, Debug, Default)]
pub struct ServerSpeeds {
    servers: BTreeMap<Arc<str>, Measured>,
}

#[derive(Clone, Copy, Debug)]
struct Measured {
    seconds: f64,
    answers: f64,
    updated: Time,
}

impl ServerSpeeds {
    /// Adds what one host has seen since its last report.
    pub fn record(&mut self, now: Time, time: &ServiceTime) {
        if time.mean.is_zero() || time.mean > MAX_SERVICE_TIME || time.answers == 0 {
            return;
        }
        let answers = f64::from(time.answers.min(MAX_ANSWERS));
        let measured = self.servers.entry(time.server.clone()).or_insert(Measured {
            seconds: 0.0,
            answers: 0.0,
            updated: now,
        });
        let remaining = decay_factor(now.since(measured.updated), HALF_LIFE);
        measured.seconds = measured.seconds * remaining + time.mean.as_secs_f64() * answers;
        measured.answers = measured.answers * remaining + answers;
        measured.updated = now;
    }

    /// Forgets servers with too few recent answers to matter.
    pub fn forget_old(&mut self, now: Time) {
        self.servers
            .retain(|_, measured| measured.answers_at(now) >= MIN_ANSWERS / 8.0);
    }

    /// Service time of each of the servers of one service, in seconds; `None` if too few of them
    /// have been measured to say what is usual.
    pub fn service_times<'a>(
        &self,
        now: Time,
        servers: impl Iterator<Item = &'a Arc<str>>,
    ) -> Option<Vec<f64>> {
        let own: Vec<Option<f64>> = servers.map(|server| self.own_time(now, server)).collect();
        let measured: Vec<f64> = own.iter().copied().flatten().collect();
        if measured.is_empty() || (measured.len() as f64) < own.len() as f64 * MIN_MEASURED {
            return None;
        }
        let mean = measured.iter().sum::<f64>() / measured.len() as f64;
        let (min, max) = (mean / MAX_DEVIATION, mean * MAX_DEVIATION);
        let times = own.into_iter();
        Some(
            times
                .map(|time| time.unwrap_or(mean).clamp(min, max))
                .collect(),
        )
    }

    fn own_time(&self, now: Time, server: &str) -> Option<f64> {
        let measured = self.servers.get(server)?;
        let is_supported = measured.answers_at(now) >= MIN_ANSWERS;
        is_supported.then_some(measured.seconds / measured.answers)
    }
}

impl Measured {
    fn answers_at(self, now: Time) -> f64 {
        self.answers * decay_factor(now.since(self.updated), HALF_LIFE)
    }
}
