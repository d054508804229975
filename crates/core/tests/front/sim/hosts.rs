//! What hosts do: follow, take over, write and grant.

use std::collections::{BTreeMap, BTreeSet};

use amaranthshunt_core::front::{Granter, Order, Placement, World};
use rand::Rng;

use super::{Delivery, SILENCE, Sim, TIMING};
use crate::fixture::config;

impl Sim {
    fn reaches_store(&self, host: usize) -> bool {
        self.store_up && self.entries[host].store
    }

    fn hears(&self, host: usize, other: usize) -> bool {
        !self.cut_hosts.contains(&(host, other)) && !self.is_frozen(host) && !self.is_frozen(other)
    }

    /// What one host does in a step.
    pub(super) fn act(&mut self, host: usize) {
        if self.is_frozen(host) {
            return;
        }
        self.write(host);
        if self.entries[host].granter.is_some() {
            self.confirm(host);
            self.grant(host);
        } else {
            self.stand_by(host);
        }
    }

    fn confirm(&mut self, host: usize) {
        let term = self.entries[host].granter.as_ref().map_or(0, Granter::term);
        if !self.now.is_multiple_of(500) {
            return;
        }
        let mut echoes = 1;
        for other in 0..self.entries.len() {
            if other != host && self.hears(host, other) {
                let entry = &mut self.entries[other];
                if entry.granter.is_none() && entry.followed <= term {
                    entry.followed = term;
                    entry.heard = self.now;
                    echoes += 1;
                }
            }
        }
        let now = self.time();
        if echoes * 2 > self.entries.len() {
            self.entries[host].granter.as_mut().unwrap().confirm(now);
            self.entries[host].granter.as_mut().unwrap().follow(now);
        }
        if self.reaches_store(host) {
            let current = self
                .record
                .as_ref()
                .is_some_and(|(_, record)| record.term == term);
            if current {
                self.entries[host].granter.as_mut().unwrap().confirm(now);
            } else {
                self.entries[host].granter = None;
                self.entries[host].write = None;
                self.entries[host].heard = self.now;
            }
        }
    }

    fn record_revision(&self) -> u64 {
        self.record.as_ref().map_or(0, |(revision, _)| *revision)
    }

    fn stand_by(&mut self, host: usize) {
        let silent = self.now - self.entries[host].heard;
        if silent < SILENCE || !self.reaches_store(host) {
            self.entries[host].candidate_at = 0;
            return;
        }
        if self.entries[host].candidate_at == 0 {
            self.entries[host].candidate_at = self.now + self.rng.random_range(0..300);
            self.entries[host].candidate_for = self.record_revision();
        }
        if self.now < self.entries[host].candidate_at {
            return;
        }
        self.entries[host].candidate_at = 0;
        if self.entries[host].candidate_for != self.record_revision() {
            self.entries[host].heard = self.now;
            return;
        }
        let seen = self.record.clone();
        let (term, version, services) = seen.map_or((0, 0, BTreeMap::new()), |(_, record)| {
            (record.term, record.version, record.services)
        });
        let record = Placement {
            term: term + 1,
            version: version + 1,
            holder: format!("h{host}"),
            address: ([127, 0, 0, 1], 1).into(),
            services,
        };
        let revision = self.record.as_ref().map_or(1, |(revision, _)| revision + 1);
        self.record = Some((revision, record.clone()));
        let now = self.time();
        let entry = &mut self.entries[host];
        entry.revision = revision;
        entry.followed = record.term;
        entry.granter = Some(Granter::new(now, &record, TIMING));
    }

    fn write(&mut self, host: usize) {
        let Some((placement, tried)) = self.entries[host].write.clone() else {
            return;
        };
        if self.now < tried + 300 || !self.reaches_store(host) {
            return;
        }
        self.entries[host].write = Some((placement.clone(), self.now));
        let (revision, kept) = self.record.clone().unwrap();
        let done = kept == placement;
        if !done && revision != self.entries[host].revision {
            self.entries[host].granter = None;
            self.entries[host].write = None;
            return;
        }
        if !done {
            self.record = Some((revision + 1, placement.clone()));
        }
        // The answer may be lost; the same call is made again then.
        if !self.loses(0.3) {
            let entry = &mut self.entries[host];
            entry.revision = self.record.as_ref().unwrap().0;
            entry.write = None;
            entry.granter.as_mut().unwrap().recorded(placement.version);
        }
    }

    fn grant(&mut self, host: usize) {
        let now = self.time();
        let config = config(1, Vec::new());
        let evacuated = BTreeSet::new();
        let usual = BTreeMap::new();
        let entry = &mut self.entries[host];
        let Some(granter) = &mut entry.granter else {
            return;
        };
        let world = World {
            servers: &entry.servers,
            usual: &usual,
            config: &config,
            evacuated: &evacuated,
        };
        let orders = granter.advance(now, world);
        for order in orders {
            let (call, fence) = match &order {
                Order::Grant { call, fence, .. } | Order::Release { call, fence, .. } => {
                    (*call, *fence)
                }
                Order::Write(placement) => {
                    self.entries[host].write = Some((placement.clone(), 0));
                    continue;
                }
                Order::Log(_) => continue,
            };
            let sent = self.now;
            self.open.insert((host, fence >> 24, call.0), (sent, false));
            if !self.loses(0.03) {
                let after = self.rng.random_range(1..60);
                self.push(
                    after,
                    Delivery::Order {
                        host,
                        order,
                        sent,
                        late: None,
                    },
                );
            }
        }
    }
}
