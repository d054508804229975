//! Faults of hosts, servers, the network and the store, and operator orders.

use std::time::Duration;

use amaranthshunt_core::Host;
use amaranthshunt_core::event::Event;
use amaranthshunt_core::object::ObjectKey;
use amaranthshunt_core::record::{OperatorOrder, Subject};
use amaranthshunt_core::request::OrderResult;
use rand::Rng;

use super::callers::POISON_BODY;
use super::{Action, Fault, Fleet, unordered_pair};

impl Fleet {
    /// Draws a random fault.
    pub(crate) fn random_fault(&mut self) -> Fault {
        let host = self.rng.random_range(0..self.slots.len());
        let other = (host + self.rng.random_range(1..self.slots.len())) % self.slots.len();
        let server = self.rng.random_range(0..self.backends.len());
        let span = Duration::from_millis(self.rng.random_range(50..2_500));
        match self.rng.random_range(0..21) {
            0 | 1 => Fault::KillHost(host),
            2 => Fault::StopHost(host),
            3 | 4 => Fault::PauseHost(host, span),
            5 | 6 => Fault::KillServer(server, span),
            7 | 8 => Fault::FreezeServer(server, span),
            9 => Fault::PartitionHosts(host, other, span),
            10 => Fault::PartitionHostStore(host, span),
            11 => Fault::PartitionHostServer(host, server, span),
            12 => Fault::StoreDown(span),
            13 => Fault::StoreLossy(span),
            14 => Fault::StoreSlow(span),
            15 => {
                let domain = self.slots[host].domain.parse().unwrap();
                Fault::OperatorOrder(Subject::Domain(domain), true)
            }
            16 => Fault::OperatorOrder(Subject::Server(self.backends[server].name.clone()), true),
            17 => Fault::KillHostAndServer(host, server),
            18 => Fault::PartitionDomain(host, span),
            19 => Fault::DrainServer(server, span * 3),
            _ => Fault::MakeServerCold(server),
        }
    }

    /// Declares hosts lost that are on record but no longer run, as operators do.
    pub(crate) fn declare_lost_hosts(&mut self) {
        for id in self.store.hosts_on_record() {
            let alive = self
                .slots
                .iter()
                .any(|slot| slot.host.as_ref().is_some_and(|host| host.id() == id));
            if !alive {
                self.write_operator_order(&ObjectKey::order(&Subject::Lost(id)), true);
            }
        }
    }

    /// Ends partitions, long delays, store faults and operator orders, and declares missing hosts
    /// lost, so that the fleet can settle.
    pub(crate) fn clear_faults(&mut self) {
        self.jitter_enabled = false;
        self.host_partitions.clear();
        self.store_partitions.clear();
        self.server_partitions.clear();
        self.store.clear_faults();
        self.declare_lost_hosts();
        let orders: Vec<ObjectKey> = self.store.operator_orders();
        for key in orders {
            if !key.0.contains("/lost/") {
                self.write_operator_order(&key, false);
            }
        }
    }

    pub(super) fn inject_fault(&mut self, fault: Fault) {
        let now = self.now;
        let until = |span: Duration| now + span.as_micros() as u64;
        self.checks.record_fault(now, &fault);
        match fault {
            Fault::KillHost(slot) => self.kill_host(slot),
            Fault::KillHostAndServer(slot, server) => {
                self.kill_host(slot);
                self.kill_server(server);
                self.schedule(now + 2_000_000, Action::StartServer(server));
            }
            Fault::StopHost(slot) => {
                if let Some(id) = self.slots[slot].host.as_ref().map(Host::id) {
                    self.deliver_event(slot, id, Event::Stop);
                }
            }
            Fault::PauseHost(slot, span) => self.slots[slot].paused_until = until(span),
            Fault::KillServer(server, span) => {
                self.kill_server(server);
                self.schedule(until(span), Action::StartServer(server));
            }
            Fault::FreezeServer(server, span) => self.backends[server].frozen_until = until(span),
            Fault::DrainServer(server, span) => {
                self.backends[server].draining_since.get_or_insert(now);
                self.schedule(until(span), Action::StopDraining(server));
            }
            Fault::MakeServerCold(server) => self.backends[server].make_cold(now),
            Fault::PartitionHosts(one, other, span) => {
                self.host_partitions
                    .insert(unordered_pair(one, other), until(span));
            }
            Fault::PartitionHostStore(slot, span) => {
                self.store_partitions.insert(slot, until(span));
            }
            Fault::PartitionHostServer(slot, server, span) => {
                self.server_partitions.insert((slot, server), until(span));
            }
            Fault::PartitionDomain(slot, span) => self.partition_domain(slot, until(span)),
            Fault::StoreDown(span) => self.store.down_until = until(span),
            Fault::StoreLossy(span) => self.store.lossy_until = until(span),
            Fault::StoreSlow(span) => self.store.slow_until = until(span),
            Fault::OperatorOrder(subject, out) => {
                self.write_operator_order(&ObjectKey::order(&subject), out);
                if out && self.rng.random_range(0..2) == 0 {
                    self.schedule_fault(
                        Duration::from_millis(1_500),
                        Fault::OperatorOrder(subject, false),
                    );
                }
            }
        }
    }

    /// Cuts off the failure domain of a host from everything outside it.
    fn partition_domain(&mut self, slot: usize, until: u64) {
        let domain = self.slots[slot].domain.clone();
        for one in 0..self.slots.len() {
            let inside = self.slots[one].domain == domain;
            if inside {
                self.store_partitions.insert(one, until);
            }
            for other in 0..self.slots.len() {
                if inside && self.slots[other].domain != domain {
                    self.host_partitions
                        .insert(unordered_pair(one, other), until);
                }
            }
            for server in 0..self.backends.len() {
                if inside != (self.backends[server].domain == domain) {
                    self.server_partitions.insert((one, server), until);
                }
            }
        }
    }

    pub(super) fn write_operator_order(&mut self, key: &ObjectKey, out: bool) {
        let order = OperatorOrder {
            out,
            operator: "test".to_owned(),
        };
        self.store.set(key, &serde_json::to_vec(&order).unwrap());
    }

    pub(super) fn kill_host(&mut self, slot: usize) {
        let Some(host) = self.slots[slot].host.take() else {
            return;
        };
        let lost = host.id();
        self.attempts
            .retain(|(attempt_slot, _), _| *attempt_slot != slot);
        for other in 0..self.slots.len() {
            if let Some(id) = self.slots[other].host.as_ref().map(Host::id) {
                let at = self.now + self.random_delay();
                self.schedule(
                    at,
                    Action::DeliverEvent {
                        slot: other,
                        id,
                        event: Event::PeerLost { host: lost },
                    },
                );
            }
        }
        let restart_at = self.now + self.rng.random_range(300_000..2_000_000);
        self.schedule(restart_at, Action::StartHost(slot));
    }

    pub(super) fn kill_server(&mut self, server: usize) {
        if self.backends[server].is_running_body(POISON_BODY) {
            self.checks.record_poison_crash(self.now, server);
        }
        for (slot, id, exchange) in self.backends[server].stop() {
            let at = self.now + self.random_delay();
            let event = Event::Order {
                exchange,
                result: OrderResult::Lost,
            };
            self.reply(at, slot, id, event);
        }
    }

    pub(crate) fn schedule_fault(&mut self, delay: Duration, fault: Fault) {
        self.schedule(self.now + delay.as_micros() as u64, Action::Fault(fault));
    }
}
