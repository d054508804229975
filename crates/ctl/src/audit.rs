//! The audit trail of operators' changes.

use amaranthshunt_clients::{PlatformError, Result, StoreClient};
use amaranthshunt_core::ids::Revision;
use amaranthshunt_core::object::{AUDIT_PREFIX, ObjectKey};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use uuid::Uuid;

use crate::write::write;

/// One change on the audit trail.
///
/// Hosts write lines of their own with the same fields where they fit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditRecord {
    /// Who made the change.
    pub actor: String,
    /// What was done.
    pub action: String,
    /// What it was done to.
    pub subject: String,
    /// More about it.
    #[serde(default)]
    pub detail: String,
    /// When, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub at_millis: u64,
    /// The value before the change.
    #[serde(default)]
    pub before: Option<Value>,
    /// The value after the change.
    #[serde(default)]
    pub after: Option<Value>,
    /// The revision of the change; absent while it is not known to have taken effect.
    #[serde(default)]
    pub revision: Option<u64>,
}

/// The record of a change that is about to be made.
#[derive(Debug)]
pub(crate) struct Intent {
    key: ObjectKey,
    revision: Revision,
    record: AuditRecord,
}

impl Intent {
    /// Writes the record before the change, so that no change goes without one.
    pub(crate) async fn open(store: &StoreClient, record: AuditRecord) -> Result<Self> {
        let key = ObjectKey::audit(Uuid::now_v7());
        let value = json(&record)?;
        let revision = write(store, &key, Revision(0), Some(&value)).await?;
        Ok(Self {
            key,
            revision,
            record,
        })
    }

    /// Notes the revision at which the change took effect.
    pub(crate) async fn confirm(mut self, store: &StoreClient, change: Revision) -> Result<()> {
        self.record.revision = Some(change.0);
        let value = json(&self.record)?;
        write(store, &self.key, self.revision, Some(&value)).await?;
        Ok(())
    }
}

/// Reads the whole trail, oldest first.
pub(crate) async fn read(store: &StoreClient) -> Result<Vec<AuditRecord>> {
    let objects = store.list(AUDIT_PREFIX).await?;
    let records = objects
        .iter()
        .filter_map(|object| serde_json::from_slice(object.value.as_ref()?).ok());
    Ok(records.collect())
}

fn json(record: &AuditRecord) -> Result<bytes::Bytes> {
    let value = serde_json::to_vec(record);
    value
        .map(bytes::Bytes::from)
        .map_err(|error| PlatformError::Lost(error.to_string()))
}
