//! Responses to a request whose body is still being sent.

use std::sync::Mutex;
use std::time::Duration;

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{ConnectionEnd, EarlyAnswer, EarlyUpstream, UpstreamFault};
use async_std::net::TcpStream;
use async_std::task;
use http_types::{Method, Request, Url};
use serde_json::{Value, json};
use yare::parameterized;

use crate::site::{Site, config, start_site, wait_until};

/// Length of a body that fits in no socket's buffers, in bytes.
const LONG_BODY: usize = 12 << 20;
/// Length of a body that is sent at once.
const SHORT_BODY: usize = 1_000;
/// Requests of a case: whether a reset meets the writing of the request or the reading of the response is a
/// matter of microseconds.
const ROUNDS: usize = 12;
/// The body of a complete response.
const WHOLE: &str = "a whole response";

/// How a response says where its body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Length {
    /// By the end of the connection.
    None,
    Stated,
    Chunks,
}

/// A signed response, up to a number of bytes after its head.
fn response(id: &str, length: Length, after_head: usize) -> String {
    let (header, body) = match length {
        Length::None => (String::new(), WHOLE.to_owned()),
        Length::Stated => (
            format!("Content-Length: {}\r\n", WHOLE.len()),
            WHOLE.to_owned(),
        ),
        Length::Chunks => (
            "Transfer-Encoding: chunked\r\n".to_owned(),
            format!("{:x}\r\n{WHOLE}\r\n0\r\n\r\n", WHOLE.len()),
        ),
    };
    let body = &body[..after_head.min(body.len())];
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: sig\r\nConnection: close\r\n\
         {header}\r\n{body}"
    )
}

/// A site that takes long bodies, and a server of the service without keys beside those of the site.
async fn start_early_site(
    name: &str,
    kind: &str,
    script: impl Fn(&str) -> EarlyAnswer + Send + Sync + 'static,
) -> (Site, EarlyUpstream) {
    let site = start_site(name).await;
    if kind == "unsafe" {
        site.servers[1].crash();
    } else {
        // Requests go to the early server first.
        site.servers[1].set_fault(UpstreamFault::Slow(200));
    }
    let server = EarlyUpstream::start(free_address(), "orders", "east-a", &site.store, script);
    let server = server.await.unwrap();
    let mut next = config(2, "/pay/");
    next["Limits"]["MaxBodyBytes"] = json!(64 << 20);
    next["Routes"]["pay"]["Kind"] = Value::from(kind);
    next["Routes"]["pay"]["TimeoutMs"] = json!(5_000);
    site.store.put("config", "main", next, Value::Null);
    wait_until("requests reach the early server", async || {
        upload(&site, "probe", SHORT_BODY).await;
        server.received().iter().any(|id| id == "probe")
    })
    .await;
    task::sleep(Duration::from_millis(1_500)).await;
    (site, server)
}

/// Sends a request with a body; returns the status and the body of its response. 0 stands for a connection
/// that ended without a complete response.
async fn upload(site: &Site, id: &str, length: usize) -> (u16, String) {
    let url = Url::parse(&format!("http://{}/pay/x", site.callers)).unwrap();
    let mut request = Request::new(Method::Post, url);
    request.insert_header("Host", "shop");
    request.insert_header("Request-Id", id);
    request.insert_header("Request-Deadline-Ms", "5000");
    request.set_body(vec![b'x'; length]);
    let exchange = async {
        let stream = TcpStream::connect(site.callers).await.ok()?;
        let mut response = async_h1::connect(stream, request).await.ok()?;
        let body = response.body_string().await.ok()?;
        Some((u16::from(response.status()), body))
    };
    exchange.await.unwrap_or_default()
}

/// Uploads until the early server has got the given number of requests; returns the responses to these.
async fn upload_rounds(site: &Site, server: &EarlyUpstream, length: usize) -> Vec<(u16, String)> {
    let responses = Mutex::new(Vec::new());
    for round in 0..ROUNDS {
        // A failure ends the use of a server for a moment, in which requests are refused or go elsewhere.
        wait_until("the early server gets the request", async || {
            let id = format!("early-{round}");
            let response = upload(site, &id, length).await;
            let is_received = server.received().contains(&id);
            if is_received {
                responses.lock().unwrap().push(response);
            }
            is_received
        })
        .await;
    }
    responses.into_inner().unwrap()
}

