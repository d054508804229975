//! Decisions that are in effect only with overload control: what waits in the host's queue, what is
//! hopeless, how many less urgent requests a server gets, and the bytes in flight of large bodies.
//!
//! `docs/design/admission-queue.md` and `docs/design/work-estimates.md` give the reasons.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::Router;
use super::selection::{MAX_QUEUE_DEPTH, MIN_QUEUE_DEPTH, PRIORITY_STEP};
use super::types::{
    AttemptOutcome, MAX_RETRY_AFTER, MIN_RETRY_AFTER, RefusalCause, RoutePlan, RouteRefusal, Target,
};
use crate::front::admission_queue::Waiting;
use crate::front::load::LoadReport;
use crate::front::work_estimates::{WorkEstimates, WorkKey};
use crate::ids::ServerKey;
use crate::time::Time;

/// Longest time in the queue, as a divisor of the target latency: callers that are refused retry
/// elsewhere, so that waiting must leave most of the target to the server.
const HOLD_DIVISOR: u32 = 4;
/// Number of requests beyond its slots up to which a server is sent a less urgent request, while more
/// urgent ones for the same service arrive at this host. With 0, servers idle between requests.
const LESS_URGENT_DEPTH: f64 = 0.5;
/// The same at least, when urgent responses are late: slots are then left free for them.
const MIN_LESS_URGENT_DEPTH: f64 = -2.0;
/// Reduction of it for each urgent response that is late. With the following constant, it stays where
/// one in thirteen is late.
const LATE_STEP: f64 = 0.25;
/// Increase of it for each urgent response that is in time.
const IN_TIME_STEP: f64 = 0.02;
/// Part of the target latency after which a response counts as late here: the request may have waited
/// before, and may have been refused elsewhere.
const LATE_PART: f64 = 0.75;
/// Time for which a request counts as a sign that others of its priority follow.
const URGENCY_MEMORY: Duration = Duration::from_secs(5);
/// Number of services whose priorities are remembered.
const URGENCY_CAPACITY: usize = 512;
/// Body length for which the penalty for distance is doubled, in bytes: bytes between regions are the
/// largest cost of large bodies.
const PENALTY_BODY_BYTES: f64 = 32.0 * 1024.0;
/// Bytes of large bodies in flight from this host, as time of its link: callers need their bodies sent
/// within a small part of their target latency.
const LINK_TIME: Duration = Duration::from_millis(2_000);
/// The same towards one server.
const SERVER_LINK_TIME: Duration = Duration::from_millis(500);
/// Share of the memory for large bodies in flight; the rest of what messages may occupy is left to
/// bodies that are being read, and to responses.
const BODY_MEMORY_SHARE: f64 = 0.2;
/// Part of its remaining time that a caller waits at most before it retries, as a divisor.
const RETRY_AFTER_DIVISOR: u32 = 3;
/// Earliest return of refused callers, as a fraction of the expected time until there is capacity; the
/// latest is one more, so that they do not return together.
const RETURN_SPREAD: f64 = 0.5;

/// What a router knows beyond the state that it needs without overload control.
#[derive(Clone, Debug, Default)]
pub(super) struct OverloadState {
    pub(super) has_uploads: bool,
    work: WorkEstimates,
    urgency: BTreeMap<Arc<str>, Urgency>,
    /// Bytes of large bodies in flight.
    bytes: usize,
    /// The same by server.
    bytes_at: BTreeMap<ServerKey, usize>,
}

/// The priorities of the requests for one service.
#[derive(Clone, Copy, Debug)]
struct Urgency {
    /// When the latest request of each of the priorities 0 to 3 arrived.
    seen: [Time; 4],
    /// Number of requests beyond its slots up to which a server is sent a less urgent one.
    depth: f64,
}

impl Default for Urgency {
    fn default() -> Self {
        Self {
            seen: [Time::ZERO; 4],
            depth: LESS_URGENT_DEPTH,
        }
    }
}

impl Urgency {
    /// Whether requests more urgent than a priority have arrived lately.
    fn has_more_urgent(&self, now: Time, priority: u8) -> bool {
        let mut more_urgent = self.seen[..usize::from(priority).min(3)].iter();
        more_urgent.any(|at| *at != Time::ZERO && now.since(*at) < URGENCY_MEMORY)
    }
}

/// Identifies the requests that a plan's work is estimated from.
pub(super) fn work_key(plan: &RoutePlan) -> WorkKey {
    WorkKey::new(&plan.route.name, &plan.service)
}

