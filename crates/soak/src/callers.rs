//! Callers that send requests and record the answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use futures::FutureExt as _;
use http_types::{Method, Request, Url};

use crate::tenants;

/// Time for which a caller waits for its answer.
pub(crate) const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest time for which callers use an idle connection: four fifths of the hosts' limit.
const MAX_IDLE_TIME: Duration = Duration::from_secs(12);

/// Body of an upload, in bytes.
const UPLOAD_BYTES: usize = 60_000;

/// The kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    /// A read of a key; it may run more than once.
    Read,
    /// A payment; it must run at most once.
    Pay,
    /// A payment that must run in region `east`, and at most once.
    Home,
    /// A read on a route that only the newest version of the configuration has.
    Version(u64),
    /// A read on a route that the newest version has removed.
    RemovedVersion(u64),
    /// A payment with a large body; it must run at most once.
    Upload,
    /// A read with a key that no tenant holds; it must not run.
    UnknownKey,
}

/// A request and its result.
#[derive(Clone, Debug)]
pub(crate) struct RequestResult {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) host: usize,
    pub(crate) sent_at: Instant,
    pub(crate) ended_at: Instant,
    /// Status and body; `None` if the connection broke or the caller timed out.
    pub(crate) answer: Option<(u16, String)>,
    /// Whether the answer has the signature of a backend server.
    pub(crate) is_signed: bool,
}

impl RequestResult {
    /// A request without an answer yet.
    pub(crate) fn unanswered(id: String, kind: RequestKind, host: usize, sent_at: Instant) -> Self {
        Self {
            id,
            kind,
            host,
            sent_at,
            ended_at: sent_at,
            answer: None,
            is_signed: false,
        }
    }
}

/// Connections to a host that callers have kept open.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connections {
    idle: Arc<Mutex<Vec<(TcpStream, Instant)>>>,
}

impl Connections {
    /// Takes a kept connection, or opens one if none is left.
    async fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        while let Some((stream, since)) = self.pop() {
            let mut byte = [0];
            let is_open = stream.peek(&mut byte).now_or_never().is_none();
            if is_open && since.elapsed() < MAX_IDLE_TIME {
                return Some(stream);
            }
        }
        TcpStream::connect(address).await.ok()
    }

    fn pop(&self) -> Option<(TcpStream, Instant)> {
        self.lock().pop()
    }

    fn keep(&self, stream: TcpStream) {
        self.lock().push((stream, Instant::now()));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(TcpStream, Instant)>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends one request; callers keep their connections until the host closes them or is gone.
pub(crate) async fn send_request(
    host: usize,
    address: SocketAddr,
    connections: Connections,
    kind: RequestKind,
    id: String,
    key: u16,
) -> RequestResult {
    let sent_at = Instant::now();
    let exchange = exchange(address, &connections, kind, &id, key);
    let answer = async_std::future::timeout(CALLER_TIMEOUT, exchange).await;
    let answer = answer.ok().flatten();
    let is_signed = answer.as_ref().is_some_and(|(_, _, is_signed)| *is_signed);
    let answer = answer.map(|(status, body, _)| (status, body));
    RequestResult {
        ended_at: Instant::now(),
        answer,
        is_signed,
        ..RequestResult::unanswered(id, kind, host, sent_at)
    }
}

async fn exchange(
    address: SocketAddr,
    connections: &Connections,
    kind: RequestKind,
    id: &str,
    key: u16,
) -> Option<(u16, String, bool)> {
    let (method, path) = match kind {
        RequestKind::Read | RequestKind::UnknownKey => (Method::Get, "/read/x".to_owned()),
        RequestKind::Pay => (Method::Post, "/pay/x".to_owned()),
        RequestKind::Home => (Method::Post, "/home/x".to_owned()),
        RequestKind::Upload => (Method::Post, "/upload/x".to_owned()),
        RequestKind::Version(version) | RequestKind::RemovedVersion(version) => {
            (Method::Get, format!("/v{version}/x"))
        }
    };
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let mut request = Request::new(method, url);
    request.insert_header("Host", "shop");
    request.insert_header("Request-Id", id);
    request.insert_header(
        "Request-Deadline-Ms",
        CALLER_TIMEOUT.as_millis().to_string(),
    );
    request.insert_header("Shard-Key", key.to_string());
    let credentials = format!("Bearer {}", tenants::key(kind, id));
    request.insert_header("Authorization", credentials);
    if kind == RequestKind::Upload {
        request.set_body(vec![b'u'; UPLOAD_BYTES]);
    } else if method == Method::Post {
        request.set_body(format!("order of {id}"));
    }
    let stream = connections.take(address).await?;
    let mut response = async_h1::connect(stream.clone(), request).await.ok()?;
    let is_signed = response.header("Upstream-Signature").is_some();
    let is_closing = response
        .header("Connection")
        .is_some_and(|values| values.last().as_str().eq_ignore_ascii_case("close"));
    let body = response.body_string().await.ok()?;
    if !is_closing {
        connections.keep(stream);
    }
    Some((u16::from(response.status()), body, is_signed))
}
