//! The placement record in the store, which names the leader and the server of each key range.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthshunt_core::front::Placement;
use amaranthshunt_platform as platform;
use async_std::task;

use super::STORE_RETRY_DELAY;
use crate::entry_host::EntryHost;
use crate::store::StoreError;

/// The name of the only object of its kind.
const RECORD_NAME: &str = "main";

pub(super) async fn read_record(host: &EntryHost) -> Result<Option<(Placement, u64)>, StoreError> {
    let path = platform::object_path(platform::PLACEMENTS, RECORD_NAME);
    let response = host.call_store("GET", &path, &[], Duration::ZERO).await?;
    if response.status == 404 {
        return Ok(None);
    }
    parse_record(&response.body)
        .map(Some)
        .map_err(StoreError::Unknown)
}

/// Whether another host has created the record; `false` if that is not known. It may be too new to
/// be seen, and creating it again does no harm.
pub(super) async fn record_exists(host: &EntryHost) -> bool {
    let path = platform::stale_path(&platform::object_path(platform::PLACEMENTS, RECORD_NAME));
    let response = host.call_store("GET", &path, &[], Duration::ZERO).await;
    response.is_ok_and(|response| response.status == 200)
}

pub(super) fn parse_record(body: &[u8]) -> Result<(Placement, u64), String> {
    let object = platform::read_object(body)?;
    let record = platform::read_placement(&object.spec)?;
    Ok((record, object.revision))
}

pub(super) fn first_record(host: &EntryHost) -> Placement {
    Placement {
        term: 1,
        version: 1,
        leader: host.settings.name.clone(),
        address: host.settings.peers_address(),
        services: BTreeMap::new(),
    }
}

pub(super) async fn create_record(host: &EntryHost) -> Option<u64> {
    let record = first_record(host);
    let path = platform::list_path(platform::PLACEMENTS, None);
    let body = platform::create_body(RECORD_NAME, &platform::write_placement(&record));
    match host.call_store("POST", &path, &body, Duration::ZERO).await {
        Ok(response) if response.status < 300 => {
            Some(platform::read_object(&response.body).ok()?.revision)
        }
        Ok(_) => None,
        Err(error) => {
            log::warn!("cannot create the placement record: {error}");
            task::sleep(STORE_RETRY_DELAY).await;
            None
        }
    }
}

/// Makes this host the leader, if the record has not changed since it was read.
pub(super) async fn take_over(
    host: &EntryHost,
    last_record: &Placement,
    revision: u64,
) -> Option<(Placement, u64)> {
    let record = Placement {
        term: last_record.term + 1,
        version: last_record.version + 1,
        leader: host.settings.name.clone(),
        address: host.settings.peers_address(),
        services: last_record.services.clone(),
    };
    match replace_record(host, &record, revision).await {
        WriteOutcome::Done(revision) => Some((record, revision)),
        WriteOutcome::Conflict(_) => None,
        WriteOutcome::Failed(error) => {
            log::warn!("cannot take over the placement record: {error}");
            task::sleep(STORE_RETRY_DELAY).await;
            None
        }
    }
}

pub(super) enum WriteOutcome {
    /// The record was written and has this revision.
    Done(u64),
    /// The stored record, which has this term, is another one than expected.
    Conflict(u64),
    /// The record was not written, or the result is unknown.
    Failed(String),
}

pub(super) async fn replace_record(
    host: &EntryHost,
    record: &Placement,
    revision: u64,
) -> WriteOutcome {
    let path = platform::object_path(platform::PLACEMENTS, RECORD_NAME);
    let spec = platform::write_placement(record);
    let body = platform::replace_body(RECORD_NAME, revision, &spec);
    let response = match host.call_store("PUT", &path, &body, Duration::ZERO).await {
        Ok(response) => response,
        Err(error) => return WriteOutcome::Failed(format!("{error}")),
    };
    match parse_record(&response.body) {
        // A conflict with an equal record means that an earlier write succeeded, but its response
        // was lost.
        Ok((stored, revision)) if stored == *record => WriteOutcome::Done(revision),
        Ok((stored, _)) => WriteOutcome::Conflict(stored.term),
        Err(message) => WriteOutcome::Failed(format!("status {}: {message}", response.status)),
    }
}
