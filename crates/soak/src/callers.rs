//! Callers that send requests and remember what they were told.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use http_types::{Method, Request, Url};

/// Time for which a caller waits.
const PATIENCE: Duration = Duration::from_secs(4);

/// What a caller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ask {
    /// A read of a key; it may be repeated.
    Read,
    /// A payment; it must run once at most.
    Pay,
    /// A payment that must stay in the east.
    Home,
    /// A read on the route of one version only.
    Version(u64),
}

/// What became of a request.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    pub(crate) id: String,
    pub(crate) ask: Ask,
    pub(crate) host: usize,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    /// The status and the body; `None` where the connection broke.
    pub(crate) answer: Option<(u16, String)>,
    pub(crate) signed: bool,
}

/// Sends one request over a connection of its own.
pub(crate) async fn send(host: usize, address: SocketAddr, ask: Ask, id: String, key: u16) -> Seen {
    let sent = Instant::now();
    let answer = async_std::future::timeout(PATIENCE, exchange(address, ask, &id, key)).await;
    let answer = answer.ok().flatten();
    let signed = answer.as_ref().is_some_and(|(_, _, signed)| *signed);
    let answer = answer.map(|(status, body, _)| (status, body));
    Seen {
        id,
        ask,
        host,
        sent,
        ended: Instant::now(),
        answer,
        signed,
    }
}

async fn exchange(
    address: SocketAddr,
    ask: Ask,
    id: &str,
    key: u16,
) -> Option<(u16, String, bool)> {
    let (method, path) = match ask {
        Ask::Read => (Method::Get, "/read/x".to_owned()),
        Ask::Pay => (Method::Post, "/pay/x".to_owned()),
        Ask::Home => (Method::Post, "/home/x".to_owned()),
        Ask::Version(version) => (Method::Get, format!("/v{version}/x")),
    };
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let mut request = Request::new(method, url);
    request.insert_header("Host", "shop");
    request.insert_header("Request-Id", id);
    request.insert_header("Request-Deadline-Ms", PATIENCE.as_millis().to_string());
    request.insert_header("Shard-Key", key.to_string());
    if method == Method::Post {
        request.set_body(format!("order of {id}"));
    }
    let stream = TcpStream::connect(address).await.ok()?;
    let mut response = async_h1::connect(stream, request).await.ok()?;
    let signed = response.header("Upstream-Signature").is_some();
    let body = response.body_string().await.ok()?;
    Some((u16::from(response.status()), body, signed))
}
