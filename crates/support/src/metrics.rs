//! A fake collector of `StatsD` metrics.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use async_std::net::UdpSocket;
use async_std::task;

use crate::lock::lock;

/// Size of the receive buffer in bytes; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Keeps the latest value of each gauge of each sender.
#[derive(Debug)]
pub struct FakeMetricsCollector {
    address: SocketAddr,
    gauges: Arc<Mutex<HashMap<GaugeId, u64>>>,
    receiver: Option<task::JoinHandle<()>>,
}

/// Identifies a gauge by its sender and name.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct GaugeId {
    sender: SocketAddr,
    name: String,
}

impl FakeMetricsCollector {
    /// Starts a collector on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let address = socket.local_addr()?;
        let gauges = Arc::default();
        let receiver = task::spawn(receive(socket, Arc::clone(&gauges)));
        Ok(Self {
            address,
            gauges,
            receiver: Some(receiver),
        })
    }

    /// The address that the collector listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The sum of the latest values of a gauge over all senders.
    pub fn sum(&self, name: &str) -> u64 {
        let gauges = lock(&self.gauges);
        let values = gauges.iter().filter(|(gauge, _)| gauge.name == name);
        values.map(|(_, value)| value).sum()
    }
}

impl Drop for FakeMetricsCollector {
    fn drop(&mut self) {
        if let Some(receiver) = self.receiver.take() {
            task::spawn(receiver.cancel());
        }
    }
}

async fn receive(socket: UdpSocket, gauges: Arc<Mutex<HashMap<GaugeId, u64>>>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    while let Ok((length, sender)) = socket.recv_from(&mut buffer).await {
        let text = String::from_utf8_lossy(&buffer[..length]);
        for line in text.lines() {
            let Some((name, value)) = parse_gauge(line) else {
                continue;
            };
            let name = name.to_owned();
            lock(&gauges).insert(GaugeId { sender, name }, value);
        }
    }
}

/// Parses a gauge line such as `links.bytes:17|g`.
fn parse_gauge(line: &str) -> Option<(&str, u64)> {
    let (name, rest) = line.split_once(':')?;
    let (value, kind) = rest.split_once('|')?;
    let value = value.parse().ok()?;
    (kind == "g").then_some((name, value))
}
