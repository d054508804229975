//! Keeps the router's view of the store up to date.
//!
//! The leader watches the store and relays changes; other hosts watch it only while they do not
//! receive changes in time. See `docs/platform-path.md`, "Store calls".

mod entries;
mod lists;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::front::{RelayStatus, ServerChanges, ServerEntry, StoreRevision};
use amaranthshunt_core::log::EventCode;
use amaranthshunt_platform::{self as platform, Change, Kind, ParsedConfig, StoreObject};
use async_std::task;
use futures::future::{Either, select};

use crate::entry_host::EntryHost;
use crate::messages::{Body, EntryMessage, StoreUpdate};
use crate::store::{StoreError, StoreResponse};
use entries::apply_server_changes;
use lists::ListedObjects;
pub(crate) use lists::{Consistency, list};

/// The kinds of store objects that are followed.
pub(crate) const KINDS: [Kind; 3] = [platform::CONFIG, platform::SERVERS, platform::EVACUATIONS];
/// Maximum duration of a watch by the leader: together with the pause after it, well below the age
/// at which followers ask the store themselves.
const LEADER_WATCH_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum duration of a watch by a host that receives no changes from a leader; a broken connection
/// may be noticed only after it.
const LONE_WATCH_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Interval of the checks whether the leader sends changes, and whether this host is the leader.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Pause between two watches, so that changes in quick succession cost a single call.
const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Delay after a failed call.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Delay after a failed call once the store is known to be unreachable.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Duration of an outage of the store after which entries may have expired.
const EXPIRY_OUTAGE: Duration = Duration::from_millis(1_200);

/// The era of a store that has never been restored.
const FIRST_ERA: u64 = 1;

/// Reads a kind and follows its changes until the task is cancelled.
pub(crate) async fn follow_kind(host: Arc<EntryHost>, kind: Kind) {
    let mut is_current = false;
    let mut outage = Duration::ZERO;
    loop {
        if is_current && host.is_updated_by_leader(kind) {
            host.release_probe(kind);
            outage = Duration::ZERO;
            task::sleep(POLL_INTERVAL).await;
            continue;
        }
        if is_current && host.may_skip_watch(kind) {
            task::sleep(POLL_INTERVAL).await;
            continue;
        }
        match fetch(&host, kind, is_current).await {
            Ok(Fetched::Abandoned) => {}
            Ok(fetched) => {
                host.release_probe(kind);
                if outage >= EXPIRY_OUTAGE {
                    host.log(
                        EventCode::StoreBack,
                        kind,
                        format!("after {} ms", outage.as_millis()),
                    );
                }
                outage = Duration::ZERO;
                is_current = fetched == Fetched::Complete;
                if is_current {
                    task::sleep(WATCH_PAUSE).await;
                }
            }
            Err(error) => {
                let age = host.copy_age(kind).as_millis();
                let detail = format!("complete {age} ms ago; {error}");
                host.log(EventCode::CopyNotUpdated, kind, detail);
                outage = back_off(&host, kind, &error, outage).await;
            }
        }
    }
}

/// Waits after a failed call; returns how long the store has been unreachable.
///
/// In an outage, one kind probes the store for all: each call has a cost, even a rejected one.
async fn back_off(
    host: &EntryHost,
    kind: Kind,
    error: &StoreError,
    previous_outage: Duration,
) -> Duration {
    let pause = if previous_outage >= EXPIRY_OUTAGE {
        OUTAGE_RETRY_DELAY
    } else {
        FAILURE_RETRY_DELAY
    };
    task::sleep(pause).await;
    let outage = host.store.outage().unwrap_or(previous_outage);
    if outage >= EXPIRY_OUTAGE && previous_outage < EXPIRY_OUTAGE {
        host.log(EventCode::StoreUnavailable, kind, format!("{error}"));
    }
    if outage >= EXPIRY_OUTAGE {
        host.with_router(|router, now| router.extend_reregistration(now));
    }
    // A change that the leader has seen is no reason to wait: the store has answered the leader.
    while host.store.outage().is_some()
        && !host.is_updated_by_leader(kind)
        && !host.is_behind(kind)
        && !host.claim_probe(kind)
    {
        task::sleep(POLL_INTERVAL).await;
    }
    outage
}

