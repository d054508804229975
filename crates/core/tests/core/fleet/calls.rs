//! Messages and calls on their way.

use std::time::Duration;

use amaranthshunt_core::event::{Event, Grant, RegisterResult, StoreCall, StoreResult};
use amaranthshunt_core::ids::CallId;
use amaranthshunt_core::request::{OrderRefusal, OrderResult};
use amaranthshunt_core::{HostId, Message};
use rand::Rng;

use super::backend::Started;
use super::callers::POISON;
use super::store::Answered;
use super::{Action, Fault, Fleet, Sent, is_cut, pair};

/// Time that a server is down after a request crashed it.
const POISONED: Duration = Duration::from_millis(700);

impl Fleet {
    pub(super) fn call_store(&mut self, slot: usize, id: HostId, call: CallId, kind: StoreCall) {
        let cut = is_cut(&self.store_cuts, &slot, self.now);
        let answered = if cut {
            Answered::Never
        } else {
            self.store.call(kind, self.now, &mut self.rng)
        };
        match answered {
            Answered::Never => {
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
            Answered::After(extra, result) => {
                let at = self.now + self.delay() + extra;
                let event = if extra > 250_000 {
                    Event::Store {
                        call,
                        result: StoreResult::Failed,
                    }
                } else {
                    Event::Store { call, result }
                };
                self.reply(at.min(self.now + 250_000), slot, id, event);
            }
            Answered::Later(after) => {
                let at = self.now + 20_000;
                let kind = StoreCall::Watch { after };
                let expired = self.store.waited(call, id, self.now);
                if expired {
                    let result = StoreResult::Changes {
                        objects: Vec::new(),
                        complete: after,
                    };
                    self.reply(at, slot, id, Event::Store { call, result });
                } else {
                    self.at(
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
        for (at, late) in self.store.take_late() {
            self.store.apply_late(late);
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
        let cut = is_cut(&self.server_cuts, &(slot, server), now);
        let frozen = self.backends[server].frozen_until;
        if !cut && frozen > now && self.backends[server].alive {
            self.at(
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
        let clock = self.clock(self.backends[server].offset);
        let result = if cut {
            RegisterResult::Failed
        } else {
            self.backends[server].register(grant.as_ref(), clock)
        };
        let followed = grant
            .as_ref()
            .filter(|grant| self.backends[server].follows(grant));
        if let Some(grant) = followed {
            let holders: Vec<(usize, bool)> = self.other_holders(server, grant);
            self.checks.note_grant(now, server, grant, &holders);
        }
        let wait = if result == RegisterResult::Failed {
            150_000
        } else {
            self.delay()
        };
        self.reply(
            now + wait.min(150_000),
            slot,
            id,
            Event::Register { call, result },
        );
    }

    /// Other servers of the entry that hold one of a grant's shards under a lease.
    pub(super) fn other_holders(&self, server: usize, grant: &Grant) -> Vec<(usize, bool)> {
        let entry = &self.backends[server].entry;
        let mut holders = Vec::new();
        for (index, backend) in self.backends.iter().enumerate() {
            if index == server || backend.entry != *entry || !backend.alive {
                continue;
            }
            let clock = self.clock(backend.offset);
            if grant
                .shards
                .iter()
                .any(|(shard, _)| backend.holds(*shard, clock))
            {
                holders.push((index, backend.checks));
            }
        }
        holders
    }

    pub(super) fn order(&mut self, sent: Sent) {
        let now = self.now;
        let (slot, id, exchange, server) = (sent.slot, sent.id, sent.exchange, sent.server);
        if is_cut(&self.server_cuts, &(slot, server), now) {
            let result = OrderResult::Lost;
            self.reply(now + 300_000, slot, id, Event::Order { exchange, result });
            return;
        }
        let frozen = self.backends[server].frozen_until;
        if self.backends[server].alive && frozen > now {
            self.at(frozen, Action::Order(sent));
            return;
        }
        if self.backends[server].boot != sent.boot {
            let result = OrderResult::Refused(OrderRefusal::Unreachable);
            let at = now + self.delay();
            self.reply(at, slot, id, Event::Order { exchange, result });
            return;
        }
        let clock = self.clock(self.backends[server].offset);
        let took = self.rng.random_range(3_000..9_000);
        match self.backends[server].order(&sent, clock, now + took) {
            Started::Refused(result) => {
                let at = now + self.delay();
                self.reply(at, slot, id, Event::Order { exchange, result });
            }
            Started::Running(run) => {
                let boot = self.backends[server].boot;
                let end = self.backends[server].end_of(run);
                self.checks
                    .note_run(now, server, &self.backends, &sent.order, &sent.request);
                if sent.request.body == POISON {
                    let crash = Fault::KillServer(server, POISONED);
                    self.at(now + 1_000, Action::Fault(crash));
                }
                self.at(end, Action::Finish { server, boot, run });
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
            self.at(at, Action::Finish { server, boot, run });
            return;
        }
        let clock = self.clock(self.backends[server].offset);
        let Some((slot, id, exchange, result)) = self.backends[server].finish(run, clock) else {
            return;
        };
        if is_cut(&self.server_cuts, &(slot, server), self.now) {
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
        let at = self.now + self.delay();
        self.reply(at, slot, id, Event::Order { exchange, result });
    }

    pub(super) fn reply(&mut self, at: u64, slot: usize, id: HostId, event: Event) {
        self.at(at, Action::Host { slot, id, event });
    }

    pub(super) fn send(&mut self, slot: usize, from: HostId, to: HostId, message: Message) {
        let Some(target) = self.ids.get(&to).copied() else {
            return;
        };
        let alive = self.slots[target]
            .host
            .as_ref()
            .is_some_and(|host| host.id() == to);
        if !alive {
            let at = self.now + self.delay();
            self.at(
                at,
                Action::Host {
                    slot,
                    id: from,
                    event: Event::PeerLost { host: to },
                },
            );
            return;
        }
        if is_cut(&self.cuts, &pair(slot, target), self.now) {
            return;
        }
        let floor = self.fifo.get(&(slot, target)).copied().unwrap_or(0);
        let at = (self.now + self.delay()).max(floor + 1);
        self.fifo.insert((slot, target), at);
        self.at(
            at,
            Action::Host {
                slot: target,
                id: to,
                event: Event::Peer { from, message },
            },
        );
    }
}
