//! Limits on requests per second that servers name: asks the leader for more requests than this host's
//! share allows.
//!
//! A host sends what its own share of a limit allows without asking. `docs/platform-path.md`,
//! "Limits of servers", tells how the rest is divided.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranthshunt_core::front::RoutePlan;
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;

use crate::entry_host::EntryHost;
use crate::lock::lock;
use crate::messages::{Allowance, LimitMessage, RequestAllowance};

/// Longest time that a request waits for the leader's reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(200);
/// Requests to the leader that wait to be written.
const QUEUE_CAPACITY: usize = 64;

/// The leader's reply: the request may be sent, or the time until there may be another one.
pub(crate) type AllowanceReply = Result<(), Duration>;

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

    /// Asks for one more request to a server; `None` without a reply in time.
    pub(crate) async fn ask(&self, limit: LimitMessage) -> Option<AllowanceReply> {
        let number = self.last_number.fetch_add(1, Ordering::Relaxed) + 1;
        let (sender, reply) = bounded(1);
        lock(&self.waiting).insert(number, sender);
        let limit = Some(limit);
        let request = RequestAllowance { number, limit };
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
        let reply = match allowance.wait_ms {
            None => Ok(()),
            Some(millis) => Err(Duration::from_millis(millis)),
        };
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
        None => host.allowances.ask(LimitMessage::from(limit)).await,
    };
    let Some(reply) = reply else {
        return false;
    };
    host.with_router(|router, now| router.record_allowance(now, &server, reply));
    reply.is_ok()
}
