//! Faults of hosts, servers, the network, the store, and operators.

use std::time::Duration;

use amaranthshunt_core::Host;
use amaranthshunt_core::event::Event;
use amaranthshunt_core::object::ObjectKey;
use amaranthshunt_core::record::{OrderRecord, Subject};
use amaranthshunt_core::request::OrderResult;
use rand::Rng;

use super::callers::POISON;
use super::{Action, Fault, Fleet, pair};

impl Fleet {
    /// Draws a fault that the brief names.
    pub(crate) fn draw_fault(&mut self) -> Fault {
        let host = self.rng.random_range(0..self.slots.len());
        let other = (host + self.rng.random_range(1..self.slots.len())) % self.slots.len();
        let server = self.rng.random_range(0..self.backends.len());
        let span = Duration::from_millis(self.rng.random_range(50..2_500));
        match self.rng.random_range(0..21) {
            0 | 1 => Fault::KillHost(host),
            2 => Fault::LeaveHost(host),
            3 | 4 => Fault::PauseHost(host, span),
            5 | 6 => Fault::KillServer(server, span),
            7 | 8 => Fault::FreezeServer(server, span),
            9 => Fault::CutHosts(host, other, span),
            10 => Fault::CutHostStore(host, span),
            11 => Fault::CutHostServer(host, server, span),
            12 => Fault::StoreDown(span),
            13 => Fault::StoreLossy(span),
            14 => Fault::StoreSlow(span),
            15 => {
                let domain = self.slots[host].domain.parse().unwrap();
                Fault::Order(Subject::Domain(domain), true)
            }
            16 => Fault::Order(Subject::Server(self.backends[server].name.clone()), true),
            17 => Fault::KillBoth(host, server),
            18 => Fault::CutDomain(host, span),
            19 => Fault::DrainServer(server, span * 3),
            _ => Fault::CoolServer(server),
        }
    }

    /// Does what operators do for hosts that stay on record and are gone.
    pub(crate) fn declare_lost(&mut self) {
        for id in self.store.hosts_on_record() {
            let alive = self
                .slots
                .iter()
                .any(|slot| slot.host.as_ref().is_some_and(|host| host.id() == id));
            if !alive {
                self.write_order(&ObjectKey::order(&Subject::Lost(id)), true);
            }
        }
    }

    /// Ends every cut, pause and order, so that the fleet can settle.
    pub(crate) fn heal(&mut self) {
        self.jitter = false;
        self.cuts.clear();
        self.store_cuts.clear();
        self.server_cuts.clear();
        self.store.heal();
        self.declare_lost();
        let orders: Vec<ObjectKey> = self.store.orders();
        for key in orders {
            if !key.0.contains("/lost/") {
                self.write_order(&key, false);
            }
        }
    }

    pub(super) fn inflict(&mut self, fault: Fault) {
        let now = self.now;
        let after = |span: Duration| now + span.as_micros() as u64;
        self.checks.note_fault(now, &fault);
        match fault {
            Fault::KillHost(slot) => self.kill_host(slot),
            Fault::KillBoth(slot, server) => {
                self.kill_host(slot);
                self.kill_server(server);
                self.at(now + 2_000_000, Action::StartServer(server));
            }
            Fault::LeaveHost(slot) => {
                if let Some(id) = self.slots[slot].host.as_ref().map(Host::id) {
                    self.tell(slot, id, Event::Stop);
                }
            }
            Fault::PauseHost(slot, span) => self.slots[slot].paused_until = after(span),
            Fault::KillServer(server, span) => {
                self.kill_server(server);
                self.at(after(span), Action::StartServer(server));
            }
            Fault::FreezeServer(server, span) => self.backends[server].frozen_until = after(span),
            Fault::DrainServer(server, span) => {
                self.backends[server].draining_since.get_or_insert(now);
                self.at(after(span), Action::StayServer(server));
            }
            Fault::CoolServer(server) => self.backends[server].cool(now),
            Fault::CutHosts(one, other, span) => {
                self.cuts.insert(pair(one, other), after(span));
            }
            Fault::CutHostStore(slot, span) => {
                self.store_cuts.insert(slot, after(span));
            }
            Fault::CutHostServer(slot, server, span) => {
                self.server_cuts.insert((slot, server), after(span));
            }
            Fault::CutDomain(slot, span) => self.cut_domain(slot, after(span)),
            Fault::StoreDown(span) => self.store.down_until = after(span),
            Fault::StoreLossy(span) => self.store.lossy_until = after(span),
            Fault::StoreSlow(span) => self.store.slow_until = after(span),
            Fault::Order(subject, out) => {
                self.write_order(&ObjectKey::order(&subject), out);
                if out && self.rng.random_range(0..2) == 0 {
                    self.fault_after(Duration::from_millis(1_500), Fault::Order(subject, false));
                }
            }
        }
    }

    /// Cuts the failure domain of a host from everything outside it.
    fn cut_domain(&mut self, slot: usize, until: u64) {
        let domain = self.slots[slot].domain.clone();
        for one in 0..self.slots.len() {
            let inside = self.slots[one].domain == domain;
            if inside {
                self.store_cuts.insert(one, until);
            }
            for other in 0..self.slots.len() {
                if inside && self.slots[other].domain != domain {
                    self.cuts.insert(pair(one, other), until);
                }
            }
            for server in 0..self.backends.len() {
                if inside != (self.backends[server].domain == domain) {
                    self.server_cuts.insert((one, server), until);
                }
            }
        }
    }

    pub(super) fn write_order(&mut self, key: &ObjectKey, out: bool) {
        let order = OrderRecord {
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
        self.attempts.retain(|(place, _), _| *place != slot);
        for other in 0..self.slots.len() {
            if let Some(id) = self.slots[other].host.as_ref().map(Host::id) {
                let at = self.now + self.delay();
                self.at(
                    at,
                    Action::Host {
                        slot: other,
                        id,
                        event: Event::PeerLost { host: lost },
                    },
                );
            }
        }
        let back = self.now + self.rng.random_range(300_000..2_000_000);
        self.at(back, Action::StartHost(slot));
    }

    pub(super) fn kill_server(&mut self, server: usize) {
        if self.backends[server].runs(POISON) {
            self.checks.note_poisoned(self.now, server);
        }
        for (slot, id, exchange) in self.backends[server].stop() {
            let at = self.now + self.delay();
            let event = Event::Order {
                exchange,
                result: OrderResult::Lost,
            };
            self.reply(at, slot, id, event);
        }
    }

    pub(crate) fn fault_after(&mut self, span: Duration, fault: Fault) {
        self.at(self.now + span.as_micros() as u64, Action::Fault(fault));
    }
}
