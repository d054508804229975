//! The audit trail of operators' changes.

use amaranthshunt_clients::{CallError, Result, StoreClient};
use amaranthshunt_core::ids::Revision;
use amaranthshunt_core::object::{AUDIT_PREFIX, ObjectKey};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use uuid::Uuid;

use crate::write::write;

/// One record of the audit trail.
///
/// Hosts write records of their own, which may lack some of these fields.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditRecord {
    /// The operator who made the change, or the host.
    pub actor: String,
    /// The kind of change, such as `entry-apply`.
    pub action: String,
    /// The name of what was changed.
    pub subject: String,
    /// Further information; may be empty.
    #[serde(default)]
    pub detail: String,
    /// The time of the change, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub at_millis: u64,
    /// The value before the change.
    #[serde(default)]
    pub before: Option<Value>,
    /// The value after the change.
    #[serde(default)]
    pub after: Option<Value>,
    /// The revision of the change; absent until the change is known to have taken effect.
    #[serde(default)]
    pub revision: Option<u64>,
}

/// An audit record that is written before its change and confirmed afterwards.
#[derive(Debug)]
pub(crate) struct Intent {
    key: ObjectKey,
    revision: Revision,
    record: AuditRecord,
}

impl Intent {
    /// Writes the record before the change, so that every change has one.
    pub(crate) async fn open(store: &StoreClient, record: AuditRecord) -> Result<Self> {
        let key = ObjectKey::audit(Uuid::now_v7());
        let value = to_json(&record)?;
        let revision = write(store, &key, Revision(0), Some(&value)).await?;
        Ok(Self {
            key,
            revision,
            record,
        })
    }

    /// Adds the revision at which the change took effect.
    pub(crate) async fn confirm(mut self, store: &StoreClient, change: Revision) -> Result<()> {
        self.record.revision = Some(change.0);
        let value = to_json(&self.record)?;
        write(store, &self.key, self.revision, Some(&value)).await?;
        Ok(())
    }
}

/// Reads the whole audit trail, oldest record first.
pub(crate) async fn read_all(store: &StoreClient) -> Result<Vec<AuditRecord>> {
    let objects = store.list(AUDIT_PREFIX).await?;
    let records = objects
        .iter()
        .filter_map(|object| serde_json::from_slice(object.value.as_ref()?).ok());
    Ok(records.collect())
}

fn to_json(record: &AuditRecord) -> Result<bytes::Bytes> {
    let value = serde_json::to_vec(record);
    value
        .map(bytes::Bytes::from)
        .map_err(|error| CallError::Lost(error.to_string()))
}
