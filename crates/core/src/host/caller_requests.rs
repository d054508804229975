//! Requests from this host's own callers.

use std::time::Duration;

use super::Host;
use crate::control::{Job, Origin};
use crate::event::Effect;
use crate::ids::{HostId, RequestId, ShardKey};
use crate::invariant::{Invariant, ensure};
use crate::log::EventCode;
use crate::message::Message;
use crate::request::{Outcome, Refusal, Request, UnknownReason};
use crate::timer::TimerKind;

/// Time reserved before the caller's deadline for the outcome to return from the serving host.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// Maximum retries of an idempotent request whose server or host was lost.
const MAX_RETRIES: u32 = 2;

/// A request whose caller is waiting at this host.
#[derive(Debug)]
pub(super) struct CallerRequest {
    request: Request,
    /// The host that is serving the request, possibly this one; `None` while it is parked.
    serving_host: Option<HostId>,
    /// Whether an earlier attempt was lost before its outcome was known.
    maybe_ran: bool,
    retries: u32,
}

impl Host {
    /// Checks a request before its body is read; returns the reason to refuse it, if any.
    ///
    /// Home regions are checked here, so that no body is read in a region that may not see it.
    pub fn check_request_head(&self, entry: &str, tenant: &str, length: usize) -> Option<Refusal> {
        let Some(entry) = self.entry(entry) else {
            if !self.view.is_loaded() {
                return Some(Refusal::Unavailable);
            }
            return Some(Refusal::UnknownEntry);
        };
        let home_regions = entry.home_regions(tenant);
        if !home_regions.iter().any(|region| region == self.region()) {
            return Some(Refusal::WrongRegion);
        }
        if length > entry.limits.body as usize {
            return Some(Refusal::TooLarge);
        }
        None
    }

    /// The largest request body that an entry accepts, in bytes; zero for an unknown entry.
    pub fn body_limit(&self, entry: &str) -> usize {
        self.entry(entry)
            .map_or(0, |entry| entry.limits.body as usize)
    }

    /// The regions that may serve a tenant's requests for an entry.
    pub fn home_regions(&self, entry: &str, tenant: &str) -> &[String] {
        self.entry(entry)
            .map_or(&[], |entry| entry.home_regions(tenant))
    }

    pub(super) fn accept_request(&mut self, id: RequestId, request: Request) {
        if let Some(refusal) = self.check_request(&request) {
            let outcome = unserved_outcome(&request, refusal);
            self.effects.push(Effect::Respond { id, outcome });
            return;
        }
        self.timers
            .subscribe(request.deadline, TimerKind::Deadline(id));
        let pending = CallerRequest {
            request,
            serving_host: None,
            maybe_ran: false,
            retries: 0,
        };
        self.caller_requests.insert(id, pending);
        self.route(id);
    }

    pub(super) fn cancel_request(&mut self, id: RequestId) {
        if self.caller_requests.remove(&id).is_none() {
            return;
        }
        self.parked.remove(&id);
        self.withdraw_request(Origin::Caller(id));
    }

    /// Ends a caller's request with an outcome.
    pub(super) fn respond(&mut self, id: RequestId, outcome: Outcome) {
        let Some(pending) = self.caller_requests.remove(&id) else {
            return;
        };
        self.parked.remove(&id);
        let outcome = match outcome {
            Outcome::NotRun(_) if pending.maybe_ran => Outcome::Unknown(UnknownReason::HostLost),
            other => other,
        };
        let claims_not_run = matches!(outcome, Outcome::NotRun(_));
        ensure(
            Invariant::NotRunIsTrue,
            !(claims_not_run && pending.maybe_ran),
        );
        if matches!(outcome, Outcome::Unknown(_)) {
            let detail = format!("{outcome:?}");
            self.log(EventCode::RequestDoubtful, pending.request.entry, detail);
        }
        self.effects.push(Effect::Respond { id, outcome });
    }

    /// Keeps a request until some host can serve it.
    pub(super) fn park(&mut self, id: RequestId) {
        if let Some(pending) = self.caller_requests.get_mut(&id) {
            pending.serving_host = None;
            self.parked.insert(id);
            self.expedite_housekeeping();
        }
    }

    /// Ends a caller's request, or retries an idempotent one that was lost with a server or host.
    pub(super) fn respond_or_retry(&mut self, id: RequestId, outcome: Outcome) {
        let attempt_lost = matches!(
            outcome,
            Outcome::Unknown(UnknownReason::ServerLost | UnknownReason::HostLost)
        );
        if attempt_lost && self.may_retry(id) && self.retry_budget.withdraw() {
            if let Some(pending) = self.caller_requests.get_mut(&id) {
                pending.maybe_ran = true;
                pending.retries += 1;
            }
            self.park(id);
        } else {
            self.respond(id, outcome);
        }
    }

    pub(super) fn route_parked(&mut self) {
        let parked: Vec<RequestId> = self.parked.iter().copied().collect();
        for id in parked {
            self.route(id);
        }
    }

    pub(super) fn handle_outcome(&mut self, from: HostId, id: RequestId, outcome: Option<Outcome>) {
        let serving_host = self
            .caller_requests
            .get(&id)
            .and_then(|pending| pending.serving_host);
        if serving_host != Some(from) {
            return;
        }
        match outcome {
            Some(outcome) => self.respond_or_retry(id, outcome),
            None => self.park(id),
        }
    }

