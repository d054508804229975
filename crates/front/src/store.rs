//! A client of the platform's object store.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::StoreRevision;
use amaranthshunt_platform as platform;
use async_std::future::timeout;
use bytes::Bytes;

use crate::clock;
use crate::http::{Body, BufferAccount, BufferBudget, Connection, Framing, HttpError, within};
use crate::lock::lock;

/// Time within which a response has to begin, on top of the time for which the store may delay it.
///
/// A call that an outage has swallowed must end, and be repeated, well within the 4 s after the
/// outage in which a host has to become current again.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a byte after which a response that has begun is given up.
const BODY_STALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Time within which a response that has begun has to be complete, even on a slow link that it shares.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest response body that is read, in bytes: several pages of a list, which have about 1 MB. The changes
/// that a watch reports have no limit of their own.
const RESPONSE_BODY_LIMIT: usize = 8 << 20;
/// Bytes that all response bodies in hand may occupy.
const BUFFER_LIMIT: usize = 2 * RESPONSE_BODY_LIMIT;
/// Time after which an idle connection is not used again.
///
/// It may have gone silent meanwhile, which would show only by a timeout. Connections that are in
/// use show it in time.
const MAX_IDLE_TIME: Duration = Duration::from_millis(2_000);
/// Maximum idle connections to the store.
const IDLE_LIMIT: usize = 4;
/// Time of continuous failure after which the store counts as unreachable.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_200);

/// The result of a call to the store.
pub(crate) type Result<T> = std::result::Result<T, StoreError>;

