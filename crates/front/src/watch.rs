//! Keeps the router's knowledge of the store fresh.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::log::Code;
use amaranthshunt_platform::{self as platform, Change, Kind, StoreObject};
use async_std::task;
use futures::future::{Either, select};

use crate::front::Front;
use crate::store::{StoreError, StoreReply};

/// The kinds that every host watches.
pub(crate) const KINDS: [Kind; 3] = [platform::CONFIG, platform::SERVERS, platform::EVACUATIONS];
/// Time for which the store may hold a watch back where nobody else tells of changes; a silent
/// connection is found after it.
const LONE_WAIT: Duration = Duration::from_millis(4_000);
/// The same where the granting host tells which changes it has seen.
const TOLD_WAIT: Duration = Duration::from_millis(20_000);
/// Time between two looks at whether a watch has missed a change.
const LOOK: Duration = Duration::from_millis(250);
/// Pause between two watches, so that changes in quick succession make one call.
const WATCH_PAUSE: Duration = Duration::from_millis(350);
/// Pause after a call that failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// An outage of the store after which entries may have lapsed.
const LAPSE: Duration = Duration::from_millis(1_200);

/// Reads a kind and follows its changes until the task is ended.
pub(crate) async fn follow(front: Arc<Front>, kind: Kind) {
    let mut known: Option<(u64, BTreeSet<String>)> = None;
    let mut outage = Duration::ZERO;
    loop {
        let result = match &mut known {
            Some((revision, names)) => watch(&front, kind, revision, names).await,
            None => read(&front, kind).await.map(|read| {
                known = Some(read);
                true
            }),
        };
        match result {
            Ok(holds) => {
                if outage >= LAPSE {
                    front.log(
                        Code::StoreBack,
                        kind,
                        format!("after {} ms", outage.as_millis()),
                    );
                }
                outage = Duration::ZERO;
                if !holds {
                    known = None;
                    continue;
                }
                task::sleep(WATCH_PAUSE).await;
            }
            Err(error) => {
                let before = outage;
                task::sleep(FAILURE_PAUSE).await;
                outage = front.store.outage().unwrap_or(before);
                if outage >= LAPSE && before < LAPSE {
                    front.log(Code::StoreSilent, kind, format!("{error}"));
                }
                if outage >= LAPSE {
                    front.route(|router, now| router.store_is_back(now));
                }
            }
        }
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

async fn read(front: &Front, kind: Kind) -> Result<(u64, BTreeSet<String>), StoreError> {
    let (objects, revision) = list(front, kind).await?;
    let names: BTreeSet<String> = objects.iter().map(|object| object.name.clone()).collect();
    match kind {
        platform::SERVERS => {
            let entries = objects
                .iter()
                .filter_map(|object| read_entry(front, object));
            let entries = entries.collect();
            front.route(|router, now| router.replace_servers(now, entries));
            front.set_servers_read();
        }
        platform::CONFIG => {
            for object in &objects {
                take_config(front, object);
            }
        }
        _ => {
            let domains = names.clone();
            front.route(|router, now| router.set_evacuated(now, domains));
            front.set_evacuations_read();
        }
    }
    let newest = objects.iter().map(|object| object.revision).max();
    front.note_change(kind, revision, newest);
    Ok((revision, names))
}

/// Waits until a watch has missed a change, or those who would tell of it are no longer heard.
async fn missed(front: &Front, kind: Kind, told: bool) {
    loop {
        task::sleep(LOOK).await;
        if front.is_behind(kind) || (told && !front.is_following()) {
            return;
        }
    }
}

/// Waits for changes; `false` when the store has forgotten what came since.
async fn watch(
    front: &Front,
    kind: Kind,
    revision: &mut u64,
    names: &mut BTreeSet<String>,
) -> Result<bool, StoreError> {
    let told = front.is_following();
    let wait = if told { TOLD_WAIT } else { LONE_WAIT };
    let path = platform::watch_path(kind, *revision, wait);
    let call = Box::pin(get(front, &path, wait));
    let missed = Box::pin(missed(front, kind, told));
    let reply = match select(call, missed).await {
        Either::Left((reply, _)) => reply?,
        Either::Right(((), _)) => return Ok(false),
    };
    if reply.status != 200 {
        return Ok(false);
    }
    let (changes, next) = platform::read_changes(&reply.body).map_err(StoreError::Unknown)?;
    for change in &changes {
        take_change(front, kind, change, names);
    }
    let newest = changes.iter().map(|change| change.object.revision).max();
    front.note_change(kind, next, newest);
    *revision = next;
    Ok(true)
}

fn take_change(front: &Front, kind: Kind, change: &Change, names: &mut BTreeSet<String>) {
    let name = &change.object.name;
    if change.deleted {
        names.remove(name);
    } else {
        names.insert(name.clone());
    }
    match kind {
        platform::SERVERS => {
            let entry = read_entry(front, &change.object).filter(|_| !change.deleted);
            front.route(|router, now| match entry {
                Some(entry) => router.learn_server(now, entry),
                None => router.lose_server(now, name),
            });
        }
        platform::CONFIG if !change.deleted => take_config(front, &change.object),
        platform::CONFIG => {}
        _ => {
            let domains = names.clone();
            front.route(|router, now| router.set_evacuated(now, domains));
        }
    }
}

fn read_entry(
    front: &Front,
    object: &StoreObject,
) -> Option<amaranthshunt_core::front::ServerEntry> {
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
