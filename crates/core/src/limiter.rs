//! How many orders one backend server may have running.

use std::time::Duration;

use crate::catalogue::Limits;
use crate::time::Time;

/// Completions that the usual latency is averaged over.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Latency over the usual one that counts as a jump.
const JUMP_FACTOR: f64 = 4.0;
/// Completions in a row above the jump after which the server counts as a straggler.
const STRAGGLER_STREAK: u32 = 3;
/// The part of the gap to the full limit that a round of good completions closes.
const GROWTH: f64 = 0.5;
/// Time without a bad sign that counts as one more round of good completions.
const GROWTH_PERIOD: Duration = Duration::from_millis(50);
/// Rounds that one completion can stand for.
const ROUNDS_LIMIT: u128 = 4;
/// Time between two reactions to bad signs.
const REACTION_PAUSE: Duration = Duration::from_millis(100);

/// The admission limit of a backend server.
///
/// It starts at what the server bears cold, grows only on completions at usual latency, and
/// falls back at once on a bad sign; see `docs/load.md`, "Cold starts".
#[derive(Clone, Debug)]
pub struct Limiter {
    cold: f64,
    full: f64,
    warm_up: Duration,
    cold_until: Time,
    current: f64,
    usual_micros: Option<f64>,
    recent_micros: f64,
    reacted: Time,
    streak: u32,
    grown: Time,
}

impl Limiter {
    /// Makes a limiter for a server that is taken to have started now.
    pub fn new(limits: &Limits, now: Time) -> Self {
        let cold = f64::from(limits.cold_slots);
        let warm_up = Duration::from_millis(u64::from(limits.warm_up));
        Self {
            cold,
            full: f64::from(limits.slots),
            warm_up,
            cold_until: now + warm_up,
            current: cold,
            usual_micros: None,
            recent_micros: 0.0,
            reacted: Time::ZERO,
            streak: 0,
            grown: now,
        }
    }

    /// Orders that may run at the same time.
    pub fn limit(&self) -> usize {
        self.current.floor() as usize
    }

    /// The latency of recent completions.
    pub fn latency(&self) -> Duration {
        Duration::from_micros(self.recent_micros as u64)
    }

    /// Takes in a completion; returns whether it was a bad sign.
    pub fn completed(&mut self, now: Time, took: Duration) -> bool {
        let micros = took.as_micros() as f64;
        self.recent_micros += (micros - self.recent_micros) * 0.2;
        let usual = *self.usual_micros.get_or_insert(micros);
        if micros > usual * JUMP_FACTOR {
            self.usual_micros = Some(usual + (micros - usual) * AVERAGE_WEIGHT * 0.2);
            self.streak += 1;
            return self.fall_back(now);
        }
        self.usual_micros = Some(usual + (micros - usual) * AVERAGE_WEIGHT);
        self.streak = 0;
        if now >= self.cold_until {
            self.grow(now);
        }
        false
    }

    /// Grows for a good completion, and for the good time since the last one.
    ///
    /// Time counts as well, so that a server with little work does not stay near its cold limit.
    fn grow(&mut self, now: Time) {
        let since = now.since(self.grown.max(self.cold_until));
        let rounds = 1 + since.as_millis() / GROWTH_PERIOD.as_millis();
        for _ in 0..rounds.min(ROUNDS_LIMIT) {
            self.current = (self.current + GROWTH / self.current).min(self.full);
        }
        self.grown = now;
    }

    /// Takes in a shed order or an error; returns whether the limit fell.
    pub fn failed(&mut self, now: Time) -> bool {
        self.fall_back(now)
    }

    /// Takes in that the server started anew.
    pub fn restarted(&mut self, now: Time) {
        self.current = self.cold;
        self.cold_until = now + self.warm_up;
    }

    /// Takes in that the server is known to be warm.
    pub fn warmed(&mut self) {
        self.current = self.full;
        self.cold_until = Time::ZERO;
    }

    /// Whether the server has turned slow, as far as its own answers show.
    pub fn is_straggling(&self) -> bool {
        self.streak >= STRAGGLER_STREAK
    }

    /// Whether the limit has reached what the server bears warm.
    pub fn is_full(&self) -> bool {
        self.current >= self.full
    }

    /// Takes in that the catalogue changed what the server bears.
    pub fn resize(&mut self, limits: &Limits) {
        self.cold = f64::from(limits.cold_slots);
        self.full = f64::from(limits.slots);
        self.warm_up = Duration::from_millis(u64::from(limits.warm_up));
        self.current = self.current.clamp(self.cold, self.full);
    }

    fn fall_back(&mut self, now: Time) -> bool {
        let fell = self.current > self.cold && now.since(self.reacted) >= REACTION_PAUSE;
        self.reacted = now;
        self.restarted(now);
        fell
    }
}
