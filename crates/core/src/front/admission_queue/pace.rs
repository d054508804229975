//! How often capacity becomes available, by service and, with keys, by server.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::ServerKey;
use crate::time::Time;

/// Number of services and servers with keys that are remembered; the one whose last attempt ended
/// first is forgotten first.
const CAPACITY: usize = 512;
/// Weight of the latest measurement.
const WEIGHT: f64 = 0.1;
/// Longest interval that is measured, in microseconds: callers wait at most a few seconds.
const MAX_INTERVAL_US: f64 = 5e6;
/// Share of the ends of attempts that let another request be sent, before it is measured.
const INITIAL_YIELD: f64 = 0.5;
/// Minimum of that share, so that a bad moment does not keep all callers out of the queue.
const MIN_YIELD: f64 = 0.1;

type Group = (Arc<str>, Option<ServerKey>);

#[derive(Clone, Copy, Debug)]
struct Pace {
    /// Mean time between the ends of two attempts; zero before the second.
    interval_us: f64,
    last_end: Time,
    /// Share of these ends after which a request that waits is sent: other hosts use the capacity
    /// too.
    yields: f64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Paces {
    groups: BTreeMap<Group, Pace>,
}

impl Paces {
    pub(super) fn record_end(&mut self, now: Time, service: &Arc<str>, server: Option<ServerKey>) {
        let group = (service.clone(), server);
        if let Some(pace) = self.groups.get_mut(&group) {
            let sample = (now.since(pace.last_end).as_micros() as f64).min(MAX_INTERVAL_US);
            let is_first = pace.interval_us == 0.0;
            let weight = if is_first { 1.0 } else { WEIGHT };
            pace.interval_us += (sample - pace.interval_us) * weight;
            pace.last_end = now;
            return;
        }
        if self.groups.len() >= CAPACITY {
            let oldest = self.groups.iter().min_by_key(|(_, pace)| pace.last_end);
            if let Some(oldest) = oldest.map(|(group, _)| group.clone()) {
                self.groups.remove(&oldest);
            }
        }
        let pace = Pace {
            interval_us: 0.0,
            last_end: now,
            yields: INITIAL_YIELD,
        };
        self.groups.insert(group, pace);
    }

    /// Records whether a request could be sent after the end of an attempt.
    pub(super) fn record_trial(
        &mut self,
        service: &Arc<str>,
        server: Option<ServerKey>,
        is_sent: bool,
    ) {
        if let Some(pace) = self.groups.get_mut(&(service.clone(), server)) {
            let sample = if is_sent { 1.0 } else { 0.0 };
            pace.yields += (sample - pace.yields) * WEIGHT;
        }
    }

    /// Expected time between two requests that leave the queue, if it is known.
    pub(super) fn interval(
        &self,
        now: Time,
        service: &Arc<str>,
        server: Option<ServerKey>,
    ) -> Option<Duration> {
        let pace = self.groups.get(&(service.clone(), server))?;
        if pace.interval_us == 0.0 {
            return None;
        }
        // While nothing ends, the pace is slower than it was.
        let silence = now.since(pace.last_end).as_micros() as f64 / 2.0;
        let interval = pace.interval_us.max(silence) / pace.yields.max(MIN_YIELD);
        Some(Duration::from_micros(interval as u64))
    }
}
