//! Confirms that this host is still the leader, and tells the hosts that do not follow it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use amaranthshunt_core::Time;
use async_std::task;
use rand::seq::IteratorRandom;

use super::LeaderState;
use super::record::{StoredRecord, read_record, read_stale_record};
use crate::clock;
use crate::entry_host::EntryHost;
use crate::lock::lock;
use crate::messages::{Announcement, Body};
use crate::peers;

/// Age of the followers' last confirmation from which the leader checks the record in the store.
const CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(1_100);
/// Minimum time between two such checks.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Interval at which a leader that its followers confirm looks for the term of a later one, which
/// they may not know of.
const RECORD_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Age of the last confirmation by the record from which it is read instead.
const RECORD_MAX_AGE: Duration = Duration::from_secs(300);
/// Interval at which hosts that do not follow are told of the leader.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Hosts that are told at once.
const ANNOUNCED_HOSTS: usize = 16;

/// When a leader last looked for a later one, and told others of itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConfirmationSchedule {
    last_store_check: Time,
    last_record_poll: Time,
    last_announcement: Time,
}

impl ConfirmationSchedule {
    pub(super) fn new(now: Time) -> Self {
        Self {
            last_store_check: Time::ZERO,
            last_record_poll: now,
            last_announcement: now,
        }
    }

    /// Confirms that this host is still the leader: from its followers, or else from the store.
    pub(super) fn confirm(&mut self, host: &Arc<EntryHost>, leader: &Arc<LeaderState>, now: Time) {
        let known = leader.known_hosts(host);
        let replies = leader.last_replies();
        let reply = lock(&leader.granter).confirm_by_hosts(now, &replies, known);
        let is_confirmed = reply.is_some_and(|reply| now.since(reply) < CONFIRMATION_MAX_AGE);
        if !is_confirmed && now.since(self.last_store_check) >= STORE_CHECK_INTERVAL {
            self.last_store_check = now;
            task::spawn(check_record(host.clone(), leader.clone()));
        }
        let polls = is_confirmed && host.store.outage().is_none();
        if polls && now.since(self.last_record_poll) >= RECORD_POLL_INTERVAL {
            self.last_record_poll = now;
            if lock(&leader.granter).record_age(now) >= RECORD_MAX_AGE {
                task::spawn(check_record(host.clone(), leader.clone()));
            } else {
                task::spawn(poll_record(host.clone(), leader.clone()));
            }
        }
        if now.since(self.last_announcement) >= ANNOUNCEMENT_INTERVAL {
            self.last_announcement = now;
            announce(host, leader);
        }
    }
}

/// Confirms the leader by the record, or ends its leadership if that has a later term.
async fn check_record(host: Arc<EntryHost>, leader: Arc<LeaderState>) {
    let sent = clock::now();
    let Ok(record) = read_record(&host).await else {
        return;
    };
    let mut granter = lock(&leader.granter);
    if record.term() == granter.term() && record.era() == granter.era() {
        granter.confirm_by_record(sent);
    }
    drop(granter);
    yield_to_later(&leader, &record);
}

/// Ends the leadership if a copy of the record, which may be seconds old, has a later term.
async fn poll_record(host: Arc<EntryHost>, leader: Arc<LeaderState>) {
    if let Ok(record) = read_stale_record(&host).await {
        yield_to_later(&leader, &record);
    }
}

fn yield_to_later(leader: &LeaderState, record: &StoredRecord) {
    let term = lock(&leader.granter).term();
    if record.term() > term {
        leader.supersede(format!("the record has term {}", record.term()));
    }
}

/// Tells hosts that do not follow of this leader: they may follow an earlier one that they still hear.
fn announce(host: &Arc<EntryHost>, leader: &Arc<LeaderState>) {
    let announcement = Announcement {
        term: lock(&leader.granter).term(),
        leader: host.settings.name.clone(),
        address: host.settings.peers_address().to_string(),
    };
    let followers = leader.last_replies();
    let addresses = lock(&leader.addresses);
    let strangers = addresses
        .iter()
        .filter(|(name, _)| **name != host.settings.name && !followers.contains_key(*name));
    let strangers: Vec<SocketAddr> = strangers
        .map(|(_, address)| *address)
        .choose_multiple(&mut rand::rng(), ANNOUNCED_HOSTS);
    drop(addresses);
    if strangers.is_empty() || leader.announcing.swap(true, Ordering::Relaxed) {
        return;
    }
    let leader = leader.clone();
    task::spawn(async move {
        let told = strangers.into_iter().map(|address| {
            let body = Body::Announce(announcement.clone());
            Box::pin(peers::tell(address, body))
        });
        futures::future::join_all(told).await;
        leader.announcing.store(false, Ordering::Relaxed);
    });
}
