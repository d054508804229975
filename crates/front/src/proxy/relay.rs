//! Passes a request on to another host, since this one reaches no server.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranthshunt_core::front::{RefusalCause, RouteRefusal};
use amaranthshunt_platform as platform;

use super::{Attempts, MIN_ATTEMPT_TIME, Request};
use crate::clock;
use crate::entry_host::EntryHost;
use crate::helpers::{Distance, HelperGuard};
use crate::http::{Body, BufferAccount, Connection, Headers, HttpError, ResponseHead, within};
use crate::pool::PoolKey;
use crate::response::Response;
use crate::signals::observe_relayed;
use crate::suspects::record_loss;

/// Header of a request that another host has received: how often it was sent to servers already.
pub(crate) const SENDS: &str = "amaranthshunt-sends";
/// Header of a response that refuses such a request: the cause.
pub(crate) const REFUSAL: &str = "amaranthshunt-refusal";
/// Header of a response to such a request: the server that made it.
pub(crate) const SERVER: &str = "amaranthshunt-server";
/// Header of a response to such a request: the start of that server's process.
pub(crate) const SERVER_START: &str = "amaranthshunt-server-start";
/// Header of a response to such a request: the server that has broken off its connection.
pub(crate) const LOST: &str = "amaranthshunt-lost";
/// Hosts that are asked to serve a request, at most.
const HELPER_LIMIT: usize = 3;
/// Timeout for connecting to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time past a request's deadline in which the other host's response may still arrive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);
/// Time after which an idle connection to another host is not used again: it may have gone silent.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest response body that is accepted, in bytes.
const RESPONSE_BODY_LIMIT: usize = 32 << 20;
/// When a caller may retry if no host can help.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// The result of passing a request on once.
enum RelayResult {
    Response(ResponseHead, Body, BufferAccount),
    /// The other host has not run the request.
    Refused(RouteRefusal),
    /// The other host was not reached, or cannot help.
    Unavailable,
    /// The connection failed; the request may have run.
    Lost(HttpError),
}

/// Passes a request on to other hosts until one of them has a final response.
pub(super) async fn relay(
    host: &Arc<EntryHost>,
    request: &Request,
    mut attempts: Attempts,
) -> Response {
    let mut excluded = Vec::new();
    let mut refusal = RouteRefusal {
        cause: RefusalCause::NoReach,
        retry_after: Some(RETRY_AFTER),
    };
    while excluded.len() < HELPER_LIMIT {
        let remaining = request.deadline().since(clock::now());
        if remaining < MIN_ATTEMPT_TIME {
            refusal.cause = RefusalCause::Deadline;
            break;
        }
        if request.caller_left.load(Ordering::Relaxed) {
            refusal.cause = RefusalCause::CallerLeft;
            break;
        }
        let Some(helper) = choose_helper(host, request, &excluded) else {
            break;
        };
        excluded.push(helper.name.clone());
        host.counters.relayed.add();
        match send(host, request, &helper, attempts.sends, remaining).await {
            RelayResult::Response(head, body, account) => {
                observe_relayed(host, &head);
                record_relayed_loss(host, request, &head);
                return Response::forwarded(&head, body, request.is_bodiless()).occupying(account);
            }
            RelayResult::Refused(reason) => {
                refusal = reason;
                break;
            }
            RelayResult::Unavailable => helper.suspend(),
            RelayResult::Lost(error) => {
                helper.suspend();
                attempts.sends += 1;
                let status = if clock::now() >= request.deadline() {
                    504
                } else {
                    502
                };
                attempts.maybe_ran = Some((status, format!("host {}: {error}", helper.name)));
                if !request.plan.route.idempotent {
                    break;
                }
            }
        }
    }
    attempts.final_response(refusal)
}

