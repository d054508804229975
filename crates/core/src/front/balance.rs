//! Which keys move to which server so that no server is much busier than the others.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Time after which half of a key's past requests no longer count.
const HALF_LIFE: Duration = Duration::from_millis(1_500);
/// Rates below which a key is forgotten, in requests a second.
const FORGOTTEN: f64 = 0.02;
/// Utilization above which a server gives keys away.
const BUSY: f64 = 0.7;
/// Difference of utilization that is worth a move.
const GAP: f64 = 0.2;
/// Part of a server's capacity below which a move only follows chance.
const SMALLEST_PART: f64 = 0.1;
/// Utilization by which the busier of two servers has to gain for a move to be made.
const GAIN: f64 = 0.1;

/// Requests a second for each key of one service, over all hosts.
#[derive(Clone, Debug, Default)]
pub struct KeyHeat {
    rates: BTreeMap<u16, f64>,
    faded: Time,
}

impl KeyHeat {
    /// Takes in requests that one host had within a span of time.
    pub fn add(&mut self, now: Time, counts: impl IntoIterator<Item = (u16, u32)>) {
        self.fade(now);
        let unit = std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64();
        for (key, count) in counts {
            *self.rates.entry(key).or_default() += f64::from(count) * unit;
        }
    }

    /// Requests a second for a range of keys.
    pub fn rate(&self, from: u16, to: u16) -> f64 {
        self.rates.range(from..=to).map(|(_, rate)| rate).sum()
    }

    /// The narrowest range of keys within a span that has at least so many requests a second.
    ///
    /// Narrow ranges leave most keys, and what their server remembers of them, in place.
    pub fn hottest(&self, from: u16, to: u16, wanted: f64) -> Option<(u16, u16)> {
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
            while sum - keys[first].1 >= wanted {
                sum -= keys[first].1;
                first += 1;
            }
            let range = (keys[first].0, *last);
            let narrower = best.is_none_or(|(a, b)| range.1 - range.0 < b - a);
            if sum >= wanted && narrower {
                best = Some(range);
            }
        }
        best
    }

    /// Takes in that time has passed.
    pub fn fade(&mut self, now: Time) {
        let age = now.since(self.faded).as_secs_f64();
        if age < 0.05 {
            return;
        }
        self.faded = now;
        let factor = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.rates.retain(|_, rate| {
            *rate *= factor;
            *rate >= FORGOTTEN
        });
    }
}

/// One server's part in the balance of a service.
#[derive(Clone, Debug)]
pub struct ServerHeat {
    /// The server.
    pub id: Arc<str>,
    /// Requests a second for its keys.
    pub rate: f64,
    /// Requests a second that it can serve.
    pub capacity: f64,
    /// Keys that it holds or is about to get.
    pub keys: u32,
    /// Whether it may get more keys.
    pub takes: bool,
}

impl ServerHeat {
    fn utilization(&self) -> f64 {
        self.rate / self.capacity.max(0.1)
    }
}

/// Two servers between which load should move.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The index of the server that gives keys away.
    pub source: usize,
    /// The index of the least busy server.
    pub target: usize,
    /// Requests a second that should move.
    pub rate: f64,
}

impl Candidate {
    /// The busiest server that is not among the `stuck` ones, and the least busy one, if they are
    /// far enough apart.
    ///
    /// The target is filled up to the mean of all, so that keys that turn hot together spread over
    /// as many servers as they need.
    pub fn find(servers: &[ServerHeat], stuck: &[usize]) -> Option<Self> {
        let by_use = |a: &usize, b: &usize| {
            let (a, b) = (servers[*a].utilization(), servers[*b].utilization());
            a.total_cmp(&b)
        };
        let indices = 0..servers.len();
        let source = indices
            .clone()
            .filter(|index| !stuck.contains(index))
            .max_by(by_use)?;
        let target = indices
            .filter(|index| servers[*index].takes)
            .min_by(by_use)?;
        let (giver, taker) = (&servers[source], &servers[target]);
        let gap = giver.utilization() - taker.utilization();
        if giver.utilization() < BUSY || gap < GAP {
            return None;
        }
        let rates: f64 = servers.iter().map(|server| server.rate).sum();
        let capacities: f64 = servers.iter().map(|server| server.capacity).sum();
        let mean = rates / capacities.max(0.1);
        let level = (giver.rate + taker.rate) / (giver.capacity + taker.capacity).max(0.1);
        let spare = mean.max(level.min(BUSY)) * taker.capacity - taker.rate;
        let rate = (giver.rate - level * giver.capacity).min(spare.max(0.1));
        let worth = rate >= giver.capacity * SMALLEST_PART;
        worth.then_some(Self {
            source,
            target,
            rate,
        })
    }

    /// The server that would be least busy with so many more requests a second, if it would be
    /// less busy than the source is now.
    ///
    /// A single key that is too much for one server only changes places otherwise, for ever.
    pub fn best_target(&self, servers: &[ServerHeat], moved: f64) -> Option<usize> {
        let after = |index: &usize| {
            let taker = &servers[*index];
            (taker.rate + moved) / taker.capacity.max(0.1)
        };
        let takers = (0..servers.len()).filter(|index| servers[*index].takes);
        let best = takers
            .filter(|index| *index != self.source)
            .min_by(|a, b| after(a).total_cmp(&after(b)))?;
        (after(&best) + GAIN <= servers[self.source].utilization()).then_some(best)
    }
}
