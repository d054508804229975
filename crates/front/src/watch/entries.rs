//! Reads the servers' entries, each of which may be of another writer.

use std::collections::BTreeMap;
use std::sync::Arc;

use amaranthshunt_core::front::{ServerChanges, ServerEntry};
use amaranthshunt_core::log::EventCode;
use amaranthshunt_platform::{self as platform, Change, StoreObject};

use crate::entry_host::EntryHost;

/// Applies changes of servers' entries; returns the last one of each server.
pub(super) fn apply_server_changes(host: &EntryHost, changes: &[Change]) -> ServerChanges {
    // Names that no server can have are not relayed either: they may be of any length.
    let last: BTreeMap<&str, &Change> = changes
        .iter()
        .filter(|change| platform::is_name(&change.object.name))
        .map(|change| (change.object.name.as_str(), change))
        .collect();
    let mut servers = ServerChanges::default();
    for (id, change) in last {
        let object = (!change.deleted).then_some(&change.object);
        match object.and_then(|object| read_entry(host, object)) {
            Some(entry) => servers.entries.push(entry),
            // Hosts of earlier versions accept other names, too; a removal makes them drop the server.
            None if change.deleted || !platform::is_server_id(id) => {
                servers.removed.push(Arc::from(id));
            }
            None if is_known_server(host, id) => servers.unreadable.push(Arc::from(id)),
            None => {}
        }
    }
    let changes = servers.clone();
    host.with_router(|router, now| router.apply_server_changes(now, changes));
    servers
}

/// Whether a server is known. Other entries that cannot be read concern nobody, and there may be any number
/// of them.
pub(super) fn is_known_server(host: &EntryHost, id: &str) -> bool {
    host.with_router(|router, _| router.is_known_server(id))
}

/// The entry in an object; `None` if it describes no server.
pub(super) fn read_entry(host: &EntryHost, object: &StoreObject) -> Option<ServerEntry> {
    match platform::read_server(object) {
        Ok(entry) if host.settings.is_own_address(entry.address) => {
            let detail = "it has an address of this host";
            host.log(EventCode::ObjectUnreadable, &object.name, detail);
            None
        }
        Ok(entry) => Some(entry),
        Err(message) => {
            host.log(EventCode::ObjectUnreadable, &object.name, message);
            None
        }
    }
}
