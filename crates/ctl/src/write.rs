//! Writes that are sent until their effect is known.

use amaranthshunt_clients::{PlatformError, Result, StoreClient};
use amaranthshunt_core::ids::Revision;
use amaranthshunt_core::object::ObjectKey;
use bytes::Bytes;

/// Sendings of a write that got no answer.
const SENDINGS: u32 = 5;

/// Writes or deletes an object that is at the expected revision.
///
/// After a lost answer the same conditional write is sent again; a conflict then means that an
/// earlier sending took effect, if the object has the new value.
///
/// # Errors
///
/// Fails with [`PlatformError::Conflict`] when somebody else changed the object, and with
/// [`PlatformError::Lost`] when no sending was answered.
pub(crate) async fn write(
    store: &StoreClient,
    key: &ObjectKey,
    expected: Revision,
    value: Option<&Bytes>,
) -> Result<Revision> {
    let mut last = PlatformError::Conflict;
    for _ in 0..SENDINGS {
        match send(store, key, expected, value).await {
            Ok(revision) => return Ok(revision),
            Err(PlatformError::Conflict) => return resolve(store, key, expected, value).await,
            Err(error) => last = error,
        }
    }
    Err(last)
}

async fn send(
    store: &StoreClient,
    key: &ObjectKey,
    expected: Revision,
    value: Option<&Bytes>,
) -> Result<Revision> {
    match value {
        Some(value) => store.put(key, expected, value.clone()).await,
        None => store.delete(key, expected).await,
    }
}

async fn resolve(
    store: &StoreClient,
    key: &ObjectKey,
    expected: Revision,
    value: Option<&Bytes>,
) -> Result<Revision> {
    let found = store.get(key).await?;
    if found.value.as_ref() == value && found.revision > expected {
        return Ok(found.revision);
    }
    Err(PlatformError::Conflict)
}
