//! Links: forwarders in front of an address, which can be cut for some processes.

use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::upstream::lock;

#[derive(Default)]
struct State {
    /// The processes from which nothing gets through.
    cut_off: Vec<u32>,
    /// Open connections, each with the process that has opened it.
    open: Vec<(Option<u32>, TcpStream)>,
}

/// A forwarder in front of one address.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    /// The processes that may connect, to find out which one has.
    processes: Arc<Mutex<Vec<u32>>>,
    state: Arc<Mutex<State>>,
}

impl Link {
    /// Starts a link to an address.
    pub fn start(target: SocketAddr, processes: &Arc<Mutex<Vec<u32>>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let link = Self {
            address: listener.local_addr().expect("an address"),
            processes: processes.clone(),
            state: Arc::default(),
        };
        let this = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.forward(stream, target));
            }
        });
        link
    }

    /// Cuts the link for a process: its connections are reset, and new ones end at once.
    pub fn cut(&self, process: u32) {
        let mut state = lock(&self.state);
        state.cut_off.push(process);
        for (other, stream) in &state.open {
            if *other == Some(process) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Lets a process through again.
    pub fn heal(&self, process: u32) {
        lock(&self.state).cut_off.retain(|other| *other != process);
    }

    fn forward(&self, client: TcpStream, target: SocketAddr) {
        let process = client
            .peer_addr()
            .ok()
            .and_then(|peer| owner(peer.port(), self.address.port(), &lock(&self.processes)));
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let copies = [client.try_clone(), server.try_clone()];
        let back = [client.try_clone(), server.try_clone()];
        let ([Ok(from), Ok(to)], [Ok(back_to), Ok(back_from)]) = (copies, back) else {
            return;
        };
        {
            let mut state = lock(&self.state);
            if process.is_some_and(|process| state.cut_off.contains(&process)) {
                return;
            }
            state.open.push((process, client));
            state.open.push((process, server));
        }
        thread::spawn(move || copy(from, to));
        copy(back_from, back_to);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = [0; 16 << 10];
    while let Ok(count @ 1..) = from.read(&mut chunk) {
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// The process among `candidates` that has the socket with a local and a remote port.
fn owner(local: u16, remote: u16, candidates: &[u32]) -> Option<u32> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (format!(":{local:04X}"), format!(":{remote:04X}"));
    let inode = table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_it = fields.get(1)?.ends_with(&local) && fields.get(2)?.ends_with(&remote);
        is_it.then(|| fields.get(9).map(|inode| format!("socket:[{inode}]")))?
    })?;
    candidates.iter().copied().find(|process| {
        let entries = fs::read_dir(format!("/proc/{process}/fd"));
        let mut entries = entries.into_iter().flatten().flatten();
        entries.any(|entry| {
            fs::read_link(entry.path()).is_ok_and(|link| link.to_string_lossy() == inode)
        })
    })
}