/// When a caller first sent a request: one that was refused comes again with less time left than its
/// route allows.
fn first_sent(received: Time, deadline: Time, plan: &RoutePlan) -> Time {
    let timeout = plan.route.timeout;
    let whole = received + timeout;
    received - whole.since(deadline)
}

impl Router {
    /// Whether requests are admitted by priority, deadline and expected work: the deployment asks for
    /// it, or a route in force has large bodies.
    pub fn overload_control(&self) -> bool {
        self.settings.overload_control || self.overload.has_uploads
    }

    /// What the host's queue has to know of a request that was received at `received` and has to be
    /// answered by `deadline`. Counts it as a sign of its priority's demand.
    pub fn waiting(
        &mut self,
        now: Time,
        plan: &RoutePlan,
        key: Option<u16>,
        received: Time,
        deadline: Time,
    ) -> Waiting {
        self.record_urgency(now, plan);
        let server = key
            .filter(|_| plan.keyed)
            .and_then(|key| self.table.owner(&plan.service, key))
            .and_then(|id| self.servers.find(id));
        let name = server
            .and_then(|key| self.servers.get(key))
            .map(|state| &*state.entry.id);
        let baseline = self.baseline_latency(&plan.service);
        let estimate = self
            .overload
            .work
            .estimate(now, work_key(plan), name, baseline);
        Waiting {
            priority: plan.priority(),
            target: first_sent(received, deadline, plan) + plan.route.target_latency,
            deadline,
            hold: plan.route.target_latency / HOLD_DIVISOR,
            work: estimate.mean + self.transfer_time(plan),
            bytes: plan.body_bytes,
            service: plan.service.clone(),
            server,
        }
    }

    /// The refusal of a request that would wait for `wait` in the queue: callers return when there may
    /// be capacity, spread, and never later than they are willing to wait.
    pub fn queue_refusal(
        &mut self,
        refusal: RouteRefusal,
        wait: Duration,
        time_left: Duration,
    ) -> RouteRefusal {
        let spread = self.next_spread();
        let expected = wait.max(refusal.retry_after.unwrap_or_default());
        let after = expected.mul_f64(RETURN_SPREAD + spread);
        let latest = time_left / RETRY_AFTER_DIVISOR;
        RouteRefusal {
            retry_after: Some(after.max(MIN_RETRY_AFTER).min(latest)),
            ..refusal
        }
    }

    fn record_urgency(&mut self, now: Time, plan: &RoutePlan) {
        let urgency = &mut self.overload.urgency;
        if urgency.len() >= URGENCY_CAPACITY && !urgency.contains_key(&plan.service) {
            let oldest = urgency
                .iter()
                .min_by_key(|(_, known)| known.seen.iter().max());
            if let Some(oldest) = oldest.map(|(service, _)| service.clone()) {
                urgency.remove(&oldest);
            }
        }
        let known = urgency.entry(plan.service.clone()).or_default();
        known.seen[usize::from(plan.priority()).min(3)] = now;
    }

    /// Adjusts the room that less urgent requests leave to whether the most urgent ones are in time.
    fn record_timeliness(&mut self, now: Time, target: &Target, latency: Duration) {
        let known = self.overload.urgency.get_mut(&target.entry.service);
        let Some(known) = known.filter(|known| !known.has_more_urgent(now, target.priority)) else {
            return;
        };
        let step = if latency > target.target_latency.mul_f64(LATE_PART) {
            -LATE_STEP
        } else {
            IN_TIME_STEP
        };
        known.depth = (known.depth + step).clamp(MIN_LESS_URGENT_DEPTH, LESS_URGENT_DEPTH);
    }

    /// Number of requests beyond its slots up to which a server is sent a request.
    pub(super) fn queue_depth(&self, now: Time, plan: &RoutePlan) -> f64 {
        let priority = plan.priority();
        let urgency = self.overload.urgency.get(&plan.service);
        let urgency = urgency.filter(|known| known.has_more_urgent(now, priority));
        if let Some(urgency) = urgency.filter(|_| self.overload_control()) {
            return urgency.depth;
        }
        let depth = MAX_QUEUE_DEPTH - PRIORITY_STEP * f64::from(priority);
        depth.max(MIN_QUEUE_DEPTH)
    }

    /// Whether a request certainly cannot be answered within the time left, whatever the load is.
    pub(super) fn is_hopeless(&self, now: Time, plan: &RoutePlan, time_left: Duration) -> bool {
        if !self.overload_control() {
            return false;
        }
        let least = self.overload.work.certain_minimum(now, work_key(plan));
        least + self.transfer_time(plan) > time_left
    }

