//! Dispatch of requests to the backend servers under this host's control.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Host;
use crate::catalogue::Class;
use crate::control::{ControlPhase, ControlledServer, Job, Origin, RunningOrder};
use crate::event::Effect;
use crate::ids::{ExchangeId, HostId, IdempotencyKey, RequestId, ServerKey, ShardKey};
use crate::invariant::{Invariant, ensure};
use crate::ledger::{Lookup, Record, RecordState};
use crate::log::EventCode;
use crate::message::Message;
use crate::request::{
    Answer, Order, OrderRefusal, OrderResult, Outcome, Refusal, Request, UnknownReason,
};
use crate::timer::TimerKind;

/// Time for which a server that became slow receives no shards.
const SLOW_SERVER_PERIOD: Duration = Duration::from_secs(10);

/// Identifies the ledger record of one request.
pub(super) type RecordKey = (ShardKey, IdempotencyKey);

impl Host {
    pub(super) fn handle_forward(&mut self, from: HostId, id: RequestId, request: Request) {
        let origin = Origin::Peer(from, id);
        let Some(shard) = self.shard_of(&request) else {
            self.conclude(origin, None);
            return;
        };
        let job = Job {
            origin,
            request,
            shard,
        };
        if !self.serve(job) {
            self.conclude(origin, None);
        }
    }

    /// Accepts a request; returns false, with nothing done, if this host may not serve it.
    pub(super) fn serve(&mut self, job: Job) -> bool {
        let Some(owner) = self.view.owner(job.shard) else {
            return false;
        };
        let server = owner.server;
        let now = self.now;
        let may_serve = self
            .controlled_servers
            .get(&server)
            .is_some_and(|control| control.can_serve(job.shard.index, now));
        if !may_serve || !self.is_valid() {
            return false;
        }
        self.retry_budget.deposit();
        if !self.class_of(job.shard).is_idempotent() {
            self.serve_at_most_once(server, job);
        } else if let Some(refusal) = self.refusal_for(server, &job) {
            self.refuse(job, refusal);
        } else {
            self.enqueue(server, job);
        }
        true
    }

    /// The reason to refuse a request that has not run, if there is one.
    fn refusal_for(&self, server: ServerKey, job: &Job) -> Option<Refusal> {
        if self.is_past_grace(server) {
            return Some(Refusal::Unavailable);
        }
        let fingerprint = job.request.fingerprint();
        if self.quarantine.is_quarantined(fingerprint, self.now) {
            return Some(Refusal::Quarantined);
        }
        None
    }

