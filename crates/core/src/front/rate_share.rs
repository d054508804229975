//! This host's share of a rate limit that applies to all hosts together.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Fraction of a share below one request per window that is used: hosts that send rarely may all
/// send within the same window.
const LOW_RATE_FACTOR: f64 = 0.4;
/// Smallest fraction of a request per window that is told from none.
const MIN_SHARE: f64 = 0.01;
/// Fraction of a share that is left to more urgent requests, if there have been any.
const URGENT_FRACTION: f64 = 0.25;

/// Most requests that all hosts together may send within any window, to a server or for a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateBound {
    /// Number of requests.
    pub requests: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Limits the requests that this host sends to one server or for one tenant.
///
/// The limit applies to all hosts together, including those that cannot reach each other, so each
/// host uses its share of it without coordination.
#[derive(Clone, Debug, Default)]
pub struct RateShareLimiter {
    send_times: VecDeque<Time>,
    started: bool,
    /// The priority of the most urgent request lately, and when it came.
    most_urgent: Option<(u8, Time)>,
}

impl RateShareLimiter {
    /// Returns whether another request may be sent now, if this host has the part `share`, from 0 to
    /// 1, of what `bound` allows to all hosts.
    ///
    /// `phase`, from 0 to 1 and different on every host, is the part of the first window that
    /// counts as elapsed at the first call, for shares below one request per window. It keeps hosts
    /// that start at the same time from sending at the same time.
    pub fn allows(&mut self, now: Time, bound: RateBound, share: f64, phase: f64) -> bool {
        self.has_room(now, bound, share, phase, 0)
    }

    /// Returns whether another request of a priority may be sent now; zero is the most urgent.
    ///
    /// While there are more urgent requests, a part of the share is left to them.
    pub fn allows_priority(
        &mut self,
        now: Time,
        bound: RateBound,
        share: f64,
        phase: f64,
        priority: u8,
    ) -> bool {
        let is_recent = |at: Time| now.since(at) < bound.window;
        let more_urgent = self
            .most_urgent
            .is_some_and(|(urgent, at)| urgent < priority && is_recent(at));
        if !more_urgent {
            self.most_urgent = Some((priority, now));
        }
        let reserved = if more_urgent {
            (share * bound.requests * URGENT_FRACTION) as usize
        } else {
            0
        };
        self.has_room(now, bound, share, phase, reserved)
    }

    fn has_room(
        &mut self,
        now: Time,
        bound: RateBound,
        share: f64,
        phase: f64,
        reserved: usize,
    ) -> bool {
        let own = share * bound.requests;
        let (count, window) = if own >= 1.0 {
            (own.floor() as usize, bound.window)
        } else {
            let usable = (own * LOW_RATE_FACTOR).max(MIN_SHARE);
            (1, bound.window.div_f64(usable))
        };
        if !self.started {
            self.started = true;
            if own < 1.0 {
                self.send_times
                    .push_back(now - window.mul_f64(phase.clamp(0.0, 1.0)));
            }
        }
        while self
            .send_times
            .front()
            .is_some_and(|at| now.since(*at) >= window)
        {
            self.send_times.pop_front();
        }
        self.send_times.len() + reserved < count
    }

    /// Counts a request that was sent.
    pub fn record_send(&mut self, now: Time) {
        self.send_times.push_back(now);
    }

    /// Takes back a request that was counted at the time given; returns whether there was one.
    pub fn take_back(&mut self, sent: Time) -> bool {
        let position = self.send_times.iter().rposition(|at| *at == sent);
        position.is_some_and(|index| self.send_times.remove(index).is_some())
    }

    /// When the earliest request that still counts was sent.
    pub fn oldest(&self) -> Option<Time> {
        self.send_times.front().copied()
    }

    /// Clears the history; called for a server to which no limit applies.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
