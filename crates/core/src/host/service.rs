//! Work for the backend servers under this host's control.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Host;
use crate::catalogue::Class;
use crate::control::{Control, Job, Origin, Phase, Running};
use crate::event::Effect;
use crate::ids::{ExchangeId, HostId, IdempotencyKey, RequestId, ServerKey, ShardKey};
use crate::invariant::{Invariant, ensure};
use crate::ledger::{Record, RecordState, Verdict};
use crate::log::Code;
use crate::message::Message;
use crate::request::{Answer, Doubt, Order, OrderRefusal, OrderResult, Outcome, Refusal, Request};
use crate::timer::Wake;

/// Time for which a server that turned slow is given no shards.
const SLOW_SPAN: Duration = Duration::from_secs(10);

/// A request that repeats may join.
pub(super) type Repeat = (ShardKey, IdempotencyKey);

impl Host {
    pub(super) fn take_forward(&mut self, from: HostId, id: RequestId, request: Request) {
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

    /// Takes charge of a request; returns false, with nothing done, where this host may not.
    pub(super) fn serve(&mut self, job: Job) -> bool {
        let Some(owner) = self.view.owner(job.shard) else {
            return false;
        };
        let server = owner.server;
        let now = self.now;
        let serves = self
            .controls
            .get(&server)
            .is_some_and(|control| control.serves(job.shard.index, now));
        if !serves || !self.is_valid() {
            return false;
        }
        self.budget.earn();
        if !self.class_of(job.shard).is_idempotent() {
            self.serve_once(server, job);
        } else if let Some(refusal) = self.bar(server, &job) {
            self.refuse(job, refusal);
        } else {
            self.enqueue(server, job);
        }
        true
    }

    /// Why a request that never ran may not be started.
    fn bar(&self, server: ServerKey, job: &Job) -> Option<Refusal> {
        if self.is_shut(server) {
            return Some(Refusal::Unavailable);
        }
        if self.quarantine.refuses(job.request.fingerprint()) {
            return Some(Refusal::Quarantined);
        }
        None
    }

    /// Puts a request into its server's queue and gives orders as far as the limit allows.
    pub(super) fn enqueue(&mut self, server: ServerKey, job: Job) {
        let class = self.class_of(job.shard);
        let now = self.now;
        let Some(control) = self.controls.get_mut(&server) else {
            self.bounce(job);
            return;
        };
        let limit = control.limiter.limit().max(1) as u32;
        let rounds = control.queue.len() as u32 / limit + 1;
        let busy = control.load(now) >= limit as usize;
        let expected = control.limiter.latency() * if busy { rounds + 1 } else { 1 };
        if now + expected > job.request.deadline {
            self.refuse(job, Refusal::Overloaded);
            return;
        }
        let deadline = job.request.deadline;
        let dropped = control.queue.push(class, deadline, job);
        if let Some(job) = dropped {
            self.refuse(job, Refusal::Overloaded);
        }
        self.timers.subscribe(deadline, Wake::Queue(server));
        self.pump(server);
    }

    /// Gives orders to a server up to its limit.
    pub(super) fn pump(&mut self, server: ServerKey) {
        loop {
            let now = self.now;
            let Some(control) = self.controls.get_mut(&server) else {
                return;
            };
            if control.phase == Phase::Active && control.load(now) >= control.limiter.limit() {
                return;
            }
            let Some(job) = control.queue.pop() else {
                return;
            };
            if job.request.deadline <= now + control.limiter.latency() {
                self.refuse(job, Refusal::Deadline);
                continue;
            }
            let serves = control.serves(job.shard.index, now);
            if self.is_shut(server) {
                self.refuse(job, Refusal::Unavailable);
                continue;
            }
            if !serves || !self.is_valid() {
                self.bounce(job);
                continue;
            }
            self.order(server, job);
        }
    }

    pub(super) fn expire_queue(&mut self, server: ServerKey) {
        let now = self.now;
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        for job in control.queue.expire(now) {
            self.refuse(job, Refusal::Deadline);
        }
    }

    pub(super) fn take_order_result(&mut self, exchange: ExchangeId, result: OrderResult) {
        let Some(server) = self.servers_by_exchange.remove(&exchange) else {
            return;
        };
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        let Some(running) = control.running.remove(&exchange) else {
            return;
        };
        match result {
            OrderResult::Answer(answer) => self.take_answer(server, running, answer),
            OrderResult::Refused(refusal) => self.take_refusal(server, running.job, refusal),
            OrderResult::Lost => self.take_loss(server, running),
        }
        self.pump(server);
    }

    /// Ends every request of a server whose control has ended.
    pub(super) fn release_jobs(&mut self, mut control: Control) {
        let server = control.server;
        for (exchange, running) in std::mem::take(&mut control.running) {
            self.servers_by_exchange.remove(&exchange);
            self.effects.push(Effect::Cancel { exchange });
            self.doubt(running.job, Doubt::HostLost);
        }
        for job in control.queue.remove(|_| true) {
            self.bounce(job);
        }
        for job in self.take_held(server, |_| true) {
            self.bounce(job);
        }
    }

    /// Ends what a lost server had running.
    pub(super) fn abandon_running(&mut self, server: ServerKey) {
        self.abandon(server, |_| true);
    }

    /// Ends what a server had running before it started anew.
    pub(super) fn abandon_earlier(&mut self, server: ServerKey) {
        let boot = self.controls.get(&server).and_then(|control| control.boot);
        self.abandon(server, |running| Some(running.boot) != boot);
    }

    fn abandon(&mut self, server: ServerKey, matches: impl Fn(&Running) -> bool) {
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        let orders = std::mem::take(&mut control.running);
        let (gone, kept) = orders
            .into_iter()
            .partition(|(_, running)| matches(running));
        control.running = kept;
        let gone: BTreeMap<ExchangeId, Running> = gone;
        for (exchange, running) in gone {
            self.servers_by_exchange.remove(&exchange);
            self.effects.push(Effect::Cancel { exchange });
            self.suspect(server, &running);
            self.doubt(running.job, Doubt::ServerLost);
        }
    }

    /// Returns waiting requests for some shards to where they came from.
    pub(super) fn bounce_waiting(&mut self, server: ServerKey, matches: impl Fn(u32) -> bool) {
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        let mut jobs = control.queue.remove(|job| matches(job.shard.index));
        jobs.extend(self.take_held(server, |job| matches(job.shard.index)));
        for job in jobs {
            self.bounce(job);
        }
    }

    /// Takes back a request; returns how it ended, unless an order for it may run.
    pub(super) fn withdraw(&mut self, origin: Origin) -> Option<Outcome> {
        let mut found = self.take_held_of(origin);
        for control in self.controls.values_mut() {
            found.extend(control.queue.remove(|job| job.origin == origin));
        }
        let job = found.pop();
        if let Some(job) = job {
            self.settle(&job, RecordState::NotRun);
            for repeat in self.take_repeats(&job) {
                self.conclude(repeat, None);
            }
            return Some(Outcome::NotRun(Refusal::Deadline));
        }
        self.cancel_idempotent(origin);
        None
    }

    fn cancel_idempotent(&mut self, origin: Origin) {
        let running = self.controls.values().flat_map(|control| &control.running);
        let exchange = running
            .filter(|(_, running)| running.job.origin == origin)
            .filter(|(_, running)| running.job.request.idempotency.is_none())
            .map(|(exchange, _)| *exchange)
            .next();
        if let Some(exchange) = exchange {
            self.effects.push(Effect::Cancel { exchange });
        }
    }

    /// Takes charge of a request that must not run twice.
    fn serve_once(&mut self, server: ServerKey, job: Job) {
        let timing = self.timing();
        let fingerprint = job.request.fingerprint();
        let Some(key) = job.request.idempotency else {
            self.conclude(job.origin, Some(Outcome::NotRun(Refusal::KeyMissing)));
            return;
        };
        let newest = (self.now + timing.key_ahead).as_millis();
        if key.millis().is_some_and(|millis| millis > newest) {
            self.conclude(job.origin, Some(Outcome::NotRun(Refusal::KeyAhead)));
            return;
        }
        let oldest = self.now - timing.ledger_window;
        match self.ledger.verdict(job.shard, key, fingerprint, oldest) {
            Verdict::Fresh => {
                if let Some(refusal) = self.bar(server, &job) {
                    self.refuse(job, refusal);
                    return;
                }
                let record = Record {
                    fingerprint,
                    state: RecordState::Started,
                };
                self.ledger.set(job.shard, key, record);
                self.hold_for_copy(server, job, key);
            }
            Verdict::Running => {
                let waiting = self.repeats.entry((job.shard, key)).or_default();
                waiting.push(job.origin);
            }
            Verdict::Answered(answer) => self.conclude(job.origin, Some(Outcome::Answer(answer))),
            Verdict::Doubtful(doubt) => self.conclude(job.origin, Some(Outcome::Unknown(doubt))),
            Verdict::Refused(refusal) => self.conclude(job.origin, Some(Outcome::NotRun(refusal))),
        }
    }

    fn order(&mut self, server: ServerKey, job: Job) {
        let now = self.now;
        let valid_until = self.valid_until();
        let Some(info) = self.view.servers.get(server) else {
            self.bounce(job);
            return;
        };
        let (address, checks) = (info.spec.address, info.spec.checks);
        let shut = self.is_shut(server);
        let exchange = ExchangeId(self.draw_id());
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        let lease = control.confirmed_until.min(valid_until);
        let deadline = if checks {
            job.request.deadline
        } else {
            job.request.deadline.min(lease)
        };
        let epoch = control.granted.get(&job.shard.index).copied();
        ensure(Invariant::OrderIsGranted, epoch.is_some());
        ensure(
            Invariant::OrderIsValid,
            valid_until > now && control.phase == Phase::Active,
        );
        ensure(
            Invariant::WithinLimit,
            control.load(now) < control.limiter.limit(),
        );
        ensure(Invariant::OutIsIdle, !shut);
        let boot = control.boot.unwrap_or_default();
        let order = Order {
            shard: job.shard,
            epoch: epoch.unwrap_or_default(),
            token: control.token,
            deadline,
        };
        let request = job.request.clone();
        let running = Running {
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

    fn take_answer(&mut self, server: ServerKey, running: Running, answer: Answer) {
        let took = self.now.since(running.started);
        let now = self.now;
        let mut fell = false;
        if let Some(control) = self.controls.get_mut(&server) {
            fell = control.limiter.completed(now, took);
        }
        if fell {
            self.log_limit(server);
        }
        self.note_warm(server);
        self.note_straggler(server);
        self.quarantine.cleared(running.job.request.fingerprint());
        self.settle(&running.job, RecordState::Answered(answer.clone()));
        self.conclude_all(running.job, &Outcome::Answer(answer));
    }

    fn take_refusal(&mut self, server: ServerKey, job: Job, refusal: OrderRefusal) {
        match refusal {
            OrderRefusal::Expired if job.request.deadline <= self.now => {
                self.refuse(job, Refusal::Deadline);
            }
            OrderRefusal::Shed => {
                self.lower_limit(server);
                if self.budget.spend() {
                    self.bounce(job);
                } else {
                    self.refuse(job, Refusal::Overloaded);
                }
            }
            OrderRefusal::Expired => self.bounce(job),
            OrderRefusal::Fenced | OrderRefusal::Unreachable => {
                self.doubt_register(server);
                self.bounce(job);
            }
        }
    }

    fn take_loss(&mut self, server: ServerKey, running: Running) {
        self.lower_limit(server);
        self.doubt_register(server);
        let mut restarted = false;
        if let Some(control) = self.controls.get_mut(&server) {
            control.ghosts.push(running.deadline);
            restarted = control.boot != Some(running.boot);
        }
        self.suspect(server, &running);
        if restarted {
            self.confirm_crash(server);
        }
        self.doubt(running.job, Doubt::ServerLost);
    }

    fn doubt_register(&mut self, server: ServerKey) {
        self.stop_draining(server);
        if let Some(control) = self.controls.get_mut(&server) {
            control.unsure = true;
        }
    }

    fn lower_limit(&mut self, server: ServerKey) {
        let now = self.now;
        let fell = self
            .controls
            .get_mut(&server)
            .is_some_and(|control| control.limiter.failed(now));
        if fell {
            self.log_limit(server);
        }
    }

    /// Keeps shards away from a server that turned slow, and moves its own ones off.
    fn note_straggler(&mut self, server: ServerKey) {
        let now = self.now;
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        if !control.limiter.is_straggling() {
            return;
        }
        let known = control.slow_until > now;
        control.slow_until = now + SLOW_SPAN;
        if !known {
            let name = self.server_name(server);
            self.log(Code::ServerSlow, name, "");
            self.plan_moves();
        }
    }

    fn log_limit(&mut self, server: ServerKey) {
        let name = self.server_name(server);
        self.log(Code::LimitLowered, name, "");
    }

    /// Ends a request that did not run.
    fn refuse(&mut self, job: Job, refusal: Refusal) {
        self.settle(&job, RecordState::NotRun);
        self.conclude_all(job, &Outcome::NotRun(refusal));
    }

    /// Ends a request that may have run.
    fn doubt(&mut self, job: Job, doubt: Doubt) {
        self.settle(&job, RecordState::Doubtful(doubt));
        self.conclude_all(job, &Outcome::Unknown(doubt));
    }

    /// Returns a request that did not run, to be routed anew.
    pub(super) fn bounce(&mut self, job: Job) {
        self.settle(&job, RecordState::NotRun);
        for origin in self.take_repeats(&job) {
            self.conclude(origin, None);
        }
        self.conclude(job.origin, None);
    }

    fn settle(&mut self, job: &Job, state: RecordState) {
        if let Some(key) = job.request.idempotency
            && self.ledger.record(job.shard, key).is_some()
        {
            self.ledger.settle(job.shard, key, state);
            self.copy_record(job.shard, key);
        }
    }

    fn conclude_all(&mut self, job: Job, outcome: &Outcome) {
        for origin in self.take_repeats(&job) {
            self.conclude(origin, Some(outcome.clone()));
        }
        self.conclude(job.origin, Some(outcome.clone()));
    }

    fn take_repeats(&mut self, job: &Job) -> Vec<Origin> {
        let Some(key) = job.request.idempotency else {
            return Vec::new();
        };
        self.repeats.remove(&(job.shard, key)).unwrap_or_default()
    }

    /// Tells an origin how its request ended; `None` where this host is not in charge.
    fn conclude(&mut self, origin: Origin, outcome: Option<Outcome>) {
        match (origin, outcome) {
            (Origin::Caller(id), Some(outcome)) => self.end_or_repeat(id, outcome),
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