/// How a call for a kind ended, unless it failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fetched {
    /// The copy of the kind is complete.
    Complete,
    /// The changes since the last revision cannot be had: the store no longer has them, or they are too
    /// long to be read together.
    HistoryLost,
    /// The call was cancelled, since it is no longer needed or its response is overdue.
    Abandoned,
}

/// Reads a kind or waits for its changes.
async fn fetch(host: &EntryHost, kind: Kind, is_current: bool) -> Result<Fetched, StoreError> {
    // The configuration is a single object: reading it is shorter than the changes that led to it.
    let must_read_config = kind == platform::CONFIG && host.is_behind(kind);
    let is_same_history = host.freshness(kind).complete_revision().era() == host.store.era();
    if !is_current || must_read_config || !is_same_history {
        read_all(host, kind).await.map(|()| Fetched::Complete)
    } else {
        watch(host, kind).await
    }
}

async fn store_get(
    host: &EntryHost,
    path: &str,
    wait: Duration,
) -> Result<StoreResponse, StoreError> {
    host.call_store("GET", path, &[], wait).await
}

async fn read_all(host: &EntryHost, kind: Kind) -> Result<(), StoreError> {
    let known = host.freshness(kind);
    let is_first_read = known.is_unread();
    // The list of servers is long, and a starting host learns what has changed since from the
    // leader or a watch.
    let mut consistency = if is_first_read && kind == platform::SERVERS {
        Consistency::Stale
    } else {
        Consistency::Strong
    };
    let (mut listed, mut revision) = ListedObjects::read(host, kind, consistency).await?;
    if consistency == Consistency::Stale && revision.era() > FIRST_ERA {
        // A stale read of a store that has been restored may show another history.
        consistency = Consistency::Strong;
        (listed, revision) = ListedObjects::read(host, kind, consistency).await?;
    }
    if host.freshness(kind).is_outdated(revision) {
        return Ok(());
    }
    // Revisions of a new era do not continue those that followers know, so all objects are relayed.
    let is_new_era = !is_first_read && known.complete_revision().era() < revision.era();
    if is_new_era {
        host.with_router(|router, now| router.begin_settling(now));
    }
    let must_relay = is_first_read || is_new_era;
    let mut servers = ServerChanges::default();
    let change = match kind {
        platform::SERVERS => {
            servers = host.with_router(|router, now| {
                router.replace_servers(now, listed.entries.clone(), &listed.unreadable)
            });
            if is_new_era {
                servers.entries = listed.entries;
            }
            host.set_servers_read();
            // Objects removed before the first read are not listed, so the first read always
            // counts as a change.
            (must_relay || !servers.is_empty()).then_some(revision)
        }
        platform::CONFIG => {
            if let Some(object) = &listed.config {
                apply_config(host, object);
            }
            let change = listed.latest_change;
            change.map(|number| StoreRevision::new(revision.era(), number))
        }
        _ => {
            let changed = host.with_router(|router, now| {
                let changed = router.listed_evacuations() != &listed.domains;
                router.set_evacuated(now, listed.domains);
                changed
            });
            host.set_evacuations_read();
            (must_relay || changed).then_some(revision)
        }
    };
    if consistency == Consistency::Stale {
        host.update_freshness(kind, |freshness, now| {
            freshness.record_stale_read(now, revision);
        });
    } else {
        record_progress(host, kind, revision, change, &servers);
    }
    Ok(())
}

/// Records the revision up to which a kind is known, and relays what changed.
fn record_progress(
    host: &EntryHost,
    kind: Kind,
    to: StoreRevision,
    change: Option<StoreRevision>,
    servers: &ServerChanges,
) {
    let last_change = host.freshness(kind).change_revision();
    host.update_freshness(kind, |f, now| f.record_read(now, to, change));
    if let Some(change) = change.filter(|change| *change > last_change) {
        relay_update(host, kind, last_change, change, servers);
    }
}

