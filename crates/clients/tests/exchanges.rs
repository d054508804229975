//! Truncated, late and surplus HTTP responses over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthshunt_clients::{CallError, HttpClient, Reply};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http_types::{Method, Request, Url};

/// The timeout of an exchange in these tests.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Splits a response into parts that are sent with a pause between them.
const PART_SEPARATOR: char = '\0';

/// Answers each request with the delay and text that `answer` returns for the connection's number
/// and the path; closes the connection after a part that contains `cut`.
async fn serve(answer: fn(usize, &str) -> (Duration, String)) -> SocketAddr {
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

async fn serve_connection(
    mut stream: TcpStream,
    number: usize,
    answer: fn(usize, &str) -> (Duration, String),
) {
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