/// Takes note of a server that has broken off the request's connection to the other host.
fn record_relayed_loss(host: &Arc<EntryHost>, request: &Request, head: &ResponseHead) {
    let Some(server) = head.headers.get(LOST) else {
        return;
    };
    let start = head.headers.get(SERVER_START);
    let start = start.and_then(|text| text.parse::<u64>().ok());
    let entry = host.with_router(|router, _| {
        let state = router.servers().life(server, start);
        state.map(|state| state.entry.clone())
    });
    if let Some(entry) = entry {
        record_loss(host, request, &entry, request.received, false);
    }
}

fn choose_helper<'a>(
    host: &'a EntryHost,
    request: &Request,
    excluded: &[String],
) -> Option<HelperGuard<'a>> {
    let own_domain = &host.settings.domain;
    host.with_router(|router, _| {
        host.helpers.choose(excluded, |domain| {
            if !router.is_home_region(&request.plan, domain) {
                None
            } else if domain == own_domain {
                Some(Distance::Domain)
            } else if router.region_of(domain) == router.region_of(own_domain) {
                Some(Distance::Region)
            } else {
                Some(Distance::Remote)
            }
        })
    })
}

async fn send(
    host: &EntryHost,
    request: &Request,
    helper: &HelperGuard<'_>,
    sends: usize,
    remaining: Duration,
) -> RelayResult {
    let key = PoolKey::of_host(&helper.name, helper.address);
    let mut connection = match host.pool.take(key.clone()) {
        Some(connection) => connection,
        None => match Connection::open(helper.address, CONNECT_TIMEOUT.min(remaining)).await {
            Ok(connection) => connection,
            Err(_) => return RelayResult::Unavailable,
        },
    };
    let bytes = request.head_bytes(remaining, SENDS, &sends.to_string());
    let mut account = host.buffers.open_account();
    let exchange = exchange(&mut connection, request, &bytes, &mut account);
    let (head, body, is_clean) = match within(remaining + RESPONSE_MARGIN, exchange).await {
        Ok(response) => response,
        Err(error) => return RelayResult::Lost(error),
    };
    if is_clean && head.keep_alive && !connection.has_buffered_data() {
        host.pool.keep(key, connection, IDLE_TIMEOUT);
    }
    match head.headers.get(REFUSAL) {
        Some(cause) => read_refusal(cause, &head.headers),
        None => RelayResult::Response(head, body, account),
    }
}

async fn exchange(
    connection: &mut Connection,
    request: &Request,
    head: &[u8],
    account: &mut BufferAccount,
) -> crate::http::Result<(ResponseHead, Body, bool)> {
    let (head, is_clean) = connection
        .exchange(head, &request.body, request.is_bodiless(), account)
        .await?;
    let body = connection
        .read_body(head.framing, RESPONSE_BODY_LIMIT, account)
        .await?;
    let id = head.headers.get(platform::REQUEST_ID).unwrap_or_default();
    if id != request.id {
        return Err(HttpError::Malformed("response to another request"));
    }
    Ok((head, body, is_clean))
}

/// The other host's refusal; causes that lie with that host are no answer.
fn read_refusal(cause: &str, headers: &Headers) -> RelayResult {
    let own_causes = [
        RefusalCause::Leaving,
        RefusalCause::NoReach,
        RefusalCause::NoConfig,
        RefusalCause::NoRoute,
        RefusalCause::UnknownKey,
    ];
    if own_causes.iter().any(|own| format!("{own:?}") == cause) {
        return RelayResult::Unavailable;
    }
    let kept_causes = [RefusalCause::Quarantined, RefusalCause::Quota];
    let kept = kept_causes
        .into_iter()
        .find(|kept| format!("{kept:?}") == cause);
    let seconds = headers
        .get("retry-after")
        .and_then(|text| text.parse::<f64>().ok());
    let retry_after = seconds.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    RelayResult::Refused(RouteRefusal {
        cause: kept.unwrap_or(RefusalCause::Busy),
        retry_after,
    })
}