    /// Queues a request for its server and dispatches as many as the limit allows.
    pub(super) fn enqueue(&mut self, server: ServerKey, job: Job) {
        let class = self.class_of(job.shard);
        let now = self.now;
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            self.reroute(job);
            return;
        };
        let limit = control.limiter.limit().max(1) as u32;
        let queue_rounds = control.queue.len() as u32 / limit + 1;
        let busy = control.load(now) >= limit as usize;
        let expected_latency = control.limiter.latency() * if busy { queue_rounds + 1 } else { 1 };
        if now + expected_latency > job.request.deadline {
            self.refuse(job, Refusal::Overloaded);
            return;
        }
        let deadline = job.request.deadline;
        let dropped = control.queue.push(class, deadline, job);
        if let Some(job) = dropped {
            self.refuse(job, Refusal::Overloaded);
        }
        self.timers.subscribe(deadline, TimerKind::Queue(server));
        self.dispatch_queued(server);
    }

    /// Dispatches queued requests to a server up to its limit.
    pub(super) fn dispatch_queued(&mut self, server: ServerKey) {
        loop {
            let now = self.now;
            let Some(control) = self.controlled_servers.get_mut(&server) else {
                return;
            };
            if control.phase == ControlPhase::Active && control.load(now) >= control.limiter.limit()
            {
                return;
            }
            let Some(job) = control.queue.pop() else {
                return;
            };
            if job.request.deadline <= now + control.limiter.latency() {
                self.refuse(job, Refusal::Deadline);
                continue;
            }
            let may_serve = control.can_serve(job.shard.index, now);
            if self.is_past_grace(server) {
                self.refuse(job, Refusal::Unavailable);
                continue;
            }
            if !may_serve || !self.is_valid() {
                self.reroute(job);
                continue;
            }
            self.dispatch(server, job);
        }
    }

    pub(super) fn expire_queue(&mut self, server: ServerKey) {
        let now = self.now;
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        for job in control.queue.expire(now) {
            self.refuse(job, Refusal::Deadline);
        }
    }

    pub(super) fn handle_order_result(&mut self, exchange: ExchangeId, result: OrderResult) {
        let Some(server) = self.servers_by_exchange.remove(&exchange) else {
            return;
        };
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        let Some(running) = control.running.remove(&exchange) else {
            return;
        };
        match result {
            OrderResult::Answer(answer) => self.handle_answer(server, running, answer),
            OrderResult::Refused(refusal) => self.handle_refusal(server, running.job, refusal),
            OrderResult::Lost => self.handle_loss(server, running),
        }
        self.dispatch_queued(server);
    }

    /// Ends or reroutes all requests of a server whose control has ended.
    pub(super) fn end_or_reroute_jobs(&mut self, mut control: ControlledServer) {
        let server = control.server;
        for (exchange, running) in std::mem::take(&mut control.running) {
            self.servers_by_exchange.remove(&exchange);
            self.effects.push(Effect::Cancel { exchange });
            self.end_as_unknown(running.job, UnknownReason::HostLost);
        }
        for job in control.queue.remove(|_| true) {
            self.reroute(job);
        }
        for job in self.remove_waiting_jobs(server, |_| true) {
            self.reroute(job);
        }
    }

    /// Ends all requests that were running on a lost server.
    pub(super) fn abandon_running(&mut self, server: ServerKey) {
        self.abandon(server, |_| true);
    }

    /// Ends the requests that were running on a server before it restarted.
    pub(super) fn abandon_before_restart(&mut self, server: ServerKey) {
        let boot = self
            .controlled_servers
            .get(&server)
            .and_then(|control| control.boot);
        self.abandon(server, |running| Some(running.boot) != boot);
    }

    fn abandon(&mut self, server: ServerKey, matches: impl Fn(&RunningOrder) -> bool) {
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        let running = std::mem::take(&mut control.running);
        let (abandoned, remaining) = running
            .into_iter()
            .partition(|(_, running)| matches(running));
        control.running = remaining;
        let abandoned: BTreeMap<ExchangeId, RunningOrder> = abandoned;
        for (exchange, running) in abandoned {
            self.servers_by_exchange.remove(&exchange);
            self.effects.push(Effect::Cancel { exchange });
            self.record_lost_request(server, &running);
            self.end_as_unknown(running.job, UnknownReason::ServerLost);
        }
    }

    /// Returns waiting requests for some shards to their origins for rerouting.
    pub(super) fn reroute_waiting(&mut self, server: ServerKey, matches: impl Fn(u32) -> bool) {
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        let mut jobs = control.queue.remove(|job| matches(job.shard.index));
        jobs.extend(self.remove_waiting_jobs(server, |job| matches(job.shard.index)));
        for job in jobs {
            self.reroute(job);
        }
    }

    /// Withdraws a request that has not been dispatched and returns its outcome; `None` if it may
    /// be running.
    pub(super) fn withdraw_request(&mut self, origin: Origin) -> Option<Outcome> {
        let mut waiting = self.remove_waiting_jobs_of(origin);
        for control in self.controlled_servers.values_mut() {
            waiting.extend(control.queue.remove(|job| job.origin == origin));
        }
        let job = waiting.pop();
        if let Some(job) = job {
            self.set_record_state(&job, RecordState::NotRun);
            for duplicate in self.take_duplicate_origins(&job) {
                self.conclude(duplicate, None);
            }
            return Some(Outcome::NotRun(Refusal::Deadline));
        }
        self.cancel_idempotent(origin);
        None
    }

    fn cancel_idempotent(&mut self, origin: Origin) {
        let running = self
            .controlled_servers
            .values()
            .flat_map(|control| &control.running);
        let exchange = running
            .filter(|(_, running)| running.job.origin == origin)
            .filter(|(_, running)| running.job.request.idempotency_key.is_none())
            .map(|(exchange, _)| *exchange)
            .next();
        if let Some(exchange) = exchange {
            self.effects.push(Effect::Cancel { exchange });
        }
    }

    /// Accepts a request that must run at most once.
    fn serve_at_most_once(&mut self, server: ServerKey, job: Job) {
        let timing = self.timing();
        let fingerprint = job.request.fingerprint();
        let Some(key) = job.request.idempotency_key else {
            self.conclude(job.origin, Some(Outcome::NotRun(Refusal::KeyMissing)));
            return;
        };
        let newest = (self.now + timing.key_ahead).as_millis();
        if key.millis().is_some_and(|millis| millis > newest) {
            self.conclude(job.origin, Some(Outcome::NotRun(Refusal::KeyAhead)));
            return;
        }
        let oldest = self.now - timing.ledger_window;
        match self.ledger.lookup(job.shard, key, fingerprint, oldest) {
            Lookup::Fresh => {
                if let Some(refusal) = self.refusal_for(server, &job) {
                    self.refuse(job, refusal);
                    return;
                }
                let record = Record {
                    fingerprint,
                    state: RecordState::Started,
                };
                self.ledger.set(job.shard, key, record);
                self.enqueue_after_replication(server, job, key);
            }
            Lookup::Running => {
                let waiting = self.duplicate_waiters.entry((job.shard, key)).or_default();
                waiting.push(job.origin);
            }
            Lookup::Answered(answer) => self.conclude(job.origin, Some(Outcome::Answer(answer))),
            Lookup::Doubtful(reason) => self.conclude(job.origin, Some(Outcome::Unknown(reason))),
            Lookup::Refused(refusal) => self.conclude(job.origin, Some(Outcome::NotRun(refusal))),
        }
    }

    fn dispatch(&mut self, server: ServerKey, job: Job) {
        let now = self.now;
        let valid_until = self.valid_until();
        let Some(info) = self.view.servers.get(server) else {
            self.reroute(job);
            return;
        };
        let (address, checks_token) = (info.spec.address, info.spec.checks_token);
        let past_grace = self.is_past_grace(server);
        let exchange = ExchangeId(self.allocate_id());
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        let lease = control.confirmed_until.min(valid_until);
        // Without a token check, the order must end with the lease and this host's validity.
        let deadline = if checks_token {
            job.request.deadline
        } else {
            job.request.deadline.min(lease)
        };
        let epoch = control.granted.get(&job.shard.index).copied();
        ensure(Invariant::OrderIsGranted, epoch.is_some());
        ensure(
            Invariant::OrderIsValid,
            valid_until > now && control.phase == ControlPhase::Active,
        );
        ensure(
            Invariant::WithinLimit,
            control.load(now) < control.limiter.limit(),
        );
        ensure(Invariant::OutIsIdle, !past_grace);
        let boot = control.boot.unwrap_or_default();
        let order = Order {
            shard: job.shard,
            epoch: epoch.unwrap_or_default(),
            token: control.token,
            deadline,
        };
        let request = job.request.clone();
        let running = RunningOrder {
            job,
            boot,
            started: now,
            deadline,
        };
        control.running.insert(exchange, running);
        self.servers_by_exchange.insert(exchange, server);
        self.effects.push(Effect::Order {
            exchange,
            server,
            address,
            boot,
            order,
            request,
        });
    }

    fn handle_answer(&mut self, server: ServerKey, running: RunningOrder, answer: Answer) {
        let latency = self.now.since(running.started);
        let now = self.now;
        let mut limit_lowered = false;
        if let Some(control) = self.controlled_servers.get_mut(&server) {
            limit_lowered = control.limiter.record_completion(now, latency);
        }
        if limit_lowered {
            self.log_lowered_limit(server);
        }
        self.record_warm_server(server);
        self.check_slow_server(server);
        let fingerprint = running.job.request.fingerprint();
        if !self.quarantine.is_quarantined(fingerprint, self.now) {
            self.quarantine
                .record_success(fingerprint, self.now, self.now);
        }
        self.set_record_state(&running.job, RecordState::Answered(answer.clone()));
        self.conclude_all(running.job, &Outcome::Answer(answer));
    }

    fn handle_refusal(&mut self, server: ServerKey, job: Job, refusal: OrderRefusal) {
        match refusal {
            OrderRefusal::Expired if job.request.deadline <= self.now => {
                self.refuse(job, Refusal::Deadline);
            }
            OrderRefusal::Shed => {
                self.lower_limit(server);
                if self.retry_budget.withdraw() {
                    self.reroute(job);
                } else {
                    self.refuse(job, Refusal::Overloaded);
                }
            }
            OrderRefusal::Expired => self.reroute(job),
            OrderRefusal::Fenced | OrderRefusal::Unreachable => {
                self.require_register_check(server);
                self.reroute(job);
            }
        }
    }

    fn handle_loss(&mut self, server: ServerKey, running: RunningOrder) {
        self.lower_limit(server);
        self.require_register_check(server);
        let mut restarted = false;
        if let Some(control) = self.controlled_servers.get_mut(&server) {
            control.orphaned_until.push(running.deadline);
            restarted = control.boot != Some(running.boot);
        }
        self.record_lost_request(server, &running);
        if restarted {
            self.confirm_crash(server);
        }
        self.end_as_unknown(running.job, UnknownReason::ServerLost);
    }

    fn require_register_check(&mut self, server: ServerKey) {
        self.abort_draining_handover(server);
        if let Some(control) = self.controlled_servers.get_mut(&server) {
            control.needs_query = true;
        }
    }

    fn lower_limit(&mut self, server: ServerKey) {
        let now = self.now;
        let limit_lowered = self
            .controlled_servers
            .get_mut(&server)
            .is_some_and(|control| control.limiter.record_overload(now));
        if limit_lowered {
            self.log_lowered_limit(server);
        }
    }

    /// Stops giving shards to a server that became slow, and moves its own shards off.
    fn check_slow_server(&mut self, server: ServerKey) {
        let now = self.now;
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        if !control.limiter.is_slow() {
            return;
        }
        let already_slow = control.slow_until > now;
        control.slow_until = now + SLOW_SERVER_PERIOD;
        if !already_slow {
            let name = self.server_name(server);
            self.log(EventCode::ServerSlow, name, "");
            self.plan_moves();
        }
    }

    fn log_lowered_limit(&mut self, server: ServerKey) {
        let name = self.server_name(server);
        self.log(EventCode::LimitLowered, name, "");
    }

    /// Ends a request that did not run, and its duplicates.
    fn refuse(&mut self, job: Job, refusal: Refusal) {
        self.set_record_state(&job, RecordState::NotRun);
        self.conclude_all(job, &Outcome::NotRun(refusal));
    }

    /// Ends a request that may have run, and its duplicates.
    fn end_as_unknown(&mut self, job: Job, reason: UnknownReason) {
        self.set_record_state(&job, RecordState::Doubtful(reason));
        self.conclude_all(job, &Outcome::Unknown(reason));
    }

    /// Returns a request that did not run to its origin for rerouting.
    pub(super) fn reroute(&mut self, job: Job) {
        self.set_record_state(&job, RecordState::NotRun);
        for origin in self.take_duplicate_origins(&job) {
            self.conclude(origin, None);
        }
        self.conclude(job.origin, None);
    }

    fn set_record_state(&mut self, job: &Job, state: RecordState) {
        if let Some(key) = job.request.idempotency_key
            && self.ledger.record(job.shard, key).is_some()
        {
            self.ledger.set_state(job.shard, key, state);
            self.replicate_record(job.shard, key);
        }
    }

    fn conclude_all(&mut self, job: Job, outcome: &Outcome) {
        for origin in self.take_duplicate_origins(&job) {
            self.conclude(origin, Some(outcome.clone()));
        }
        self.conclude(job.origin, Some(outcome.clone()));
    }

    fn take_duplicate_origins(&mut self, job: &Job) -> Vec<Origin> {
        let Some(key) = job.request.idempotency_key else {
            return Vec::new();
        };
        self.duplicate_waiters
            .remove(&(job.shard, key))
            .unwrap_or_default()
    }

    /// Sends an origin the outcome of its request; `None` if the request must be rerouted.
    fn conclude(&mut self, origin: Origin, outcome: Option<Outcome>) {
        match (origin, outcome) {
            (Origin::Caller(id), Some(outcome)) => self.respond_or_retry(id, outcome),
            (Origin::Caller(id), None) => self.park(id),
            (Origin::Peer(host, id), outcome) => {
                self.send(host, Message::Outcome { id, outcome });
            }
        }
    }

    fn class_of(&self, shard: ShardKey) -> Class {
        self.view
            .entries
            .get(shard.entry)
            .map_or(Class::Payment, |entry| entry.class)
    }
}