    /// Reroutes requests that were forwarded to a host whose connection broke.
    pub(super) fn reroute_from_host(&mut self, host: HostId) {
        self.reroute_lost(|_, pending| pending.serving_host == Some(host));
    }

    /// Reroutes requests that were forwarded to hosts which have left the record.
    pub(super) fn reroute_from_removed_hosts(&mut self) {
        let id = self.settings.id;
        let removed: Vec<HostId> = self
            .caller_requests
            .values()
            .filter_map(|pending| pending.serving_host)
            .filter(|host| *host != id && self.view.host(*host).is_none())
            .collect();
        self.reroute_lost(|_, pending| {
            pending
                .serving_host
                .is_some_and(|host| removed.contains(&host))
        });
    }

    pub(super) fn handle_deadline(&mut self, id: RequestId) {
        let Some(pending) = self.caller_requests.get(&id) else {
            return;
        };
        let outcome = match pending.serving_host {
            None if pending.maybe_ran => Outcome::Unknown(UnknownReason::Deadline),
            None => unserved_outcome(&pending.request, Refusal::Unavailable),
            Some(host) if host == self.settings.id => self
                .withdraw_request(Origin::Caller(id))
                .unwrap_or(Outcome::Unknown(UnknownReason::Deadline)),
            Some(_) => Outcome::Unknown(UnknownReason::Deadline),
        };
        self.respond(id, outcome);
    }

    fn may_retry(&self, id: RequestId) -> bool {
        let Some(pending) = self.caller_requests.get(&id) else {
            return false;
        };
        let entry = self.entry(&pending.request.entry);
        let idempotent = entry.is_some_and(|entry| entry.class.is_idempotent());
        let suspect = self.quarantine.is_suspect(pending.request.fingerprint());
        idempotent && !suspect && pending.retries < MAX_RETRIES
    }

    fn entry(&self, name: &str) -> Option<&crate::catalogue::Entry> {
        let key = self.view.entries.find(name)?;
        self.view.entries.get(key)
    }

    fn check_request(&self, request: &Request) -> Option<Refusal> {
        let length = request.body.len();
        if let Some(refusal) = self.check_request_head(&request.entry, &request.tenant, length) {
            return Some(refusal);
        }
        let class = self.entry(&request.entry)?.class;
        let key_time = request.idempotency_key.and_then(|key| key.millis());
        if !class.is_idempotent() && key_time.is_none() {
            return Some(Refusal::KeyMissing);
        }
        if request.deadline <= self.now {
            return Some(Refusal::Deadline);
        }
        if self
            .quarantine
            .is_quarantined(request.fingerprint(), self.now)
        {
            return Some(Refusal::Quarantined);
        }
        None
    }

    fn route(&mut self, id: RequestId) {
        let Some(pending) = self.caller_requests.get(&id) else {
            return;
        };
        let request = pending.request.clone();
        let Some(shard) = self.shard_of(&request) else {
            self.respond(id, Outcome::NotRun(Refusal::UnknownEntry));
            return;
        };
        let controller = self
            .view
            .owner(shard)
            .and_then(|owner| self.view.controller(owner.server));
        match controller {
            Some(host) if host == self.settings.id => self.serve_locally(id, request, shard),
            Some(host) => self.forward(id, host, request),
            None => self.park(id),
        }
    }

    fn serve_locally(&mut self, id: RequestId, request: Request, shard: ShardKey) {
        self.set_serving_host(id, self.settings.id);
        let job = Job {
            origin: Origin::Caller(id),
            request,
            shard,
        };
        if !self.serve(job) {
            self.park(id);
        }
    }

    fn forward(&mut self, id: RequestId, host: HostId, mut request: Request) {
        let Some(record) = self.view.host(host) else {
            self.park(id);
            return;
        };
        let home_regions = self.home_regions(&request.entry, &request.tenant);
        let allowed = home_regions
            .iter()
            .any(|region| region == record.domain.region());
        ensure(Invariant::HomeRegions, allowed);
        request.deadline = request.deadline - RESPONSE_MARGIN;
        self.set_serving_host(id, host);
        self.send(host, Message::Forward { id, request });
    }

    fn set_serving_host(&mut self, id: RequestId, host: HostId) {
        self.parked.remove(&id);
        if let Some(pending) = self.caller_requests.get_mut(&id) {
            pending.serving_host = Some(host);
        }
    }

    fn reroute_lost(&mut self, matches: impl Fn(RequestId, &CallerRequest) -> bool) {
        for (id, pending) in &mut self.caller_requests {
            if matches(*id, pending) {
                pending.serving_host = None;
                pending.maybe_ran = true;
                self.parked.insert(*id);
            }
        }
        if !self.parked.is_empty() {
            self.expedite_housekeeping();
        }
    }
}

/// The outcome of a refused request that was not run.
///
/// A caller's retry may have run in an earlier attempt; a transient refusal does not rule that out.
fn unserved_outcome(request: &Request, refusal: Refusal) -> Outcome {
    let transient = matches!(
        refusal,
        Refusal::Deadline | Refusal::Quarantined | Refusal::Unavailable
    );
    if transient && request.is_retry && request.idempotency_key.is_some() {
        return Outcome::Unknown(UnknownReason::NotAsked);
    }
    Outcome::NotRun(refusal)
}
