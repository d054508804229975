//! Selects which keys move to which server to even out the load of a service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Half-life of a key's request rate.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Rate below which a key is no longer tracked, in requests per second.
const MIN_TRACKED_RATE: f64 = 0.02;
/// Minimum utilization of a server from which keys are moved away.
const REBALANCE_UTILIZATION: f64 = 0.7;
/// Minimum difference in utilization between two servers for a move between them.
const MIN_UTILIZATION_GAP: f64 = 0.2;
/// Smallest rate to move, as a fraction of the source's capacity; below it, differences are noise.
const MIN_MOVE_FRACTION: f64 = 0.1;
/// Minimum reduction in the higher of the two utilizations that a move has to bring.
const MIN_UTILIZATION_GAIN: f64 = 0.1;

/// Decaying request rates of the keys of one service, summed over all hosts.
#[derive(Clone, Debug, Default)]
pub struct KeyRates {
    rates: BTreeMap<u16, f64>,
    decayed_at: Time,
}

impl KeyRates {
    /// Adds the requests that one host received since its last report.
    pub fn record(&mut self, now: Time, counts: impl IntoIterator<Item = (u16, u32)>) {
        self.decay(now);
        let increment = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        for (key, count) in counts {
            *self.rates.entry(key).or_default() += f64::from(count) * increment;
        }
    }

    /// Requests per second for the keys `from..=to`.
    pub fn rate(&self, from: u16, to: u16) -> f64 {
        self.rates.range(from..=to).map(|(_, rate)| rate).sum()
    }

    /// Returns the narrowest range of keys within `from..=to` with a rate of at least `min_rate`
    /// requests per second.
    ///
    /// A narrow range leaves most keys, and the state that their server has cached for them, in
    /// place.
    pub fn hottest_range(&self, from: u16, to: u16, min_rate: f64) -> Option<(u16, u16)> {
        let keys: Vec<(u16, f64)> = self
            .rates
            .range(from..=to)
            .map(|(key, rate)| (*key, *rate))
            .collect();
        let mut best: Option<(u16, u16)> = None;
        let mut first = 0;
        let mut sum = 0.0;
        for (last, rate) in &keys {
            sum += rate;
            while sum - keys[first].1 >= min_rate {
                sum -= keys[first].1;
                first += 1;
            }
            let range = (keys[first].0, *last);
            let narrower = best.is_none_or(|(a, b)| range.1 - range.0 < b - a);
            if sum >= min_rate && narrower {
                best = Some(range);
            }
        }
        best
    }

    /// Decays the rates for the time since the last decay, at most every 50 ms.
    pub fn decay(&mut self, now: Time) {
        let age = now.since(self.decayed_at).as_secs_f64();
        if age < 0.05 {
            return;
        }
        self.decayed_at = now;
        let factor = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.rates.retain(|_, rate| {
            *rate *= factor;
            *rate >= MIN_TRACKED_RATE
        });
    }
}

/// Load of one server, as an input to rebalancing.
#[derive(Clone, Debug)]
pub struct ServerUsage {
    /// Identifier of the server.
    pub id: Arc<str>,
    /// Requests per second for the keys of the server.
    pub rate: f64,
    /// Requests per second that the server can serve.
    pub capacity: f64,
    /// Number of keys that the server holds or is about to receive.
    pub keys: u32,
    /// Whether the server may receive more keys.
    pub accepts_keys: bool,
}

impl ServerUsage {
    fn utilization(&self) -> f64 {
        self.rate / self.capacity.max(0.1)
    }
}

/// A pair of servers between which load should move.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveCandidate {
    /// Index of the server that gives up keys.
    pub source: usize,
    /// Index of the least utilized server.
    pub target: usize,
    /// Requests per second that should move.
    pub rate: f64,
}

impl MoveCandidate {
    /// Returns the most utilized server outside `skipped` and the least utilized one, if their
    /// utilizations differ enough.
    ///
    /// The target is filled up to the mean utilization of all servers, so that keys that become hot
    /// together spread over as many servers as they need.
    pub fn find(servers: &[ServerUsage], skipped: &[usize]) -> Option<Self> {
        let by_utilization = |a: &usize, b: &usize| {
            let (a, b) = (servers[*a].utilization(), servers[*b].utilization());
            a.total_cmp(&b)
        };
        let indices = 0..servers.len();
        let source = indices
            .clone()
            .filter(|index| !skipped.contains(index))
            .max_by(by_utilization)?;
        let target = indices
            .filter(|index| servers[*index].accepts_keys)
            .min_by(by_utilization)?;
        let (busiest, least_busy) = (&servers[source], &servers[target]);
        let difference = busiest.utilization() - least_busy.utilization();
        if busiest.utilization() < REBALANCE_UTILIZATION || difference < MIN_UTILIZATION_GAP {
            return None;
        }
        let total_rate: f64 = servers.iter().map(|server| server.rate).sum();
        let total_capacity: f64 = servers.iter().map(|server| server.capacity).sum();
        let mean = total_rate / total_capacity.max(0.1);
        let combined_utilization =
            (busiest.rate + least_busy.rate) / (busiest.capacity + least_busy.capacity).max(0.1);
        let headroom = mean.max(combined_utilization.min(REBALANCE_UTILIZATION))
            * least_busy.capacity
            - least_busy.rate;
        let rate = (busiest.rate - combined_utilization * busiest.capacity).min(headroom.max(0.1));
        let worthwhile = rate >= busiest.capacity * MIN_MOVE_FRACTION;
        worthwhile.then_some(Self {
            source,
            target,
            rate,
        })
    }

    /// Returns the server with the lowest utilization after receiving `extra_rate` requests per
    /// second, if that is clearly below the present utilization of the source.
    ///
    /// Without this condition, a single key that overloads every server would move back and forth
    /// forever.
    pub fn best_target(&self, servers: &[ServerUsage], extra_rate: f64) -> Option<usize> {
        let utilization_after = |index: &usize| {
            let receiver = &servers[*index];
            (receiver.rate + extra_rate) / receiver.capacity.max(0.1)
        };
        let receivers = (0..servers.len()).filter(|index| servers[*index].accepts_keys);
        let best = receivers
            .filter(|index| *index != self.source)
            .min_by(|a, b| utilization_after(a).total_cmp(&utilization_after(b)))?;
        (utilization_after(&best) + MIN_UTILIZATION_GAIN <= servers[self.source].utilization())
            .then_some(best)
    }
}
