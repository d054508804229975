//! Selects which keys move to which server to even out the load of a service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Half-life of the rates that show what has become hot.
const FAST_HALF_LIFE: Duration = Duration::from_millis(600);
/// Half-life of the rates that show lasting differences.
const SLOW_HALF_LIFE: Duration = Duration::from_secs(4);
/// Standard deviations by which a rate is reduced before anything is done about it. Without that,
/// hundreds of servers with a few requests per second each would always have some that seem
/// overloaded by chance, and every move leaves its keys unserved for a moment.
const FAST_DEVIATIONS: f64 = 1.0;
const SLOW_DEVIATIONS: f64 = 1.0;
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

/// Share of the requests for a range from which one key counts as the only one.
const SINGLE_KEY_SHARE: f64 = 0.9;

/// Decaying request rates of the keys of one service, summed over all hosts.
#[derive(Clone, Debug)]
pub struct KeyRates {
    fast: DecayingRates,
    slow: DecayingRates,
    decayed_at: Time,
}

impl Default for KeyRates {
    fn default() -> Self {
        Self {
            fast: DecayingRates::new(FAST_HALF_LIFE),
            slow: DecayingRates::new(SLOW_HALF_LIFE),
            decayed_at: Time::ZERO,
        }
    }
}

impl KeyRates {
    /// Adds the requests that one host received since its last report.
    pub fn record(&mut self, now: Time, counts: impl IntoIterator<Item = (u16, u32)>) {
        self.decay(now);
        for (key, count) in counts {
            self.fast.add(key, count);
            self.slow.add(key, count);
        }
    }

    /// The rate of the keys `from..=to`.
    pub fn rate(&self, from: u16, to: u16) -> RateEstimate {
        RateEstimate {
            fast: self.fast.rate(from, to),
            slow: self.slow.rate(from, to),
        }
    }

    /// Returns the narrowest range of keys within `from..=to` with a rate of at least `min_rate`
    /// requests per second.
    ///
    /// A narrow range leaves most keys, and the state that their server has cached for them, in
    /// place.
    pub fn hottest_range(&self, from: u16, to: u16, min_rate: f64) -> Option<(u16, u16)> {
        let rates = if self.rate(from, to).is_rising() {
            &self.fast
        } else {
            &self.slow
        };
        rates.hottest_range(from, to, min_rate)
    }

    /// The lasting rate of the key with the most requests of the keys `from..=to`.
    pub fn highest_rate(&self, from: u16, to: u16) -> f64 {
        let rates = self.slow.rates.range(from..=to).map(|(_, rate)| *rate);
        rates.fold(0.0, f64::max)
    }

    /// Whether nearly all requests for the keys `from..=to` are for one of them.
    pub fn is_single_key(&self, from: u16, to: u16) -> bool {
        self.highest_rate(from, to) >= self.slow.rate(from, to) * SINGLE_KEY_SHARE
    }

    /// Returns the first key of the narrowest range up to `to`, within `from..=to`, that has the rate
    /// `min_rate`; `None` if there is none with a rate of at most `max_rate`.
    pub fn last_part(&self, from: u16, to: u16, min_rate: f64, max_rate: f64) -> Option<u16> {
        let mut sum = 0.0;
        for (key, rate) in self.slow.rates.range(from..=to).rev() {
            sum += rate;
            if sum >= min_rate {
                return (sum <= max_rate).then_some(*key);
            }
        }
        None
    }

    /// Decays the rates for the time since the last decay, at most every 50 ms.
    pub fn decay(&mut self, now: Time) {
        let age = now.since(self.decayed_at);
        if age < Duration::from_millis(50) {
            return;
        }
        self.decayed_at = now;
        self.fast.decay(age);
        self.slow.decay(age);
    }
}

/// Requests per second, as seen over a short and a longer time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateEstimate {
    fast: f64,
    slow: f64,
}

impl RateEstimate {
    /// A rate that both times show.
    pub fn steady(rate: f64) -> Self {
        Self {
            fast: rate,
            slow: rate,
        }
    }

    /// The expected rate: the higher of both.
    pub fn expected(self) -> f64 {
        self.fast.max(self.slow)
    }

    /// A rate that chance does not explain.
    pub fn certain(self) -> f64 {
        self.certain_now()
            .max(lower_bound(self.slow, SLOW_HALF_LIFE, SLOW_DEVIATIONS))
    }

    /// A rate in the last second that chance does not explain.
    pub fn certain_now(self) -> f64 {
        lower_bound(self.fast, FAST_HALF_LIFE, FAST_DEVIATIONS)
    }

