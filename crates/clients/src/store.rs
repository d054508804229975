//! The object store: versions, conditional updates, watches.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthshunt_core::ids::Revision;
use amaranthshunt_core::object::{CONFIG_PREFIX, Object, ObjectKey};
use bytes::Bytes;
use http_types::{Method, headers};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::error::{PlatformError, Result};
use crate::http::{HttpClient, Reply, request};

/// Time that a watch waits for a change before it answers without one.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// An object as it is in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreObject {
    /// The revision of its last write; zero when it does not exist.
    pub revision: Revision,
    /// The value.
    pub value: Option<Bytes>,
}

/// Objects that changed.
#[derive(Debug, Deserialize, Serialize)]
pub struct Changes {
    /// The revision up to which the objects are complete.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<Change>,
}

/// One object that changed.
#[derive(Debug, Deserialize, Serialize)]
pub struct Change {
    /// The key.
    pub key: String,
    /// The revision of the write.
    pub revision: u64,
    /// The value as JSON; absent once the object is deleted.
    pub value: Option<Box<RawValue>>,
}

/// A host on the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// The host's name.
    pub name: String,
    /// Where it listens for other hosts.
    pub address: SocketAddr,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// A client of the object store.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    limit: Duration,
    http: HttpClient,
}

impl StoreClient {
    /// Makes a client whose calls fail after `limit`.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self {
            address,
            limit,
            http: HttpClient::default(),
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no usable answer.
    pub async fn get(&self, key: &ObjectKey) -> Result<StoreObject> {
        let request = request(Method::Get, self.address, &object_path(key))?;
        let reply = self.http.send(self.address, request, self.limit).await?;
        match reply.status {
            200 => Ok(StoreObject {
                revision: revision_of(&reply)?,
                value: Some(reply.body),
            }),
            404 => Ok(StoreObject {
                revision: revision_of(&reply).unwrap_or_default(),
                value: None,
            }),
            status => Err(PlatformError::Unexpected(status)),
        }
    }

    /// Writes an object that is at the expected revision; zero for one that must not exist.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Conflict`] when it is not; after any other error the write
    /// may have taken effect.
    pub async fn put(&self, key: &ObjectKey, expected: Revision, value: Bytes) -> Result<Revision> {
        let mut request = request(Method::Put, self.address, &object_path(key))?;
        request.insert_header(headers::IF_MATCH, expected.to_string());
        request.set_body(value.to_vec());
        let reply = self.http.send(self.address, request, self.limit).await?;
        written(&reply)
    }

    /// Deletes an object that is at the expected revision.
    ///
    /// # Errors
    ///
    /// Fails as [`StoreClient::put`] does.
    pub async fn delete(&self, key: &ObjectKey, expected: Revision) -> Result<Revision> {
        let mut request = request(Method::Delete, self.address, &object_path(key))?;
        request.insert_header(headers::IF_MATCH, expected.to_string());
        let reply = self.http.send(self.address, request, self.limit).await?;
        written(&reply)
    }

    /// Lists the objects under a prefix.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no usable answer.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        let changes = self.changes(prefix, Revision(0), Duration::ZERO).await?;
        Ok(changes.0)
    }

    /// Waits for configuration objects written after a revision.
    ///
    /// # Errors
    ///
    /// Fails when the store gives no usable answer.
    pub async fn watch(&self, after: Revision) -> Result<(Vec<Object>, Revision)> {
        self.changes(CONFIG_PREFIX, after, WATCH_WAIT).await
    }

    /// Reads the platform's list of hosts.
    ///
    /// # Errors
    ///
    /// Fails when the platform gives no usable answer.
    pub async fn hosts(&self) -> Result<Vec<HostEntry>> {
        let request = request(Method::Get, self.address, "/hosts")?;
        let reply = self.http.send(self.address, request, self.limit).await?;
        read_json(&reply)
    }

    async fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Vec<Object>, Revision)> {
        let wait_millis = wait.as_millis();
        let path = format!("/changes?prefix={prefix}&after={after}&wait_ms={wait_millis}");
        let request = request(Method::Get, self.address, &path)?;
        let limit = self.limit + wait;
        let reply = self.http.send(self.address, request, limit).await?;
        let changes: Changes = read_json(&reply)?;
        let objects = changes.objects.into_iter().map(|change| Object {
            key: ObjectKey(change.key),
            revision: Revision(change.revision),
            value: change
                .value
                .map(|value| Bytes::from(value.get().as_bytes().to_vec())),
        });
        Ok((objects.collect(), Revision(changes.revision)))
    }
}

fn object_path(key: &ObjectKey) -> String {
    format!("/objects/{key}")
}

fn written(reply: &Reply) -> Result<Revision> {
    match reply.status {
        200 => revision_of(reply),
        412 => Err(PlatformError::Conflict),
        status => Err(PlatformError::Unexpected(status)),
    }
}

fn revision_of(reply: &Reply) -> Result<Revision> {
    let text = reply.header("etag");
    let number = text.and_then(|text| text.trim_matches('"').parse().ok());
    number
        .map(Revision)
        .ok_or(PlatformError::Unexpected(reply.status))
}

fn read_json<T: for<'a> Deserialize<'a>>(reply: &Reply) -> Result<T> {
    if reply.status != 200 {
        return Err(PlatformError::Unexpected(reply.status));
    }
    serde_json::from_slice(&reply.body).map_err(|error| PlatformError::Lost(error.to_string()))
}