/// Waits until the response to a watch is not needed any more: this host becomes the leader or
/// ceases to be it, the leader relays changes in time, or it has seen one that the watch should have
/// reported.
async fn watch_superseded(host: &EntryHost, kind: Kind, is_leader: bool) {
    let was_behind = host.is_behind(kind);
    while host.leader_state().is_some() == is_leader
        && !host.is_updated_by_leader(kind)
        && (was_behind || !host.is_behind(kind))
    {
        task::sleep(POLL_INTERVAL).await;
    }
}

/// Waits for changes.
///
/// While the store does not respond, it is asked for an answer at once: a watch that waits would
/// tell only after its time that the store is back.
async fn watch(host: &EntryHost, kind: Kind) -> Result<Fetched, StoreError> {
    let is_leader = host.leader_state().is_some();
    let wait = if host.store.is_failing() {
        Duration::ZERO
    } else if is_leader {
        LEADER_WATCH_TIMEOUT
    } else {
        LONE_WATCH_TIMEOUT
    };
    let from = host.freshness(kind).complete_revision();
    let path = platform::watch_path(kind, from.number(), wait);
    let call = Box::pin(store_get(host, &path, wait));
    let superseded = Box::pin(watch_superseded(host, kind, is_leader));
    let result = match select(call, superseded).await {
        Either::Left((result, _)) => result,
        Either::Right(((), _)) => return Ok(Fetched::Abandoned),
    };
    let response = match result {
        Ok(response) if response.status == 200 => response,
        Ok(_) => {
            host.update_freshness(kind, |freshness, _| freshness.record_history_lost());
            return Ok(Fetched::HistoryLost);
        }
        // Asking again would not help: changes add up. A list names each object once, page by page.
        Err(error @ StoreError::TooLong) => {
            let age = host.copy_age(kind).as_millis();
            let detail = format!("complete {age} ms ago; {error}, the list is read");
            host.log(EventCode::CopyNotUpdated, kind, detail);
            host.update_freshness(kind, |freshness, _| freshness.record_history_lost());
            return Ok(Fetched::HistoryLost);
        }
        Err(error) => return Err(error),
    };
    let (changes, to) =
        platform::read_changes(response.body.clone()).map_err(StoreError::Unknown)?;
    let to = response.revision(to);
    if to.era() != from.era() {
        // The watch began in one history and was answered from another.
        return Ok(Fetched::HistoryLost);
    }
    if host.freshness(kind).is_outdated(to) {
        return Ok(Fetched::Complete);
    }
    let mut servers = ServerChanges::default();
    // A removed object may be reported with its previous revision, so `to` stands for all changes.
    let mut change = changes.first().map(|_| to);
    match kind {
        platform::SERVERS => servers = apply_server_changes(host, &changes),
        platform::CONFIG => {
            let is_config =
                |change: &&Change| !change.deleted && change.object.name == platform::CONFIG_NAME;
            for change in changes.iter().filter(is_config) {
                apply_config(host, &change.object);
            }
            change = changes
                .iter()
                .map(|change| response.revision(change.object.revision))
                .max();
        }
        _ => apply_evacuation_changes(host, &changes),
    }
    record_progress(host, kind, to, change, &servers);
    Ok(Fetched::Complete)
}

fn apply_evacuation_changes(host: &EntryHost, changes: &[Change]) {
    if changes.is_empty() {
        return;
    }
    host.with_router(|router, now| {
        let mut domains = router.listed_evacuations().clone();
        for change in changes {
            let name = &change.object.name;
            if change.deleted {
                domains.remove(name);
            } else if platform::is_name(name) {
                domains.insert(name.clone());
            }
        }
        router.set_evacuated(now, domains);
    });
}