/// Why a call failed.
#[derive(Clone, Debug)]
pub(crate) enum StoreError {
    /// The store did not execute the call.
    NotExecuted(String),
    /// The store may have executed the call, or may still do so seconds later.
    Unknown(String),
    /// The store has executed the call, and the response is longer than a host reads.
    TooLong,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotExecuted(reason) => write!(f, "call not executed: {reason}"),
            Self::Unknown(reason) => write!(f, "call without a usable response: {reason}"),
            Self::TooLong => write!(f, "response over {RESPONSE_BODY_LIMIT} bytes"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A response of the store.
#[derive(Debug)]
pub(crate) struct StoreResponse {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The complete response body.
    pub(crate) body: Bytes,
    /// The era of the history that the response belongs to; 0 if the store states none.
    era: u64,
    /// Counts the body as long as it may be in use.
    _account: BufferAccount,
}

impl StoreResponse {
    /// The place in the store's history of a revision in the body.
    pub(crate) fn revision(&self, number: u64) -> StoreRevision {
        StoreRevision::new(self.era, number)
    }
}

#[derive(Debug, Default)]
struct Health {
    last_response: Time,
    failing_since: Option<Time>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Time,
}

/// A client of the store that reuses connections and tracks outages.
#[derive(Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    idle: Mutex<Vec<IdleConnection>>,
    health: Mutex<Health>,
    /// The latest era of the store's history that is known.
    era: AtomicU64,
    /// Memory of the responses in hand.
    buffers: BufferBudget,
}

impl StoreClient {
    /// Creates a client; connections are opened on demand.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            health: Mutex::default(),
            era: AtomicU64::new(0),
            buffers: BufferBudget::new(BUFFER_LIMIT),
        }
    }

    /// Makes a call; `wait` is how long the store may delay its response.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond, rejects the call or fails internally, or if the response is too
    /// long.
    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Result<StoreResponse> {
        let result = self.exchange(method, path, body, wait).await;
        let mut health = lock(&self.health);
        let now = clock::now();
        match &result {
            Ok(_) | Err(StoreError::TooLong) => {
                health.last_response = now;
                health.failing_since = None;
            }
            Err(error) => {
                health.failing_since.get_or_insert(now);
                if matches!(error, StoreError::Unknown(_)) {
                    // What broke one connection may have broken the others.
                    lock(&self.idle).clear();
                }
            }
        }
        result
    }

    /// The latest era of the store's history that is known; 0 if none is.
    pub(crate) fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    /// Takes note of an era that another host knows of, or that a response names.
    pub(crate) fn learn_era(&self, era: u64) {
        self.era.fetch_max(era, Ordering::Relaxed);
    }

    /// How long the store has been unreachable; `None` while it responds.
    pub(crate) fn outage(&self) -> Option<Duration> {
        let health = lock(&self.health);
        let since = health.failing_since?;
        let outage = clock::now().since(since);
        Some(outage).filter(|outage| *outage >= OUTAGE_THRESHOLD)
    }

    /// Whether the last call failed.
    pub(crate) fn is_failing(&self) -> bool {
        lock(&self.health).failing_since.is_some()
    }

    /// When the store last responded.
    pub(crate) fn last_response(&self) -> Time {
        lock(&self.health).last_response
    }

    async fn exchange(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Result<StoreResponse> {
        let pooled = self.take();
        let origin = if pooled.is_some() { "reused" } else { "new" };
        let mut connection = match pooled {
            Some(connection) => connection,
            None => Connection::open(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(|error| StoreError::NotExecuted(error.to_string()))?,
        };
        let mut bytes = format!("{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.address);
        if !body.is_empty() {
            let length = body.len();
            bytes.push_str(&format!(
                "Content-Type: application/json\r\nContent-Length: {length}\r\n"
            ));
        }
        bytes.push_str("\r\n");
        let request_body = Body::from(body.to_vec());
        let mut account = self.buffers.open_account();
        let unknown =
            |reason: String| StoreError::Unknown(format!("{reason} on a {origin} connection"));
        let limit = wait + RESPONSE_TIMEOUT;
        let exchange = connection.exchange(bytes.as_bytes(), &request_body, false, &mut account);
        let (head, sent_completely) = timeout(limit, exchange)
            .await
            .map_err(|_| unknown(format!("no response within {} ms", limit.as_millis())))?
            .map_err(|error| unknown(error.to_string()))?;
        let era = head.headers.get(platform::STORE_ERA);
        let era = era.and_then(platform::read_era).unwrap_or_default();
        self.learn_era(era);
        if let Framing::Length(length @ ..=RESPONSE_BODY_LIMIT) = head.framing
            && !account.reserve(length)
        {
            return Err(unknown("no memory for a response".to_owned()));
        }
        let (framing, limit) = (head.framing, RESPONSE_BODY_LIMIT);
        let body = connection.read_steady_body(BODY_STALL_LIMIT, framing, limit, &mut account);
        let body = within(BODY_TIMEOUT, body)
            .await
            .map_err(|error| match error {
                HttpError::BodyTooLong => StoreError::TooLong,
                error => unknown(format!("incomplete response: {error}")),
            })?
            .into_bytes();
        if head.keep_alive && sent_completely && !connection.has_buffered_data() {
            self.keep(connection);
        }
        match head.status {
            429 | 503 => Err(StoreError::NotExecuted(format!(
                "rejected with status {}",
                head.status
            ))),
            500.. => Err(StoreError::Unknown(format!(
                "failed with status {}",
                head.status
            ))),
            // What was read or written in an earlier era may be lost by now.
            _ if era < self.era() => Err(StoreError::Unknown(format!(
                "response of era {era}, known era {}",
                self.era()
            ))),
            status => Ok(StoreResponse {
                status,
                body,
                era,
                _account: account,
            }),
        }
    }

    fn take(&self) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let now = clock::now();
        idle.retain(|idle| now.since(idle.since) < MAX_IDLE_TIME && idle.connection.is_idle());
        idle.pop().map(|idle| idle.connection)
    }

    fn keep(&self, connection: Connection) {
        let mut idle = lock(&self.idle);
        if idle.len() < IDLE_LIMIT {
            idle.push(IdleConnection {
                connection,
                since: clock::now(),
            });
        }
    }
}
