//! A client that sends grants and releases to servers that hold keys.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{OrderReply, ServerEntry};
use amaranthshunt_platform as platform;
use async_std::future::timeout;

use crate::clock;
use crate::entry_host::EntryHost;
use crate::http::{Body, Connection};
use crate::lock::lock;
use crate::pool::Pool;
use crate::signals::{Answered, observe};

/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a grant, after which its connection is aborted.
pub(crate) const GRANT_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a release: the server first finishes its running requests for the keys.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest response to an order, in bytes.
const RESPONSE_BODY_LIMIT: usize = 64 << 10;

/// An order as an HTTP request.
#[derive(Clone, Debug)]
pub(crate) struct OrderRequest {
    /// The server that receives the order.
    pub(crate) entry: ServerEntry,
    /// The request path, which tells grants from releases.
    pub(crate) path: &'static str,
    /// The request body.
    pub(crate) body: Vec<u8>,
    /// Whether the order may be sent only on a connection that is already open: a new one could
    /// reach a restarted server.
    pub(crate) requires_open: bool,
}

/// Sends orders. Its connections are aborted on close, so that no part of an order arrives late.
#[derive(Debug, Default)]
pub(crate) struct OrderClient {
    pool: Pool,
    grant_locks: Mutex<HashMap<Arc<str>, Arc<async_std::sync::Mutex<()>>>>,
}

impl OrderClient {
    /// Sends an order; returns when it was sent and its result.
    ///
    /// Grants to one server are sent one at a time, so that one connection serves them all. An
    /// order may wait long for its turn, so `may_send` is asked right before it is written.
    pub(crate) async fn send(
        &self,
        host: &EntryHost,
        request: &OrderRequest,
        may_send: impl Fn() -> bool,
    ) -> (Time, OrderReply) {
        let is_grant = request.path == platform::grant_path();
        let grant_lock = lock(&self.grant_locks)
            .entry(request.entry.id.clone())
            .or_default()
            .clone();
        let _guard = if is_grant {
            Some(grant_lock.lock().await)
        } else {
            None
        };
        let pooled = self.pool.take(&request.entry);
        let (mut connection, is_reused) = match pooled {
            Some(connection) => (connection, true),
            None => match Connection::open(request.entry.address, CONNECT_TIMEOUT).await {
                Ok(connection) => (connection, false),
                Err(_) => return (clock::now(), OrderReply::NotSent),
            },
        };
        connection.abort_on_close();
        connection.abort_unacknowledged(GRANT_TIMEOUT);
        if request.requires_open && !is_reused {
            self.pool.keep(&request.entry, connection, IDLE_TIMEOUT);
            return (clock::now(), OrderReply::Reconnected);
        }
        if !may_send() {
            self.pool.keep(&request.entry, connection, IDLE_TIMEOUT);
            return (clock::now(), OrderReply::NotSent);
        }
        let sent = clock::now();
        let time_limit = if is_grant {
            GRANT_TIMEOUT
        } else {
            RELEASE_TIMEOUT
        };
        let result = timeout(time_limit, exchange(host, &mut connection, request)).await;
        let Ok(Ok((status, handover, is_reusable))) = result else {
            return (sent, OrderReply::Unknown);
        };
        if is_reusable {
            self.pool.keep(&request.entry, connection, IDLE_TIMEOUT);
        }
        let reply = match status {
            200 => OrderReply::Done(handover),
            409 => OrderReply::Fenced,
            421 | 400 | 404 => OrderReply::WrongServer,
            _ => OrderReply::Unknown,
        };
        (sent, reply)
    }
}

async fn exchange(
    host: &EntryHost,
    connection: &mut Connection,
    request: &OrderRequest,
) -> crate::http::Result<(u16, Option<String>, bool)> {
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n{}: {}\r\nContent-Length: {}\r\n\r\n",
        request.path,
        request.entry.address,
        platform::TARGET_INSTANCE,
        request.entry.id,
        request.body.len()
    );
    let body = Body::from(request.body.clone());
    let mut account = host.buffers.open_account();
    let (head, sent_completely) = connection
        .exchange(head.as_bytes(), &body, false, &mut account)
        .await?;
    observe(host, &request.entry, &head, Answered::Earlier);
    connection
        .read_body(head.framing, RESPONSE_BODY_LIMIT, &mut account)
        .await?;
    let handover = head.headers.get(platform::HANDOVER).map(str::to_owned);
    let is_reusable = head.keep_alive && sent_completely && !connection.has_buffered_data();
    Ok((head.status, handover, is_reusable))
}
