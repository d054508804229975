//! Keeps the router's knowledge of the store fresh.
//!
//! The granting host watches the store and passes on what it is told; other hosts watch only
//! while they do not hear of changes in time. `docs/platform-path.md`, "Store calls".

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::front::{Passed, ServerChanges, ServerEntry};
use amaranthshunt_core::log::Code;
use amaranthshunt_platform::{self as platform, Change, Kind, StoreObject};
use async_std::task;
use futures::future::{Either, select};

use crate::front::Front;
use crate::messages::{Body, EntryMessage, News};
use crate::store::{StoreError, StoreReply};

/// The kinds that are followed.
pub(crate) const KINDS: [Kind; 3] = [platform::CONFIG, platform::SERVERS, platform::EVACUATIONS];
/// Time for which the store may hold the granting host's watch back: with the pause after it, well
/// below the age at which followers ask the store themselves.
const LEAD_WAIT: Duration = Duration::from_millis(900);
/// The same on a host that nobody tells of changes; a silent connection is found after it.
const LONE_WAIT: Duration = Duration::from_millis(2_000);
/// Time between two looks at whether a host is told of changes, or grants.
const LOOK: Duration = Duration::from_millis(150);
/// Pause between two watches, so that changes in quick succession make one call.
const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// The same once the store is known to be out of reach.
const OUTAGE_PAUSE: Duration = Duration::from_millis(800);
/// An outage of the store after which entries may have lapsed.
const LAPSE: Duration = Duration::from_millis(1_200);

/// Reads a kind and follows its changes until the task is ended.
pub(crate) async fn follow(front: Arc<Front>, kind: Kind) {
    let mut known = false;
    let mut outage = Duration::ZERO;
    loop {
        if known && front.is_told(kind) {
            front.end_probe(kind);
            outage = Duration::ZERO;
            task::sleep(LOOK).await;
            continue;
        }
        match ask(&front, kind, known).await {
            Ok(holds) => {
                front.end_probe(kind);
                if outage >= LAPSE {
                    front.log(
                        Code::StoreBack,
                        kind,
                        format!("after {} ms", outage.as_millis()),
                    );
                }
                outage = Duration::ZERO;
                known = holds;
                if holds {
                    task::sleep(WATCH_PAUSE).await;
                }
            }
            Err(error) => {
                outage = wait_out(&front, kind, &error, outage).await;
            }
        }
    }
}

/// Pauses after a call that failed; returns for how long the store has been out of reach.
///
/// In an outage one kind asks for all: each call has its price, also one that is turned away.
async fn wait_out(front: &Front, kind: Kind, error: &StoreError, before: Duration) -> Duration {
    let pause = if before >= LAPSE {
        OUTAGE_PAUSE
    } else {
        FAILURE_PAUSE
    };
    task::sleep(pause).await;
    let outage = front.store.outage().unwrap_or(before);
    if outage >= LAPSE && before < LAPSE {
        front.log(Code::StoreSilent, kind, format!("{error}"));
    }
    if outage >= LAPSE {
        front.route(|router, now| router.store_is_back(now));
    }
    while front.store.outage().is_some() && !front.is_told(kind) && !front.begin_probe(kind) {
        task::sleep(LOOK).await;
    }
    outage
}

/// Reads a kind or waits for its changes; returns whether it is known now.
async fn ask(front: &Front, kind: Kind, known: bool) -> Result<bool, StoreError> {
    // A configuration is one object: reading it is shorter than the changes that led to it.
    let newer = kind == platform::CONFIG && front.freshness(kind).is_behind(crate::clock::now());
    if !known || newer {
        read(front, kind).await.map(|()| true)
    } else {
        watch(front, kind).await
    }
}

async fn get(front: &Front, path: &str, wait: Duration) -> Result<StoreReply, StoreError> {
    front.counters.store_calls.add();
    front.store.call("GET", path, &[], wait).await
}

/// Reads a kind from its beginning.
pub(crate) async fn list(front: &Front, kind: Kind) -> Result<(Vec<StoreObject>, u64), StoreError> {
    let mut objects = Vec::new();
    let mut after: Option<String> = None;
    let mut first = None;
    loop {
        let path = platform::list_path(kind, after.as_deref());
        let reply = get(front, &path, Duration::ZERO).await?;
        let page = platform::read_list(&reply.body).map_err(StoreError::Unknown)?;
        objects.extend(page.objects);
        // Changes between two pages are told by a watch from the first page's revision.
        let revision = *first.get_or_insert(page.revision);
        match page.more {
            Some(name) => after = Some(name),
            None => return Ok((objects, revision)),
        }
    }
}

async fn read(front: &Front, kind: Kind) -> Result<(), StoreError> {
    let (objects, revision) = list(front, kind).await?;
    let first = front.freshness(kind).complete() == 0;
    let mut servers = ServerChanges::default();
    let change = match kind {
        platform::SERVERS => {
            let entries = objects
                .iter()
                .filter_map(|object| read_entry(front, object));
            let entries = entries.collect();
            servers = front.route(|router, now| router.replace_servers(now, entries));
            front.set_servers_read();
            // What was removed before the first reading is not in it, so all before it counts.
            (first || !servers.is_empty()).then_some(revision)
        }
        platform::CONFIG => {
            for object in &objects {
                take_config(front, object);
            }
            objects.iter().map(|object| object.revision).max()
        }
        _ => {
            let domains: BTreeSet<String> =
                objects.iter().map(|object| object.name.clone()).collect();
            let changed = front.route(|router, now| {
                let changed = router.evacuated() != &domains;
                router.set_evacuated(now, domains);
                changed
            });
            front.set_evacuations_read();
            (first || changed).then_some(revision)
        }
    };
    note(front, kind, revision, change, &servers);
    Ok(())
}

