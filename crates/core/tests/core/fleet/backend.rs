//! A fake backend server.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use amaranthshunt_core::catalogue::{Limits, Server};
use amaranthshunt_core::event::{Grant, RegisterResult, RegisterState};
use amaranthshunt_core::ids::{ExchangeId, Token};
use amaranthshunt_core::request::{OrderRefusal, OrderResult};
use amaranthshunt_core::{Answer, HostId, Time};

use super::Sent;

/// Time that a server stays cold, in microseconds.
const COLD_MICROS: u64 = 300_000;

pub(crate) struct Backend {
    pub name: String,
    pub entry: String,
    pub domain: String,
    pub address: SocketAddr,
    pub checks: bool,
    pub offset: i64,
    pub alive: bool,
    pub frozen_until: u64,
    pub boot: u64,
    pub draining_since: Option<u64>,
    limits: Limits,
    cold_until: u64,
    told_cold: bool,
    token: Token,
    sequence: u64,
    expires: Time,
    shards: BTreeMap<u32, u64>,
    runs: BTreeMap<u64, Run>,
    next: u64,
}

struct Run {
    slot: usize,
    id: HostId,
    exchange: ExchangeId,
    shard: u32,
    deadline: Time,
    end: u64,
    body: bytes::Bytes,
}

pub(crate) enum Started {
    Refused(OrderResult),
    Running(u64),
}

impl Backend {
    pub(crate) fn new(server: &Server, limits: Limits, offset: i64, now: u64) -> Self {
        let entry = server.name.split('-').next().unwrap().to_owned();
        Self {
            name: server.name.clone(),
            entry,
            domain: server.domain.to_string(),
            address: server.address,
            checks: server.checks,
            offset,
            alive: true,
            frozen_until: 0,
            boot: 1,
            draining_since: None,
            limits,
            cold_until: now + COLD_MICROS,
            told_cold: true,
            token: Token(0),
            sequence: 0,
            expires: Time::ZERO,
            shards: BTreeMap::new(),
            runs: BTreeMap::new(),
            next: 0,
        }
    }

    /// Starts anew; what an earlier run still had ends without a word to anybody.
    pub(crate) fn start(&mut self, boot: u64, now: u64) {
        self.alive = true;
        self.runs.clear();
        self.boot = boot;
        self.cold_until = now + COLD_MICROS;
        self.told_cold = true;
        self.token = Token(0);
        self.sequence = 0;
        self.expires = Time::ZERO;
        self.shards.clear();
    }

    pub(crate) fn stop(&mut self) -> Vec<(usize, HostId, ExchangeId)> {
        self.alive = false;
        self.frozen_until = 0;
        let runs = std::mem::take(&mut self.runs);
        runs.into_values()
            .map(|run| (run.slot, run.id, run.exchange))
            .collect()
    }

    /// Whether a run of a request with this body is under way.
    pub(crate) fn runs(&self, body: &str) -> bool {
        self.runs.values().any(|run| run.body == body)
    }

    /// Turns cold without telling.
    pub(crate) fn cool(&mut self, now: u64) {
        self.cold_until = now + COLD_MICROS;
        self.told_cold = false;
    }

    /// Whether the server would act for a shard.
    pub(crate) fn holds(&self, shard: u32, clock: Time) -> bool {
        self.expires > clock && self.shards.contains_key(&shard)
    }

    /// Whether a run for the shard is under way.
    pub(crate) fn is_running(&self, shard: u32, now: u64, clock: Time) -> bool {
        self.alive
            && self.runs.values().any(|run| {
                let lease = !self.checks || self.holds(shard, clock);
                run.shard == shard && run.end > now && run.deadline > clock && lease
            })
    }

    /// Runs under way; a server stops working on an order at its deadline.
    pub(crate) fn running(&self, clock: Time) -> usize {
        self.runs
            .values()
            .filter(|run| run.deadline > clock)
            .count()
    }

    /// What the server bears now, as far as it can be known from outside.
    pub(crate) fn bears(&self, now: u64) -> usize {
        let known_cold = self.cold_until > now && self.told_cold;
        let slots = if known_cold {
            self.limits.cold_slots
        } else {
            self.limits.slots
        };
        slots as usize
    }

    /// Whether the newest grant is the one that the register follows.
    pub(crate) fn follows(&self, grant: &Grant) -> bool {
        (self.token, self.sequence, self.expires) == (grant.token, grant.sequence, grant.expires)
    }

    pub(crate) fn register(&mut self, grant: Option<&Grant>, clock: Time) -> RegisterResult {
        if !self.alive {
            return RegisterResult::Unreachable;
        }
        if let Some(grant) = grant {
            let older = grant.token < self.token;
            if self.checks && older {
                return RegisterResult::Fenced(self.token);
            }
            let stale = (grant.token, grant.sequence) < (self.token, self.sequence);
            let ignored = self.checks && stale;
            if !ignored && grant.expires > clock {
                self.token = grant.token;
                self.sequence = grant.sequence;
                self.expires = grant.expires;
                self.shards = grant
                    .shards
                    .iter()
                    .map(|(shard, epoch)| (*shard, epoch.0))
                    .collect();
            }
        }
        RegisterResult::State(RegisterState {
            boot: self.boot,
            token: self.token,
            sequence: self.sequence,
            running: self.running(clock) as u32,
            draining: self.draining_millis(clock),
        })
    }

    fn draining_millis(&self, clock: Time) -> Option<u64> {
        let now = clock.as_micros().saturating_add_signed(-self.offset);
        let since = self.draining_since?;
        Some(now.saturating_sub(since) / 1_000)
    }

    pub(crate) fn order(&mut self, sent: &Sent, clock: Time, end: u64) -> Started {
        let order = &sent.order;
        if !self.alive {
            return Started::Refused(OrderResult::Refused(OrderRefusal::Unreachable));
        }
        if order.deadline <= clock {
            return Started::Refused(OrderResult::Refused(OrderRefusal::Expired));
        }
        let held = self.holds(order.shard.index, clock);
        if self.checks && (order.token != self.token || !held) {
            return Started::Refused(OrderResult::Refused(OrderRefusal::Fenced));
        }
        self.next += 1;
        let run = Run {
            slot: sent.slot,
            id: sent.id,
            exchange: sent.exchange,
            shard: order.shard.index,
            deadline: order.deadline,
            end,
            body: sent.request.body.clone(),
        };
        self.runs.insert(self.next, run);
        Started::Running(self.next)
    }

    pub(crate) fn end_of(&self, run: u64) -> u64 {
        self.runs[&run].end
    }

    pub(crate) fn finish(
        &mut self,
        run: u64,
        clock: Time,
    ) -> Option<(usize, HostId, ExchangeId, OrderResult)> {
        let run = self.runs.remove(&run)?;
        let lapsed = self.checks && !self.holds(run.shard, clock);
        let result = if run.deadline <= clock || lapsed {
            OrderResult::Lost
        } else {
            OrderResult::Answer(Answer {
                status: 200,
                body: run.body,
            })
        };
        Some((run.slot, run.id, run.exchange, result))
    }
}
