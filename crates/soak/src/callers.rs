//! Callers that send requests and record the answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use http_types::{Method, Request, Url};

/// Time for which a caller waits for its answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(4);

/// The kind of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RequestKind {
    /// A read of a key; it may run more than once.
    Read,
    /// A payment; it must run at most once.
    Pay,
    /// A payment that must run in region `east`, and at most once.
    Home,
    /// A read on a route that only one version of the configuration has.
    Version(u64),
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

/// Sends one request over a new connection.
pub(crate) async fn send_request(
    host: usize,
    address: SocketAddr,
    kind: RequestKind,
    id: String,
    key: u16,
) -> RequestResult {
    let sent_at = Instant::now();
    let answer =
        async_std::future::timeout(CALLER_TIMEOUT, exchange(address, kind, &id, key)).await;
    let answer = answer.ok().flatten();
    let is_signed = answer.as_ref().is_some_and(|(_, _, is_signed)| *is_signed);
    let answer = answer.map(|(status, body, _)| (status, body));
    RequestResult {
        id,
        kind,
        host,
        sent_at,
        ended_at: Instant::now(),
        answer,
        is_signed,
    }
}

async fn exchange(
    address: SocketAddr,
    kind: RequestKind,
    id: &str,
    key: u16,
) -> Option<(u16, String, bool)> {
    let (method, path) = match kind {
        RequestKind::Read => (Method::Get, "/read/x".to_owned()),
        RequestKind::Pay => (Method::Post, "/pay/x".to_owned()),
        RequestKind::Home => (Method::Post, "/home/x".to_owned()),
        RequestKind::Version(version) => (Method::Get, format!("/v{version}/x")),
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
    if method == Method::Post {
        request.set_body(format!("order of {id}"));
    }
    let stream = TcpStream::connect(address).await.ok()?;
    let mut response = async_h1::connect(stream, request).await.ok()?;
    let is_signed = response.header("Upstream-Signature").is_some();
    let body = response.body_string().await.ok()?;
    Some((u16::from(response.status()), body, is_signed))
}
