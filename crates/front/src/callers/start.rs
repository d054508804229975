//! Decides what happens to a request that has been read: it is served, refused, or waits for its turn.

use std::sync::atomic::AtomicBool;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use amaranthshunt_core::front::{Credentials, RefusalCause, RoutePlan, RouteRefusal, Router};
use amaranthshunt_platform as platform;

use super::{ReceivedHead, Sender};
use crate::entry_host::EntryHost;
use crate::http::{Body, RequestHead};
use crate::proxy::{Origin, Request, SENDS};

/// `Retry-After` of a host that is shutting down; the caller's retry goes to another host.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Maximum `Retry-After` of an overloaded host; the caller's retry goes to another host.
const MAX_OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Whether a request may be started while an earlier one of its connection is unanswered. One without a
/// route is refused in any case.
pub(super) fn may_overtake(router: &Router, head: &RequestHead) -> bool {
    let authority = head.headers.get("host").unwrap_or_default();
    let route = router
        .config()
        .and_then(|config| config.route(authority, &head.target));
    route.is_none_or(|route| route.idempotent)
}

/// Plans a request; `None` if it has to wait until the earlier ones of its connection are answered.
pub(super) fn plan(
    host: &EntryHost,
    head: &RequestHead,
    sender: Sender,
    is_behind: bool,
) -> Option<Result<RoutePlan, RouteRefusal>> {
    if host.refuses_requests() {
        return Some(Err(leaving()));
    }
    let authority = head.headers.get("host").unwrap_or_default();
    let credentials = credentials(head, sender);
    host.with_router(|router, now| {
        if is_behind && !may_overtake(router, head) {
            return None;
        }
        Some(match sender {
            Sender::Caller => router.plan(now, authority, &head.target, credentials),
            Sender::Host if !router.reaches_servers() => Err(RouteRefusal {
                cause: RefusalCause::NoReach,
                retry_after: None,
            }),
            Sender::Host => router.plan_relayed(authority, &head.target, credentials),
        })
    })
}

/// The request to be served according to its plan.
///
/// # Errors
///
/// Fails with the refusal if it is refused.
pub(super) fn admit(
    host: &EntryHost,
    received: ReceivedHead,
    body: Body,
    plan: Result<RoutePlan, RouteRefusal>,
    sender: Sender,
) -> Result<Arc<Request>, RouteRefusal> {
    let caller_timeout = received.caller_timeout();
    let plan = plan?;
    if host.delay().sheds(plan.priority()) {
        return Err(RouteRefusal {
            cause: RefusalCause::HostOverloaded,
            retry_after: Some(host.delay().estimate().min(MAX_OVERLOAD_RETRY_AFTER)),
        });
    }
    if must_refuse_to_leave(host, &plan, caller_timeout) {
        return Err(leaving());
    }
    let origin = match sender {
        Sender::Caller => Origin::Caller,
        Sender::Host => Origin::Host {
            sends: received.number(SENDS).unwrap_or_default() as usize,
        },
    };
    let time_to_answer = host.time_to_answer();
    Ok(Arc::new(Request {
        id: received.id(),
        head: received.head,
        body,
        _account: received.account,
        received: received.received,
        caller_timeout: caller_timeout.into_iter().chain(time_to_answer).min(),
        caller_left: AtomicBool::new(false),
        plan,
        origin,
        fingerprint: OnceLock::new(),
    }))
}

fn leaving() -> RouteRefusal {
    RouteRefusal {
        cause: RefusalCause::Leaving,
        retry_after: Some(SHUTDOWN_RETRY_AFTER),
    }
}

/// What a request says of its tenant. A name is taken from another host only.
fn credentials(head: &RequestHead, sender: Sender) -> Credentials<'_> {
    let authorization = head.headers.get(platform::AUTHORIZATION);
    Credentials {
        key: authorization.and_then(platform::read_api_key),
        tenant: match sender {
            Sender::Caller => None,
            Sender::Host => head.headers.get(platform::TENANT_ID),
        },
    }
}

/// Whether a request must be refused because the host is shutting down: it could still be running
/// when all requests have to be answered, and its outcome would then stay unknown. One that may be
/// repeated is only given less time.
fn must_refuse_to_leave(
    host: &EntryHost,
    plan: &RoutePlan,
    caller_timeout: Option<Duration>,
) -> bool {
    let timeout = plan.route.timeout;
    let own_time = caller_timeout.map_or(timeout, |caller_timeout| caller_timeout.min(timeout));
    let left = host.time_to_answer();
    !plan.route.idempotent && left.is_some_and(|left| left < own_time)
}
