//! The record of who grants keys, in the store.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthshunt_core::front::Placement;
use amaranthshunt_platform as platform;
use async_std::task;

use super::STORE_PAUSE;
use crate::front::Front;
use crate::store::StoreError;

/// The name of the one record of its kind.
const RECORD: &str = "main";

pub(super) async fn read_record(front: &Front) -> Result<Option<(Placement, u64)>, StoreError> {
    let path = platform::object_path(platform::PLACEMENTS, RECORD);
    front.counters.store_calls.add();
    let reply = front.store.call("GET", &path, &[], Duration::ZERO).await?;
    if reply.status == 404 {
        return Ok(None);
    }
    parse_record(&reply.body)
        .map(Some)
        .map_err(StoreError::Unknown)
}

pub(super) fn parse_record(body: &[u8]) -> Result<(Placement, u64), String> {
    let object = platform::read_object(body)?;
    let record = platform::read_placement(&object.spec)?;
    Ok((record, object.revision))
}

pub(super) fn first_record(front: &Front) -> Placement {
    Placement {
        term: 1,
        version: 1,
        holder: front.settings.name.clone(),
        address: front.settings.peers(),
        services: BTreeMap::new(),
    }
}

pub(super) async fn create(front: &Front) -> Option<u64> {
    let record = first_record(front);
    let path = platform::list_path(platform::PLACEMENTS, None);
    let body = platform::create_body(RECORD, &platform::write_placement(&record));
    front.counters.store_calls.add();
    match front.store.call("POST", &path, &body, Duration::ZERO).await {
        Ok(reply) if reply.status < 300 => Some(platform::read_object(&reply.body).ok()?.revision),
        Ok(_) => None,
        Err(error) => {
            log::warn!("the record of grants cannot be created: {error}");
            task::sleep(STORE_PAUSE).await;
            None
        }
    }
}

/// Puts this host's name on the record, if nobody else has done so since it was read.
pub(super) async fn take(
    front: &Front,
    seen: &Placement,
    revision: u64,
) -> Option<(Placement, u64)> {
    let record = Placement {
        term: seen.term + 1,
        version: seen.version + 1,
        holder: front.settings.name.clone(),
        address: front.settings.peers(),
        services: seen.services.clone(),
    };
    match replace(front, &record, revision).await {
        Written::Done(revision) => Some((record, revision)),
        Written::Other => None,
        Written::Failed(error) => {
            log::warn!("the record of grants cannot be taken over: {error}");
            task::sleep(STORE_PAUSE).await;
            None
        }
    }
}

pub(super) enum Written {
    /// The record has this revision now.
    Done(u64),
    /// Somebody else has written it.
    Other,
    /// It was not written, or nothing is known of it.
    Failed(String),
}

pub(super) async fn replace(front: &Front, record: &Placement, revision: u64) -> Written {
    let path = platform::object_path(platform::PLACEMENTS, RECORD);
    let spec = platform::write_placement(record);
    let body = platform::replace_body(RECORD, revision, &spec);
    front.counters.store_calls.add();
    let reply = match front.store.call("PUT", &path, &body, Duration::ZERO).await {
        Ok(reply) => reply,
        Err(error) => return Written::Failed(format!("{error}")),
    };
    match parse_record(&reply.body) {
        // A conflict with this very record tells of an earlier call whose answer was lost.
        Ok((kept, revision)) if kept == *record => Written::Done(revision),
        Ok(_) => Written::Other,
        Err(text) => Written::Failed(format!("{}: {text}", reply.status)),
    }
}
