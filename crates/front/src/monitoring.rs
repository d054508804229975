//! Serves the platform's readiness checks and metrics requests.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;

use crate::entry_host::EntryHost;
use crate::http::{Body, Connection, within};

/// Longest head of a request, in bytes.
const REQUEST_HEAD_LIMIT: usize = 8 << 10;
/// Timeout of a connection without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The path of the metrics; any other path is a readiness check.
const METRICS_PATH: &str = "/metrics";

/// Accepts connections until the task is cancelled.
pub(crate) async fn serve(host: Arc<EntryHost>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(serve_connection(host.clone(), Connection::new(stream)));
            }
            Err(error) => {
                log::warn!("cannot accept a readiness or metrics connection: {error}");
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(host: Arc<EntryHost>, mut connection: Connection) {
    loop {
        let mut account = host.buffers.open_account();
        let read = connection.read_request(REQUEST_HEAD_LIMIT, &mut account);
        let Ok(head) = within(IDLE_TIMEOUT, read).await else {
            return;
        };
        let (status, body) = if head.target == METRICS_PATH {
            ("200 OK", host.metrics_text())
        } else if host.is_ready() {
            ("200 OK", String::new())
        } else {
            ("503 Service Unavailable", String::new())
        };
        let length = body.len();
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n\r\n");
        let body = Body::from(body.into_bytes());
        if connection.write(response.as_bytes(), &body).await.is_err() || !head.keep_alive {
            return;
        }
    }
}