    /// Records the work of a request, as the server's response shows it.
    pub(super) fn record_work(
        &mut self,
        now: Time,
        target: &Target,
        outcome: AttemptOutcome,
        report: Option<LoadReport>,
    ) {
        self.release_bytes(target);
        if !self.overload_control() {
            return;
        }
        let latency = now.since(target.sent);
        if matches!(
            outcome,
            AttemptOutcome::Answered { .. } | AttemptOutcome::Lost
        ) {
            self.record_timeliness(now, target, latency);
        }
        match (outcome, report) {
            (AttemptOutcome::Answered { success: true }, Some(report)) => {
                // The time at the server has a part in its queue, which is about as long at the end
                // as it was before.
                let slots = f64::from(report.slots.max(1));
                let rounds = 1.0 + f64::from(report.waiting) / slots;
                let transfer = self.link_time(target.bytes);
                let work = latency.saturating_sub(transfer).div_f64(rounds);
                let server = &target.entry.id;
                self.overload.work.record(now, target.work, server, work);
            }
            (AttemptOutcome::Lost, _) => {
                self.overload.work.record_overrun(now, target.work, latency);
            }
            _ => {}
        }
    }

    /// Time that the body of a request takes on this host's link.
    fn transfer_time(&self, plan: &RoutePlan) -> Duration {
        if plan.route.large_bodies {
            self.link_time(plan.body_bytes)
        } else {
            Duration::ZERO
        }
    }

    fn link_time(&self, bytes: usize) -> Duration {
        let rate = self.settings.link_rate.filter(|rate| *rate > 0.0);
        rate.map_or(Duration::ZERO, |rate| {
            Duration::from_secs_f64(bytes as f64 / rate)
        })
    }

    /// Counts the body of a request as in flight to a server; returns what has been counted.
    pub(super) fn record_bytes(&mut self, server: ServerKey, plan: &RoutePlan) -> usize {
        if !plan.route.large_bodies || plan.body_bytes == 0 {
            return 0;
        }
        self.overload.bytes += plan.body_bytes;
        *self.overload.bytes_at.entry(server).or_default() += plan.body_bytes;
        plan.body_bytes
    }

    fn release_bytes(&mut self, target: &Target) {
        if target.bytes == 0 {
            return;
        }
        self.overload.bytes = self.overload.bytes.saturating_sub(target.bytes);
        if let Some(bytes) = self.overload.bytes_at.get_mut(&target.server) {
            *bytes = bytes.saturating_sub(target.bytes);
            if *bytes == 0 {
                self.overload.bytes_at.remove(&target.server);
            }
        }
    }

    /// Bytes of large bodies in flight to all servers.
    pub fn bytes_in_flight(&self) -> usize {
        self.overload.bytes
    }

    /// Checks that the body of a request fits beside those in flight: towards the server, and on this
    /// host's link and in its memory. A single body always fits.
    pub(super) fn check_bytes(
        &self,
        server: ServerKey,
        plan: &RoutePlan,
    ) -> Result<(), RouteRefusal> {
        if !plan.route.large_bodies || !self.overload_control() {
            return Ok(());
        }
        let rate = self.settings.link_rate.unwrap_or(f64::INFINITY);
        let at_server = self.overload.bytes_at.get(&server).copied();
        let at_server = at_server.unwrap_or_default();
        let memory = self.settings.memory * BODY_MEMORY_SHARE;
        let bounds = [
            (at_server, rate * SERVER_LINK_TIME.as_secs_f64()),
            (
                self.overload.bytes,
                memory.min(rate * LINK_TIME.as_secs_f64()),
            ),
        ];
        for (used, bound) in bounds {
            let wanted = used + plan.body_bytes;
            if used > 0 && wanted as f64 > bound {
                let after = self.link_time(plan.body_bytes).min(MAX_RETRY_AFTER);
                return Err(RouteRefusal::new(RefusalCause::Busy, after));
            }
        }
        Ok(())
    }

    /// The penalty for distance of a request with a large body: it grows with the body.
    pub(super) fn scaled_penalty(&self, plan: &RoutePlan, penalty: Duration) -> Duration {
        if !plan.route.large_bodies || !self.overload_control() {
            return penalty;
        }
        penalty.mul_f64(1.0 + plan.body_bytes as f64 / PENALTY_BODY_BYTES)
    }
}