fn early(
    reads: usize,
    length: Length,
    after_head: usize,
    end: ConnectionEnd,
) -> impl Fn(&str) -> EarlyAnswer {
    move |id| {
        if id == "probe" {
            return EarlyAnswer {
                reads: SHORT_BODY,
                text: response(id, Length::Stated, usize::MAX),
                end: ConnectionEnd::Open,
            };
        }
        EarlyAnswer {
            reads,
            text: response(id, length, after_head),
            end,
        }
    }
}

// Guards against MIXED: a response without a length that was reset while its request was being written passed
// for a complete one.
#[parameterized(
    after_the_head = { "early-head", LONG_BODY, 0, Length::None, 0 },
    after_the_head_and_a_part = { "early-head-read", LONG_BODY, 100_000, Length::None, 0 },
    in_the_body = { "early-body", LONG_BODY, 0, Length::None, 7 },
    in_the_body_after_a_part = { "early-body-read", LONG_BODY, 100_000, Length::None, 7 },
    after_the_body = { "early-end", LONG_BODY, 0, Length::None, usize::MAX },
    after_a_short_request = { "early-short", SHORT_BODY, SHORT_BODY, Length::None, 7 },
    within_a_stated_length = { "early-stated", LONG_BODY, 0, Length::Stated, 7 },
    within_chunks = { "early-chunks", LONG_BODY, 0, Length::Chunks, 7 },
)]
fn response_that_is_reset_is_not_returned_as_complete(
    name: &str,
    body: usize,
    reads: usize,
    length: Length,
    after_head: usize,
) {
    task::block_on(async {
        let script = early(reads, length, after_head, ConnectionEnd::Reset);
        let (site, server) = start_early_site(name, "unsafe", script).await;

        let responses = upload_rounds(&site, &server, body).await;

        let statuses: Vec<u16> = responses.iter().map(|(status, _)| *status).collect();
        assert_eq!(statuses, [502; ROUNDS]);
        let runs = server.received();
        assert_eq!(
            runs.len(),
            ROUNDS + runs.iter().filter(|id| *id == "probe").count()
        );
    });
}

// Guards against LOST: a request that may be repeated ended with a broken response, though another server
// would have answered it.
#[test]
fn reset_of_a_request_that_may_repeat_leads_to_another_server() {
    task::block_on(async {
        let script = early(0, Length::None, 7, ConnectionEnd::Reset);
        let (site, server) = start_early_site("early-repeat", "safe", script).await;

        let responses = upload_rounds(&site, &server, LONG_BODY).await;

        let expected = |round| (200, format!("early-{round}:{LONG_BODY}"));
        assert_eq!(responses, (0..ROUNDS).map(expected).collect::<Vec<_>>());
    });
}

// Guards against complete responses that are given up since the server did not read the whole request.
#[parameterized(
    stated_then_reset = { "early-ok-stated", Length::Stated, ConnectionEnd::Reset },
    chunks_then_reset = { "early-ok-chunks", Length::Chunks, ConnectionEnd::Reset },
    stated_then_open = { "early-ok-open", Length::Stated, ConnectionEnd::Open },
    no_length_then_closed = { "early-ok-closed", Length::None, ConnectionEnd::Close },
    no_length_then_closed_and_reset = { "early-ok-both", Length::None, ConnectionEnd::CloseThenReset },
)]
fn complete_response_before_the_end_of_the_request_is_returned(
    name: &str,
    length: Length,
    end: ConnectionEnd,
) {
    task::block_on(async {
        let script = early(0, length, usize::MAX, end);
        let (site, server) = start_early_site(name, "unsafe", script).await;

        let responses = upload_rounds(&site, &server, LONG_BODY).await;

        assert_eq!(responses, vec![(200, WHOLE.to_owned()); ROUNDS]);
    });
}
