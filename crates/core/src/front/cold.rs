//! One host's share of what a cold backend server bears.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// The window of the bound on a cold server, and a little for requests that bunch on the way.
const WINDOW: Duration = Duration::from_millis(1_150);

/// Part of a share below one request a second that is used: hosts that send rarely may all send
/// in the same second.
const SPARSE_CAUTION: f64 = 0.4;

/// Requests sent to a cold server by this host, against its share of the bound.
///
/// The bound is over all hosts, in contact or not, so each host takes an equal share of it and
/// asks nobody.
#[derive(Clone, Debug, Default)]
pub struct ColdShare {
    sent: VecDeque<Time>,
    begun: bool,
}

impl ColdShare {
    /// Whether one more request may be sent now, where all `hosts` together may send `bound` in a
    /// second.
    ///
    /// `phase`, from 0 to 1 and other at every host, says how much of its first turn has passed
    /// when the server turns cold: hosts that begin together must not send together.
    pub fn admits(&mut self, now: Time, bound: f64, hosts: usize, phase: f64) -> bool {
        let share = bound / hosts.max(1) as f64;
        let (count, window) = if share >= 1.0 {
            (share.floor() as usize, WINDOW)
        } else {
            (1, WINDOW.div_f64((share * SPARSE_CAUTION).max(0.01)))
        };
        if !self.begun {
            self.begun = true;
            if share < 1.0 {
                self.sent
                    .push_back(now - window.mul_f64(phase.clamp(0.0, 1.0)));
            }
        }
        while self.sent.front().is_some_and(|at| now.since(*at) >= window) {
            self.sent.pop_front();
        }
        self.sent.len() < count
    }

    /// Takes in that a request was sent.
    pub fn spend(&mut self, now: Time) {
        self.sent.push_back(now);
    }

    /// Forgets all that was sent, for a server that is warm.
    pub fn clear(&mut self) {
        self.sent.clear();
        self.begun = false;
    }
}
