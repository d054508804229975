//! Truncated, late and surplus HTTP responses over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthshunt_clients::{CallError, HttpClient, Reply};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use bytes::Bytes;
use http_types::{Method, Request, Url};
use yare::parameterized;

/// The timeout of an exchange in these tests.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Splits a response into parts that are sent with a pause between them.
const PART_SEPARATOR: char = '\0';

/// What is sent for the number of a connection and the path of a request.
trait Answer: Copy + Fn(usize, &str) -> (Duration, String) + Send + Sync + 'static {}

impl<F: Copy + Fn(usize, &str) -> (Duration, String) + Send + Sync + 'static> Answer for F {}

/// Answers each request with the delay and text that `answer` returns for the connection's number
/// and the path; closes the connection after a part that contains `cut`.
async fn serve(answer: impl Answer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(serve_connection(stream, number, answer));
            number += 1;
        }
    });
    address
}

async fn serve_connection(mut stream: TcpStream, number: usize, answer: impl Answer) {
    let mut buffer = [0; 2_048];
    while let Ok(length) = stream.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default();
        let (delay, text) = answer(number, path);
        task::sleep(delay).await;
        for part in text.split(PART_SEPARATOR) {
            if stream.write_all(part.as_bytes()).await.is_err() || part.contains("cut") {
                return;
            }
            task::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn ok_response(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
}

async fn send(client: &HttpClient, to: SocketAddr, path: &str) -> Result<Reply, CallError> {
    let url = Url::parse(&format!("http://{to}{path}")).unwrap();
    client
        .send(to, Request::new(Method::Get, url), TIMEOUT)
        .await
}

#[test]
fn truncated_response_is_lost() {
    task::block_on(async {
        let address = serve(|_, _| {
            let text = "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\ncut here";
            (Duration::ZERO, text.to_owned())
        })
        .await;
        let client = HttpClient::default();
        let reply = send(&client, address, "/a").await;
        assert!(matches!(reply, Err(CallError::Lost(_))), "{reply:?}");
    });
}

#[test]
fn late_response_is_not_returned_to_the_next_request() {
    task::block_on(async {
        let address = serve(|_, path| {
            let late = path == "/late";
            (TIMEOUT * if late { 2 } else { 0 }, ok_response(path))
        })
        .await;
        let client = HttpClient::default();
        let late = send(&client, address, "/late").await;
        task::sleep(TIMEOUT * 2).await;
        let next = send(&client, address, "/next").await.unwrap();
        assert!(matches!(late, Err(CallError::Lost(_))), "{late:?}");
        assert_eq!(next.body, "/next");
    });
}

#[test]
fn connection_with_surplus_response_is_not_reused() {
    task::block_on(async {
        let address = serve(|_, path| {
            let two_responses = format!(
                "{}{PART_SEPARATOR}{}",
                ok_response(path),
                ok_response("surplus")
            );
            (Duration::ZERO, two_responses)
        })
        .await;
        let client = HttpClient::default();
        for path in ["/one", "/two", "/three"] {
            let reply = send(&client, address, path).await.unwrap();
            task::sleep(Duration::from_millis(20)).await;
            assert_eq!(reply.body, path);
        }
    });
}

/// The status and the body of the response to a request, or the error.
async fn exchange(address: SocketAddr) -> Result<(u16, Bytes), CallError> {
    let reply = send(&HttpClient::default(), address, "/a").await;
    reply.map(|reply| (reply.status, reply.body))
}

// Guards against MIXED: a malformed response passed for a whole one.
#[parameterized(
    status_zero = { "HTTP/1.1 000 X\r\ncontent-length: 2\r\n\r\nok" },
    status_below = { "HTTP/1.1 099 X\r\ncontent-length: 2\r\n\r\nok" },
    status_above = { "HTTP/1.1 600 X\r\ncontent-length: 2\r\n\r\nok" },
    space_in_a_name = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nX Odd: 1\r\n\r\nok" },
    space_before_the_colon = { "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n\r\nok" },
    space_at_the_start = { "HTTP/1.1 200 OK\r\n X: 1\r\ncontent-length: 2\r\n\r\nok" },
    folded_line = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nX: 1\r\n 2\r\n\r\nok" },
    control_character_in_a_name = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nX\x01: 1\r\n\r\nok" },
    delete_in_a_name = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nX\x7f: 1\r\n\r\nok" },
    empty_name = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n: 1\r\n\r\nok" },
    bare_carriage_return = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nX: 1\rY: 2\r\n\r\nok" },
    chunks_without_end = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\ncut" },
    space_in_a_trailer_name = {
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n"
    },
)]
fn malformed_response_is_lost(text: &'static str) {
    task::block_on(async {
        let address = serve(move |_, _| (Duration::ZERO, text.to_owned())).await;

        let reply = exchange(address).await;

        assert!(matches!(reply, Err(CallError::Lost(_))), "{reply:?}");
    });
}

// Guards against MIXED: a response whose body ended nobody knows where passed for one without a body.
#[parameterized(
    no_length = { "HTTP/1.1 200 OK\r\n\r\nok cut" },
    no_length_and_no_body = { "HTTP/1.1 200 OK\r\n\r\n" },
    unknown_encoding = { "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok cut" },
    conflicting_lengths = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1\r\n\r\nok" },
)]
fn response_without_a_certain_length_is_lost(text: &'static str) {
    task::block_on(async {
        let address = serve(move |_, _| (Duration::ZERO, text.to_owned())).await;

        let reply = exchange(address).await;

        assert!(matches!(reply, Err(CallError::Lost(_))), "{reply:?}");
    });
}

// Guards against ORDER: an interim response passed for the final one.
#[parameterized(
    switching = { "HTTP/1.1 101 X\r\ncontent-length: 0\r\n\r\n" },
    interim_only = { "HTTP/1.1 103 Early Hints\r\n\r\n" },
    interim_with_length = { "HTTP/1.1 100 Continue\r\ncontent-length: 2\r\n\r\nok" },
)]
fn interim_response_is_lost(text: &'static str) {
    task::block_on(async {
        let address = serve(move |_, _| (Duration::ZERO, text.to_owned())).await;

        let reply = exchange(address).await;

        assert!(matches!(reply, Err(CallError::Lost(_))), "{reply:?}");
    });
}

#[parameterized(
    stated = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", 200, "ok" },
    stated_twice = { "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 2\r\n\r\nok", 200, "ok" },
    empty = { "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n", 404, "" },
    chunks = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 200, "ok" },
    no_content = { "HTTP/1.1 204 No Content\r\n\r\n", 204, "" },
)]
fn whole_response_is_returned(text: &'static str, status: u16, body: &str) {
    task::block_on(async {
        let address = serve(move |_, _| (Duration::ZERO, text.to_owned())).await;

        let reply = exchange(address).await.unwrap();

        assert_eq!(reply, (status, Bytes::from(body.to_owned())));
    });
}
