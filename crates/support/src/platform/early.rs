//! A server that answers before it has read the body of a request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt};

use super::FakeObjectStore;
use crate::lock::lock;

/// Maximum time for which the server reads on.
const HOLD_TIME: Duration = Duration::from_secs(5);

/// How the server ends a connection after its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionEnd {
    /// It resets the connection.
    Reset,
    /// It shuts down its output and reads on.
    Close,
    /// It shuts down its output, and resets the connection after a moment.
    CloseThenReset,
    /// It reads on.
    Open,
}

/// An answer to a request.
#[derive(Clone, Debug)]
pub struct EarlyAnswer {
    /// Bytes of the request's body that are read before the answer.
    pub reads: usize,
    /// What is written.
    pub text: String,
    /// How the connection ends.
    pub end: ConnectionEnd,
}

type Script = dyn Fn(&str) -> EarlyAnswer + Send + Sync;

/// A server that answers each request by a script, which gets the request's identifier.
#[derive(Clone)]
pub struct EarlyUpstream {
    script: Arc<Script>,
    received: Arc<Mutex<Vec<String>>>,
}

impl EarlyUpstream {
    /// Starts a server and registers it in the store under `early`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        service: &str,
        domain: &str,
        store: &FakeObjectStore,
        script: impl Fn(&str) -> EarlyAnswer + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let upstream = Self {
            script: Arc::new(script),
            received: Arc::default(),
        };
        let this = upstream.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(this.clone().serve(stream));
            }
        });
        store.put_server("early", address, service, domain, 100);
        Ok(upstream)
    }

    /// The identifiers of the requests received, in order.
    pub fn received(&self) -> Vec<String> {
        lock(&self.received).clone()
    }

    async fn serve(self, mut stream: TcpStream) -> Option<()> {
        let id = read_head(&mut stream).await?;
        lock(&self.received).push(id.clone());
        let answer = (self.script)(&id);
        let mut part = vec![0; answer.reads];
        stream.read_exact(&mut part).await.ok()?;
        stream.write_all(answer.text.as_bytes()).await.ok()?;
        match answer.end {
            ConnectionEnd::Reset => reset(&stream),
            ConnectionEnd::Close => {
                stream.shutdown(std::net::Shutdown::Write).ok()?;
                read_on(stream).await;
            }
            ConnectionEnd::CloseThenReset => {
                stream.shutdown(std::net::Shutdown::Write).ok()?;
                task::sleep(Duration::from_millis(50)).await;
                reset(&stream);
            }
            ConnectionEnd::Open => read_on(stream).await,
        }
        Some(())
    }
}

/// Makes closing a connection reset it.
fn reset(stream: &TcpStream) {
    let linger = Some(Duration::ZERO);
    rustix::net::sockopt::set_socket_linger(stream, linger).expect("a socket takes a linger time");
}

async fn read_on(mut stream: TcpStream) {
    let discard = async {
        let mut piece = vec![0; 64 << 10];
        while let Ok(1..) = stream.read(&mut piece).await {}
    };
    let _ = async_std::future::timeout(HOLD_TIME, discard).await;
}

/// Reads the head of a request byte by byte, so that its body is left unread; returns its identifier.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).await.ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let mut lines = head.lines();
    lines.find_map(|line| Some(line.strip_prefix("request-id:")?.trim().to_owned()))
}
