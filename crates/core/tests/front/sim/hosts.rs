//! Behaviour of hosts: follow, take over, write the record and issue orders.

use std::collections::{BTreeMap, BTreeSet};

use amaranthshunt_core::front::{ClusterState, Granter, Order, OrderReply, Placement};
use amaranthshunt_core::ids::CallId;
use rand::Rng;

use super::{
    Delivery, LEADER_TIMEOUT_MS, MAX_WRITE_DELAY_MS, ORDER_TIMEOUT_MS, PendingCall, Sim, TIMING,
};
use crate::fixture::config;

impl Sim {
    fn reaches_store(&self, host: usize) -> bool {
        self.store_up && self.entry_hosts[host].store_reachable
    }

    fn are_connected(&self, host: usize, other: usize) -> bool {
        !self.host_partitions.contains(&(host, other))
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
        let mut followers = 1;
        for other in 0..self.entry_hosts.len() {
            if other != host && self.are_connected(host, other) {
                let entry = &mut self.entry_hosts[other];
                if entry.granter.is_none() && entry.followed_term <= term {
                    entry.followed_term = term;
                    entry.leader_seen = self.now;
                    followers += 1;
                }
            }
        }
        let now = self.time();
        if followers * 2 > self.entry_hosts.len() {
            self.entry_hosts[host]
                .granter
                .as_mut()
                .unwrap()
                .confirm(now);
            self.entry_hosts[host]
                .granter
                .as_mut()
                .unwrap()
                .record_majority(now);
        }
        if self.reaches_store(host) {
            let current = self
                .record
                .as_ref()
                .is_some_and(|(_, record)| record.term == term);
            if current {
                self.entry_hosts[host]
                    .granter
                    .as_mut()
                    .unwrap()
                    .confirm(now);
            } else {
                self.entry_hosts[host].granter = None;
                self.entry_hosts[host].pending_write = None;
                self.entry_hosts[host].leader_seen = self.now;
            }
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
        let latest_record = self.record.clone();
        let (term, version, services) = latest_record
            .map_or((0, 0, BTreeMap::new()), |(_, record)| {
                (record.term, record.version, record.services)
            });
        let record = Placement {
            term: term + 1,
            version: version + 1,
            leader: format!("h{host}"),
            address: ([127, 0, 0, 1], 1).into(),
            services,
        };
        let revision = self.record.as_ref().map_or(1, |(revision, _)| revision + 1);
        self.set_record(Some((revision, record.clone())));
        let now = self.time();
        let entry = &mut self.entry_hosts[host];
        entry.revision = revision;
        entry.followed_term = record.term;
        entry.granter = Some(Granter::new(now, &record, TIMING));
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
        if !is_written && revision != self.entry_hosts[host].revision {
            self.entry_hosts[host].granter = None;
            self.entry_hosts[host].pending_write = None;
            return;
        }
        if !is_written {
            self.set_record(Some((revision + 1, placement.clone())));
        }
        // The answer may be lost; the same write is then retried.
        if !self.is_dropped(0.3) {
            let entry = &mut self.entry_hosts[host];
            entry.revision = self.record.as_ref().unwrap().0;
            entry.pending_write = None;
            entry
                .granter
                .as_mut()
                .unwrap()
                .mark_written(placement.version);
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
            let (call, fence) = match &order {
                Order::Grant { call, fence, .. } | Order::Release { call, fence, .. } => {
                    (*call, *fence)
                }
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
            let term = fence >> 24;
            self.pending_calls
                .insert((host, term, call.0), PendingCall { sent: None });
            let write = Delivery::Write {
                host,
                term,
                call,
                order,
            };
            self.push(wait, write);
        }
    }

    /// Writes an order to its connection, if the host may still send it.
    pub(super) fn write_order(&mut self, host: usize, term: u64, call: CallId, order: Order) {
        if self.is_frozen(host) {
            if self.entry_hosts[host].up {
                let write = Delivery::Write {
                    host,
                    term,
                    call,
                    order,
                };
                self.push(50, write);
            }
            return;
        }
        let now = self.time();
        let granter = &mut self.entry_hosts[host].granter;
        let Some(granter) = granter.as_mut().filter(|granter| granter.term() == term) else {
            return;
        };
        let sent = self.now;
        let key = (host, term, call.0);
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
            order,
            sent,
            late: None,
        };
        self.push(transit, delivery);
    }
}
