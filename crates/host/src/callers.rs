//! The HTTP/1.1 interface for callers.
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
use crate::outcome::{outcome_response, refusal_reason, refusal_status, response_without_answer};

/// The longest deadline that a caller may set, in milliseconds.
const MAX_DEADLINE_MILLIS: u64 = 60_000;

/// Accepts caller connections until the host has stopped.
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
    app.at("/v1/:entry/:key")
        .get(handle_request)
        .post(handle_request);
    app
}

/// Serves one connection, and closes it after the current response once the host is shutting down.
///
/// That response has `connection: close`, so that the caller sends no request on a connection that
/// is being closed.
async fn serve_connection(node: Weak<Node>, app: tide::Server<Weak<Node>>, stream: TcpStream) {
    adjust_connection_count(&node, 1);
    serve_requests(&node, app, stream).await;
    adjust_connection_count(&node, -1);
}

/// Adds `delta` to the number of open caller connections.
///
/// `fetch_add` wraps around, so that a negative `delta` cast to `usize` subtracts.
fn adjust_connection_count(node: &Weak<Node>, delta: isize) {
    if let Some(node) = node.upgrade() {
        node.caller_connections
            .fetch_add(delta as usize, Ordering::Relaxed);
    }
}

async fn serve_requests(node: &Weak<Node>, app: tide::Server<Weak<Node>>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let shutting_down = || node.upgrade().is_none_or(|node| node.is_shutting_down());
    let mut server = Server::new(stream, |request: http_types::Request| async {
        let result: http_types::Result<http_types::Response> = app.respond(request).await;
        let mut response = result?;
        if shutting_down() {
            response.insert_header("connection", "close");
        }
        Ok(response)
    });
    while let Ok(ConnectionStatus::KeepAlive) = server.accept_one().await {
        if shutting_down() {
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

async fn handle_request(mut request: tide::Request<Weak<Node>>) -> tide::Result {
    let Some(node) = request.state().upgrade() else {
        return Ok(not_run_response(Refusal::Unavailable));
    };
    let head = match read_head(&node, &request) {
        Ok(head) => head,
        Err(response) => return Ok(*response),
    };
    let Some(body) = read_body(&mut request, head.body_limit).await else {
        return Ok(not_run_response(Refusal::TooLarge));
    };
    let mut caller_request = head.request;
    caller_request.body = body;
    let outcome = node.serve(caller_request).await;
    let mut response = outcome_response(outcome.clone());
    if outcome == Outcome::NotRun(Refusal::KeyAhead) {
        let millis = node.now().as_millis();
        response.insert_header("server-time-ms", millis.to_string());
    }
    Ok(response.into())
}

/// A request without its body, and the largest body that its entry accepts.
struct RequestHead {
    request: Request,
    body_limit: usize,
}

type RequestHeadResult = std::result::Result<RequestHead, Box<tide::Response>>;

/// Reads everything but the body; checks the entry, the region and the declared length first.
fn read_head(node: &Arc<Node>, request: &tide::Request<Weak<Node>>) -> RequestHeadResult {
    let entry = request.param("entry").unwrap_or_default().to_owned();
    let key = request.param("key").unwrap_or_default().to_owned();
    let tenant = header(request, "tenant").unwrap_or_default().to_owned();
    let length = request.len().unwrap_or(0);
    if let Some(refusal) = node.inspect(|core| core.check_request_head(&entry, &tenant, length)) {
        return Err(Box::new(head_refusal_response(
            node, &entry, &tenant, refusal,
        )));
    }
    if node.active_requests() >= node.settings().max_requests as usize {
        return Err(Box::new(not_run_response(Refusal::Overloaded)));
    }
    let idempotency = match header(request, "idempotency-key") {
        None => None,
        Some(text) => match text.parse() {
            Ok(uuid) => Some(IdempotencyKey(uuid)),
            Err(_) => return Err(Box::new(not_run_response(Refusal::KeyMissing))),
        },
    };
    let Some(deadline) = read_deadline(node, request) else {
        return Err(Box::new(malformed_header_response("deadline-ms")));
    };
    let body_limit = node.inspect(|core| core.body_limit(&entry));
    let request = Request {
        entry,
        tenant,
        key,
        idempotency_key: idempotency,
        is_retry: header(request, "repeat") == Some("true"),
        deadline: node.now() + deadline,
        body: Bytes::new(),
    };
    Ok(RequestHead {
        request,
        body_limit,
    })
}

fn read_deadline(node: &Arc<Node>, request: &tide::Request<Weak<Node>>) -> Option<Duration> {
    let millis = match header(request, "deadline-ms") {
        None => u64::from(node.settings().deadline_millis),
        Some(text) => text.parse().ok()?,
    };
    (millis <= MAX_DEADLINE_MILLIS).then(|| Duration::from_millis(millis))
}

/// Reads the body; `None` if it is too large, incomplete or unreadable.
async fn read_body(request: &mut tide::Request<Weak<Node>>, body_limit: usize) -> Option<Bytes> {
    let declared = request.len();
    let mut body = Vec::new();
    let mut reader = request
        .take_body()
        .into_reader()
        .take(body_limit as u64 + 1);
    reader.read_to_end(&mut body).await.ok()?;
    let complete = declared.is_none_or(|length| length == body.len());
    (complete && body.len() <= body_limit).then(|| body.into())
}

fn header<'a>(request: &'a tide::Request<Weak<Node>>, name: &str) -> Option<&'a str> {
    request.header(name).map(|values| values.last().as_str())
}

fn head_refusal_response(
    node: &Arc<Node>,
    entry: &str,
    tenant: &str,
    refusal: Refusal,
) -> tide::Response {
    let mut response = not_run_response(refusal);
    if refusal == Refusal::WrongRegion {
        let regions = node.inspect(|core| core.home_regions(entry, tenant).join(","));
        response.insert_header("home-regions", regions);
    }
    response
}

fn not_run_response(refusal: Refusal) -> tide::Response {
    response_without_answer(refusal_status(refusal), "not-run", refusal_reason(refusal)).into()
}

fn malformed_header_response(header: &str) -> tide::Response {
    let reason = format!("malformed-{header}");
    response_without_answer(StatusCode::BadRequest, "not-run", &reason).into()
}
