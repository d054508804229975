//! Behaviour of hosts: follow, take over, write the record and issue orders.

use std::collections::{BTreeMap, BTreeSet};

use amaranthshunt_core::front::{ClusterState, Granter, Order, OrderReply, Placement, first_term};
use amaranthshunt_core::ids::CallId;
use rand::Rng;

use super::{
    Delivery, LEADER_TIMEOUT_MS, MAX_WRITE_DELAY_MS, ORDER_TIMEOUT_MS, PendingCall, Sim, TIMING,
};
use crate::fixture::config;

impl Sim {
    pub(super) fn reaches_store(&self, host: usize) -> bool {
        self.store_up && self.entry_hosts[host].store_reachable && !self.is_store_cut(host)
    }

    fn are_connected(&self, host: usize, other: usize) -> bool {
        !self.host_partitions.contains(&(host, other))
            && !self.are_hosts_cut(host, other)
            && !self.is_frozen(host)
            && !self.is_frozen(other)
    }

    /// Runs one step of a host.
    pub(super) fn run_host(&mut self, host: usize) {
        if self.is_frozen(host) {
            return;
        }
        self.retry_write(host);
        if self.entry_hosts[host].granter.is_some() {
            self.confirm_leadership(host);
            self.issue_orders(host);
        } else {
            self.run_follower(host);
        }
    }

    fn confirm_leadership(&mut self, host: usize) {
        let term = self.entry_hosts[host]
            .granter
            .as_ref()
            .map_or(0, Granter::term);
        if !self.now.is_multiple_of(500) {
            return;
        }
        let now = self.time();
        let mut replies = BTreeMap::new();
        for other in 0..self.entry_hosts.len() {
            if other == host || !self.are_connected(host, other) {
                continue;
            }
            let announces = self.announces;
            let entry = &mut self.entry_hosts[other];
            if announces && entry.granter.as_ref().is_some_and(|own| own.term() < term) {
                entry.granter = None;
                entry.pending_write = None;
            }
            if entry.granter.is_none() && entry.followed_term <= term {
                entry.followed_term = term;
                entry.leader_seen = self.now;
                replies.insert(format!("h{other}"), now);
            }
        }
        let known = self.entry_hosts.len();
        let granter = self.entry_hosts[host].granter.as_mut().unwrap();
        granter.confirm_by_hosts(now, &replies, known);
        let is_followed = granter.majority_reply(now, &replies, known).is_some();
        if self.reaches_store(host) {
            self.check_record(host, is_followed);
        }
    }

    /// Reads the record as the leader, and begins a term in a new era of the store.
    fn check_record(&mut self, host: usize, is_followed: bool) {
        let now = self.time();
        let (record_term, era) = (self.record.as_ref().map_or(0, |(_, r)| r.term), self.era);
        let entry = &mut self.entry_hosts[host];
        let granter = entry.granter.as_mut().unwrap();
        if entry.learnt_era.0 != era {
            entry.learnt_era = (era, self.now);
        }
        let learnt_at = entry.learnt_era.1;
        let is_lost = !is_followed && granter.era() != era && self.now >= learnt_at + 2_000;
        if record_term > granter.term() || is_lost {
            entry.granter = None;
            entry.pending_write = None;
            entry.leader_seen = self.now;
        } else if granter.era() != era && is_followed && self.now > learnt_at {
            let term = first_term(era).max(granter.term() + 1);
            let record = granter.record_for_era(term, era);
            let revision = self.record_revision() + 1;
            self.set_record(Some((revision, record.clone())));
            let entry = &mut self.entry_hosts[host];
            let granter = entry.granter.as_mut().unwrap();
            granter.begin_era(now, &record, era);
            granter.confirm_by_record(now);
            entry.revision = revision;
            entry.followed_term = term;
            entry.pending_write = None;
        } else if granter.era() == era && record_term == granter.term() {
            granter.confirm_by_record(now);
        }
    }

    fn record_revision(&self) -> u64 {
        self.record.as_ref().map_or(0, |(revision, _)| *revision)
    }

