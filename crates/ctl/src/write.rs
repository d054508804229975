//! Conditional writes that are retried until their outcome is known.

use amaranthshunt_clients::{CallError, Result, StoreClient};
use amaranthshunt_core::ids::Revision;
use amaranthshunt_core::object::ObjectKey;
use bytes::Bytes;

/// Attempts at a write before its outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 5;

/// Writes or deletes an object that is at the expected revision.
///
/// If an answer is lost, the same conditional write is sent again. A conflict then means that an
/// earlier attempt took effect, provided that the object has the new value.
///
/// # Errors
///
/// Fails with [`CallError::Conflict`] when somebody else changed the object, and with
/// [`CallError::Lost`] when no attempt was answered.
pub(crate) async fn write(
    store: &StoreClient,
    key: &ObjectKey,
    expected: Revision,
    value: Option<&Bytes>,
) -> Result<Revision> {
    let mut last_error = CallError::Conflict;
    for _ in 0..MAX_ATTEMPTS {
        match attempt(store, key, expected, value).await {
            Ok(revision) => return Ok(revision),
            Err(CallError::Conflict) => return check_effect(store, key, expected, value).await,
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

async fn attempt(
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

async fn check_effect(
    store: &StoreClient,
    key: &ObjectKey,
    expected: Revision,
    value: Option<&Bytes>,
) -> Result<Revision> {
    let current = store.get(key).await?;
    if current.value.as_ref() == value && current.revision > expected {
        return Ok(current.revision);
    }
    Err(CallError::Conflict)
}
