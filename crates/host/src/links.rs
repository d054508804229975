//! Connections to and from other hosts.

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

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Outgoing connections by address, known host addresses, and the generation of the newest incoming
/// connection of each host.
#[derive(Debug, Default)]
pub(crate) struct Links {
    outgoing: Mutex<HashMap<SocketAddr, Sender<Message>>>,
    addresses: Mutex<HashMap<HostId, SocketAddr>>,
    incoming_generations: Mutex<HashMap<HostId, u64>>,
    /// Bytes sent in control messages, that is, in all messages but `Forward` and `Outcome`.
    pub(crate) control_bytes: AtomicU64,
}

impl Links {
    /// Queues a message, and opens a connection if there is none; drops the message if the host's
    /// address is not known.
    pub(crate) fn send(
        &self,
        node: &Arc<Node>,
        to: Option<HostId>,
        address: Option<SocketAddr>,
        message: Message,
    ) {
        let known_address = to.and_then(|host| lock(&self.addresses).get(&host).copied());
        let Some(address) = address.or(known_address) else {
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

    /// Removes the outgoing connection to an address and returns the hosts known at that address.
    fn remove_outgoing(&self, address: SocketAddr) -> Vec<HostId> {
        lock(&self.outgoing).remove(&address);
        lock(&self.addresses)
            .iter()
            .filter(|(_, known_address)| **known_address == address)
            .map(|(host, _)| *host)
            .collect()
    }

    /// Records a new incoming connection of a host and returns its generation.
    fn record_incoming(&self, hello: &Hello) -> u64 {
        lock(&self.addresses).insert(hello.from, hello.address);
        let mut incoming_generations = lock(&self.incoming_generations);
        let generation = incoming_generations.entry(hello.from).or_default();
        *generation += 1;
        *generation
    }

    /// Whether a connection is the newest one of its host.
    ///
    /// Frames still buffered in an older connection must not be handled after newer ones.
    fn is_newest(&self, host: HostId, generation: u64) -> bool {
        lock(&self.incoming_generations).get(&host) == Some(&generation)
    }
}

async fn write_link(node: Weak<Node>, address: SocketAddr, messages: Receiver<Message>) {
    let _ = write_messages(&node, address, messages).await;
    if let Some(node) = node.upgrade() {
        for host in node.links.remove_outgoing(address) {
            node.handle_event(Event::PeerLost { host });
        }
    }
}

async fn write_messages(
    node: &Weak<Node>,
    address: SocketAddr,
    messages: Receiver<Message>,
) -> Option<()> {
    let connect = TcpStream::connect(address);
    let stream = async_std::future::timeout(CONNECT_TIMEOUT, connect)
        .await
        .ok()?
        .ok()?;
    stream.set_nodelay(true).ok()?;
    let mut framed = Framed::new(stream.clone().compat(), FrameCodec::default());
    let hello = node.upgrade()?.hello();
    framed.send(Frame::Hello(hello)).await.ok()?;
    // The other host sends nothing on this connection, so `peek` returns only when it is closed.
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

/// Reads frames of another host until the connection ends or a frame is invalid.
pub(crate) async fn read_link(node: Weak<Node>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut framed = Framed::new(stream.compat(), FrameCodec::default());
    let Some(Ok(Frame::Hello(hello))) = framed.next().await else {
        return;
    };
    let Some(generation) = node
        .upgrade()
        .map(|node| node.links.record_incoming(&hello))
    else {
        return;
    };
    while let Some(Ok(Frame::Message(message))) = framed.next().await {
        let Some(node) = node.upgrade() else {
            return;
        };
        let from = hello.from;
        if !node.links.is_newest(from, generation) {
            return;
        }
        node.handle_event(Event::Peer { from, message });
    }
}