    /// Whether the rate has certainly risen.
    fn is_rising(self) -> bool {
        self.certain_now() > self.slow
    }
}

impl std::ops::AddAssign for RateEstimate {
    fn add_assign(&mut self, other: Self) {
        self.fast += other.fast;
        self.slow += other.slow;
    }
}

impl std::ops::SubAssign for RateEstimate {
    fn sub_assign(&mut self, other: Self) {
        self.fast = (self.fast - other.fast).max(0.0);
        self.slow = (self.slow - other.slow).max(0.0);
    }
}

/// A rate less the given number of standard deviations of the requests that it was seen in.
fn lower_bound(rate: f64, half_life: Duration, deviations: f64) -> f64 {
    (rate - deviations * (rate / window(half_life)).sqrt()).max(0.0)
}

/// Seconds of requests that a decaying rate stands for.
fn window(half_life: Duration) -> f64 {
    half_life.as_secs_f64() / std::f64::consts::LN_2
}

/// Request rates by key with one half-life.
#[derive(Clone, Debug)]
struct DecayingRates {
    half_life: Duration,
    rates: BTreeMap<u16, f64>,
}

impl DecayingRates {
    fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            rates: BTreeMap::new(),
        }
    }

    fn add(&mut self, key: u16, count: u32) {
        *self.rates.entry(key).or_default() += f64::from(count) / window(self.half_life);
    }

    fn rate(&self, from: u16, to: u16) -> f64 {
        self.rates.range(from..=to).map(|(_, rate)| rate).sum()
    }

    fn hottest_range(&self, from: u16, to: u16, min_rate: f64) -> Option<(u16, u16)> {
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

    fn decay(&mut self, age: Duration) {
        let factor = 0.5_f64.powf(age.as_secs_f64() / self.half_life.as_secs_f64());
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
    /// Requests for the keys of the server.
    pub rate: RateEstimate,
    /// Requests per second that the server can serve.
    pub capacity: f64,
    /// Number of keys that the server holds or is about to receive.
    pub keys: u32,
    /// Whether the server may receive more keys.
    pub accepts_keys: bool,
}

impl ServerUsage {
    /// Expected utilization.
    pub(super) fn utilization(&self) -> f64 {
        self.rate.expected() / self.capacity.max(0.1)
    }

    /// Utilization that chance does not explain.
    fn certain_utilization(&self) -> f64 {
        self.rate.certain() / self.capacity.max(0.1)
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
        let indices = 0..servers.len();
        let source = indices
            .clone()
            .filter(|index| !skipped.contains(index))
            .max_by(|a, b| {
                let (a, b) = (&servers[*a], &servers[*b]);
                a.certain_utilization().total_cmp(&b.certain_utilization())
            })?;
        let target = indices
            .filter(|index| servers[*index].accepts_keys)
            .min_by(|a, b| {
                let (a, b) = (&servers[*a], &servers[*b]);
                a.utilization().total_cmp(&b.utilization())
            })?;
        let (busiest, least_busy) = (&servers[source], &servers[target]);
        let total_rate: f64 = servers.iter().map(|server| server.rate.expected()).sum();
        let total_capacity: f64 = servers.iter().map(|server| server.capacity).sum();
        let mean = total_rate / total_capacity.max(0.1);
        let difference = busiest.certain_utilization() - least_busy.utilization();
        if busiest.certain_utilization() < REBALANCE_UTILIZATION || difference < MIN_UTILIZATION_GAP
        {
            return None;
        }
        let (busy_rate, target_rate) = (busiest.rate.certain(), least_busy.rate.expected());
        let combined_utilization =
            (busy_rate + target_rate) / (busiest.capacity + least_busy.capacity).max(0.1);
        let headroom = mean.max(combined_utilization.min(REBALANCE_UTILIZATION))
            * least_busy.capacity
            - target_rate;
        let rate = (busy_rate - combined_utilization * busiest.capacity).min(headroom.max(0.1));
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
            (receiver.rate.expected() + extra_rate) / receiver.capacity.max(0.1)
        };
        let receivers = (0..servers.len()).filter(|index| servers[*index].accepts_keys);
        let best = receivers
            .filter(|index| *index != self.source)
            .min_by(|a, b| utilization_after(a).total_cmp(&utilization_after(b)))?;
        let before = servers[self.source].certain_utilization();
        (utilization_after(&best) + MIN_UTILIZATION_GAIN <= before).then_some(best)
    }
}
