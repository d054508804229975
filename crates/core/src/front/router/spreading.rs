//! Spreads the requests of services without keys over servers that many hosts share.
//!
//! `docs/design/spreading.md` has the reasons and what else was tried.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::types::RoutePlan;
use super::{MANY_HOSTS, Router};
use crate::front::load::decay_factor;
use crate::front::servers::ServerState;
use crate::ids::ServerKey;
use crate::time::Time;

/// Number of servers that are compared for a request. In the simulation at a load of 0.3 the busiest
/// server got 1.96 times its share with two, 1.68 with three or four, and 1.71 with eight.
const COMPARED_SERVERS: usize = 3;
/// Half-life of the typical load of a service that has sent this host no reports: callers of a host
/// that takes all servers for full must be served soon after they are not.
const TYPICAL_LOAD_HALF_LIFE: Duration = Duration::from_secs(2);
/// One of this number of requests goes to the first server drawn without a comparison, so that a
/// server which this host has measured as slow is measured again.
const UNCOMPARED_INTERVAL: u64 = 16;
/// Fraction of the baseline latency that a server with all slots in use costs more than an idle one.
const FILL_WEIGHT: f64 = 0.3;

/// When the servers of each service have last reported their load, and the number of draws so far.
#[derive(Clone, Debug, Default)]
pub(super) struct Spreading {
    reported: BTreeMap<Arc<str>, Time>,
    draws: u64,
}

impl Spreading {
    /// Records that a server of a service has reported its load.
    pub(super) fn record_report(&mut self, now: Time, service: &Arc<str>) {
        self.reported.insert(service.clone(), now);
    }

    /// Part of the typical load of a service that is assumed after some time without reports.
    fn certainty(&self, now: Time, service: &str) -> f64 {
        self.reported.get(service).map_or(0.0, |reported| {
            decay_factor(now.since(*reported), TYPICAL_LOAD_HALF_LIFE)
        })
    }
}

/// A server that may get a request, in the order in which servers are tried.
struct Candidate {
    is_leaving: bool,
    /// Whether the request would probably wait there.
    is_full: bool,
    distance: Duration,
    cost: Duration,
    draw: u64,
    server: ServerKey,
}

impl Candidate {
    /// Servers with a free slot come first, nearest first and drawn by chance among equally near
    /// ones, then the others by their cost.
    fn compare(&self, other: &Self) -> Ordering {
        self.group()
            .cmp(&other.group())
            .then_with(|| {
                if self.is_full {
                    self.cost.cmp(&other.cost)
                } else {
                    self.distance.cmp(&other.distance)
                }
            })
            .then(self.draw.cmp(&other.draw))
    }

    fn group(&self) -> (bool, bool) {
        (self.is_leaving, self.is_full)
    }

    fn is_equal_choice(&self, other: &Self) -> bool {
        self.group() == other.group() && !self.is_full && self.distance == other.distance
    }
}

impl Router {
    /// Whether requests compete for too little capacity, as the platform's settings or the
    /// configuration in force say.
    pub fn controls_overload(&self) -> bool {
        self.settings.overload_control || self.has_uploads
    }

    /// Whether hosts see the servers of services without keys too rarely to compare all of them.
    fn spreads_requests(&self) -> bool {
        self.controls_overload() && self.hosts >= MANY_HOSTS
    }

    /// Requests of other hosts that a server is assumed to have while nothing newer is known.
    pub(super) fn assumed_load(&self, now: Time, service: &str) -> f64 {
        let typical = self.typical_load(service);
        if self.spreads_requests() {
            typical * self.spreading.certainty(now, service)
        } else {
            typical
        }
    }

    /// Puts servers into the order in which they are tried, if hosts compare two rather than all.
    pub(super) fn order_for_spreading(
        &mut self,
        now: Time,
        plan: &RoutePlan,
        servers: &mut [(bool, Duration, ServerKey)],
    ) {
        if !self.spreads_requests() {
            return;
        }
        self.spreading.draws = self.spreading.draws.wrapping_add(1);
        let number = self.spreading.draws;
        let seed = xxh3_64_with_seed(
            &number.to_le_bytes(),
            xxh3_64(self.settings.name.as_bytes()),
        );
        let states = servers
            .iter()
            .filter_map(|(.., server)| Some((*server, self.servers.get(*server)?)));
        let mut candidates: Vec<Candidate> = states
            .map(|(server, state)| self.candidate(now, plan, seed, server, state))
            .collect();
        candidates.sort_by(Candidate::compare);
        if !number.is_multiple_of(UNCOMPARED_INTERVAL) {
            let drawn = candidates.iter().take(COMPARED_SERVERS).enumerate();
            let equal = drawn.filter(|(_, candidate)| candidates[0].is_equal_choice(candidate));
            let best = equal.min_by_key(|(_, candidate)| candidate.cost);
            if let Some((index, _)) = best {
                candidates.swap(0, index);
            }
        }
        for (slot, candidate) in servers.iter_mut().zip(candidates) {
            *slot = (candidate.is_leaving, candidate.cost, candidate.server);
        }
    }

    fn candidate(
        &self,
        now: Time,
        plan: &RoutePlan,
        seed: u64,
        server: ServerKey,
        state: &ServerState,
    ) -> Candidate {
        let entry = &state.entry;
        let baseline = self.baseline_latency(&entry.service);
        let assumed = self.assumed_load(now, &entry.service);
        let slots = f64::from(entry.slots.max(1));
        let total = state.load.total_in_flight(now, assumed);
        let distance = self.distance_penalty(plan, &entry.domain);
        let fill = (total / slots).min(1.0) * FILL_WEIGHT;
        Candidate {
            is_leaving: state.is_leaving(),
            is_full: total + 1.0 > slots,
            distance,
            cost: self.latency_cost(now, state) + distance + baseline.mul_f64(fill),
            draw: xxh3_64_with_seed(entry.id.as_bytes(), seed),
            server,
        }
    }
}
