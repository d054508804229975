//! Sends a request to a server once.

use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranthshunt_core::front::{LoadReport, RefusalCause, ServerEntry, Target};
use amaranthshunt_platform as platform;

use super::{MIN_ATTEMPT_TIME, Request};
use crate::clock;
use crate::entry_host::EntryHost;
use crate::http::{Body, BufferAccount, Connection, HttpError, ResponseHead, within};
use crate::signals::{Answered, observe};

/// Timeout for connecting to a server, after which the server counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time that a server takes to accept a connection, in addition to the round trip.
const ACCEPT_MARGIN: Duration = Duration::from_millis(2);
/// Maximum time for which a new connection is observed before a request is sent on it.
const MAX_PROBE_TIME: Duration = Duration::from_millis(80);
/// Time past a request's deadline in which the server's own response may still arrive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(80);
/// Idle time of a connection whose server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time before the server's own idle timeout at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);
/// Longest response body that is accepted, in bytes; responses are buffered until they are
/// complete.
const RESPONSE_BODY_LIMIT: usize = 32 << 20;
/// Longest body of a response without a signature, which is not forwarded as a success, in bytes.
const UNSIGNED_BODY_LIMIT: usize = 64 << 10;
/// Responses to other requests that are skipped on one connection before it counts as broken.
const STALE_RESPONSE_LIMIT: usize = 3;

/// The result of sending a request to a server once.
pub(super) enum SendResult {
    /// A complete response to this request.
    Response(ReceivedResponse),
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The server ended the new connection before anything was sent.
    Saturated,
    /// Nothing was sent, since the server must get no more requests by now.
    Withdrawn,
    /// Nothing was sent, since nobody would get the response.
    Pointless(RefusalCause),
    /// The connection failed; the request may have run.
    Lost(HttpError),
    /// The deadline passed; the request may have run.
    TimedOut,
}

/// Sends a request to a server and reads the response.
pub(super) async fn send(host: &EntryHost, request: &Request, target: &Target) -> SendResult {
    let entry = &target.entry;
    let remaining = request.deadline().since(clock::now());
    let mut connection = match host.pool.take(entry) {
        Some(connection) => connection,
        None => {
            let started = clock::now();
            let opened = Connection::open(entry.address, CONNECT_TIMEOUT.min(remaining)).await;
            let Ok(mut connection) = opened else {
                return SendResult::Unreachable;
            };
            host.counters.connections_opened.add();
            host.with_router(|router, now| router.record_connection(now));
            let round_trip = clock::now().since(started) + ACCEPT_MARGIN;
            if target.probes_connection
                && !connection.stays_open(round_trip.min(MAX_PROBE_TIME)).await
            {
                return SendResult::Saturated;
            }
            connection
        }
    };
    let remaining = request.deadline().since(clock::now());
    if request.caller_left.load(Ordering::Relaxed) {
        return SendResult::Pointless(RefusalCause::CallerLeft);
    }
    if remaining < MIN_ATTEMPT_TIME {
        return SendResult::Pointless(RefusalCause::Deadline);
    }
    // Since it was selected, the server may have told this host that it leaves.
    if !host.with_router(|router, now| router.may_still_send(now, target)) {
        host.pool.keep(entry, connection, DEFAULT_IDLE_TIMEOUT);
        return SendResult::Withdrawn;
    }
    let head = request.head_bytes(remaining, platform::TARGET_INSTANCE, &entry.id);
    let result = within(
        remaining + RESPONSE_MARGIN,
        receive(host, &mut connection, request, entry, &head),
    )
    .await;
    match result {
        Ok(response) => {
            let head = &response.head;
            if response.is_clean && head.keep_alive && !connection.has_buffered_data() {
                let stated_timeout = head
                    .headers
                    .get(platform::KEEP_ALIVE)
                    .and_then(platform::read_keep_alive);
                let idle_timeout = stated_timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
                    timeout.saturating_sub(IDLE_MARGIN)
                });
                host.pool.keep(entry, connection, idle_timeout);
            }
            SendResult::Response(response)
        }
        Err(_) if clock::now() >= request.deadline() => SendResult::TimedOut,
        Err(error) => SendResult::Lost(error),
    }
}

/// A complete response to a request.
pub(super) struct ReceivedResponse {
    pub(super) head: ResponseHead,
    pub(super) body: Body,
    /// The memory of the response.
    pub(super) account: BufferAccount,
    /// The load of the server.
    pub(super) load: Option<LoadReport>,
    /// Whether the request was sent completely and no response was skipped, so that the connection
    /// may be reused.
    is_clean: bool,
}

/// Sends a request and reads its response, skipping late responses to earlier requests.
async fn receive(
    host: &EntryHost,
    connection: &mut Connection,
    request: &Request,
    entry: &ServerEntry,
    head: &[u8],
) -> crate::http::Result<ReceivedResponse> {
    let bodiless = request.is_bodiless();
    let mut account = host.buffers.open_account();
    let (mut head, mut is_clean) = connection
        .exchange(head, &request.body, bodiless, &mut account)
        .await?;
    for _ in 0..STALE_RESPONSE_LIMIT {
        // A response without an identifier may belong to an earlier request on the connection, so
        // that it says nothing about this one.
        let id = head.headers.get(platform::REQUEST_ID).unwrap_or_default();
        let is_current = id == request.id;
        let answered = if is_current {
            Answered::Current
        } else {
            Answered::Earlier
        };
        let load = observe(host, entry, &head, answered);
        let limit = if head.headers.contains(platform::UPSTREAM_SIGNATURE) {
            RESPONSE_BODY_LIMIT
        } else {
            UNSIGNED_BODY_LIMIT
        };
        let body = connection
            .read_body(head.framing, limit, &mut account)
            .await?;
        if is_current {
            return Ok(ReceivedResponse {
                head,
                body,
                account,
                load,
                is_clean,
            });
        }
        is_clean = false;
        account = host.buffers.open_account();
        head = connection.read_response(bodiless, &mut account).await?;
    }
    Err(HttpError::Malformed("responses to other requests only"))
}
