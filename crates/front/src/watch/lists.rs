//! Reads all objects of a kind, page by page.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::front::{ServerEntry, StoreRevision};
use amaranthshunt_platform::{self as platform, Kind, StoreObject};

use super::entries::{is_known_server, read_entry};
use super::store_get;
use crate::entry_host::EntryHost;
use crate::store::StoreError;

/// How current the result of a read has to be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Consistency {
    /// Everything that the store has acknowledged.
    Strong,
    /// It may be some seconds old; such a read costs a tenth.
    Stale,
}

/// Reads all objects of a kind and passes them on one by one; returns the revision from which to watch for
/// changes.
///
/// Only one page is kept at a time: other programs may have objects of any number and size among those of the
/// platform, so a receiver keeps what it needs of each. See `docs/platform-path.md`, "Memory".
///
/// # Errors
///
/// Fails as a call does, or if a page starts where an earlier one did.
pub(crate) async fn list(
    host: &EntryHost,
    kind: Kind,
    consistency: Consistency,
    mut receive: impl FnMut(StoreObject),
) -> Result<StoreRevision, StoreError> {
    let mut path = platform::list_path(kind, None);
    let mut paths = BTreeSet::new();
    let mut first_revision = None;
    loop {
        let target = match consistency {
            Consistency::Strong => path.clone(),
            Consistency::Stale => platform::stale_path(&path),
        };
        let response = store_get(host, &target, Duration::ZERO).await?;
        let page = platform::read_list(response.body.clone()).map_err(StoreError::Unknown)?;
        page.objects.into_iter().for_each(&mut receive);
        // A watch from the first page's revision reports the changes made between two pages.
        let page_revision = response.revision(page.revision);
        let revision = *first_revision.get_or_insert(page_revision);
        if revision.era() != page_revision.era() {
            let reason = "the store was restored between two pages".to_owned();
            return Err(StoreError::Unknown(reason));
        }
        let Some(name) = page.next_after else {
            return Ok(revision);
        };
        path = platform::list_path(kind, Some(&name));
        if !paths.insert(path.clone()) {
            let reason = format!("two pages of {kind} start after the same name");
            return Err(StoreError::Unknown(reason));
        }
    }
}

/// What a host keeps of the objects of a kind.
#[derive(Debug, Default)]
pub(super) struct ListedObjects {
    /// Entries of servers.
    pub(super) entries: Vec<ServerEntry>,
    /// Identifiers of known servers whose entries cannot be read.
    pub(super) unreadable: Vec<Arc<str>>,
    /// The operator's configuration.
    pub(super) config: Option<StoreObject>,
    /// Names of evacuated failure domains.
    pub(super) domains: BTreeSet<String>,
    /// The revision of the latest change.
    pub(super) latest_change: Option<u64>,
}

impl ListedObjects {
    /// Reads all objects of a kind.
    pub(super) async fn read(
        host: &EntryHost,
        kind: Kind,
        consistency: Consistency,
    ) -> Result<(Self, StoreRevision), StoreError> {
        let mut listed = Self::default();
        let revision = list(host, kind, consistency, |object| {
            listed.add(host, kind, object);
        });
        let revision = revision.await?;
        Ok((listed, revision))
    }

    fn add(&mut self, host: &EntryHost, kind: Kind, object: StoreObject) {
        self.latest_change = self.latest_change.max(Some(object.revision));
        match kind {
            platform::SERVERS => match read_entry(host, &object) {
                Some(entry) => self.entries.push(entry),
                None if is_known_server(host, &object.name) => {
                    self.unreadable.push(Arc::from(object.name));
                }
                None => {}
            },
            platform::CONFIG => {
                if object.name == platform::CONFIG_NAME {
                    self.config = Some(object);
                }
            }
            _ => {
                if platform::is_name(&object.name) {
                    self.domains.insert(object.name);
                }
            }
        }
    }
}
