//! The interface for callers, over HTTP/1.1.
//!
//! `docs/callers.md` documents each path, header and status.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use std::time::Duration;

use amaranthshunt_core::ids::IdempotencyKey;
use amaranthshunt_core::{Outcome, Refusal, Request};
use async_h1::server::{ConnectionStatus, Server};
use async_std::io::ReadExt;
use async_std::net::{TcpListener, TcpStream};
use bytes::Bytes;
use http_types::StatusCode;

use crate::node::Node;
use crate::outcome::{refusal_response, refusal_word, response_of, status_of};

/// The longest deadline that a caller may ask for, in milliseconds.
const DEADLINE_LIMIT_MILLIS: u64 = 60_000;

/// Takes connections of callers until the host ends.
pub(crate) async fn accept(node: Weak<Node>, listener: TcpListener) {
    let app = application(node.clone());
    loop {
        let accepted = listener.accept().await;
        let Some(strong) = node.upgrade() else {
            return;
        };
        if let Ok((stream, _)) = accepted {
            strong.spawn(serve_connection(node.clone(), app.clone(), stream));
        }
    }
}

fn application(node: Weak<Node>) -> tide::Server<Weak<Node>> {
    let mut app = tide::with_state(node);
    app.at("/health").get(health);
    app.at("/v1/:entry/:key").get(handle).post(handle);
    app
}

/// Serves one connection, and closes it after an answer once the host is leaving.
///
/// The last answer says so, so that a caller does not send into a closing connection.
async fn serve_connection(node: Weak<Node>, app: tide::Server<Weak<Node>>, stream: TcpStream) {
    count_connection(&node, 1);
    serve_requests(&node, app, stream).await;
    count_connection(&node, -1);
}

fn count_connection(node: &Weak<Node>, change: isize) {
    if let Some(node) = node.upgrade() {
        node.connections
            .fetch_add(change as usize, Ordering::Relaxed);
    }
}

async fn serve_requests(node: &Weak<Node>, app: tide::Server<Weak<Node>>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let leaving = || node.upgrade().is_none_or(|node| node.is_leaving());
    let mut server = Server::new(stream, |request: http_types::Request| async {
        let answered: http_types::Result<http_types::Response> = app.respond(request).await;
        let mut response = answered?;
        if leaving() {
            response.insert_header("connection", "close");
        }
        Ok(response)
    });
    while let Ok(ConnectionStatus::KeepAlive) = server.accept_one().await {
        if leaving() {
            return;
        }
    }
}

async fn health(request: tide::Request<Weak<Node>>) -> tide::Result {
    let ready = request
        .state()
        .upgrade()
        .is_some_and(|node| node.is_ready());
    let status = if ready {
        StatusCode::Ok
    } else {
        StatusCode::ServiceUnavailable
    };
    Ok(tide::Response::new(status))
}

async fn handle(mut request: tide::Request<Weak<Node>>) -> tide::Result {
    let Some(node) = request.state().upgrade() else {
        return Ok(refusal(Refusal::Unavailable));
    };
    let head = match read_head(&node, &request) {
        Ok(head) => head,
        Err(response) => return Ok(*response),
    };
    let Some(body) = read_body(&mut request, head.limit).await else {
        return Ok(refusal(Refusal::TooLarge));
    };
    let mut wanted = head.request;
    wanted.body = body;
    let outcome = node.serve(wanted).await;
    let mut response = response_of(outcome.clone());
    if outcome == Outcome::NotRun(Refusal::KeyAhead) {
        let millis = node.now().as_millis();
        response.insert_header("server-time-ms", millis.to_string());
    }
    Ok(response.into())
}

/// A request without its body.
struct Head {
    request: Request,
    limit: usize,
}

type HeadResult = std::result::Result<Head, Box<tide::Response>>;

/// Reads everything but the body, after the region check.
fn read_head(node: &Arc<Node>, request: &tide::Request<Weak<Node>>) -> HeadResult {
    let entry = request.param("entry").unwrap_or_default().to_owned();
    let key = request.param("key").unwrap_or_default().to_owned();
    let tenant = header(request, "tenant").unwrap_or_default().to_owned();
    let length = request.len().unwrap_or(0);
    if let Some(found) = node.inspect(|core| core.check_head(&entry, &tenant, length)) {
        return Err(Box::new(head_refusal(node, &entry, &tenant, found)));
    }
    if node.active() >= node.file().requests as usize {
        return Err(Box::new(refusal(Refusal::Overloaded)));
    }
    let idempotency = match header(request, "idempotency-key") {
        None => None,
        Some(text) => match text.parse() {
            Ok(uuid) => Some(IdempotencyKey(uuid)),
            Err(_) => return Err(Box::new(refusal(Refusal::KeyMissing))),
        },
    };
    let Some(deadline) = deadline_of(node, request) else {
        return Err(Box::new(malformed("deadline-ms")));
    };
    let limit = node.inspect(|core| core.body_limit(&entry));
    let request = Request {
        entry,
        tenant,
        key,
        idempotency,
        repeat: header(request, "repeat") == Some("true"),
        deadline: node.now() + deadline,
        body: Bytes::new(),
    };
    Ok(Head { request, limit })
}

fn deadline_of(node: &Arc<Node>, request: &tide::Request<Weak<Node>>) -> Option<Duration> {
    let millis = match header(request, "deadline-ms") {
        None => u64::from(node.file().deadline_millis),
        Some(text) => text.parse().ok()?,
    };
    (millis <= DEADLINE_LIMIT_MILLIS).then(|| Duration::from_millis(millis))
}

async fn read_body(request: &mut tide::Request<Weak<Node>>, limit: usize) -> Option<Bytes> {
    let declared = request.len();
    let mut body = Vec::new();
    let mut reader = request.take_body().into_reader().take(limit as u64 + 1);
    reader.read_to_end(&mut body).await.ok()?;
    let whole = declared.is_none_or(|length| length == body.len());
    (whole && body.len() <= limit).then(|| body.into())
}

fn header<'a>(request: &'a tide::Request<Weak<Node>>, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

fn head_refusal(node: &Arc<Node>, entry: &str, tenant: &str, found: Refusal) -> tide::Response {
    let mut response = refusal(found);
    if found == Refusal::WrongRegion {
        let regions = node.inspect(|core| core.home_regions(entry, tenant).join(","));
        response.insert_header("home-regions", regions);
    }
    response
}

fn refusal(found: Refusal) -> tide::Response {
    refusal_response(status_of(found), "not-run", refusal_word(found)).into()
}

fn malformed(header: &str) -> tide::Response {
    let reason = format!("malformed-{header}");
    refusal_response(StatusCode::BadRequest, "not-run", &reason).into()
}
