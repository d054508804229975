//! What the platform asks: whether the host is ready, and its counters.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;

use crate::front::Front;
use crate::http::{Connection, within};

/// Longest head of a question, in bytes.
const HEAD_LIMIT: usize = 8 << 10;
/// Time for which a connection may stay without a question.
const IDLE: Duration = Duration::from_secs(30);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The path of the counters.
const METRICS: &str = "/metrics";

/// Answers until the task is ended.
pub(crate) async fn answer(front: Arc<Front>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(attend(front.clone(), Connection::new(stream)));
            }
            Err(error) => {
                log::warn!("a question cannot be accepted: {error}");
                task::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn attend(front: Arc<Front>, mut connection: Connection) {
    while let Ok(head) = within(IDLE, connection.read_request(HEAD_LIMIT)).await {
        let (status, body) = if head.target == METRICS {
            ("200 OK", front.counters.to_text())
        } else if front.is_ready() {
            ("200 OK", String::new())
        } else {
            ("503 Service Unavailable", String::new())
        };
        let length = body.len();
        let bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n{body}");
        if connection.write(bytes.as_bytes()).await.is_err() || !head.keeps {
            return;
        }
    }
}
