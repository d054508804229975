//! Requests of this host's own callers.

use std::time::Duration;

use super::Host;
use crate::control::{Job, Origin};
use crate::event::Effect;
use crate::ids::{HostId, RequestId, ShardKey};
use crate::invariant::{Invariant, ensure};
use crate::log::Code;
use crate::message::Message;
use crate::request::{Doubt, Outcome, Refusal, Request};
use crate::timer::Wake;

/// Time that an outcome has to come back from the host in charge before the caller's deadline.
const RETURN_MARGIN: Duration = Duration::from_millis(10);
/// Repetitions of a read whose server or host was lost.
const REPEATS: u32 = 2;

/// A request that a caller of this host waits for.
#[derive(Debug)]
pub(super) struct Caller {
    request: Request,
    /// The host that has the request; this host itself included.
    holder: Option<HostId>,
    /// Whether a host that had it was lost before it told the outcome.
    doubtful: bool,
    repeats: u32,
}

impl Host {
    /// Checks what is known of a request before its body is read.
    ///
    /// The home regions come first, so that nothing of a request is read where it may not be.
    pub fn check_head(&self, entry: &str, tenant: &str, length: usize) -> Option<Refusal> {
        let Some(entry) = self.entry(entry) else {
            if !self.view.is_read() {
                return Some(Refusal::Unavailable);
            }
            return Some(Refusal::UnknownEntry);
        };
        let home = entry.home_regions(tenant);
        if !home.iter().any(|region| region == self.region()) {
            return Some(Refusal::WrongRegion);
        }
        if length > entry.limits.body as usize {
            return Some(Refusal::TooLarge);
        }
        None
    }

    /// The largest body of an entry's requests, in bytes.
    pub fn body_limit(&self, entry: &str) -> usize {
        self.entry(entry)
            .map_or(0, |entry| entry.limits.body as usize)
    }

    /// The regions that may serve a tenant's requests for an entry.
    pub fn home_regions(&self, entry: &str, tenant: &str) -> &[String] {
        self.entry(entry)
            .map_or(&[], |entry| entry.home_regions(tenant))
    }

    pub(super) fn accept(&mut self, id: RequestId, request: Request) {
        if let Some(refusal) = self.check(&request) {
            let outcome = unasked(&request, refusal);
            self.effects.push(Effect::Respond { id, outcome });
            return;
        }
        self.timers.subscribe(request.deadline, Wake::Deadline(id));
        let caller = Caller {
            request,
            holder: None,
            doubtful: false,
            repeats: 0,
        };
        self.callers.insert(id, caller);
        self.route(id);
    }

    pub(super) fn forget_caller(&mut self, id: RequestId) {
        if self.callers.remove(&id).is_none() {
            return;
        }
        self.parked.remove(&id);
        self.withdraw(Origin::Caller(id));
    }

    /// Ends a caller's request.
    pub(super) fn respond(&mut self, id: RequestId, outcome: Outcome) {
        let Some(caller) = self.callers.remove(&id) else {
            return;
        };
        self.parked.remove(&id);
        let outcome = match outcome {
            Outcome::NotRun(_) if caller.doubtful => Outcome::Unknown(Doubt::HostLost),
            other => other,
        };
        let claims_not_run = matches!(outcome, Outcome::NotRun(_));
        ensure(
            Invariant::NotRunIsTrue,
            !(claims_not_run && caller.doubtful),
        );
        if matches!(outcome, Outcome::Unknown(_)) {
            let detail = format!("{outcome:?}");
            self.log(Code::RequestDoubtful, caller.request.entry, detail);
        }
        self.effects.push(Effect::Respond { id, outcome });
    }

