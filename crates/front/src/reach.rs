//! Checks whether this host reaches any server.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::front::ServerEntry;
use async_std::task;
use futures::future::select_ok;

use crate::entry_host::EntryHost;
use crate::http::Connection;

/// Interval at which the host looks whether there is a reason for a check.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a server that is reached accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Lateness of this host beyond which a connection that does not open says nothing.
const MAX_LATENESS: Duration = Duration::from_millis(150);

/// Checks the reach of the host whenever there is a reason, until the task is cancelled.
pub(crate) async fn watch(host: Arc<EntryHost>) {
    loop {
        task::sleep(POLL_INTERVAL).await;
        let servers = host.with_router(|router, now| router.servers_to_check(now));
        if servers.is_empty() {
            continue;
        }
        let is_reached = is_any_reached(&servers).await;
        if !is_reached && host.delay().estimate() > MAX_LATENESS {
            continue;
        }
        let was_reached = host.reaches_servers();
        host.with_router(|router, now| router.record_check(now, is_reached));
        if was_reached && !is_reached {
            // Connections from before the cut may be dead without a sign.
            host.pool.close_all();
        }
    }
}

async fn is_any_reached(servers: &[ServerEntry]) -> bool {
    let attempts = servers
        .iter()
        .map(|server| Box::pin(Connection::open(server.address, CONNECT_TIMEOUT)));
    select_ok(attempts).await.is_ok()
}
