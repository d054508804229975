//! Reads what servers say of themselves from the heads of their responses.
//!
//! Every head of a server is read here, whatever becomes of the response: it may be late, rejected or
//! without anyone to get it.

use amaranthshunt_core::front::{LoadReport, ServerEntry, ServerSignals};
use amaranthshunt_platform as platform;

use crate::entry_host::EntryHost;
use crate::http::ResponseHead;
use crate::proxy::{SERVER, SERVER_START};

/// The status with which a server answers requests that are meant for another server, and those for
/// keys that it does not hold.
const MISDIRECTED: u16 = 421;

/// Whose request a response of a server answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Answered {
    /// The one sent last.
    Current,
    /// An earlier one on the same connection: what has ended meanwhile is not in it.
    Earlier,
}

/// Takes in what a response head says of the server with an entry; returns its load.
pub(crate) fn observe(
    host: &EntryHost,
    entry: &ServerEntry,
    head: &ResponseHead,
    answered: Answered,
) -> Option<LoadReport> {
    let mut signals = read(head);
    if answered == Answered::Earlier {
        signals.limit = signals.limit.without_end();
    }
    host.with_router(|router, now| {
        let is_own = head.status != MISDIRECTED || router.may_misdirect(entry);
        if is_own {
            router.record_signals(now, entry, &signals);
        }
    });
    signals.load
}

/// Takes in what a response that another host has passed on says of the server that made it: once this
/// host reaches the server again, it is bound by it.
pub(crate) fn observe_relayed(host: &EntryHost, head: &ResponseHead) {
    let Some(server) = head.headers.get(SERVER) else {
        return;
    };
    let signals = read(head);
    let signals = ServerSignals {
        limit: signals.limit.without_end(),
        // A pause is meant for the host that the server has answered.
        pause: None,
        ..signals
    };
    let start = head.headers.get(SERVER_START);
    let start = start.and_then(|text| text.parse::<u64>().ok());
    host.with_router(|router, now| {
        let listed = router.servers().find(server);
        let listed = listed.and_then(|key| router.servers().get(key));
        let entry = match start {
            Some(_) => router.servers().life(server, start),
            // Hosts of earlier versions do not name the life of the server.
            None => listed,
        };
        if let Some(entry) = entry.map(|state| state.entry.clone()) {
            router.record_signals(now, &entry, &signals);
        }
    });
}

fn read(head: &ResponseHead) -> ServerSignals {
    platform::read_signals(head.status, |name| head.headers.values(name).collect())
}