/// Notes how far a kind is known, and passes on what changed since the last change.
fn note(front: &Front, kind: Kind, to: u64, change: Option<u64>, servers: &ServerChanges) {
    let known = front.freshness(kind).change();
    front.refresh(kind, |freshness, now| freshness.read(now, to, change));
    if let Some(change) = change.filter(|change| *change > known) {
        pass_on(front, kind, known, change, servers);
    }
}

/// Waits until this host begins or ends being the granting one.
async fn role_changed(front: &Front, leads: bool) {
    while front.leading().is_some() == leads {
        task::sleep(LOOK).await;
    }
}

/// Waits for changes; `false` when the store has forgotten what came since.
async fn watch(front: &Front, kind: Kind) -> Result<bool, StoreError> {
    let leads = front.leading().is_some();
    let wait = if leads { LEAD_WAIT } else { LONE_WAIT };
    let from = front.freshness(kind).complete();
    let path = platform::watch_path(kind, from, wait);
    let call = Box::pin(get(front, &path, wait));
    let changed = Box::pin(role_changed(front, leads));
    let reply = match select(call, changed).await {
        Either::Left((reply, _)) => reply?,
        Either::Right(((), _)) => return Ok(true),
    };
    if reply.status != 200 {
        return Ok(false);
    }
    let (changes, to) = platform::read_changes(&reply.body).map_err(StoreError::Unknown)?;
    let mut servers = ServerChanges::default();
    // A removed object may come with the revision that it had before, so a batch counts as one.
    let mut change = changes.first().map(|_| to);
    match kind {
        platform::SERVERS => servers = take_servers(front, &changes),
        platform::CONFIG => {
            for change in changes.iter().filter(|change| !change.deleted) {
                take_config(front, &change.object);
            }
            change = changes.iter().map(|change| change.object.revision).max();
        }
        _ => take_evacuations(front, &changes),
    }
    note(front, kind, to, change, &servers);
    Ok(true)
}

/// Takes in changes of servers' entries; returns the last one of each.
fn take_servers(front: &Front, changes: &[Change]) -> ServerChanges {
    let mut last: BTreeMap<&str, Option<ServerEntry>> = BTreeMap::new();
    for change in changes {
        let entry = read_entry(front, &change.object).filter(|_| !change.deleted);
        last.insert(&change.object.name, entry);
    }
    let mut servers = ServerChanges::default();
    for (id, entry) in last {
        match entry {
            Some(entry) => servers.entries.push(entry),
            None => servers.removed.push(Arc::from(id)),
        }
    }
    let taken = servers.clone();
    front.route(|router, now| router.change_servers(now, taken));
    servers
}

fn take_evacuations(front: &Front, changes: &[Change]) {
    if changes.is_empty() {
        return;
    }
    front.route(|router, now| {
        let mut domains = router.evacuated().clone();
        for change in changes {
            let name = &change.object.name;
            if change.deleted {
                domains.remove(name);
            } else {
                domains.insert(name.clone());
            }
        }
        router.set_evacuated(now, domains);
    });
}

/// Tells the hosts that follow this one what the store has told it.
fn pass_on(front: &Front, kind: Kind, from: u64, to: u64, servers: &ServerChanges) {
    let Some(leading) = front.leading() else {
        return;
    };
    let index = KINDS.iter().position(|known| *known == kind);
    let (domains, returns) = front.route(|router, now| {
        let domains: Vec<String> = router.evacuated().iter().cloned().collect();
        (domains, router.return_time(now))
    });
    let removed = servers.removed.iter().map(|id| id.to_string());
    leading.send_all(Body::News(News {
        kind: index.unwrap_or_default() as u32,
        from,
        to,
        entries: servers.entries.iter().map(EntryMessage::from).collect(),
        removed: removed.collect(),
        domains,
        returns: returns.as_millis() as u64,
    }));
}

/// Takes in what the granting host passes on.
pub(crate) fn take_news(front: &Front, news: News) {
    let Some(kind) = KINDS.get(news.kind as usize) else {
        front.log(
            Code::ObjectUnreadable,
            "news",
            format!("kind {}", news.kind),
        );
        return;
    };
    if *kind == platform::CONFIG {
        // The text of a configuration is long, so each host reads it from the store.
        front.refresh(kind, |freshness, now| {
            freshness.tell_now(now, news.to);
        });
        return;
    }
    let passed = front.refresh(kind, |freshness, _| freshness.pass(news.from, news.to));
    if passed != Passed::Next {
        return;
    }
    front.route(|router, now| {
        router.allow_returns(now, Duration::from_millis(news.returns));
        if *kind == platform::SERVERS {
            let entries = news.entries.iter().filter_map(EntryMessage::to_entry);
            let changes = ServerChanges {
                entries: entries.collect(),
                removed: news.removed.iter().map(|id| Arc::from(&**id)).collect(),
            };
            router.change_servers(now, changes);
        } else {
            let domains: BTreeSet<String> = news.domains.into_iter().collect();
            router.set_evacuated(now, domains);
        }
    });
}

fn read_entry(front: &Front, object: &StoreObject) -> Option<ServerEntry> {
    match platform::read_server(object) {
        Ok(entry) => Some(entry),
        Err(text) => {
            front.log(Code::ObjectUnreadable, &object.name, text);
            None
        }
    }
}

fn take_config(front: &Front, object: &StoreObject) {
    match platform::read_config(&object.spec) {
        Ok(config) => {
            front.route(|router, _| router.set_config(Arc::new(config)));
        }
        Err(text) => front.log(Code::ObjectUnreadable, &object.name, text),
    }
}
