//! The placement record in the store, which names the leader and the server of each key range.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranthshunt_core::front::{Placement, StoreRevision, first_term};
use amaranthshunt_platform as platform;
use bytes::Bytes;

use crate::entry_host::EntryHost;
use crate::store::StoreError;

/// The name of the only object of its kind.
const RECORD_NAME: &str = "main";
/// The number of the revision of a record that does not exist.
const ABSENT: u64 = 0;

/// The record as it was read.
#[derive(Clone, Debug)]
pub(super) struct StoredRecord {
    /// `None` if there is no record.
    pub(super) placement: Option<Placement>,
    /// Its revision, on which a write depends.
    pub(super) revision: StoreRevision,
}

impl StoredRecord {
    /// The era of the store in which the record was read.
    pub(super) fn era(&self) -> u64 {
        self.revision.era()
    }

    /// The term in the record, or 0.
    pub(super) fn term(&self) -> u64 {
        self.placement.as_ref().map_or(0, |record| record.term)
    }

    /// Whether the record lists all holders of keys; `is_first` is whether no host can have led
    /// before.
    pub(super) fn is_complete(&self, is_first: bool) -> bool {
        match &self.placement {
            Some(record) => record.lists_all_holders(self.era()),
            None => is_first,
        }
    }

    /// The record of this host as the next leader.
    pub(super) fn succeed(&self, host: &EntryHost, is_first: bool) -> Placement {
        let name = &host.settings.name;
        let address = host.settings.peers_address();
        let era = self.era();
        match &self.placement {
            Some(record) => record.succeed(era, name, address),
            None => Placement {
                term: first_term(era),
                version: 1,
                leader: name.clone(),
                address,
                services: BTreeMap::new(),
                complete_era: Some(if is_first { era } else { 0 }),
                voters: is_first.then(BTreeSet::new),
            },
        }
    }
}

pub(super) async fn read_record(host: &EntryHost) -> Result<StoredRecord, StoreError> {
    read_record_at(
        host,
        &platform::object_path(platform::PLACEMENTS, RECORD_NAME),
    )
    .await
}

/// Reads the record as it may have been some seconds ago.
pub(super) async fn read_stale_record(host: &EntryHost) -> Result<StoredRecord, StoreError> {
    let path = platform::object_path(platform::PLACEMENTS, RECORD_NAME);
    read_record_at(host, &platform::stale_path(&path)).await
}

async fn read_record_at(host: &EntryHost, path: &str) -> Result<StoredRecord, StoreError> {
    let response = host.call_store("GET", path, &[], Duration::ZERO).await?;
    if response.status == 404 {
        return Ok(StoredRecord {
            placement: None,
            revision: response.revision(ABSENT),
        });
    }
    let (record, number) = parse_record(&response.body).map_err(StoreError::Unknown)?;
    Ok(StoredRecord {
        placement: Some(record),
        revision: response.revision(number),
    })
}

/// Whether another host has created the record; `false` if that is not known. It may be too new to
/// be seen, and creating it again does no harm.
pub(super) async fn record_exists(host: &EntryHost) -> bool {
    let path = platform::stale_path(&platform::object_path(platform::PLACEMENTS, RECORD_NAME));
    let response = host.call_store("GET", &path, &[], Duration::ZERO).await;
    response.is_ok_and(|response| response.status == 200)
}

fn parse_record(body: &Bytes) -> Result<(Placement, u64), String> {
    let object = platform::read_object(body.clone())?;
    let record = platform::read_placement(&object.spec.to_value()?)?;
    Ok((record, object.revision))
}

pub(super) enum WriteOutcome {
    /// The record was written and has this revision.
    Done(StoreRevision),
    /// The stored record, which has this term and revision, is another one than expected.
    Conflict(u64, StoreRevision),
    /// The record was not written, or the result is unknown.
    Failed(String),
}

/// Writes the record if the stored one still has the revision `expected`.
///
/// A write that is carried out in a later era has met a record that only happens to have the same
/// revision, so it does not count.
pub(super) async fn write_record_if(
    host: &EntryHost,
    record: &Placement,
    expected: StoreRevision,
) -> WriteOutcome {
    let spec = platform::write_placement(record);
    let written = if expected.number() == ABSENT {
        let path = platform::list_path(platform::PLACEMENTS, None);
        let body = platform::create_body(RECORD_NAME, &spec);
        host.call_store("POST", &path, &body, Duration::ZERO).await
    } else {
        let path = platform::object_path(platform::PLACEMENTS, RECORD_NAME);
        let body = platform::replace_body(RECORD_NAME, expected.number(), &spec);
        host.call_store("PUT", &path, &body, Duration::ZERO).await
    };
    let response = match written {
        Ok(response) => response,
        Err(error) => return WriteOutcome::Failed(format!("{error}")),
    };
    let (stored, number) = match parse_record(&response.body) {
        Ok(parsed) => parsed,
        Err(message) => {
            return WriteOutcome::Failed(format!("status {}: {message}", response.status));
        }
    };
    let revision = response.revision(number);
    if revision.era() != expected.era() {
        WriteOutcome::Failed(format!("the store has begun era {}", revision.era()))
    } else if stored == *record {
        // A conflict with an equal record means that an earlier write succeeded, but its response
        // was lost.
        WriteOutcome::Done(revision)
    } else {
        WriteOutcome::Conflict(stored.term, revision)
    }
}
