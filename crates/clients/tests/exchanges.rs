//! Whole and own answers: cut, late and surplus ones over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthshunt_clients::{HttpClient, PlatformError, Reply};
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use http_types::{Method, Request, Url};

/// Time that an exchange of these tests may take.
const LIMIT: Duration = Duration::from_millis(300);

/// Where an answer pauses on the wire.
const PAUSE: char = '\0';

/// Answers the n-th connection's requests as `answer` says, given n and the path.
async fn serve(answer: fn(usize, &str) -> (Duration, String)) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let mut number = 0;
        while let Ok((stream, _)) = listener.accept().await {
            task::spawn(talk(stream, number, answer));
            number += 1;
        }
    });
    address
}

async fn talk(mut stream: TcpStream, number: usize, answer: fn(usize, &str) -> (Duration, String)) {
    let mut buffer = [0; 2_048];
    while let Ok(length) = stream.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default();
        let (delay, text) = answer(number, path);
        task::sleep(delay).await;
        for part in text.split(PAUSE) {
            if stream.write_all(part.as_bytes()).await.is_err() || part.contains("cut") {
                return;
            }
            task::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn whole(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
}

async fn send(client: &HttpClient, to: SocketAddr, path: &str) -> Result<Reply, PlatformError> {
    let url = Url::parse(&format!("http://{to}{path}")).unwrap();
    client.send(to, Request::new(Method::Get, url), LIMIT).await
}

#[test]
fn an_answer_that_is_cut_on_the_wire_is_lost_and_never_a_shorter_one() {
    task::block_on(async {
        let address = serve(|_, _| {
            let text = "HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\ncut here";
            (Duration::ZERO, text.to_owned())
        })
        .await;
        let client = HttpClient::default();
        let seen = send(&client, address, "/a").await;
        assert!(matches!(seen, Err(PlatformError::Lost(_))), "{seen:?}");
    });
}

#[test]
fn a_late_answer_is_not_given_to_the_next_request() {
    task::block_on(async {
        let address = serve(|_, path| {
            let late = path == "/late";
            (LIMIT * if late { 2 } else { 0 }, whole(path))
        })
        .await;
        let client = HttpClient::default();
        let late = send(&client, address, "/late").await;
        task::sleep(LIMIT * 2).await;
        let next = send(&client, address, "/next").await.unwrap();
        assert!(matches!(late, Err(PlatformError::Lost(_))), "{late:?}");
        assert_eq!(next.body, "/next");
    });
}

#[test]
fn a_connection_with_a_surplus_answer_is_not_used_again() {
    task::block_on(async {
        let address = serve(|_, path| {
            let twice = format!("{}{PAUSE}{}", whole(path), whole("surplus"));
            (Duration::ZERO, twice)
        })
        .await;
        let client = HttpClient::default();
        for path in ["/one", "/two", "/three"] {
            let seen = send(&client, address, path).await.unwrap();
            task::sleep(Duration::from_millis(20)).await;
            assert_eq!(seen.body, path);
        }
    });
}
