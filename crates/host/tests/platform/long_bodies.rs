//! Request bodies that together are larger than a host's memory.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::io::{ReadExt, WriteExt};
use async_std::net::TcpStream;
use async_std::task;
use serde_json::{Value, json};
use yare::parameterized;

use crate::endless::{assert_served, peak_memory_mb, read_until};
use crate::site::{MEMORY_MB, Site, config, start_site};

/// Length of a body, in bytes, and the number of callers that send one at the same time.
const BODY: usize = 24 << 20;
const CALLERS: usize = 8;

async fn start_long_body_site(name: &str) -> Site {
    let site = start_site(name).await;
    let mut long = config(2, "/pay/");
    long["Limits"]["MaxBodyBytes"] = json!(64 << 20);
    long["Routes"]["pay"]["TimeoutMs"] = json!(6_000);
    site.store.put("config", "main", long, Value::Null);
    task::sleep(Duration::from_secs(2)).await;
    site
}

/// Sends a request with a body; returns the beginning of the response, which may be empty.
async fn send_body(callers: SocketAddr, id: String, chunked: bool) -> String {
    let framing = if chunked {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {BODY}")
    };
    let head = format!(
        "POST /pay/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: {id}\r\n\
         Request-Deadline-Ms: 6000\r\n{framing}\r\n\r\n"
    );
    let mut caller = TcpStream::connect(callers).await.unwrap();
    let mut reader = caller.clone();
    let read = task::spawn(async move {
        let mut start = [0; 12];
        let count = reader.read(&mut start).await.unwrap_or(0);
        String::from_utf8_lossy(&start[..count]).into_owned()
    });
    // A host that refuses the request may close the connection before all is written.
    let _ = caller.write_all(head.as_bytes()).await;
    let piece = vec![b'x'; 64 << 10];
    for _ in 0..BODY / piece.len() {
        let size = format!("{:x}\r\n", piece.len());
        let parts: [&[u8]; 3] = if chunked {
            [size.as_bytes(), &piece, b"\r\n"]
        } else {
            [b"", &piece, b""]
        };
        if caller.write_all(&parts.concat()).await.is_err() {
            break;
        }
    }
    if chunked {
        let _ = caller.write_all(b"0\r\n\r\n").await;
    }
    read.await
}

// Guards against Fault: a host read each body whole and copied it to send it, so a few long ones at once took
// it over its memory.
#[parameterized(
    with_length = { "long-bodies", false },
    chunked = { "long-bodies-chunked", true },
)]
fn long_bodies_beyond_the_memory_are_refused_and_others_are_served(name: &str, chunked: bool) {
    task::block_on(async {
        let site = start_long_body_site(name).await;
        let bodies = (0..CALLERS).map(|number| {
            let id = format!("b{number}");
            task::spawn(send_body(site.callers, id, chunked))
        });
        let bodies = futures::future::join_all(bodies.collect::<Vec<_>>());

        let others = read_until(&site, std::time::Instant::now() + Duration::from_secs(3));
        let (responses, others) = futures::future::join(bodies, others).await;

        let peak = peak_memory_mb(site.process_id());
        assert!(peak < MEMORY_MB, "{peak} MB");
        assert_served(&others);
        let count = |status: &str| {
            let found = responses.iter().filter(|start| start.ends_with(status));
            found.count()
        };
        assert!(count(" 200") >= 1, "{responses:?}");
        assert_eq!(count(" 200") + count(" 503"), CALLERS, "{responses:?}");
    });
}
