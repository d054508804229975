//! The adaptive concurrency limit of a backend server.

use std::time::Duration;

use crate::catalogue::Limits;
use crate::time::Time;

/// Weight of one completion in the moving average of the baseline latency.
const BASELINE_WEIGHT: f64 = 0.05;
/// Multiple of the baseline latency above which a completion counts as slow.
const SLOW_FACTOR: f64 = 4.0;
/// Consecutive slow completions after which the server counts as slow.
const MIN_SLOW_STREAK: u32 = 3;
/// Increase of the limit per round, that is, per `limit()` good completions.
const GROWTH_PER_ROUND: f64 = 0.5;
/// Time between good completions that raises the limit as much as one more completion.
const GROWTH_PERIOD: Duration = Duration::from_millis(50);
/// The most growth steps for one good completion, the one for the completion itself included.
const MAX_GROWTH_STEPS: u128 = 4;
/// Time without an overload signal before the next one counts as a drop of the limit.
const MIN_DROP_INTERVAL: Duration = Duration::from_millis(100);

/// The adaptive limit on concurrent orders of a backend server.
///
/// It starts at `cold_slots`, grows only on completions at baseline latency, and drops back to
/// `cold_slots` at once on an overload signal; see `docs/load.md`, "Cold starts".
#[derive(Clone, Debug)]
pub struct Limiter {
    cold_limit: f64,
    full_limit: f64,
    warm_up: Duration,
    warmup_end: Time,
    current_limit: f64,
    baseline_micros: Option<f64>,
    average_micros: f64,
    last_overload: Time,
    slow_streak: u32,
    last_growth: Time,
}

impl Limiter {
    /// Creates a limiter for a server that is assumed to have started now.
    pub fn new(limits: &Limits, now: Time) -> Self {
        let cold_limit = f64::from(limits.cold_slots);
        let warm_up = Duration::from_millis(u64::from(limits.warm_up));
        Self {
            cold_limit,
            full_limit: f64::from(limits.slots),
            warm_up,
            warmup_end: now + warm_up,
            current_limit: cold_limit,
            baseline_micros: None,
            average_micros: 0.0,
            last_overload: Time::ZERO,
            slow_streak: 0,
            last_growth: now,
        }
    }

    /// The number of orders that may run concurrently.
    pub fn limit(&self) -> usize {
        self.current_limit.floor() as usize
    }

    /// The moving average of the latency over recent completions.
    pub fn latency(&self) -> Duration {
        Duration::from_micros(self.average_micros as u64)
    }

    /// Records a completion; returns whether it counts as a drop of the limit.
    pub fn record_completion(&mut self, now: Time, took: Duration) -> bool {
        let micros = took.as_micros() as f64;
        self.average_micros += (micros - self.average_micros) * 0.2;
        let baseline = *self.baseline_micros.get_or_insert(micros);
        if micros > baseline * SLOW_FACTOR {
            self.baseline_micros = Some(baseline + (micros - baseline) * BASELINE_WEIGHT * 0.2);
            self.slow_streak += 1;
            return self.drop_to_cold(now);
        }
        self.baseline_micros = Some(baseline + (micros - baseline) * BASELINE_WEIGHT);
        self.slow_streak = 0;
        if now >= self.warmup_end {
            self.grow(now);
        }
        false
    }

    /// Raises the limit for a good completion and for the time since the last one.
    ///
    /// Time counts too, so that a server with little load does not stay near its cold limit.
    fn grow(&mut self, now: Time) {
        let elapsed = now.since(self.last_growth.max(self.warmup_end));
        let steps = 1 + elapsed.as_millis() / GROWTH_PERIOD.as_millis();
        for _ in 0..steps.min(MAX_GROWTH_STEPS) {
            self.current_limit =
                (self.current_limit + GROWTH_PER_ROUND / self.current_limit).min(self.full_limit);
        }
        self.last_growth = now;
    }

    /// Records a shed order or an error; returns whether it counts as a drop of the limit.
    pub fn record_overload(&mut self, now: Time) -> bool {
        self.drop_to_cold(now)
    }

    /// Resets the limit to `cold_slots` for a new warm-up period.
    pub fn reset_to_cold(&mut self, now: Time) {
        self.current_limit = self.cold_limit;
        self.warmup_end = now + self.warm_up;
    }

    /// Raises the limit to `slots`, for a server that is known to be warm.
    pub fn mark_warm(&mut self) {
        self.current_limit = self.full_limit;
        self.warmup_end = Time::ZERO;
    }

    /// Whether the latest completions were all slow compared with the server's own baseline.
    pub fn is_slow(&self) -> bool {
        self.slow_streak >= MIN_SLOW_STREAK
    }

    /// Whether the limit has reached `slots`.
    pub fn is_fully_warm(&self) -> bool {
        self.current_limit >= self.full_limit
    }

    /// Applies changed limits of the catalogue entry.
    pub fn resize(&mut self, limits: &Limits) {
        self.cold_limit = f64::from(limits.cold_slots);
        self.full_limit = f64::from(limits.slots);
        self.warm_up = Duration::from_millis(u64::from(limits.warm_up));
        self.current_limit = self.current_limit.clamp(self.cold_limit, self.full_limit);
    }

    fn drop_to_cold(&mut self, now: Time) -> bool {
        let dropped = self.current_limit > self.cold_limit
            && now.since(self.last_overload) >= MIN_DROP_INTERVAL;
        self.last_overload = now;
        self.reset_to_cold(now);
        dropped
    }
}
