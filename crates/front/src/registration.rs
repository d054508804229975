//! Registration of this host in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_platform as platform;
use async_std::task;
use rand::Rng;

use crate::entry_host::EntryHost;
use crate::store;
use crate::watch::{Consistency, list};

/// Delay after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Interval of the checks whether the store was restored.
const ERA_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum random delay before a host registers again, so that not all do so at once.
const MAX_DELAY: Duration = Duration::from_millis(1_000);
/// Longest name of a host, in bytes; objects with longer ones are of other programs.
const MAX_NAME_LENGTH: usize = 1 << 10;

/// Reads the addresses of all registered hosts, by name.
///
/// # Errors
///
/// Fails as [`list`].
pub(crate) async fn read_hosts(
    host: &EntryHost,
    consistency: Consistency,
) -> store::Result<BTreeMap<String, SocketAddr>> {
    let mut hosts = BTreeMap::new();
    list(host, platform::HOSTS, consistency, |object| {
        if object.name.len() <= MAX_NAME_LENGTH
            && let Ok(address) = platform::read_host(&object.spec)
        {
            hosts.insert(object.name, address);
        }
    })
    .await?;
    Ok(hosts)
}

/// Registers the host in the store, and returns all registered hosts.
pub(crate) async fn register(host: &EntryHost) -> BTreeMap<String, SocketAddr> {
    let name = &host.settings.name;
    loop {
        let hosts = match read_hosts(host, Consistency::Stale).await {
            Ok(hosts) => hosts,
            Err(error) => {
                log::warn!("cannot read the list of hosts: {error}");
                task::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let count = hosts.len();
        host.with_router(|router, _| router.set_hosts(router.hosts().max(count)));
        if hosts.get(name) == Some(&host.settings.peers_address()) {
            return hosts;
        }
        match create_entry(host).await {
            Ok(()) => return hosts,
            Err(error) => {
                log::warn!("cannot register the host: {error}");
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Creates the entry of this host, unless there is one.
async fn create_entry(host: &EntryHost) -> store::Result<()> {
    let spec = platform::write_host(&host.settings.domain, host.settings.peers_address());
    let path = platform::list_path(platform::HOSTS, None);
    let body = platform::create_body(&host.settings.name, &spec);
    host.call_store("POST", &path, &body, Duration::ZERO)
        .await
        .map(|_| ())
}

/// Registers the host again each time that the store was restored from a copy, which may lack it.
pub(crate) async fn keep_registered(host: Arc<EntryHost>) {
    let mut registered_era = 0;
    loop {
        task::sleep(ERA_POLL_INTERVAL).await;
        let era = host.store.era();
        if registered_era == 0 || era == registered_era {
            registered_era = era;
            continue;
        }
        let delay = rand::rng().random_range(0..MAX_DELAY.as_millis() as u64);
        task::sleep(Duration::from_millis(delay)).await;
        match create_entry(&host).await {
            Ok(()) => registered_era = era,
            Err(error) => log::warn!("cannot register the host again: {error}"),
        }
    }
}
