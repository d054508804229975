//! A fake backend server.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use amaranthshunt_core::catalogue::{Limits, Server};
use amaranthshunt_core::event::{Grant, RegisterResult, RegisterState};
use amaranthshunt_core::ids::{ExchangeId, FenceToken};
use amaranthshunt_core::request::{OrderRefusal, OrderResult};
use amaranthshunt_core::{Answer, HostId, Time};

use super::SentOrder;

/// Time for which a server is cold, in microseconds.
const COLD_MICROS: u64 = 300_000;

pub(crate) struct Backend {
    pub name: String,
    pub entry: String,
    pub domain: String,
    pub address: SocketAddr,
    pub checks_token: bool,
    pub clock_offset: i64,
    pub alive: bool,
    pub frozen_until: u64,
    pub boot: u64,
    pub draining_since: Option<u64>,
    limits: Limits,
    cold_until: u64,
    cold_reported: bool,
    token: FenceToken,
    sequence: u64,
    expires: Time,
    shards: BTreeMap<u32, u64>,
    runs: BTreeMap<u64, Run>,
    next_run: u64,
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

pub(crate) enum StartResult {
    Refused(OrderResult),
    Running(u64),
}

impl Backend {
    pub(crate) fn new(server: &Server, limits: Limits, clock_offset: i64, now: u64) -> Self {
        let entry = server.name.split('-').next().unwrap().to_owned();
        Self {
            name: server.name.clone(),
            entry,
            domain: server.domain.to_string(),
            address: server.address,
            checks_token: server.checks_token,
            clock_offset,
            alive: true,
            frozen_until: 0,
            boot: 1,
            draining_since: None,
            limits,
            cold_until: now + COLD_MICROS,
            cold_reported: true,
            token: FenceToken(0),
            sequence: 0,
            expires: Time::ZERO,
            shards: BTreeMap::new(),
            runs: BTreeMap::new(),
            next_run: 0,
        }
    }

    /// Restarts the server; requests that were running end without a reply.
    pub(crate) fn start(&mut self, boot: u64, now: u64) {
        self.alive = true;
        self.runs.clear();
        self.boot = boot;
        self.cold_until = now + COLD_MICROS;
        self.cold_reported = true;
        self.token = FenceToken(0);
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

    /// Whether a request with this body is running.
    pub(crate) fn is_running_body(&self, body: &str) -> bool {
        self.runs.values().any(|run| run.body == body)
    }

    /// Makes the server cold without reporting it.
    pub(crate) fn make_cold(&mut self, now: u64) {
        self.cold_until = now + COLD_MICROS;
        self.cold_reported = false;
    }

    /// Whether the server holds a shard under a lease that has not expired.
    pub(crate) fn holds_shard(&self, shard: u32, clock: Time) -> bool {
        self.expires > clock && self.shards.contains_key(&shard)
    }

    /// Whether a request of the shard is running.
    pub(crate) fn is_running_shard(&self, shard: u32, now: u64, clock: Time) -> bool {
        self.alive
            && self.runs.values().any(|run| {
                let may_run = !self.checks_token || self.holds_shard(shard, clock);
                run.shard == shard && run.end > now && run.deadline > clock && may_run
            })
    }

    /// Number of running requests; a server stops working on an order at its deadline.
    pub(crate) fn running_count(&self, clock: Time) -> usize {
        self.runs
            .values()
            .filter(|run| run.deadline > clock)
            .count()
    }

    /// Concurrency limit of the server, as far as it can be known from outside.
    pub(crate) fn concurrency_limit(&self, now: u64) -> usize {
        let known_cold = self.cold_until > now && self.cold_reported;
        let slots = if known_cold {
            self.limits.cold_slots
        } else {
            self.limits.slots
        };
        slots as usize
    }

    /// Whether the register was last set by this grant.
    pub(crate) fn has_applied(&self, grant: &Grant) -> bool {
        (self.token, self.sequence, self.expires) == (grant.token, grant.sequence, grant.expires)
    }

    pub(crate) fn register(&mut self, grant: Option<&Grant>, clock: Time) -> RegisterResult {
        if !self.alive {
            return RegisterResult::Unreachable;
        }
        if let Some(grant) = grant {
            let older = grant.token < self.token;
            if self.checks_token && older {
                return RegisterResult::Fenced(self.token);
            }
            let stale = (grant.token, grant.sequence) < (self.token, self.sequence);
            let ignored = self.checks_token && stale;
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
            running: self.running_count(clock) as u32,
            draining: self.draining_millis(clock),
        })
    }

    fn draining_millis(&self, clock: Time) -> Option<u64> {
        let now = clock.as_micros().saturating_add_signed(-self.clock_offset);
        let since = self.draining_since?;
        Some(now.saturating_sub(since) / 1_000)
    }

    pub(crate) fn start_order(&mut self, sent: &SentOrder, clock: Time, end: u64) -> StartResult {
        let order = &sent.order;
        if !self.alive {
            return StartResult::Refused(OrderResult::Refused(OrderRefusal::Unreachable));
        }
        if order.deadline <= clock {
            return StartResult::Refused(OrderResult::Refused(OrderRefusal::Expired));
        }
        let held = self.holds_shard(order.shard.index, clock);
        if self.checks_token && (order.token != self.token || !held) {
            return StartResult::Refused(OrderResult::Refused(OrderRefusal::Fenced));
        }
        self.next_run += 1;
        let run = Run {
            slot: sent.slot,
            id: sent.id,
            exchange: sent.exchange,
            shard: order.shard.index,
            deadline: order.deadline,
            end,
            body: sent.request.body.clone(),
        };
        self.runs.insert(self.next_run, run);
        StartResult::Running(self.next_run)
    }

    pub(crate) fn run_end(&self, run: u64) -> u64 {
        self.runs[&run].end
    }

    pub(crate) fn finish(
        &mut self,
        run: u64,
        clock: Time,
    ) -> Option<(usize, HostId, ExchangeId, OrderResult)> {
        let run = self.runs.remove(&run)?;
        let lease_expired = self.checks_token && !self.holds_shard(run.shard, clock);
        let result = if run.deadline <= clock || lease_expired {
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
