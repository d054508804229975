//! A fake backend server in trouble that sends bytes without end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt};

use super::objects::FakeObjectStore;

/// Size of one write, in bytes.
const WRITE_SIZE: usize = 16 << 10;

/// What is sent without end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndlessPart {
    /// Header lines of a response.
    Headers,
    /// One header line.
    HeaderLine,
    /// Interim responses, without a final one.
    InterimResponses,
    /// The size line of a chunk.
    ChunkSize,
    /// Chunks of a body.
    Chunks,
    /// Trailer lines after a chunked body.
    Trailers,
    /// A body without a length.
    BodyWithoutLength,
    /// Bytes after a complete response.
    Surplus,
}

impl EndlessPart {
    /// The start of the response, and the bytes that are repeated until the caller closes.
    fn bytes(self, request: &str) -> (String, Vec<u8>) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nUpstream-Signature: sig.endless\r\n"
        );
        let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
        let (start, unit) = match self {
            Self::Headers => (head, "X-More: of the same\r\n".to_owned()),
            Self::HeaderLine => (format!("{head}X-Long: "), "x".to_owned()),
            Self::InterimResponses => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n".to_owned()),
            Self::ChunkSize => (chunked, "0".to_owned()),
            Self::Chunks => (chunked, format!("400\r\n{}\r\n", "x".repeat(0x400))),
            Self::Trailers => (
                format!("{chunked}0\r\n"),
                "X-More: of the same\r\n".to_owned(),
            ),
            Self::BodyWithoutLength => (format!("{head}\r\n"), "x".to_owned()),
            Self::Surplus => (format!("{head}Content-Length: 2\r\n\r\nok"), "x".to_owned()),
        };
        let repeats = WRITE_SIZE.div_ceil(unit.len());
        (start, unit.repeat(repeats).into_bytes())
    }
}

/// A server that responds to every request with bytes without end.
#[derive(Clone, Debug)]
pub struct EndlessUpstream {
    part: EndlessPart,
    bytes_sent: Arc<AtomicU64>,
}

impl EndlessUpstream {
    /// Starts a server of a service without keys and registers it in the store.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        service: &str,
        domain: &str,
        part: EndlessPart,
        store: &FakeObjectStore,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let upstream = Self {
            part,
            bytes_sent: Arc::default(),
        };
        let this = upstream.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(this.clone().respond(stream));
            }
        });
        store.put_server("endless", address, service, domain, 1000);
        Ok(upstream)
    }

    /// Number of bytes sent in all responses.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    /// Reads the head of a request and responds until the caller closes the connection.
    async fn respond(self, mut stream: TcpStream) -> Option<()> {
        let mut head = Vec::new();
        let mut chunk = [0; 4 << 10];
        while !head.windows(4).any(|end| end == b"\r\n\r\n") {
            let count = stream
                .read(&mut chunk)
                .await
                .ok()
                .filter(|count| *count > 0)?;
            head.extend_from_slice(&chunk[..count]);
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let request = head
            .lines()
            .find_map(|line| line.strip_prefix("request-id:"));
        let (start, repeated) = self.part.bytes(request.unwrap_or_default().trim());
        stream.write_all(start.as_bytes()).await.ok()?;
        loop {
            stream.write_all(&repeated).await.ok()?;
            self.bytes_sent
                .fetch_add(repeated.len() as u64, Ordering::Relaxed);
        }
    }
}
