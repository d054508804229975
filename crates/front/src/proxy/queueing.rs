//! Selects the server of a request, which may wait in the host's queue for it.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::front::{RefusalCause, RouteRefusal, Target, Waiting};

use super::{Attempts, Request};
use crate::admission::Wake;
use crate::clock;
use crate::entry_host::EntryHost;

/// `Retry-After` of a request that waits when the host shuts down; the caller's retry goes to another
/// host.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Selects a server. With overload control, a request that has not been sent yet waits for one as long
/// as that lets it meet its target latency.
///
/// # Errors
///
/// Refuses the request if no server can serve it in time.
pub(super) async fn select_target(
    host: &EntryHost,
    request: &Arc<Request>,
    attempts: &mut Attempts,
) -> Result<Target, RouteRefusal> {
    if !std::mem::replace(&mut attempts.is_counted, true) {
        host.with_router(|router, _| router.record_tenant_demand(&request.plan));
    }
    let is_first = attempts.sends == 0 && !attempts.has_waited;
    if !is_first || !host.with_router(|router, _| router.overload_control()) {
        return select_now(host, request, attempts);
    }
    let waiting = host.with_router(|router, now| {
        let (plan, key) = (&request.plan, request.shard_key());
        router.waiting(now, plan, key, request.received, request.deadline())
    });
    let refusal = if host.admission.must_wait(&waiting) {
        RouteRefusal {
            cause: RefusalCause::Busy,
            retry_after: None,
        }
    } else {
        match select_now(host, request, attempts) {
            Err(refusal) if may_wait(&refusal) && !attempts.may_ask(&refusal) => refusal,
            result => return result,
        }
    };
    if host.is_leaving() {
        return Err(refusal);
    }
    attempts.has_waited = true;
    wait_for_server(host, request, attempts, waiting, refusal).await
}

/// Whether the cause of a refusal may end soon.
fn may_wait(refusal: &RouteRefusal) -> bool {
    let causes = [
        RefusalCause::Busy,
        RefusalCause::Cold,
        RefusalCause::Limited,
    ];
    causes.contains(&refusal.cause)
}

fn select_now(
    host: &EntryHost,
    request: &Request,
    attempts: &Attempts,
) -> Result<Target, RouteRefusal> {
    let remaining = request.deadline().since(clock::now());
    host.with_router(|router, now| {
        router.select_server(
            now,
            &request.plan,
            request.shard_key(),
            &attempts.avoided,
            attempts.sends,
            remaining,
        )
    })
}

/// Waits in the queue until a server can serve the request.
async fn wait_for_server(
    host: &EntryHost,
    request: &Arc<Request>,
    attempts: &Attempts,
    waiting: Waiting,
    mut refusal: RouteRefusal,
) -> Result<Target, RouteRefusal> {
    let Ok(mut queued) = host.admission.enqueue(request, waiting.clone()) else {
        return Err(refuse(host, request, &waiting, refusal));
    };
    host.counters.queued.add();
    loop {
        match queued.wait().await {
            Wake::Try => {}
            Wake::GiveUp => break,
            Wake::CallerLeft => {
                return Err(RouteRefusal {
                    cause: RefusalCause::CallerLeft,
                    retry_after: None,
                });
            }
            Wake::Leaving => {
                return Err(RouteRefusal {
                    cause: RefusalCause::Leaving,
                    retry_after: Some(LEAVING_RETRY_AFTER),
                });
            }
        }
        match select_now(host, request, attempts) {
            Ok(target) => {
                queued.record_service();
                return Ok(target);
            }
            Err(reason) if may_wait(&reason) => {
                refusal = reason;
                queued.record_refusal();
            }
            // Waiting does not help: the servers are gone, pause, or the deadline is too near.
            Err(reason) => return Err(reason),
        }
    }
    drop(queued);
    Err(refuse(host, request, &waiting, refusal))
}

/// Refuses a request with the expected time until there is capacity.
fn refuse(
    host: &EntryHost,
    request: &Request,
    waiting: &Waiting,
    refusal: RouteRefusal,
) -> RouteRefusal {
    let wait = host.admission.expected_wait(waiting);
    let remaining = request.deadline().since(clock::now());
    host.with_router(|router, _| router.queue_refusal(refusal, wait, remaining))
}