    fn run_follower(&mut self, host: usize) {
        let silent_for = self.now - self.entry_hosts[host].leader_seen;
        if silent_for < LEADER_TIMEOUT_MS || !self.reaches_store(host) {
            self.entry_hosts[host].candidate_at = 0;
            return;
        }
        if self.entry_hosts[host].candidate_at == 0 {
            self.entry_hosts[host].candidate_at = self.now + self.rng.random_range(0..300);
            self.entry_hosts[host].candidate_revision = self.record_revision();
        }
        if self.now < self.entry_hosts[host].candidate_at {
            return;
        }
        self.entry_hosts[host].candidate_at = 0;
        if self.entry_hosts[host].candidate_revision != self.record_revision() {
            self.entry_hosts[host].leader_seen = self.now;
            return;
        }
        let (name, address) = (format!("h{host}"), ([127, 0, 0, 1], 1).into());
        let record = match &self.record {
            Some((_, record)) => record.succeed(self.era, &name, address),
            None => Placement {
                term: first_term(self.era),
                version: 1,
                leader: name,
                address,
                services: BTreeMap::new(),
                complete_era: Some(u64::from(self.era == 1)),
                voters: (self.era == 1).then(BTreeSet::new),
            },
        };
        let revision = self.record_revision() + 1;
        self.set_record(Some((revision, record.clone())));
        let (now, era) = (self.time(), self.era);
        let entry = &mut self.entry_hosts[host];
        entry.revision = revision;
        entry.followed_term = record.term;
        entry.granters += 1;
        entry.learnt_era = (era, self.now);
        let mut granter = Granter::new(now, now, &record, era, TIMING);
        // Both ways of placement occur in every run, also one after the other.
        granter.set_overload_control(entry.granters.is_multiple_of(2));
        entry.granter = Some(granter);
    }

    fn retry_write(&mut self, host: usize) {
        let Some((placement, last_attempt)) = self.entry_hosts[host].pending_write.clone() else {
            return;
        };
        if self.now < last_attempt + 300 || !self.reaches_store(host) {
            return;
        }
        self.entry_hosts[host].pending_write = Some((placement.clone(), self.now));
        let Some((revision, stored)) = self.record.clone() else {
            return;
        };
        let is_written = stored == placement;
        let entry = &mut self.entry_hosts[host];
        if entry.granter.as_ref().is_none_or(|g| g.era() != self.era) {
            return;
        }
        if !is_written && revision != entry.revision {
            entry.revision = revision;
            if stored.term > placement.term {
                entry.granter = None;
                entry.pending_write = None;
            }
            return;
        }
        if !is_written {
            self.set_record(Some((revision + 1, placement.clone())));
        }
        // The answer may be lost; the same write is then retried.
        if !self.is_dropped(0.3) {
            let now = self.time();
            let entry = &mut self.entry_hosts[host];
            entry.revision = self.record.as_ref().unwrap().0;
            entry.pending_write = None;
            let granter = entry.granter.as_mut().unwrap();
            granter.mark_written(now, placement.version);
            granter.confirm_by_record(now);
        }
    }

    fn issue_orders(&mut self, host: usize) {
        let now = self.time();
        let config = config(1, Vec::new());
        let evacuated = BTreeSet::new();
        let baselines = BTreeMap::new();
        let entry = &mut self.entry_hosts[host];
        let Some(granter) = &mut entry.granter else {
            return;
        };
        let cluster = ClusterState {
            servers: &entry.servers,
            baseline_latencies: &baselines,
            config: &config,
            evacuated: &evacuated,
        };
        let orders = granter.advance(now, cluster);
        for order in orders {
            let call = match &order {
                Order::Grant { call, .. } | Order::Release { call, .. } => *call,
                Order::Write(placement) => {
                    self.entry_hosts[host].pending_write = Some((placement.clone(), 0));
                    continue;
                }
                Order::Log(_) => continue,
            };
            let wait = if self.is_dropped(0.1) {
                self.rng.random_range(1..MAX_WRITE_DELAY_MS)
            } else {
                0
            };
            let number = self.entry_hosts[host].granters;
            self.pending_calls
                .insert((host, number, call.0), PendingCall { sent: None });
            let write = Delivery::Write {
                host,
                granter: number,
                call,
                order,
            };
            self.push(wait, write);
        }
    }

    /// Writes an order to its connection, if the host may still send it.
    pub(super) fn write_order(&mut self, host: usize, number: u64, call: CallId, order: Order) {
        if self.is_frozen(host) {
            if self.entry_hosts[host].up {
                let write = Delivery::Write {
                    host,
                    granter: number,
                    call,
                    order,
                };
                self.push(50, write);
            }
            return;
        }
        let now = self.time();
        let entry = &mut self.entry_hosts[host];
        let is_current = entry.granters == number;
        let Some(granter) = entry.granter.as_mut().filter(|_| is_current) else {
            return;
        };
        let sent = self.now;
        let key = (host, number, call.0);
        if !granter.is_confirmed(now) {
            self.pending_calls.remove(&key);
            granter.handle_reply(now, call, now, OrderReply::NotSent);
            return;
        }
        self.pending_calls
            .insert(key, PendingCall { sent: Some(sent) });
        if self.is_dropped(0.03) {
            return;
        }
        // A link that holds bytes back delivers them until the sender aborts the connection.
        let transit = if self.is_dropped(0.1) {
            self.rng.random_range(60..ORDER_TIMEOUT_MS)
        } else {
            self.rng.random_range(1..60)
        };
        let delivery = Delivery::Order {
            host,
            granter: number,
            order,
            sent,
            late: None,
        };
        self.push(transit, delivery);
    }
}
