//! Serves the connections of callers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use amaranthshunt_core::front::{Credentials, Limits, RefusalCause, RoutePlan, RouteRefusal};
use amaranthshunt_core::log::EventCode;
use amaranthshunt_platform as platform;
use async_std::net::TcpListener;
use async_std::task;
use futures::future::{Either, select};

use crate::clock;
use crate::entry_host::EntryHost;
use crate::http::{Body, BufferAccount, Connection, Framing, HttpError, RequestHead, within};
use crate::proxy::{Origin, Request, SENDS, serve};
use crate::response::Response;

/// Interval of the checks whether the host is shutting down.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for reading a request body if the caller states no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for writing a response to a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// `Retry-After` of a host that is shutting down; the caller's retry goes to another host.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Maximum `Retry-After` of an overloaded host; the caller's retry goes to another host.
const MAX_OVERLOAD_RETRY_AFTER: Duration = Duration::from_millis(400);
/// `Retry-After` of a request that there is no memory for; the caller's retry goes to another host.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Time for which the rest of a request that is refused is read, so that its caller gets the response.
const DISCARD_TIME: Duration = Duration::from_millis(1_000);
/// Bytes of the headers that another host adds to a request.
const HOST_HEADER_BYTES: usize = 256;
/// Delay after a failed accept, so that file descriptors can become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of callers until the task is cancelled.
pub(crate) async fn accept(host: Arc<EntryHost>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection = Connection::new(stream);
                task::spawn(serve_connection(host.clone(), connection, Sender::Caller));
            }
            Err(error) => {
                log::warn!("cannot accept a caller's connection: {error}");
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Who sends the requests of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Sender {
    /// A caller.
    Caller,
    /// Another host that reaches no server.
    Host,
}

/// Serves the requests of one connection in sequence.
pub(crate) async fn serve_connection(
    host: Arc<EntryHost>,
    mut connection: Connection,
    sender: Sender,
) {
    loop {
        let mut limits = current_limits(&host);
        if sender == Sender::Host {
            limits.header_bytes += HOST_HEADER_BYTES;
        }
        if !wait_for_request(&host, &mut connection, &limits).await {
            return;
        }
        let mut account = host.buffers.open_account();
        let read = connection.read_request(limits.header_bytes, &mut account);
        let keep_open = match within(limits.header_timeout, read).await {
            Ok(head) => {
                let received = ReceivedHead { head, account };
                handle_request(&host, &mut connection, received, &limits, sender).await
            }
            Err(error) => {
                drop(account);
                respond_to_read_error(&host, &mut connection, &error).await;
                false
            }
        };
        if !keep_open {
            return;
        }
    }
}

/// The head of a request whose body has not been read.
struct ReceivedHead {
    head: RequestHead,
    /// The memory of the request.
    account: BufferAccount,
}

fn current_limits(host: &EntryHost) -> Limits {
    host.with_router(|router, _| {
        router
            .config()
            .map_or_else(Limits::default, |config| config.limits.clone())
    })
}

/// Waits for the first byte of a request; `false` if the connection is to be closed.
async fn wait_for_request(host: &EntryHost, connection: &mut Connection, limits: &Limits) -> bool {
    let idle_until = clock::now() + limits.idle_timeout;
    loop {
        match async_std::future::timeout(POLL_INTERVAL, connection.wait_for_data()).await {
            Ok(Ok(more)) => return more,
            Ok(Err(_)) => return false,
            Err(_) if clock::now() >= idle_until || host.closes_idle_connections() => return false,
            Err(_) => {}
        }
    }
}

async fn respond_to_read_error(host: &EntryHost, connection: &mut Connection, error: &HttpError) {
    let status = match error {
        HttpError::HeadTooLong => 431,
        HttpError::BodyTooLong => 413,
        HttpError::Malformed(_) => 400,
        HttpError::OutOfMemory => return refuse_unread(host, connection, "-").await,
        HttpError::Io(io) if io.kind() == std::io::ErrorKind::TimedOut => 408,
        HttpError::Io(_) | HttpError::Closed => return,
    };
    host.log(EventCode::RequestEnded, "-", format!("{status}, {error}"));
    let response = Response::generated(status, None, "");
    // A write error means that the caller has disconnected.
    let _ = connection
        .write(&response.head_bytes(None, false), response.body())
        .await;
}

/// Refuses a request that there is no memory for, whether or not its body has been read. The connection
/// is to be closed.
async fn refuse_unread(host: &EntryHost, connection: &mut Connection, id: &str) {
    let response = refuse_request(
        host,
        id,
        RouteRefusal {
            cause: RefusalCause::HostOverloaded,
            retry_after: Some(MEMORY_RETRY_AFTER),
        },
    );
    let id = Some(id).filter(|id| !id.is_empty() && *id != "-");
    let head = response.head_bytes(id, false);
    if connection.write(&head, response.body()).await.is_ok() {
        connection.discard_input(DISCARD_TIME).await;
    }
}

/// Reads the body of a request and responds to it; returns whether the connection stays open.
async fn handle_request(
    host: &Arc<EntryHost>,
    connection: &mut Connection,
    request: ReceivedHead,
    limits: &Limits,
    sender: Sender,
) -> bool {
    let ReceivedHead { head, mut account } = request;
    let received = clock::now() - host.delay().estimate();
    let header_number = |name| {
        head.headers
            .get(name)
            .and_then(|text| text.parse::<u64>().ok())
    };
    let caller_timeout = header_number(platform::REQUEST_DEADLINE).map(Duration::from_millis);
    let id = head
        .headers
        .get(platform::REQUEST_ID)
        .unwrap_or_default()
        .to_owned();
    let has_room = match head.framing {
        Framing::Length(length) if length <= limits.body_bytes => account.reserve(length),
        _ => true,
    };
    let Some(_in_flight) = host.admit_request().filter(|_| has_room) else {
        drop(account);
        refuse_unread(host, connection, &id).await;
        return false;
    };
    if head.headers.contains_token("expect", "100-continue")
        && connection
            .write(b"HTTP/1.1 100 Continue\r\n\r\n", &Body::default())
            .await
            .is_err()
    {
        return false;
    }
    let body_timeout = caller_timeout.unwrap_or(BODY_TIMEOUT);
    let body = within(
        body_timeout,
        connection.read_body(head.framing, limits.body_bytes, &mut account),
    )
    .await;
    let body = match body {
        Ok(body) => body,
        Err(error) => {
            drop(account);
            match error {
                HttpError::OutOfMemory => refuse_unread(host, connection, &id).await,
                error => respond_to_read_error(host, connection, &error).await,
            }
            return false;
        }
    };
    let keep_alive = head.keep_alive;
    let authority = head.headers.get("host").unwrap_or_default().to_owned();
    let origin = match sender {
        Sender::Caller => Origin::Caller,
        Sender::Host => Origin::Host {
            sends: header_number(SENDS).unwrap_or_default() as usize,
        },
    };
    let leaving = RouteRefusal {
        cause: RefusalCause::Leaving,
        retry_after: Some(SHUTDOWN_RETRY_AFTER),
    };
    let credentials = credentials(&head, sender);
    let plan_result = if host.refuses_requests() {
        Err(leaving)
    } else {
        host.with_router(|router, now| match sender {
            Sender::Caller => router.plan(now, &authority, &head.target, credentials),
            Sender::Host if !router.reaches_servers() => Err(RouteRefusal {
                cause: RefusalCause::NoReach,
                retry_after: None,
            }),
            Sender::Host => router.plan_relayed(&authority, &head.target, credentials),
        })
    };
    let response = match plan_result {
        Err(refusal) => Some(refuse_request(host, &id, refusal)),
        Ok(plan) if host.delay().sheds(plan.priority()) => {
            let refusal = RouteRefusal {
                cause: RefusalCause::HostOverloaded,
                retry_after: Some(host.delay().estimate().min(MAX_OVERLOAD_RETRY_AFTER)),
            };
            Some(refuse_request(host, &id, refusal))
        }
        Ok(plan) if must_refuse_to_leave(host, &plan, caller_timeout) => {
            Some(refuse_request(host, &id, leaving))
        }
        Ok(plan) => {
            let plan = plan.with_body(body.len());
            let time_to_answer = host.time_to_answer();
            let caller_timeout = caller_timeout.into_iter().chain(time_to_answer).min();
            let request = Request {
                head,
                body,
                _account: account,
                id: id.clone(),
                received,
                caller_timeout,
                caller_left: AtomicBool::new(false),
                plan,
                origin,
                fingerprint: OnceLock::new(),
            };
            serve_while_connected(host, connection, Arc::new(request)).await
        }
    };
    let Some(response) = response else {
        host.counters.abandoned.add();
        return false;
    };
    let response = match sender {
        Sender::Caller => response,
        Sender::Host => response.for_host(),
    };
    let keep_alive = keep_alive && !host.is_leaving();
    let head = response.head_bytes(
        Some(&id).filter(|id| !id.is_empty()).map(String::as_str),
        keep_alive,
    );
    let written =
        async_std::future::timeout(WRITE_TIMEOUT, connection.write(&head, response.body())).await;
    keep_alive && matches!(written, Ok(Ok(())))
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

fn refuse_request(host: &EntryHost, id: &str, refusal: RouteRefusal) -> Response {
    let response = Response::refused(refusal);
    let version = host.config_version();
    record_response(host, id, "-", version, &response, Duration::ZERO);
    response
}

/// Serves a request while watching the caller's connection; `None` if the caller disconnects.
///
/// An idempotent request is then cancelled. Any other one runs to its end if it has been sent to a
/// server, since a cancelled one may have run in part.
async fn serve_while_connected(
    host: &Arc<EntryHost>,
    connection: &mut Connection,
    request: Arc<Request>,
) -> Option<Response> {
    let mut serving = Box::pin(serve(host.clone(), request.clone()));
    let mut disconnected = Box::pin(connection.wait_closed());
    let response = loop {
        // The connection comes first: nothing is sent for a caller that has left already.
        let wait = select(&mut disconnected, &mut serving);
        match async_std::future::timeout(POLL_INTERVAL, wait).await {
            Ok(Either::Left(_)) => break None,
            Ok(Either::Right((response, _))) => break Some(response),
            Err(_) if host.is_terminating() => {
                break Some(Response::generated(
                    504,
                    None,
                    "unknown: the host is shutting down",
                ));
            }
            Err(_) => {}
        }
    };
    match &response {
        Some(response) => {
            let duration = clock::now().since(request.received);
            record_response(
                host,
                &request.id,
                &request.plan.route.name,
                request.plan.version,
                response,
                duration,
            );
        }
        None if !request.plan.route.idempotent => {
            request.caller_left.store(true, Ordering::Relaxed);
            task::spawn(serving);
        }
        None => {}
    }
    response
}

/// Counts a response, and logs it if its status is an error.
fn record_response(
    host: &EntryHost,
    id: &str,
    route: &str,
    config_version: u64,
    response: &Response,
    duration: Duration,
) {
    let counters = &host.counters;
    match response.status {
        401 | 404 | 503 => counters.refused.add(),
        502 | 504 => counters.doubtful.add(),
        _ => counters.answered.add(),
    }
    if let Some(cause) = response.refusal() {
        counters.record_refusal(cause);
    }
    if response.status >= 400 {
        let detail = format!(
            "route {route}, {}, {}, after {} ms, configuration r{config_version} complete {} ms ago",
            response.status,
            response.log_detail,
            duration.as_millis(),
            host.copy_age(platform::CONFIG).as_millis(),
        );
        host.log(EventCode::RequestEnded, id, detail);
    }
}
