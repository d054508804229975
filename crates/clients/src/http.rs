//! HTTP exchanges over connections that are kept only while they are clean.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::net::TcpStream;
use bytes::Bytes;
use http_types::{Method, Request, Response, Url};

use crate::error::{PlatformError, Result};

/// Idle connections that are kept for one address.
const IDLE_LIMIT: usize = 64;

/// A whole answer.
#[derive(Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
    response: Response,
}

impl Reply {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response
            .header(name)
            .map(|values| values.last().as_str())
    }
}

/// One connection that has no exchange under way.
#[derive(Clone, Debug)]
pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Unreachable`].
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(PlatformError::Unreachable)?;
        stream
            .set_nodelay(true)
            .map_err(PlatformError::Unreachable)?;
        Ok(Self { stream })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// The connection must not be used again after an error.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Lost`], also where the answer is shorter than it says.
    pub async fn exchange(&self, request: Request) -> Result<Reply> {
        let lost = |error: http_types::Error| PlatformError::Lost(error.to_string());
        let mut response = async_h1::connect(self.stream.clone(), request)
            .await
            .map_err(lost)?;
        let declared = response.len();
        let body = response.body_bytes().await.map_err(lost)?;
        if declared.is_some_and(|length| length != body.len()) {
            return Err(PlatformError::Lost("the body is cut short".to_owned()));
        }
        Ok(Reply {
            status: response.status().into(),
            body: body.into(),
            response,
        })
    }

    /// Whether the other end still holds the connection open and silent.
    async fn is_clean(&self) -> bool {
        let mut byte = [0];
        let peek = self.stream.peek(&mut byte);
        async_std::future::timeout(Duration::ZERO, peek)
            .await
            .is_err()
    }
}

/// Makes a request to a path.
///
/// # Errors
///
/// Fails where the path does not fit in a URL.
pub(crate) fn request(method: Method, address: SocketAddr, path: &str) -> Result<Request> {
    let text = format!("http://{address}{path}");
    let url = Url::parse(&text).map_err(|error| PlatformError::Lost(error.to_string()))?;
    Ok(Request::new(method, url))
}

/// A client that keeps connections by address and tag.
///
/// The tag tells apart connections to two processes that used one address after another.
#[derive(Debug, Default)]
pub struct HttpClient {
    idle: Mutex<HashMap<(SocketAddr, u64), Vec<Connection>>>,
}

impl HttpClient {
    /// Takes a kept connection, if there is one that the other end has not closed.
    pub async fn take(&self, address: SocketAddr, tag: u64) -> Option<Connection> {
        loop {
            let kept = self.lock().get_mut(&(address, tag))?.pop()?;
            if kept.is_clean().await {
                return Some(kept);
            }
        }
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn keep(&self, address: SocketAddr, tag: u64, connection: Connection) {
        let mut idle = self.lock();
        let kept = idle.entry((address, tag)).or_default();
        if kept.len() < IDLE_LIMIT {
            kept.push(connection);
        }
    }

    /// Closes the kept connections to an address that have another tag, but for tag zero.
    pub fn forget_others(&self, address: SocketAddr, tag: u64) {
        self.lock()
            .retain(|(kept, kept_tag), _| *kept != address || *kept_tag == tag || *kept_tag == 0);
    }

    /// Makes a whole exchange over a kept or a new connection.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Unreachable`] or [`PlatformError::Lost`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        limit: Duration,
    ) -> Result<Reply> {
        let exchange = async {
            let connection = match self.take(address, 0).await {
                Some(connection) => connection,
                None => Connection::open(address).await?,
            };
            let reply = connection.exchange(request).await?;
            self.keep(address, 0, connection);
            Ok(reply)
        };
        match async_std::future::timeout(limit, exchange).await {
            Ok(result) => result,
            Err(_) => Err(PlatformError::Lost("no answer in time".to_owned())),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(SocketAddr, u64), Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
