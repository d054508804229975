//! Connections to other hosts.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;

use amaranthshunt_core::{Event, HostId, Message};
use amaranthshunt_wire::{Frame, FrameCodec, Hello};
use async_std::channel::{Receiver, Sender, unbounded};
use async_std::net::TcpStream;
use async_std::task;
use futures::{SinkExt, StreamExt};
use tokio_util::codec::Framed;
use tokio_util::compat::FuturesAsyncReadCompatExt;

use crate::lock::lock;
use crate::node::Node;

/// Time that a connection attempt may take.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Outgoing connections by address, and the addresses of hosts that connected.
#[derive(Debug, Default)]
pub(crate) struct Links {
    outgoing: Mutex<HashMap<SocketAddr, Sender<Message>>>,
    addresses: Mutex<HashMap<HostId, SocketAddr>>,
    incoming: Mutex<HashMap<HostId, u64>>,
    /// Bytes of control messages sent: everything but requests and their outcomes.
    pub(crate) control_bytes: AtomicU64,
}

impl Links {
    /// Queues a message; the connection is opened when there is none.
    pub(crate) fn send(
        &self,
        node: &Arc<Node>,
        to: Option<HostId>,
        address: Option<SocketAddr>,
        message: Message,
    ) {
        let known = to.and_then(|host| lock(&self.addresses).get(&host).copied());
        let Some(address) = address.or(known) else {
            return;
        };
        if let Some(host) = to {
            lock(&self.addresses).insert(host, address);
        }
        let mut outgoing = lock(&self.outgoing);
        let sender = outgoing.entry(address).or_insert_with(|| {
            let (sender, receiver) = unbounded();
            node.spawn(write_link(Arc::downgrade(node), address, receiver));
            sender
        });
        let _ = sender.try_send(message);
    }

    fn forget(&self, address: SocketAddr) -> Vec<HostId> {
        lock(&self.outgoing).remove(&address);
        lock(&self.addresses)
            .iter()
            .filter(|(_, known)| **known == address)
            .map(|(host, _)| *host)
            .collect()
    }

    /// Takes note of a new connection of a host, and returns its number.
    fn learn(&self, hello: &Hello) -> u64 {
        lock(&self.addresses).insert(hello.from, hello.address);
        let mut incoming = lock(&self.incoming);
        let number = incoming.entry(hello.from).or_default();
        *number += 1;
        *number
    }

    /// Whether a connection is the newest one of its host.
    ///
    /// Frames left in an older one must not come behind those of the newer.
    fn is_newest(&self, host: HostId, number: u64) -> bool {
        lock(&self.incoming).get(&host) == Some(&number)
    }
}

async fn write_link(node: Weak<Node>, address: SocketAddr, messages: Receiver<Message>) {
    let _ = write_messages(&node, address, messages).await;
    if let Some(node) = node.upgrade() {
        for host in node.links.forget(address) {
            node.tell(Event::PeerLost { host });
        }
    }
}

async fn write_messages(
    node: &Weak<Node>,
    address: SocketAddr,
    messages: Receiver<Message>,
) -> Option<()> {
    let connect = TcpStream::connect(address);
    let stream = async_std::future::timeout(CONNECT_LIMIT, connect)
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let mut framed = Framed::new(stream.clone().compat(), FrameCodec::default());
    let hello = node.upgrade()?.hello();
    framed.send(Frame::Hello(hello)).await.ok()?;
    let closed = task::spawn(async move {
        let mut byte = [0];
        let _ = stream.peek(&mut byte).await;
    });
    let mut closed = closed;
    loop {
        let next = Box::pin(messages.recv());
        let message = match futures::future::select(next, &mut closed).await {
            futures::future::Either::Left((message, _)) => message.ok()?,
            futures::future::Either::Right(_) => return None,
        };
        let control = is_control(&message);
        framed.feed(Frame::Message(message)).await.ok()?;
        if control {
            let length = framed.write_buffer().len() as u64;
            let node = node.upgrade()?;
            node.links
                .control_bytes
                .fetch_add(length, Ordering::Relaxed);
        }
        SinkExt::<Frame>::flush(&mut framed).await.ok()?;
    }
}

fn is_control(message: &Message) -> bool {
    !matches!(message, Message::Forward { .. } | Message::Outcome { .. })
}

/// Reads frames of another host until the connection ends or a frame is bad.
pub(crate) async fn read_link(node: Weak<Node>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut framed = Framed::new(stream.compat(), FrameCodec::default());
    let Some(Ok(Frame::Hello(hello))) = framed.next().await else {
        return;
    };
    let Some(number) = node.upgrade().map(|node| node.links.learn(&hello)) else {
        return;
    };
    while let Some(Ok(Frame::Message(message))) = framed.next().await {
        let Some(node) = node.upgrade() else {
            return;
        };
        let from = hello.from;
        if !node.links.is_newest(from, number) {
            return;
        }
        node.tell(Event::Peer { from, message });
    }
}
