//! Calls to the platform's store.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use amaranthshunt_core::Time;
use async_std::future::timeout;
use bytes::Bytes;

use crate::clock;
use crate::http::Connection;
use crate::lock::lock;

/// Time within which the store answers, or the call counts as lost.
const CALL_LIMIT: Duration = Duration::from_millis(1_500);
/// Time within which a connection to the store is open.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);
/// Longest answer of the store, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;
/// Idle connections to the store that are kept.
const IDLE_LIMIT: usize = 4;
/// Time without an answer after which the store counts as out of reach.
const SILENCE: Duration = Duration::from_millis(1_200);

/// A result of a call to the store.
pub(crate) type Result<T> = std::result::Result<T, StoreError>;

/// Why a call has no useful answer.
#[derive(Clone, Debug)]
pub(crate) enum StoreError {
    /// Nothing was done.
    NotDone(String),
    /// The call may have been done, now or seconds later.
    Unknown(String),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotDone(text) => write!(f, "not done: {text}"),
            Self::Unknown(text) => write!(f, "no useful answer: {text}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// An answer of the store.
#[derive(Clone, Debug)]
pub(crate) struct StoreReply {
    /// The HTTP status.
    pub(crate) status: u16,
    /// The body.
    pub(crate) body: Bytes,
}

#[derive(Debug, Default)]
struct Health {
    answered: Time,
    failing_since: Option<Time>,
}

/// A client of the store.
#[derive(Debug)]
pub(crate) struct StoreClient {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    health: Mutex<Health>,
}

impl StoreClient {
    /// Makes a client.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
            health: Mutex::default(),
        }
    }

    /// Makes a call; `wait` is how long the store may hold its answer back.
    ///
    /// # Errors
    ///
    /// Fails where the store does not answer, or turns the call away.
    pub(crate) async fn call(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Result<StoreReply> {
        let result = self.exchange(method, path, body, wait).await;
        let mut health = lock(&self.health);
        let now = clock::now();
        match &result {
            Ok(_) => {
                health.answered = now;
                health.failing_since = None;
            }
            Err(_) => {
                health.failing_since.get_or_insert(now);
            }
        }
        result
    }

    /// For how long the store has been out of reach; `None` while it answers.
    pub(crate) fn outage(&self) -> Option<Duration> {
        let health = lock(&self.health);
        let since = health.failing_since?;
        let outage = clock::now().since(since);
        Some(outage).filter(|outage| *outage >= SILENCE)
    }

    /// When the store last answered.
    pub(crate) fn answered(&self) -> Time {
        lock(&self.health).answered
    }

    async fn exchange(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        wait: Duration,
    ) -> Result<StoreReply> {
        let kept = self.take();
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(self.address, CONNECT_LIMIT)
                .await
                .map_err(|error| StoreError::NotDone(error.to_string()))?,
        };
        let mut bytes = format!("{method} {path} HTTP/1.1\r\nHost: {}\r\n", self.address);
        if !body.is_empty() {
            let length = body.len();
            bytes.push_str(&format!(
                "Content-Type: application/json\r\nContent-Length: {length}\r\n"
            ));
        }
        bytes.push_str("\r\n");
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(body);
        let answer = async {
            let (head, sent) = connection.exchange(&bytes, false).await?;
            let body = connection.read_body(head.framing, ANSWER_LIMIT).await?;
            Ok::<_, crate::http::HttpError>((head, body, sent))
        };
        let unknown = |text: String| StoreError::Unknown(text);
        let answer = timeout(wait + CALL_LIMIT, answer).await;
        let answer = answer.map_err(|_| unknown("no answer in time".to_owned()))?;
        let (head, body, sent) = answer.map_err(|error| unknown(error.to_string()))?;
        if head.keeps && sent && !connection.has_more() {
            self.keep(connection);
        }
        match head.status {
            429 | 503 => Err(StoreError::NotDone(format!(
                "turned away with {}",
                head.status
            ))),
            500.. => Err(StoreError::Unknown(format!("answered {}", head.status))),
            status => Ok(StoreReply { status, body }),
        }
    }

    fn take(&self) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        while let Some(connection) = idle.pop() {
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, connection: Connection) {
        let mut idle = lock(&self.idle);
        if idle.len() < IDLE_LIMIT {
            idle.push(connection);
        }
    }
}
