//! Expected work of requests, by route and service, and the speed of servers.

use std::collections::HashMap;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::time::Time;

/// Number of routes and of servers that are remembered; the least recently used is forgotten first.
/// A host of the design scale serves fewer than this, so that callers get measured estimates.
const CAPACITY: usize = 512;
/// Weight of the latest error in the mean error and the mean absolute error of an estimate.
const ERROR_WEIGHT: f64 = 0.1;
/// Spreads beyond which an error counts no more towards that: one outlier is no change of the work.
const MAX_ERROR_SPREADS: f64 = 2.5;
/// Minimum weight of the latest measurement: callers need an estimate that one outlier hardly moves.
const MIN_GAIN: f64 = 0.03;
/// Maximum weight of it: callers need an estimate that follows a threefold change within ten requests.
const MAX_GAIN: f64 = 0.5;
/// Spread that is assumed after one measurement, as a fraction of the mean.
const INITIAL_SPREAD: f64 = 0.5;
/// Weight of the latest measurement in the speed of a server.
const SPEED_WEIGHT: f64 = 0.1;
/// Range of one measurement of a server's speed, so that a single request decides little.
const SPEED_RANGE: [f64; 2] = [0.25, 4.0];
/// Half-life of a deviation while nothing is measured, so that callers are not refused for long
/// because of what was true once.
const IDLE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Spreads below the mean that a request is certain to take, for almost all requests.
const CERTAIN_SPREADS: f64 = 2.0;

/// Identifies the requests of a route to a service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkKey(u64);

impl WorkKey {
    /// The key of a route and a service.
    pub fn new(route: &str, service: &str) -> Self {
        Self(xxh3_64_with_seed(
            route.as_bytes(),
            xxh3_64(service.as_bytes()),
        ))
    }
}

/// The expected work of a request: the time that a server executes it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkEstimate {
    /// Mean.
    pub mean: Duration,
    /// Mean absolute deviation from it.
    pub spread: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Measured {
    mean: f64,
    spread: f64,
    /// Mean of the signed errors: far from zero while the estimate is wrong in one direction.
    error: f64,
    count: u32,
    updated: Time,
}

#[derive(Clone, Copy, Debug)]
struct Speed {
    /// Duration of work, relative to the mean of its route.
    ratio: f64,
    updated: Time,
}

/// Estimates from the requests that this host has sent.
///
/// The weight of a measurement follows from how one-sided the latest errors are (a tracking signal):
/// noise has little weight, and a change of the work is followed within some requests.
#[derive(Clone, Debug, Default)]
pub struct WorkEstimates {
    routes: HashMap<WorkKey, Measured>,
    servers: HashMap<u64, Speed>,
}

impl WorkEstimates {
    /// Records that a server has executed a request within the given time.
    pub fn record(&mut self, now: Time, key: WorkKey, server: &str, work: Duration) {
        let micros = work.as_micros() as f64;
        let server = xxh3_64(server.as_bytes());
        let ratio = self.speed(now, server);
        self.update(now, key, micros / ratio);
        let mean = self.routes.get(&key).map_or(micros, |known| known.mean);
        let sample = (micros / mean.max(1.0)).clamp(SPEED_RANGE[0], SPEED_RANGE[1]);
        evict(&mut self.servers, server, |speed| speed.updated);
        self.servers.insert(
            server,
            Speed {
                ratio: ratio + (sample - ratio) * SPEED_WEIGHT,
                updated: now,
            },
        );
    }

    /// Records that a request has had no answer after the given time, which raises a lower estimate.
    pub fn record_overrun(&mut self, now: Time, key: WorkKey, age: Duration) {
        let micros = age.as_micros() as f64;
        if self
            .routes
            .get(&key)
            .is_some_and(|known| micros > known.mean)
        {
            self.update(now, key, micros);
        }
    }

    /// The expected work of a request, at a server if one is given.
    ///
    /// Without measurements, `baseline` is assumed; a higher estimate returns to it while nothing is
    /// measured.
    pub fn estimate(
        &self,
        now: Time,
        key: WorkKey,
        server: Option<&str>,
        baseline: Duration,
    ) -> WorkEstimate {
        let Some(known) = self.routes.get(&key) else {
            return WorkEstimate {
                mean: baseline,
                spread: baseline.mul_f64(INITIAL_SPREAD),
            };
        };
        let floor = known.mean.min(baseline.as_micros() as f64);
        let mean = floor + (known.mean - floor) * remaining(now, known.updated);
        let ratio = server.map_or(1.0, |server| self.speed(now, xxh3_64(server.as_bytes())));
        let duration = |micros: f64| Duration::from_micros((micros * ratio).max(0.0) as u64);
        WorkEstimate {
            mean: duration(mean),
            spread: duration(known.spread),
        }
    }

    /// Time that a request takes at least, as far as is certain; it falls to zero while nothing is
    /// measured, so that a wrong estimate ends by itself.
    pub fn certain_minimum(&self, now: Time, key: WorkKey) -> Duration {
        let Some(known) = self.routes.get(&key) else {
            return Duration::ZERO;
        };
        let least = (known.mean - CERTAIN_SPREADS * known.spread).max(0.0);
        Duration::from_micros((least * remaining(now, known.updated)) as u64)
    }

    /// Number of routes and servers that are remembered.
    pub fn len(&self) -> [usize; 2] {
        [self.routes.len(), self.servers.len()]
    }

    /// Whether nothing has been measured.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    fn speed(&self, now: Time, server: u64) -> f64 {
        self.servers.get(&server).map_or(1.0, |speed| {
            1.0 + (speed.ratio - 1.0) * remaining(now, speed.updated)
        })
    }

    fn update(&mut self, now: Time, key: WorkKey, micros: f64) {
        evict(&mut self.routes, key, |known| known.updated);
        let known = self.routes.entry(key).or_insert(Measured {
            mean: micros,
            spread: micros * INITIAL_SPREAD,
            error: 0.0,
            count: 0,
            updated: now,
        });
        let error = micros - known.mean;
        let bound = known.spread.max(1.0) * MAX_ERROR_SPREADS;
        let bounded = error.clamp(-bound, bound);
        known.error += (bounded - known.error) * ERROR_WEIGHT;
        known.spread += (bounded.abs() - known.spread) * ERROR_WEIGHT;
        known.count = known.count.saturating_add(1);
        known.updated = now;
        let signal = (known.error / known.spread.max(1.0)).powi(2);
        let gain = signal.clamp(MIN_GAIN, MAX_GAIN);
        known.mean += error * gain.max(1.0 / f64::from(known.count));
    }
}

/// Makes room for one more entry if `key` is new and the map is full.
fn evict<K: Copy + Eq + std::hash::Hash + Ord, V>(
    map: &mut HashMap<K, V>,
    key: K,
    updated: impl Fn(&V) -> Time,
) {
    if map.len() < CAPACITY || map.contains_key(&key) {
        return;
    }
    let oldest = map
        .iter()
        .min_by_key(|(key, value)| (updated(value), **key));
    if let Some(oldest) = oldest.map(|(key, _)| *key) {
        map.remove(&oldest);
    }
}

fn remaining(now: Time, updated: Time) -> f64 {
    0.5_f64.powf(now.since(updated).as_secs_f64() / IDLE_HALF_LIFE.as_secs_f64())
}
