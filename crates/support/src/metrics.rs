//! A stand-in for a collector of `StatsD` metrics.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_std::net::UdpSocket;
use async_std::task;

use crate::lock::lock;

/// The longest datagram that is read, in bytes.
const DATAGRAM_LIMIT: usize = 2_048;

/// Keeps the newest value of each gauge of each sender.
#[derive(Debug)]
pub struct MetricsStandIn {
    address: SocketAddr,
    gauges: Arc<Mutex<HashMap<Source, u64>>>,
    reader: Option<task::JoinHandle<()>>,
}

/// One gauge of one sender.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Source {
    sender: SocketAddr,
    name: String,
}

impl MetricsStandIn {
    /// Starts a collector on a free port.
    ///
    /// # Errors
    ///
    /// Fails when no port can be listened on.
    pub async fn start() -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let address = socket.local_addr()?;
        let gauges = Arc::default();
        let reader = task::spawn(read(socket, Arc::clone(&gauges)));
        Ok(Self {
            address,
            gauges,
            reader: Some(reader),
        })
    }

    /// Where the collector listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The sum of a gauge over all senders.
    pub fn sum(&self, name: &str) -> u64 {
        let gauges = lock(&self.gauges);
        let values = gauges.iter().filter(|(source, _)| source.name == name);
        values.map(|(_, value)| value).sum()
    }
}

impl Drop for MetricsStandIn {
    fn drop(&mut self) {
        if let Some(reader) = self.reader.take() {
            task::spawn(reader.cancel());
        }
    }
}

async fn read(socket: UdpSocket, gauges: Arc<Mutex<HashMap<Source, u64>>>) {
    let mut buffer = [0; DATAGRAM_LIMIT];
    while let Ok((length, sender)) = socket.recv_from(&mut buffer).await {
        let text = String::from_utf8_lossy(&buffer[..length]);
        for line in text.lines() {
            let Some((name, value)) = parse(line) else {
                continue;
            };
            let name = name.to_owned();
            lock(&gauges).insert(Source { sender, name }, value);
        }
    }
}

/// Reads a line such as `links.bytes:17|g`.
fn parse(line: &str) -> Option<(&str, u64)> {
    let (name, rest) = line.split_once(':')?;
    let (value, kind) = rest.split_once('|')?;
    let value = value.parse().ok()?;
    (kind == "g").then_some((name, value))
}
