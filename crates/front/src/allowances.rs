//! Limits over all hosts, those that servers name and the quotas of tenants: asks the leader for more
//! requests than this host's share allows.
//!
//! A host sends what its own share of a limit allows without asking. `docs/platform-path.md`,
//! "Limits of servers", and `docs/design/tenant-quotas.md` tell how the rest is divided.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranthshunt_core::front::{AllowanceNeed, RoutePlan};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::task;

use crate::entry_host::EntryHost;
use crate::lock::lock;
use crate::messages::{Allowance, LimitMessage, RequestAllowance, TenantNeed};

/// Longest time that a request waits for the leader's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Requests to the leader that wait to be written.
const QUEUE_CAPACITY: usize = 64;

/// The leader's reply: the number of requests that may be sent, or the time until there may be one.
pub(crate) type AllowanceReply = Result<u32, Duration>;

/// The requests of this host that the leader has not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Allowances {
    last_number: AtomicU64,
    /// Leads to the connection to the leader; `None` while there is none.
    requests: Mutex<Option<Sender<RequestAllowance>>>,
    waiting: Mutex<BTreeMap<u64, Sender<AllowanceReply>>>,
}

impl Allowances {
    /// Returns the requests to be sent to a new leader.
    pub(crate) fn connect(&self) -> Receiver<RequestAllowance> {
        let (sender, receiver) = bounded(QUEUE_CAPACITY);
        *lock(&self.requests) = Some(sender);
        receiver
    }

    /// Ends all requests, since the leader is lost.
    pub(crate) fn disconnect(&self) {
        *lock(&self.requests) = None;
        lock(&self.waiting).clear();
    }

    /// Asks for requests to a server or of a tenant; `None` without a reply in time.
    async fn ask(
        &self,
        limit: Option<LimitMessage>,
        need: Option<TenantNeed>,
    ) -> Option<AllowanceReply> {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, reply) = bounded(1);
        lock(&self.waiting).insert(number, sender);
        let request = RequestAllowance {
            number,
            limit,
            need,
        };
        let is_queued = lock(&self.requests)
            .as_ref()
            .is_some_and(|requests| requests.try_send(request).is_ok());
        let reply = if is_queued {
            timeout(REPLY_TIMEOUT, reply.recv()).await
        } else {
            Ok(Err(async_std::channel::RecvError))
        };
        lock(&self.waiting).remove(&number);
        reply.ok()?.ok()
    }

    /// Takes in a reply of the leader.
    pub(crate) fn handle_reply(&self, allowance: &Allowance) {
        let waiting = lock(&self.waiting).remove(&allowance.number);
        let reply = allowance.to_reply();
        if let Some(sender) = waiting {
            // The request may have been given up meanwhile.
            let _ = sender.try_send(reply);
        }
    }
}

/// Asks the leader whether the server with a key may get one more request than this host's share of
/// its limit allows.
pub(crate) async fn ask_allowance(host: &EntryHost, plan: &RoutePlan, key: Option<u16>) -> bool {
    let limit = host.with_router(|router, now| router.negotiable_limit(now, plan, key));
    let Some(limit) = limit else {
        return false;
    };
    host.counters.allowances_asked.add();
    let server = limit.server.clone();
    let reply = match host.leader_state() {
        Some(leader) => {
            Some(host.with_router(|router, now| leader.count_out(router, now, &server)))
        }
        None => {
            host.allowances
                .ask(Some(LimitMessage::from(limit)), None)
                .await
        }
    };
    let Some(reply) = reply else {
        return false;
    };
    let reply = reply.map(|_| ());
    host.with_router(|router, now| router.record_allowance(now, &server, reply));
    reply.is_ok()
}

/// Waits until a request may be tried again for which this host's part of the tenant's quota has no
/// room, and asks the leader for more if it is time to; returns `false` if the request must be refused.
pub(crate) async fn await_quota(host: &EntryHost, plan: &RoutePlan) -> bool {
    let (need, asked) = host.with_router(|router, now| (router.allowance_need(now, plan), now));
    let count = match need {
        AllowanceNeed::Ask(count) => count,
        AllowanceNeed::Wait(wait) => {
            task::sleep(wait).await;
            return true;
        }
        AllowanceNeed::Refuse => return false,
    };
    let Some((tenant, _)) = plan.quota() else {
        return false;
    };
    host.counters.tenant_allowances_asked.add();
    let reply = match host.leader_state() {
        Some(leader) => {
            Some(host.with_router(|router, now| leader.count_out_quota(router, now, tenant, count)))
        }
        None => {
            let tenant = tenant.to_string();
            let need = Some(TenantNeed { tenant, count });
            host.allowances.ask(None, need).await
        }
    };
    let Some(reply) = reply else {
        return false;
    };
    if let Ok(granted) = reply {
        host.counters
            .tenant_allowances_granted
            .add_many(u64::from(granted));
    }
    host.with_router(|router, now| router.record_tenant_allowance(now, asked, plan, reply));
    reply.is_ok()
}
