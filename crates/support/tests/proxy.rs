//! Tests of the proxy that injects connection faults.

use std::time::Duration;

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{FaultProxy, LinkFault};
use async_std::future::timeout;
use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;

/// Time for bytes to pass the proxy.
const TRANSIT: Duration = Duration::from_millis(200);

/// A proxy, a connection through it, and its other end at the target.
async fn connect_through_proxy() -> (FaultProxy, TcpStream, TcpStream) {
    let target = TcpListener::bind(free_address()).await.unwrap();
    let proxy = FaultProxy::start(free_address(), target.local_addr().unwrap())
        .await
        .unwrap();
    let client = TcpStream::connect(proxy.address()).await.unwrap();
    let (server, _) = target.accept().await.unwrap();
    (proxy, client, server)
}

/// Reads what has arrived, until the connection ends or nothing more comes.
async fn read_available(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    let mut chunk = [0; 64];
    while let Ok(Ok(count @ 1..)) = timeout(TRANSIT, stream.read(&mut chunk)).await {
        received.extend_from_slice(&chunk[..count]);
    }
    received
}

#[test]
fn bytes_held_by_a_blocked_link_are_lost_when_their_sender_resets() {
    task::block_on(async {
        let (proxy, mut client, mut server) = connect_through_proxy().await;
        proxy.set_fault(LinkFault::BlocksAll);
        client.write_all(b"late").await.unwrap();
        task::sleep(TRANSIT).await;
        rustix::net::sockopt::set_socket_linger(&client, Some(Duration::ZERO)).unwrap();
        drop(client);
        task::sleep(TRANSIT).await;

        proxy.set_fault(LinkFault::None);

        assert_eq!(read_available(&mut server).await, b"");
    });
}

// Guards against false findings of the soak: a proxy ended its other side in an orderly way, so that a second
// one behind it delivered what an aborted order had left there.
#[test]
fn bytes_held_by_a_second_blocked_link_are_lost_when_their_sender_resets() {
    task::block_on(async {
        let target = TcpListener::bind(free_address()).await.unwrap();
        let address = target.local_addr().unwrap();
        let far = FaultProxy::start(free_address(), address).await.unwrap();
        let near = FaultProxy::start(free_address(), far.address()).await;
        let mut client = TcpStream::connect(near.unwrap().address()).await.unwrap();
        let (mut server, _) = target.accept().await.unwrap();
        far.set_fault(LinkFault::BlocksAll);
        client.write_all(b"late").await.unwrap();
        task::sleep(TRANSIT).await;
        rustix::net::sockopt::set_socket_linger(&client, Some(Duration::ZERO)).unwrap();
        drop(client);
        task::sleep(TRANSIT).await;

        far.set_fault(LinkFault::None);

        assert_eq!(read_available(&mut server).await, b"");
    });
}

#[test]
fn bytes_held_by_a_blocked_link_arrive_after_it_if_their_sender_stays() {
    task::block_on(async {
        let (proxy, mut client, mut server) = connect_through_proxy().await;
        proxy.set_fault(LinkFault::BlocksAll);
        client.write_all(b"late").await.unwrap();
        task::sleep(TRANSIT).await;

        proxy.set_fault(LinkFault::None);

        assert_eq!(read_available(&mut server).await, b"late");
    });
}
