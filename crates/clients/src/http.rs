//! HTTP exchanges over pooled connections.
//!
//! An idle connection is reused only if it is still open and has no unread data.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::net::TcpStream;
use bytes::Bytes;
use http_types::headers::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http_types::{Method, Request, Response, StatusCode, Url};

use crate::error::{CallError, Result};

/// The largest number of idle connections per address and tag.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A complete response.
#[derive(Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The complete body, checked against `Content-Length`.
    pub body: Bytes,
    response: Response,
}

impl Reply {
    /// The last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response
            .header(name)
            .map(|values| values.last().as_str())
    }
}

/// A connection that carries one exchange at a time.
#[derive(Clone, Debug)]
pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    /// Opens a connection with `TCP_NODELAY` set.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::Unreachable`].
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(CallError::Unreachable)?;
        stream.set_nodelay(true).map_err(CallError::Unreachable)?;
        Ok(Self { stream })
    }

    /// Sends a request and reads the complete response.
    ///
    /// After an error the connection must not be reused.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::Lost`], also if the response is an interim one, or if the body has no certain
    /// length or is shorter than its `Content-Length`.
    pub async fn exchange(&self, request: Request) -> Result<Reply> {
        let to_lost = |error: http_types::Error| CallError::Lost(error.to_string());
        let mut response = async_h1::connect(self.stream.clone(), request)
            .await
            .map_err(to_lost)?;
        if response.status().is_informational() {
            // `async-h1` reads one response; the final one may still come.
            return Err(CallError::Lost("interim response".to_owned()));
        }
        if !has_certain_length(&response) {
            let reason = "the body has neither a single Content-Length nor chunks";
            return Err(CallError::Lost(reason.to_owned()));
        }
        let declared = response.len();
        let body = response.body_bytes().await.map_err(to_lost)?;
        if declared.is_some_and(|length| length != body.len()) {
            return Err(CallError::Lost(
                "the body is shorter than its Content-Length".to_owned(),
            ));
        }
        Ok(Reply {
            status: response.status().into(),
            body: body.into(),
            response,
        })
    }

    /// Whether the peer has neither closed the connection nor sent unexpected data.
    async fn is_reusable(&self) -> bool {
        let mut byte = [0];
        let peek = self.stream.peek(&mut byte);
        async_std::future::timeout(Duration::ZERO, peek)
            .await
            .is_err()
    }
}

/// Whether a response tells where its body ends. `async-h1` takes one that does not for empty, and the last one
/// of several lengths.
fn has_certain_length(response: &Response) -> bool {
    if let Some(lengths) = response.header(CONTENT_LENGTH) {
        return lengths.iter().all(|length| length == lengths.last());
    }
    let encodings = response.header(TRANSFER_ENCODING);
    let is_chunked = encodings.is_some_and(|encodings| encodings.last().as_str() == "chunked");
    let has_no_body = matches!(
        response.status(),
        StatusCode::NoContent | StatusCode::NotModified
    );
    is_chunked || has_no_body
}

/// Builds a request for a path.
///
/// # Errors
///
/// Fails if the path does not give a valid URL.
pub(crate) fn request(method: Method, address: SocketAddr, path: &str) -> Result<Request> {
    let text = format!("http://{address}{path}");
    let url = Url::parse(&text).map_err(|error| CallError::Lost(error.to_string()))?;
    Ok(Request::new(method, url))
}

/// An HTTP client with a pool of idle connections by address and tag.
///
/// The tag separates connections to processes that use one address after another; tag zero is
/// for connections to any process.
#[derive(Debug, Default)]
pub struct HttpClient {
    idle: Mutex<HashMap<(SocketAddr, u64), Vec<Connection>>>,
}

impl HttpClient {
    /// Takes an idle connection that is still usable, if there is one.
    pub async fn take_idle(&self, address: SocketAddr, tag: u64) -> Option<Connection> {
        loop {
            let connection = self.lock().get_mut(&(address, tag))?.pop()?;
            if connection.is_reusable().await {
                return Some(connection);
            }
        }
    }

    /// Returns a connection to the pool; its last response must have been read to the end.
    pub fn put_idle(&self, address: SocketAddr, tag: u64, connection: Connection) {
        let mut idle = self.lock();
        let pool = idle.entry((address, tag)).or_default();
        if pool.len() < MAX_IDLE_CONNECTIONS {
            pool.push(connection);
        }
    }

    /// Closes the idle connections to an address that have neither this tag nor tag zero.
    pub fn close_other_tags(&self, address: SocketAddr, tag: u64) {
        self.lock().retain(|(idle_address, idle_tag), _| {
            *idle_address != address || *idle_tag == tag || *idle_tag == 0
        });
    }

    /// Sends a request over an idle or a new connection and reads the complete response.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::Unreachable`] or [`CallError::Lost`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
        timeout: Duration,
    ) -> Result<Reply> {
        let exchange = async {
            let connection = match self.take_idle(address, 0).await {
                Some(connection) => connection,
                None => Connection::open(address).await?,
            };
            let reply = connection.exchange(request).await?;
            self.put_idle(address, 0, connection);
            Ok(reply)
        };
        match async_std::future::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(CallError::Lost("no response before the timeout".to_owned())),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(SocketAddr, u64), Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
