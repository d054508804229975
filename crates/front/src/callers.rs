//! Serves the connections of callers.

mod pipeline;
mod start;

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Limits, RefusalCause, RouteRefusal};
use amaranthshunt_core::log::EventCode;
use amaranthshunt_platform as platform;
use async_std::net::TcpListener;
use async_std::task;

use crate::clock;
use crate::entry_host::{EntryHost, InFlightGuard};
use crate::http::{Body, BufferAccount, Connection, Framing, HttpError, RequestHead, within};
use crate::response::Response;
use pipeline::{Closed, Pipeline, ReadAhead};

/// Interval of the checks whether the host is shutting down.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for reading a request body if the caller states no deadline.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
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
                // A refused connection is closed.
                if let Some(slot) = host.admit_connection(&stream) {
                    let connection = Connection::of_caller(stream, slot);
                    task::spawn(serve_connection(host.clone(), connection, Sender::Caller));
                }
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

/// Serves the requests of one connection, and writes their responses in the order of the requests.
pub(crate) async fn serve_connection(
    host: Arc<EntryHost>,
    mut connection: Connection,
    sender: Sender,
) {
    let mut pipeline = Pipeline::new(&host, connection.writer(), sender);
    let mut ahead = host.buffers.open_read_ahead_account();
    let mut next = None;
    loop {
        let limits = limits_of(&host, sender);
        let read = match next.take() {
            Some(read) => read,
            None if !wait_for_request(&host, &mut connection, &limits).await => return,
            None => match read_head(&host, &mut connection, &limits).await {
                Ok(received) => ReadAhead::Head(received),
                Err(error) => ReadAhead::failed(error),
            },
        };
        let request = match read {
            ReadAhead::Head(received) => {
                read_request(&host, &mut connection, received, &limits).await
            }
            ReadAhead::Whole(request) => Some(request),
            ReadAhead::Failed { id, error } => {
                respond_to_failure(&host, &mut connection, &id, error).await;
                None
            }
        };
        let Some(request) = request else {
            return;
        };
        connection.set_has_requests(true);
        let end = pipeline.run(request, &mut connection, limits, &mut ahead);
        let end = end.await;
        connection.set_has_requests(false);
        match end {
            Ok(read) => next = read,
            Err(Closed) => break,
        }
        ahead.release();
    }
    // Unread requests are behind the last response.
    if connection.has_buffered_data() {
        connection.close_output();
        connection.discard_input(DISCARD_TIME).await;
    }
}

/// The head of a request whose body has not been read.
struct ReceivedHead {
    head: RequestHead,
    /// The memory of the request.
    account: BufferAccount,
    /// When it had been read.
    received: Time,
}

impl ReceivedHead {
    /// The number in a header.
    fn number(&self, name: &str) -> Option<u64> {
        self.head.headers.get(name)?.parse().ok()
    }

    /// How long the caller waits for a response.
    fn caller_timeout(&self) -> Option<Duration> {
        let millis = self.number(platform::REQUEST_DEADLINE);
        millis.map(Duration::from_millis)
    }

    fn id(&self) -> String {
        let id = self.head.headers.get(platform::REQUEST_ID);
        id.unwrap_or_default().to_owned()
    }

    /// Whether the caller waits for an interim response before it sends the body.
    fn expects_continue(&self) -> bool {
        self.head.headers.contains_token("expect", "100-continue")
    }

    /// Makes room for the body, and counts the request as in flight; `None` if there is no room.
    fn admit<'a>(&mut self, host: &'a EntryHost, limits: &Limits) -> Option<InFlightGuard<'a>> {
        let has_room = match self.head.framing {
            Framing::Length(length) if length <= limits.body_bytes => self.account.reserve(length),
            _ => true,
        };
        host.admit_request().filter(|_| has_room)
    }
}

/// A request that has been read completely.
struct WholeRequest<'a> {
    received: ReceivedHead,
    body: Body,
    /// Counts the request as in flight until its response has been written.
    in_flight: InFlightGuard<'a>,
}

fn limits_of(host: &EntryHost, sender: Sender) -> Limits {
    let mut limits = host.with_router(|router, _| {
        router
            .config()
            .map_or_else(Limits::default, |config| config.limits.clone())
    });
    if sender == Sender::Host {
        limits.header_bytes += HOST_HEADER_BYTES;
    }
    limits
}

async fn read_head(
    host: &EntryHost,
    connection: &mut Connection,
    limits: &Limits,
) -> Result<ReceivedHead, HttpError> {
    let mut account = host.buffers.open_account();
    let read = connection.read_request(limits.header_bytes, &mut account);
    let head = within(limits.header_timeout, read).await?;
    Ok(ReceivedHead {
        head,
        account,
        received: clock::now() - host.delay().estimate(),
    })
}

async fn read_body(
    connection: &mut Connection,
    received: &mut ReceivedHead,
    limits: &Limits,
) -> Result<Body, HttpError> {
    let timeout = received.caller_timeout().unwrap_or(BODY_TIMEOUT);
    let framing = received.head.framing;
    let read = connection.read_request_body(framing, limits.body_bytes, &mut received.account);
    within(timeout, read).await
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

/// Responds to a request that could not be read. The connection is to be closed.
async fn respond_to_failure(
    host: &EntryHost,
    connection: &mut Connection,
    id: &str,
    error: HttpError,
) {
    match error {
        HttpError::OutOfMemory => refuse_unread(host, connection, id).await,
        error => respond_to_read_error(host, connection, &error).await,
    }
}

/// Reads the body of a request that no other one is in flight with; `None` if the connection is to be
/// closed.
async fn read_request<'a>(
    host: &'a EntryHost,
    connection: &mut Connection,
    mut received: ReceivedHead,
    limits: &Limits,
) -> Option<WholeRequest<'a>> {
    let Some(in_flight) = received.admit(host, limits) else {
        let id = received.id();
        drop(received);
        refuse_unread(host, connection, &id).await;
        return None;
    };
    if received.expects_continue() {
        let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
        connection.write(interim, &Body::default()).await.ok()?;
    }
    match read_body(connection, &mut received, limits).await {
        Ok(body) => Some(WholeRequest {
            received,
            body,
            in_flight,
        }),
        Err(error) => {
            let id = received.id();
            drop(received);
            respond_to_failure(host, connection, &id, error).await;
            None
        }
    }
}

fn refuse_request(host: &EntryHost, id: &str, refusal: RouteRefusal) -> Response {
    let response = Response::refused(refusal);
    let version = host.config_version();
    record_response(host, id, "-", version, &response, Duration::ZERO);
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
        429 if response.refusal() == Some(RefusalCause::Quota) => counters.refused.add(),
        502 | 504 => counters.doubtful.add(),
        _ => counters.answered.add(),
    }
    match response.refusal() {
        Some(RefusalCause::Paused) => counters.paused.add(),
        Some(RefusalCause::Quota) => counters.over_quota.add(),
        _ => {}
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
