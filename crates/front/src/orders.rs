//! Orders to servers that hold keys.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{OrderReply, ServerEntry};
use amaranthshunt_platform as platform;
use async_std::future::timeout;

use crate::clock;
use crate::http::Connection;
use crate::lock::lock;
use crate::pool::Pool;

/// Time within which a connection for orders is open.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// Time within which a grant is answered, or its connection is aborted.
const GRANT_LIMIT: Duration = Duration::from_millis(800);
/// Time within which a release is answered: the server's running work ends first.
const RELEASE_LIMIT: Duration = Duration::from_millis(1_500);
/// Time for which a connection without a stated idle time is kept.
const IDLE: Duration = Duration::from_secs(8);
/// Longest answer to an order, in bytes.
const ANSWER_LIMIT: usize = 64 << 10;

/// One order on the wire.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    /// The server.
    pub(crate) entry: ServerEntry,
    /// What is ordered.
    pub(crate) path: &'static str,
    /// The body.
    pub(crate) body: Vec<u8>,
    /// Whether the order only counts on a connection that is open already.
    pub(crate) kept_only: bool,
}

/// Connections for orders; each is aborted on close, so that nothing of it arrives late.
#[derive(Debug, Default)]
pub(crate) struct OrderClient {
    pool: Pool,
    turns: Mutex<HashMap<Arc<str>, Arc<async_std::sync::Mutex<()>>>>,
}

impl OrderClient {
    /// Gives an order; returns when it was sent and how it ended.
    ///
    /// Grants of one server take turns, so that one connection serves them all.
    pub(crate) async fn give(&self, call: &Call) -> (Time, OrderReply) {
        let grants = call.path == platform::grant_path();
        let turn = lock(&self.turns)
            .entry(call.entry.id.clone())
            .or_default()
            .clone();
        let _turn = if grants {
            Some(turn.lock().await)
        } else {
            None
        };
        let kept = self.pool.take(&call.entry);
        let (mut connection, is_kept) = match kept {
            Some(connection) => (connection, true),
            None => match Connection::open(call.entry.address, CONNECT_LIMIT).await {
                Ok(connection) => (connection, false),
                Err(_) => return (clock::now(), OrderReply::Unsent),
            },
        };
        connection.abort_on_close();
        if call.kept_only && !is_kept {
            self.pool.keep(&call.entry, connection, IDLE);
            return (clock::now(), OrderReply::Reconnected);
        }
        let sent = clock::now();
        let limit = if grants { GRANT_LIMIT } else { RELEASE_LIMIT };
        let reply = timeout(limit, exchange(&mut connection, call)).await;
        let Ok(Ok((status, handover, keeps))) = reply else {
            return (sent, OrderReply::Unknown);
        };
        if keeps {
            self.pool.keep(&call.entry, connection, IDLE);
        }
        let reply = match status {
            200 => OrderReply::Done(handover),
            409 => OrderReply::Fenced,
            421 | 400 | 404 => OrderReply::Wrong,
            _ => OrderReply::Unknown,
        };
        (sent, reply)
    }
}

async fn exchange(
    connection: &mut Connection,
    call: &Call,
) -> crate::http::Result<(u16, Option<String>, bool)> {
    let mut bytes = format!(
        "POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n{}: {}\r\nContent-Length: {}\r\n\r\n",
        call.path,
        call.entry.address,
        platform::TARGET,
        call.entry.id,
        call.body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(&call.body);
    let (head, whole) = connection.exchange(&bytes, false).await?;
    connection.read_body(head.framing, ANSWER_LIMIT).await?;
    let handover = head.headers.get(platform::HANDOVER).map(str::to_owned);
    let keeps = head.keeps && whole && !connection.has_more();
    Ok((head.status, handover, keeps))
}
