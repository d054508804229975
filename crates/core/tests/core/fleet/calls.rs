//! Delivery of messages and calls between hosts, servers and the store.

use std::time::Duration;

use amaranthshunt_core::event::{Event, Grant, RegisterResult, StoreCall, StoreResult};
use amaranthshunt_core::ids::CallId;
use amaranthshunt_core::request::{OrderRefusal, OrderResult};
use amaranthshunt_core::{HostId, Message};
use rand::Rng;

use super::backend::StartResult;
use super::callers::POISON_BODY;
use super::store::CallResult;
use super::{Action, Fault, Fleet, SentOrder, is_partitioned, unordered_pair};

/// Time for which a server is down after a poison request crashed it.
const POISON_DOWNTIME: Duration = Duration::from_millis(700);

impl Fleet {
    pub(super) fn call_store(&mut self, slot: usize, id: HostId, call: CallId, kind: StoreCall) {
        let partitioned = is_partitioned(&self.store_partitions, &slot, self.now);
        let call_result = if partitioned {
            CallResult::NoReply
        } else {
            self.store.call(kind, self.now, &mut self.rng)
        };
        match call_result {
            CallResult::NoReply => {
                let at = self.now + 250_000;
                self.reply(
                    at,
                    slot,
                    id,
                    Event::Store {
                        call,
                        result: StoreResult::Failed,
                    },
                );
            }
            CallResult::Reply(store_delay, result) => {
                let at = self.now + self.random_delay() + store_delay;
                let event = if store_delay > 250_000 {
                    Event::Store {
                        call,
                        result: StoreResult::Failed,
                    }
                } else {
                    Event::Store { call, result }
                };
                self.reply(at.min(self.now + 250_000), slot, id, event);
            }
            CallResult::Pending(after) => {
                let at = self.now + 20_000;
                let kind = StoreCall::Watch { after };
                let expired = self.store.is_watch_expired(call, id, self.now);
                if expired {
                    let result = StoreResult::Changes {
                        objects: Vec::new(),
                        complete: after,
                    };
                    self.reply(at, slot, id, Event::Store { call, result });
                } else {
                    self.schedule(
                        at,
                        Action::StoreCall {
                            slot,
                            id,
                            call,
                            kind,
                        },
                    );
                }
            }
        }
        for (at, unacknowledged) in self.store.take_unacknowledged() {
            self.store.apply_unacknowledged(unacknowledged);
            let _ = at;
        }
    }

    pub(super) fn call_register(
        &mut self,
        slot: usize,
        id: HostId,
        call: CallId,
        server: usize,
        grant: Option<Grant>,
    ) {
        let now = self.now;
        let partitioned = is_partitioned(&self.server_partitions, &(slot, server), now);
        let frozen = self.backends[server].frozen_until;
        if !partitioned && frozen > now && self.backends[server].alive {
            self.schedule(
                frozen,
                Action::Register {
                    slot,
                    id,
                    call,
                    server,
                    grant,
                },
            );
            self.reply(
                now + 150_000,
                slot,
                id,
                Event::Register {
                    call,
                    result: RegisterResult::Failed,
                },
            );
            return;
        }
        let clock = self.local_time(self.backends[server].clock_offset);
        let result = if partitioned {
            RegisterResult::Failed
        } else {
            self.backends[server].register(grant.as_ref(), clock)
        };
        let applied_grant = grant
            .as_ref()
            .filter(|grant| self.backends[server].has_applied(grant));
        if let Some(grant) = applied_grant {
            let holders: Vec<(usize, bool)> = self.other_holders(server, grant);
            self.checks.check_grant(now, server, grant, &holders);
        }
        let wait = if result == RegisterResult::Failed {
            150_000
        } else {
            self.random_delay()
        };
        self.reply(
            now + wait.min(150_000),
            slot,
            id,
            Event::Register { call, result },
        );
    }

