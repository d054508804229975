//! A loopback proxy that breaks connections from outside.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::{AsyncReadExt, AsyncWriteExt};

use crate::lock::lock;

/// Bytes that are copied at a time.
const CHUNK: usize = 4 << 10;
/// Time between two looks at the fault, while nothing is let through.
const POLL: Duration = Duration::from_millis(20);

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Nothing is let through, and nothing is closed.
    Silent,
    /// Only what the connecting side sends is let through.
    OneWay,
    /// Connections are closed, old ones and new ones.
    Reset,
    /// Each chunk takes so many milliseconds more.
    Delay(u64),
}

/// A proxy before one address.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
}

impl FaultProxy {
    /// Starts a proxy at an address, before another one.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be listened at.
    pub async fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let proxy = Self {
            address,
            fault: Arc::default(),
        };
        let own = proxy.clone();
        task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                task::spawn(own.clone().carry(stream, target));
            }
        });
        Ok(proxy)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to connections.
    pub fn set_fault(&self, fault: LinkFault) {
        *lock(&self.fault) = fault;
    }

    fn fault(&self) -> LinkFault {
        *lock(&self.fault)
    }

    async fn carry(self, near: TcpStream, target: SocketAddr) {
        if self.fault() == LinkFault::Reset {
            return;
        }
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let there = Box::pin(self.clone().copy(near.clone(), far.clone(), true));
        let back = Box::pin(self.copy(far.clone(), near.clone(), false));
        futures::future::select(there, back).await;
        // Either end that closes takes the other one along.
        for stream in [near, far] {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    async fn copy(self, mut from: TcpStream, mut to: TcpStream, there: bool) {
        let mut chunk = [0; CHUNK];
        loop {
            let read = async_std::future::timeout(POLL, from.read(&mut chunk)).await;
            if self.fault() == LinkFault::Reset {
                return;
            }
            let Ok(read) = read else { continue };
            let Ok(count @ 1..) = read else { return };
            loop {
                match self.fault() {
                    LinkFault::Reset => return,
                    LinkFault::Silent => task::sleep(POLL).await,
                    LinkFault::OneWay if !there => task::sleep(POLL).await,
                    LinkFault::Delay(millis) => {
                        task::sleep(Duration::from_millis(millis)).await;
                        break;
                    }
                    LinkFault::None | LinkFault::OneWay => break,
                }
            }
            if to.write_all(&chunk[..count]).await.is_err() {
                return;
            }
        }
    }
}
