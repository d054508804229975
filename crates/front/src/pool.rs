//! Connections to servers, kept between requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::ServerEntry;

use crate::clock;
use crate::http::Connection;
use crate::lock::lock;

/// Idle connections that are kept for one server; more than its slots are never busy at once.
const IDLE_LIMIT: usize = 8;

/// One life of a server at an address.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Life {
    address: SocketAddr,
    id: String,
    born: Option<u64>,
}

impl Life {
    fn of(entry: &ServerEntry) -> Self {
        Self {
            address: entry.address,
            id: entry.id.to_string(),
            born: entry.born,
        }
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Time,
}

/// Idle connections by the life of their server.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<Life, Vec<Idle>>>,
}

impl Pool {
    /// Takes a connection that the other end has neither closed nor written to.
    pub(crate) fn take(&self, entry: &ServerEntry) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(&Life::of(entry))?;
        while let Some(Idle { connection, until }) = kept.pop() {
            if until > clock::now() && connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for a while.
    pub(crate) fn keep(&self, entry: &ServerEntry, connection: Connection, span: Duration) {
        let mut idle = lock(&self.idle);
        let kept = idle.entry(Life::of(entry)).or_default();
        if kept.len() < IDLE_LIMIT {
            let until = clock::now() + span;
            kept.push(Idle { connection, until });
        }
    }

    /// Closes the idle connections to a server: they may be as silent as the one that failed.
    pub(crate) fn forget(&self, entry: &ServerEntry) {
        lock(&self.idle).remove(&Life::of(entry));
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn sweep(&self) {
        let now = clock::now();
        lock(&self.idle).retain(|_, kept| {
            kept.retain(|idle| idle.until > now);
            !kept.is_empty()
        });
    }
}
