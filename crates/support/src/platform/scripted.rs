//! A fake of a server without keys whose responses a test writes byte by byte.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt};

use super::FakeObjectStore;
use crate::lock::lock;

/// What the server does with one request.
#[derive(Clone, Debug, Default)]
pub struct ScriptedResponse {
    /// Pieces that are written one after the other, each after a pause.
    pub pieces: Vec<(Duration, String)>,
    /// Whether the server closes the connection afterwards.
    pub closes: bool,
}

type Script = dyn Fn(&str) -> ScriptedResponse + Send + Sync;

/// A server that answers each request by a script, which gets the request's identifier.
#[derive(Clone)]
pub struct ScriptedUpstream {
    address: SocketAddr,
    script: Arc<Script>,
    received: Arc<Mutex<Vec<String>>>,
    broken_off: Arc<Mutex<Vec<String>>>,
}

impl ScriptedUpstream {
    /// Starts a server and registers it in the store.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        service: &str,
        domain: &str,
        store: &FakeObjectStore,
        script: impl Fn(&str) -> ScriptedResponse + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let upstream = Self {
            address,
            script: Arc::new(script),
            received: Arc::default(),
            broken_off: Arc::default(),
        };
        let this = upstream.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(this.clone().serve(stream));
            }
        });
        store.put_server("scripted", address, service, domain, 100);
        Ok(upstream)
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The identifiers of the requests received, in order.
    pub fn received(&self) -> Vec<String> {
        lock(&self.received).clone()
    }

    /// The identifiers of the requests whose connection was closed before a piece of their response.
    pub fn broken_off(&self) -> Vec<String> {
        lock(&self.broken_off).clone()
    }

    async fn serve(self, mut stream: TcpStream) -> Option<()> {
        let mut buffer = Vec::new();
        loop {
            let id = read_request(&mut stream, &mut buffer).await?;
            lock(&self.received).push(id.clone());
            let response = (self.script)(&id);
            for (pause, piece) in response.pieces {
                if timeout(pause, wait_closed(&stream)).await.is_ok() {
                    lock(&self.broken_off).push(id);
                    return None;
                }
                stream.write_all(piece.as_bytes()).await.ok()?;
            }
            if response.closes {
                return None;
            }
        }
    }
}

/// Waits until the peer closes a connection on which it sends nothing meanwhile.
async fn wait_closed(stream: &TcpStream) {
    if let Ok(1..) = stream.peek(&mut [0]).await {
        futures::future::pending::<()>().await;
    }
}

/// Reads a request with its body; returns its identifier.
async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    let mut chunk = [0; 4 << 10];
    loop {
        let end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
            let header = |name: &str| {
                let mut lines = head.lines();
                lines.find_map(|line| line.strip_prefix(name).map(|value| value.trim().to_owned()))
            };
            let length = header("content-length:").and_then(|text| text.parse().ok());
            let total = end + 4 + length.unwrap_or(0_usize);
            if buffer.len() >= total {
                buffer.drain(..total);
                return Some(header("request-id:").unwrap_or_default());
            }
        }
        let count = stream.read(&mut chunk).await.ok()?;
        if count == 0 {
            return None;
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}
