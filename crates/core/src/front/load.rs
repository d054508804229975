//! What one host knows of one backend server's load.

use std::time::Duration;

use crate::time::Time;

/// Weight of the newest answer in the mean time of work.
const MEAN_WEIGHT: f64 = 0.15;
/// Weight of the newest report in what others have running.
const OTHERS_WEIGHT: f64 = 0.4;
/// Requests beyond its slots that a server has at least when it turns one away.
const FULL_QUEUE: f64 = 4.0;
/// Time after which half of what others had running is taken to be done.
const OTHERS_HALF_LIFE: Duration = Duration::from_millis(700);
/// Time without an answer after which half of a server's slowness is forgotten.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);
/// Mean time of work of a service before its first answer.
pub(super) const FIRST_MEAN: Duration = Duration::from_millis(120);

/// What a server told of its load beside an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes on its machine, as a percentage of the usual time.
    pub slowness: Option<u32>,
}

/// Running requests of this host, an estimate of those of others, and how long work takes.
#[derive(Clone, Debug, Default)]
pub struct LoadView {
    started: Vec<Time>,
    others: f64,
    others_at: Time,
    mean_micros: f64,
    answered: Time,
}

impl LoadView {
    /// Takes in that a request was sent.
    pub fn sent(&mut self, now: Time) {
        self.started.push(now);
    }

    /// Takes in that a request is no longer under way.
    pub fn ended(&mut self, started: Time) {
        if let Some(index) = self.started.iter().position(|at| *at == started) {
            self.started.swap_remove(index);
        }
    }

    /// Takes in a server's report.
    pub fn reported(&mut self, now: Time, report: LoadReport) {
        let total = f64::from(report.running + report.waiting);
        let others = (total - self.started.len() as f64).max(0.0);
        let known = self.others_at(now);
        self.others = known + (others - known) * OTHERS_WEIGHT;
        self.others_at = now;
    }

    /// Takes in that the server turned a request away, so that it is full whatever was thought.
    pub fn rejected(&mut self, now: Time, slots: u32) {
        let full = f64::from(slots) + FULL_QUEUE;
        self.others = self.others_at(now).max(full - self.started.len() as f64);
        self.others_at = now;
    }

    /// Takes in how long an answer took.
    pub fn answered(&mut self, now: Time, took: Duration, usual: Duration) {
        let micros = took.as_micros() as f64;
        let known = self.mean(now, usual).as_micros() as f64;
        self.mean_micros = known + (micros - known) * MEAN_WEIGHT;
        self.answered = now;
    }

    /// Requests of this host under way.
    pub fn running(&self) -> usize {
        self.started.len()
    }

    /// Requests of all hosts that are likely under way.
    pub fn total(&self, now: Time) -> f64 {
        self.started.len() as f64 + self.others_at(now)
    }

    /// How long the oldest running request has been under way.
    pub fn oldest(&self, now: Time) -> Duration {
        let oldest = self.started.iter().min();
        oldest.map_or(Duration::ZERO, |at| now.since(*at))
    }

    /// The mean time of work, where `usual` is that of the service: what is known of this server
    /// fades while nothing is heard of it.
    pub fn mean(&self, now: Time, usual: Duration) -> Duration {
        if self.answered == Time::ZERO {
            return usual;
        }
        let usual = usual.as_micros() as f64;
        let known = fade(now.since(self.answered), SLOWNESS_HALF_LIFE);
        Duration::from_micros((usual + (self.mean_micros - usual) * known).max(0.0) as u64)
    }

    /// How long a request sent now would take at a server with so many slots.
    pub fn expected(&self, now: Time, slots: u32, usual: Duration) -> Duration {
        let slots = f64::from(slots.max(1));
        let rounds = 1.0 + ((self.total(now) + 1.0 - slots) / slots).max(0.0);
        self.mean(now, usual).mul_f64(rounds)
    }

    fn others_at(&self, now: Time) -> f64 {
        self.others * fade(now.since(self.others_at), OTHERS_HALF_LIFE)
    }
}

fn fade(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}