/// Relays changes from the store to the followers, if this host is the leader.
///
/// Across eras, all objects are relayed instead.
fn relay_update(
    host: &EntryHost,
    kind: Kind,
    from: StoreRevision,
    to: StoreRevision,
    servers: &ServerChanges,
) {
    let Some(leader) = host.leader_state() else {
        return;
    };
    let index = KINDS.iter().position(|other| *other == kind);
    let (domains, reregistration_time) = host.with_router(|router, now| {
        let domains: Vec<String> = router.listed_evacuations().iter().cloned().collect();
        (domains, router.reregistration_time(now))
    });
    let removed = servers.removed.iter().map(|id| id.to_string());
    let unreadable = servers.unreadable.iter().map(|id| id.to_string());
    leader.broadcast(Body::StoreUpdate(StoreUpdate {
        kind: index.unwrap_or_default() as u32,
        from: from.number(),
        to: to.number(),
        era: to.era(),
        is_list: from.era() != to.era(),
        entries: servers.entries.iter().map(EntryMessage::from).collect(),
        removed: removed.collect(),
        unreadable: unreadable.collect(),
        domains,
        reregistration_ms: reregistration_time.as_millis() as u64,
    }));
}

/// Applies changes that the leader relays.
pub(crate) fn apply_store_update(host: &EntryHost, update: StoreUpdate) {
    let Some(kind) = KINDS.get(update.kind as usize) else {
        host.log(
            EventCode::ObjectUnreadable,
            "news",
            format!("update from the leader has unknown kind {}", update.kind),
        );
        return;
    };
    host.learn_store_era(update.era);
    let from = StoreRevision::new(update.era, update.from);
    let to = StoreRevision::new(update.era, update.to);
    if *kind == platform::CONFIG {
        // The configuration is long, so each host reads it from the store.
        host.update_freshness(kind, |freshness, now| {
            freshness.require_read(now, to);
        });
        return;
    }
    let is_list = update.is_list;
    let relay_status = host.update_freshness(kind, |freshness, _| {
        if is_list {
            freshness.record_relayed_list(to)
        } else {
            freshness.record_relay(from, to)
        }
    });
    if relay_status != RelayStatus::Next {
        return;
    }
    host.with_router(|router, now| {
        if is_list {
            router.begin_settling(now);
        }
        router.allow_reregistration(now, Duration::from_millis(update.reregistration_ms));
        if *kind == platform::SERVERS {
            let entries = update.entries.iter().filter_map(EntryMessage::to_entry);
            let entries = entries.filter(|entry| {
                // Leaders of earlier versions relay servers with other identifiers, too.
                platform::is_server_id(&entry.id) && !host.settings.is_own_address(entry.address)
            });
            let entries: Vec<ServerEntry> = entries.collect();
            let ids = |ids: &[String]| ids.iter().map(|id| Arc::from(&**id)).collect();
            let unreadable: Vec<Arc<str>> = ids(&update.unreadable);
            if is_list {
                router.replace_servers(now, entries, &unreadable);
            } else {
                let changes = ServerChanges {
                    entries,
                    removed: ids(&update.removed),
                    unreadable,
                };
                router.apply_server_changes(now, changes);
            }
        } else {
            let domains: BTreeSet<String> = update.domains.into_iter().collect();
            router.set_evacuated(now, domains);
        }
    });
}

fn apply_config(host: &EntryHost, object: &StoreObject) {
    let spec = object.spec.to_value();
    match spec.and_then(|spec| platform::read_config(&spec)) {
        Ok(ParsedConfig { config, findings }) => {
            let version = format!("r{}", config.version);
            let routes = config.routes().count();
            if host.with_router(|router, _| router.update_config(Arc::new(config))) {
                let age = host.copy_age(platform::CONFIG).as_millis();
                let detail = format!("{routes} routes, previous copy complete {age} ms ago");
                host.log(EventCode::ConfigInForce, version, detail);
                for finding in findings {
                    host.log(
                        EventCode::ObjectUnreadable,
                        &object.name,
                        finding.to_string(),
                    );
                }
            }
        }
        Err(message) => host.log(EventCode::ObjectUnreadable, &object.name, message),
    }
}