    /// Other servers of the entry that hold a lease on one of the grant's shards, each with whether
    /// it checks tokens.
    pub(super) fn other_holders(&self, server: usize, grant: &Grant) -> Vec<(usize, bool)> {
        let entry = &self.backends[server].entry;
        let mut holders = Vec::new();
        for (index, backend) in self.backends.iter().enumerate() {
            if index == server || backend.entry != *entry || !backend.alive {
                continue;
            }
            let clock = self.local_time(backend.clock_offset);
            if grant
                .shards
                .iter()
                .any(|(shard, _)| backend.holds_shard(*shard, clock))
            {
                holders.push((index, backend.checks_token));
            }
        }
        holders
    }

    pub(super) fn deliver_order(&mut self, sent: SentOrder) {
        let now = self.now;
        let (slot, id, exchange, server) = (sent.slot, sent.id, sent.exchange, sent.server);
        if is_partitioned(&self.server_partitions, &(slot, server), now) {
            let result = OrderResult::Lost;
            self.reply(now + 300_000, slot, id, Event::Order { exchange, result });
            return;
        }
        let frozen = self.backends[server].frozen_until;
        if self.backends[server].alive && frozen > now {
            self.schedule(frozen, Action::DeliverOrder(sent));
            return;
        }
        if self.backends[server].boot != sent.boot {
            let result = OrderResult::Refused(OrderRefusal::Unreachable);
            let at = now + self.random_delay();
            self.reply(at, slot, id, Event::Order { exchange, result });
            return;
        }
        let clock = self.local_time(self.backends[server].clock_offset);
        let run_time = self.rng.random_range(3_000..9_000);
        match self.backends[server].start_order(&sent, clock, now + run_time) {
            StartResult::Refused(result) => {
                let at = now + self.random_delay();
                self.reply(at, slot, id, Event::Order { exchange, result });
            }
            StartResult::Running(run) => {
                let boot = self.backends[server].boot;
                let end = self.backends[server].run_end(run);
                self.checks
                    .record_run(now, server, &self.backends, &sent.order, &sent.request);
                if sent.request.body == POISON_BODY {
                    let crash = Fault::KillServer(server, POISON_DOWNTIME);
                    self.schedule(now + 1_000, Action::Fault(crash));
                }
                self.schedule(end, Action::FinishRun { server, boot, run });
            }
        }
    }

    pub(super) fn finish(&mut self, server: usize, boot: u64, run: u64) {
        let backend = &mut self.backends[server];
        if backend.boot != boot || !backend.alive {
            return;
        }
        if backend.frozen_until > self.now {
            let at = backend.frozen_until;
            self.schedule(at, Action::FinishRun { server, boot, run });
            return;
        }
        let clock = self.local_time(self.backends[server].clock_offset);
        let Some((slot, id, exchange, result)) = self.backends[server].finish(run, clock) else {
            return;
        };
        if is_partitioned(&self.server_partitions, &(slot, server), self.now) {
            self.reply(
                self.now + 300_000,
                slot,
                id,
                Event::Order {
                    exchange,
                    result: OrderResult::Lost,
                },
            );
            return;
        }
        let at = self.now + self.random_delay();
        self.reply(at, slot, id, Event::Order { exchange, result });
    }

    pub(super) fn reply(&mut self, at: u64, slot: usize, id: HostId, event: Event) {
        self.schedule(at, Action::DeliverEvent { slot, id, event });
    }

    pub(super) fn send(&mut self, slot: usize, from: HostId, to: HostId, message: Message) {
        let Some(target) = self.id_slots.get(&to).copied() else {
            return;
        };
        let alive = self.slots[target]
            .host
            .as_ref()
            .is_some_and(|host| host.id() == to);
        if !alive {
            let at = self.now + self.random_delay();
            self.schedule(
                at,
                Action::DeliverEvent {
                    slot,
                    id: from,
                    event: Event::PeerLost { host: to },
                },
            );
            return;
        }
        if is_partitioned(
            &self.host_partitions,
            &unordered_pair(slot, target),
            self.now,
        ) {
            return;
        }
        let previous = self
            .last_delivery
            .get(&(slot, target))
            .copied()
            .unwrap_or(0);
        let at = (self.now + self.random_delay()).max(previous + 1);
        self.last_delivery.insert((slot, target), at);
        self.schedule(
            at,
            Action::DeliverEvent {
                slot: target,
                id: to,
                event: Event::Peer { from, message },
            },
        );
    }
}
