//! This host's share of the request rate that a cold backend server accepts.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// Window of the rate limit of a cold server (1 s), with a margin for requests that arrive closer
/// together than they were sent.
const WINDOW: Duration = Duration::from_millis(1_150);

/// Fraction of a share below one request per second that is used: hosts that send rarely may all
/// send within the same second.
const LOW_RATE_FACTOR: f64 = 0.4;

/// Limits the requests that this host sends to one cold server.
///
/// The limit applies to all hosts together, including those that cannot reach each other, so each
/// host uses an equal share of it without coordination.
#[derive(Clone, Debug, Default)]
pub struct ColdStartLimiter {
    send_times: VecDeque<Time>,
    started: bool,
}

impl ColdStartLimiter {
    /// Returns whether another request may be sent now, if all `hosts` together may send
    /// `total_limit` requests per second.
    ///
    /// `phase`, from 0 to 1 and different on every host, is the part of the first window that
    /// counts as elapsed when the server becomes cold, for shares below one request per second. It
    /// keeps hosts that start at the same time from sending at the same time.
    pub fn allows(&mut self, now: Time, total_limit: f64, hosts: usize, phase: f64) -> bool {
        let share = total_limit / hosts.max(1) as f64;
        let (count, window) = if share >= 1.0 {
            (share.floor() as usize, WINDOW)
        } else {
            (1, WINDOW.div_f64((share * LOW_RATE_FACTOR).max(0.01)))
        };
        if !self.started {
            self.started = true;
            if share < 1.0 {
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
        self.send_times.len() < count
    }

    /// Counts a request that was sent.
    pub fn record_send(&mut self, now: Time) {
        self.send_times.push_back(now);
    }

    /// Clears the history; called for a server that is warm.
    pub fn reset(&mut self) {
        self.send_times.clear();
        self.started = false;
    }
}