    /// Keeps a request until somebody is in charge of it.
    pub(super) fn park(&mut self, id: RequestId) {
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.holder = None;
            self.parked.insert(id);
            self.hurry();
        }
    }

    /// Ends a caller's request, or repeats a read that was lost with a server or host.
    pub(super) fn end_or_repeat(&mut self, id: RequestId, outcome: Outcome) {
        let lost = matches!(
            outcome,
            Outcome::Unknown(Doubt::ServerLost | Doubt::HostLost)
        );
        if lost && self.may_repeat(id) && self.budget.spend() {
            if let Some(caller) = self.callers.get_mut(&id) {
                caller.doubtful = true;
                caller.repeats += 1;
            }
            self.park(id);
        } else {
            self.respond(id, outcome);
        }
    }

    pub(super) fn route_parked(&mut self) {
        let waiting: Vec<RequestId> = self.parked.iter().copied().collect();
        for id in waiting {
            self.route(id);
        }
    }

    pub(super) fn take_outcome(&mut self, from: HostId, id: RequestId, outcome: Option<Outcome>) {
        let held = self.callers.get(&id).and_then(|caller| caller.holder);
        if held != Some(from) {
            return;
        }
        match outcome {
            Some(outcome) => self.end_or_repeat(id, outcome),
            None => self.park(id),
        }
    }

    /// Takes back requests from a host whose connection broke.
    pub(super) fn reroute_from(&mut self, host: HostId) {
        self.take_back(|_, caller| caller.holder == Some(host));
    }

    /// Takes back requests from hosts that are no longer in charge of them.
    pub(super) fn reroute_moved(&mut self) {
        let id = self.settings.id;
        let gone: Vec<HostId> = self
            .callers
            .values()
            .filter_map(|caller| caller.holder)
            .filter(|holder| *holder != id && self.view.host(*holder).is_none())
            .collect();
        self.take_back(|_, caller| caller.holder.is_some_and(|holder| gone.contains(&holder)));
    }

    pub(super) fn reach_deadline(&mut self, id: RequestId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let outcome = match caller.holder {
            None if caller.doubtful => Outcome::Unknown(Doubt::Deadline),
            None => unasked(&caller.request, Refusal::Unavailable),
            Some(holder) if holder == self.settings.id => self
                .withdraw(Origin::Caller(id))
                .unwrap_or(Outcome::Unknown(Doubt::Deadline)),
            Some(_) => Outcome::Unknown(Doubt::Deadline),
        };
        self.respond(id, outcome);
    }

    fn may_repeat(&self, id: RequestId) -> bool {
        let Some(caller) = self.callers.get(&id) else {
            return false;
        };
        let entry = self.entry(&caller.request.entry);
        let idempotent = entry.is_some_and(|entry| entry.class.is_idempotent());
        let suspect = self.quarantine.is_suspect(caller.request.fingerprint());
        idempotent && !suspect && caller.repeats < REPEATS
    }

    fn entry(&self, name: &str) -> Option<&crate::catalogue::Entry> {
        let key = self.view.entries.find(name)?;
        self.view.entries.get(key)
    }

    fn check(&self, request: &Request) -> Option<Refusal> {
        let length = request.body.len();
        if let Some(refusal) = self.check_head(&request.entry, &request.tenant, length) {
            return Some(refusal);
        }
        let class = self.entry(&request.entry)?.class;
        let version = request.idempotency.and_then(|key| key.millis());
        if !class.is_idempotent() && version.is_none() {
            return Some(Refusal::KeyMissing);
        }
        if request.deadline <= self.now {
            return Some(Refusal::Deadline);
        }
        if self.quarantine.refuses(request.fingerprint()) {
            return Some(Refusal::Quarantined);
        }
        None
    }

    fn route(&mut self, id: RequestId) {
        let Some(caller) = self.callers.get(&id) else {
            return;
        };
        let request = caller.request.clone();
        let Some(shard) = self.shard_of(&request) else {
            self.respond(id, Outcome::NotRun(Refusal::UnknownEntry));
            return;
        };
        let controller = self
            .view
            .owner(shard)
            .and_then(|owner| self.view.controller(owner.server));
        match controller {
            Some(host) if host == self.settings.id => self.serve_caller(id, request, shard),
            Some(host) => self.forward(id, host, request),
            None => self.park(id),
        }
    }

    fn serve_caller(&mut self, id: RequestId, request: Request, shard: ShardKey) {
        self.set_holder(id, self.settings.id);
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
        let home = self.home_regions(&request.entry, &request.tenant);
        let allowed = home.iter().any(|region| region == record.domain.region());
        ensure(Invariant::HomeRegions, allowed);
        request.deadline = request.deadline - RETURN_MARGIN;
        self.set_holder(id, host);
        self.send(host, Message::Forward { id, request });
    }

    fn set_holder(&mut self, id: RequestId, host: HostId) {
        self.parked.remove(&id);
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.holder = Some(host);
        }
    }

    fn take_back(&mut self, matches: impl Fn(RequestId, &Caller) -> bool) {
        for (id, caller) in &mut self.callers {
            if matches(*id, caller) {
                caller.holder = None;
                caller.doubtful = true;
                self.parked.insert(*id);
            }
        }
        if !self.parked.is_empty() {
            self.hurry();
        }
    }
}

/// How a request ends that no host in charge was asked about.
fn unasked(request: &Request, refusal: Refusal) -> Outcome {
    let passing = matches!(
        refusal,
        Refusal::Deadline | Refusal::Quarantined | Refusal::Unavailable
    );
    if passing && request.repeat && request.idempotency.is_some() {
        return Outcome::Unknown(Doubt::NotAsked);
    }
    Outcome::NotRun(refusal)
}
