//! Thinning of the requests for servers whose keys are in more demand than they can serve.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Time;

/// Time after which a host that hears nothing new from the leader sends all requests again.
const VALIDITY: Duration = Duration::from_millis(2_000);
/// Number of priorities that are told apart; the last one stands for all less urgent ones.
const PRIORITIES: usize = 8;
/// Part of the counted requests that each further one leaves: the shares of the priorities follow the
/// last 50 requests or so.
const COUNT_DECAY: f64 = 0.98;

/// A server with more requests for its keys than it can serve, and the share that it can.
#[derive(Clone, Debug, PartialEq)]
pub struct Overload {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// Share of the requests for its keys that it can serve, from 0 to 1.
    pub share: f64,
}

/// Decides which requests for overloaded servers this host sends.
///
/// The leader knows the demand for each server over all hosts, and a host only its own requests.
/// Without the leader's word, hundreds of hosts would each send what looks little to them, and fill
/// the queue of a server with hot keys within milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    servers: BTreeMap<Arc<str>, Thinning>,
    updated: Time,
}

#[derive(Clone, Copy, Debug)]
struct Thinning {
    share: f64,
    /// Part of the next admitted request of each priority that has been earned.
    credits: [f64; PRIORITIES],
    /// Decayed number of requests of each priority.
    counts: [f64; PRIORITIES],
}

impl Thinning {
    /// Share of the requests of a priority that is left when those of more urgent ones are admitted.
    fn share_of(&self, priority: usize) -> f64 {
        let urgent: f64 = self.counts[..priority].iter().sum();
        let total: f64 = self.counts.iter().sum();
        if total <= self.counts[priority] {
            return self.share;
        }
        ((self.share * total - urgent) / self.counts[priority]).clamp(0.0, 1.0)
    }
}

impl Admission {
    /// Replaces the overloaded servers.
    ///
    /// `phase`, from 0 to 1, gives the part of the first admitted request of a server that counts as
    /// earned. It has to differ between hosts, so that hosts with few requests do not all refuse
    /// their first ones.
    pub fn update(&mut self, now: Time, overloads: &[Overload], phase: impl Fn(&str) -> f64) {
        self.updated = now;
        let servers = overloads.iter().map(|overload| {
            let known = self.servers.get(&overload.server);
            let mut thinning = known.copied().unwrap_or_else(|| Thinning {
                share: 0.0,
                credits: [phase(&overload.server); PRIORITIES],
                counts: [0.0; PRIORITIES],
            });
            thinning.share = overload.share.clamp(0.0, 1.0);
            (overload.server.clone(), thinning)
        });
        self.servers = servers.collect();
    }

    /// Whether one more request of a priority may be sent to a server. More urgent ones, which have a
    /// lower priority, are admitted first.
    pub fn admits(&mut self, now: Time, server: &str, priority: u8) -> bool {
        let is_valid = now.since(self.updated) < VALIDITY;
        let Some(thinning) = self.servers.get_mut(server).filter(|_| is_valid) else {
            return true;
        };
        let priority = usize::from(priority).min(PRIORITIES - 1);
        for count in &mut thinning.counts {
            *count *= COUNT_DECAY;
        }
        thinning.counts[priority] += 1.0;
        let share = thinning.share_of(priority);
        let credit = &mut thinning.credits[priority];
        *credit += share;
        let is_admitted = *credit >= 1.0;
        if is_admitted {
            *credit -= 1.0;
        }
        is_admitted
    }
}
