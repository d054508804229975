//! Clients.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{Message, Wire};

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    pub key: Option<u16>,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

/// What a client has got.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub sent: Instant,
    pub ended: Instant,
    /// Status, or 0 if the connection ended without a complete response.
    pub status: u16,
    pub body: Vec<u8>,
    pub is_signed: bool,
}

impl Call {
    pub fn new(method: &'static str, path: &str, id: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            id: id.to_owned(),
            key: None,
            deadline: Duration::from_millis(3_000),
            body: Vec::new(),
        }
    }

    /// Sends the request on a new connection and waits for the response.
    pub fn send(&self, to: SocketAddr) -> Outcome {
        let sent = Instant::now();
        let response = self.exchange(to).unwrap_or_default();
        Outcome {
            sent,
            ended: Instant::now(),
            status: response.status(),
            is_signed: response.header("Upstream-Signature").is_some(),
            body: response.body,
        }
    }

    /// The request as a message.
    pub fn message(&self) -> Message {
        let mut request = Message {
            start: format!("{} {} HTTP/1.1", self.method, self.path),
            ..Message::default()
        }
        .with("Host", "shop.example")
        .with("Request-Id", self.id.clone())
        .with("Request-Deadline-Ms", self.deadline.as_millis().to_string())
        .with_body(self.body.clone());
        if let Some(key) = self.key {
            request = request.with("Shard-Key", key.to_string());
        }
        request
    }

    fn exchange(&self, to: SocketAddr) -> Option<Message> {
        let stream = TcpStream::connect(to).ok()?;
        stream
            .set_read_timeout(Some(self.deadline + Duration::from_millis(500)))
            .ok()?;
        let mut wire = Wire::new(stream);
        wire.write(&self.message()).ok()?;
        wire.read().ok()?
    }
}
