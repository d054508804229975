//! A pool of idle connections to servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::ServerEntry;

use crate::clock;
use crate::http::Connection;
use crate::lock::lock;

/// Maximum idle connections that are kept for one server; a server has at most as many busy
/// connections as slots.
const IDLE_LIMIT: usize = 8;

/// Identifies one run of a server process, so that no connection outlives a restart, or another host.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct PoolKey {
    address: SocketAddr,
    id: String,
    start_id: Option<u64>,
}

impl PoolKey {
    /// The key of another host.
    pub(crate) fn of_host(name: &str, address: SocketAddr) -> Self {
        Self {
            address,
            id: name.to_owned(),
            start_id: None,
        }
    }
}

impl From<&ServerEntry> for PoolKey {
    fn from(entry: &ServerEntry) -> Self {
        Self {
            address: entry.address,
            id: entry.id.to_string(),
            start_id: entry.start_id,
        }
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Time,
}

/// Idle connections by server run or host.
#[derive(Debug)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<PoolKey, Vec<IdleConnection>>>,
    /// Maximum idle connections that are kept together, so that they leave descriptors to others.
    limit: usize,
}

impl Default for Pool {
    /// A pool that keeps connections to any number of servers.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl Pool {
    /// Creates an empty pool for at most `limit` connections.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            idle: Mutex::default(),
            limit,
        }
    }

    /// Takes a connection that the server has neither closed nor written to.
    pub(crate) fn take(&self, key: impl Into<PoolKey>) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let connections = idle.get_mut(&key.into())?;
        while let Some(IdleConnection {
            connection,
            expires_at,
        }) = connections.pop()
        {
            if expires_at > clock::now() && connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool for `idle_timeout`.
    pub(crate) fn keep(
        &self,
        key: impl Into<PoolKey>,
        connection: Connection,
        idle_timeout: Duration,
    ) {
        let mut idle = lock(&self.idle);
        if idle.values().map(Vec::len).sum::<usize>() >= self.limit {
            return;
        }
        let connections = idle.entry(key.into()).or_default();
        if connections.len() < IDLE_LIMIT {
            let expires_at = clock::now() + idle_timeout;
            connections.push(IdleConnection {
                connection,
                expires_at,
            });
        }
    }

    /// Closes the idle connections to a server: they may be as unresponsive as the one that failed.
    pub(crate) fn close_idle_connections(&self, entry: &ServerEntry) {
        lock(&self.idle).remove(&PoolKey::from(entry));
    }

    /// Closes all idle connections.
    pub(crate) fn close_all(&self) {
        lock(&self.idle).clear();
    }

    /// Closes connections whose idle timeout has passed.
    pub(crate) fn close_expired(&self) {
        let now = clock::now();
        lock(&self.idle).retain(|_, connections| {
            connections.retain(|idle| idle.expires_at > now);
            !connections.is_empty()
        });
    }
}
