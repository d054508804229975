//! A loopback TCP proxy that injects connection faults.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt, FutureExt};

use crate::lock::lock;

/// Size of the copy buffer in bytes.
const CHUNK_BYTES: usize = 4 << 10;
/// Interval at which an idle or blocked connection checks the current fault.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// No data is forwarded while the fault lasts, and connections stay open. Data that is held back
    /// is lost if its sender resets the connection meanwhile.
    BlocksAll,
    /// While the fault lasts, data is forwarded only from the connecting side to the target.
    BlocksResponses,
    /// Existing and new connections are closed.
    Reset,
    /// Existing connections are closed and new ones are refused.
    Refuse,
    /// Each chunk is delayed by this many milliseconds.
    Delay(u64),
}

/// How one side of a connection has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ended {
    Closed,
    Reset,
}

/// A proxy in front of one target address.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
    /// Increases each time that the open connections go silent.
    silence: Arc<AtomicU64>,
    chunks_to_target: Arc<AtomicU64>,
}

impl FaultProxy {
    /// Starts a proxy that listens on `address` and forwards to `target`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let proxy = Self {
            address,
            fault: Arc::default(),
            silence: Arc::default(),
            chunks_to_target: Arc::default(),
        };
        let this = proxy.clone();
        task::spawn(async move {
            let mut listener = listener;
            loop {
                this.accept_until_refused(&listener, target).await;
                drop(listener);
                while this.fault() == LinkFault::Refuse {
                    task::sleep(POLL_INTERVAL).await;
                }
                match TcpListener::bind(address).await {
                    Ok(bound) => listener = bound,
                    Err(error) => panic!("cannot listen on {address} again: {error}"),
                }
            }
        });
        Ok(proxy)
    }

    /// The address that the proxy listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault; it applies to existing connections, too.
    pub fn set_fault(&self, fault: LinkFault) {
        *lock(&self.fault) = fault;
    }

    /// Number of chunks that were forwarded from the connecting side to the target.
    pub fn chunks_to_target(&self) -> u64 {
        self.chunks_to_target.load(Ordering::Relaxed)
    }

    /// Makes the open connections go silent for good: they stay open and deliver nothing more, while
    /// new ones work.
    pub fn silence_open_connections(&self) {
        self.silence.fetch_add(1, Ordering::Relaxed);
    }

    fn fault(&self) -> LinkFault {
        *lock(&self.fault)
    }

    async fn accept_until_refused(&self, listener: &TcpListener, target: SocketAddr) {
        while self.fault() != LinkFault::Refuse {
            let accepted = async_std::future::timeout(POLL_INTERVAL, listener.accept()).await;
            if let Ok(Ok((stream, _))) = accepted {
                task::spawn(self.clone().forward(stream, target));
            }
        }
    }

    async fn forward(self, client: TcpStream, target: SocketAddr) {
        if self.fault() == LinkFault::Reset {
            return;
        }
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let to_target = Box::pin(self.clone().copy(client.clone(), server.clone(), true));
        let to_client = Box::pin(self.copy(server.clone(), client.clone(), false));
        let ended = futures::future::select(to_target, to_client).await;
        let (end, _) = ended.factor_first();
        // When either side closes, both are closed; a reset is passed on as one.
        for stream in [client, server] {
            if end == Ended::Reset {
                let _ = rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO));
            } else {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
        }
    }

    async fn copy(self, mut from: TcpStream, mut to: TcpStream, to_target: bool) -> Ended {
        let mut chunk = [0; CHUNK_BYTES];
        let silence = self.silence.load(Ordering::Relaxed);
        loop {
            let received = async_std::future::timeout(POLL_INTERVAL, from.read(&mut chunk)).await;
            if matches!(self.fault(), LinkFault::Reset | LinkFault::Refuse) {
                return Ended::Closed;
            }
            if self.silence.load(Ordering::Relaxed) != silence {
                futures::future::pending::<()>().await;
            }
            let Ok(received) = received else { continue };
            let count = match received {
                Ok(0) => return Ended::Closed,
                Ok(count) => count,
                Err(_) => return Ended::Reset,
            };
            loop {
                match self.fault() {
                    LinkFault::Reset | LinkFault::Refuse => return Ended::Closed,
                    LinkFault::BlocksAll | LinkFault::BlocksResponses if was_reset(&from) => {
                        return Ended::Reset;
                    }
                    LinkFault::BlocksAll => task::sleep(POLL_INTERVAL).await,
                    LinkFault::BlocksResponses if !to_target => task::sleep(POLL_INTERVAL).await,
                    LinkFault::Delay(millis) => {
                        task::sleep(Duration::from_millis(millis)).await;
                        break;
                    }
                    LinkFault::None | LinkFault::BlocksResponses => break,
                }
            }
            if to.write_all(&chunk[..count]).await.is_err() {
                return Ended::Reset;
            }
            if to_target {
                self.chunks_to_target.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Whether the peer has reset the connection.
fn was_reset(stream: &TcpStream) -> bool {
    let mut byte = [0];
    matches!(stream.peek(&mut byte).now_or_never(), Some(Err(_)))
}
