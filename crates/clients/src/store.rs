//! Client of the object store: revisions, conditional writes, watches.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthshunt_core::ids::Revision;
use amaranthshunt_core::object::{CONFIG_PREFIX, Object, ObjectKey};
use bytes::Bytes;
use http_types::{Method, headers};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::error::{CallError, Result};
use crate::http::{HttpClient, Reply, request};

/// Time after which the store answers a watch without a change.
const WATCH_WAIT: Duration = Duration::from_secs(5);

/// Characters that are escaped in keys: all but the unreserved ones (RFC 3986, section 2.3) and slashes, which
/// separate the parts of a key.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~')
    .remove(b'/');

/// The current state of an object in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreObject {
    /// The revision of its last write; zero for a missing object without an `ETag`.
    pub revision: Revision,
    /// The value; `None` if the object does not exist.
    pub value: Option<Bytes>,
}

/// The store's response to a list or watch call.
#[derive(Debug, Deserialize, Serialize)]
pub struct Changes {
    /// The revision up to which `objects` is complete.
    pub revision: u64,
    /// The objects that changed.
    pub objects: Vec<Change>,
}

/// An object that changed.
#[derive(Debug, Deserialize, Serialize)]
pub struct Change {
    /// The object's full key, including the prefix that was listed.
    pub key: String,
    /// The revision of the write.
    pub revision: u64,
    /// The value as JSON; `None` if the object was deleted.
    pub value: Option<Box<RawValue>>,
}

/// A host on the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostEntry {
    /// The host's name.
    pub name: String,
    /// The address on which it listens for other hosts.
    pub address: SocketAddr,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// A client of the object store.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    timeout: Duration,
    http: HttpClient,
}

impl StoreClient {
    /// Creates a client whose calls fail after `timeout`; a watch has its wait time in addition.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            http: HttpClient::default(),
        }
    }

    /// Reads an object.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable response.
    pub async fn get(&self, key: &ObjectKey) -> Result<StoreObject> {
        let request = request(Method::Get, self.address, &object_path(key))?;
        let reply = self.http.send(self.address, request, self.timeout).await?;
        match reply.status {
            200 => Ok(StoreObject {
                revision: read_revision(&reply)?,
                value: Some(reply.body),
            }),
            404 => Ok(StoreObject {
                revision: read_revision(&reply).unwrap_or_default(),
                value: None,
            }),
            status => Err(CallError::Unexpected(status)),
        }
    }

    /// Writes an object if it is at the expected revision; zero means that it must not exist.
    ///
    /// # Errors
    ///
    /// Fails with [`CallError::Conflict`] if it is not; after any other error the write may
    /// have taken effect.
    pub async fn put(&self, key: &ObjectKey, expected: Revision, value: Bytes) -> Result<Revision> {
        let mut request = request(Method::Put, self.address, &object_path(key))?;
        request.insert_header(headers::IF_MATCH, expected.to_string());
        request.set_body(value.to_vec());
        let reply = self.http.send(self.address, request, self.timeout).await?;
        write_result(&reply)
    }

    /// Deletes an object if it is at the expected revision.
    ///
    /// # Errors
    ///
    /// The same as for [`StoreClient::put`].
    pub async fn delete(&self, key: &ObjectKey, expected: Revision) -> Result<Revision> {
        let mut request = request(Method::Delete, self.address, &object_path(key))?;
        request.insert_header(headers::IF_MATCH, expected.to_string());
        let reply = self.http.send(self.address, request, self.timeout).await?;
        write_result(&reply)
    }

    /// Lists the objects under a prefix.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable response.
    pub async fn list(&self, prefix: &str) -> Result<Vec<Object>> {
        let changes = self
            .fetch_changes(prefix, Revision(0), Duration::ZERO)
            .await?;
        Ok(changes.0)
    }

    /// Waits up to 5 seconds for configuration objects written after a revision.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable response.
    pub async fn watch(&self, after: Revision) -> Result<(Vec<Object>, Revision)> {
        self.fetch_changes(CONFIG_PREFIX, after, WATCH_WAIT).await
    }

    /// Reads the platform's list of hosts.
    ///
    /// # Errors
    ///
    /// Fails if the platform gives no usable response.
    pub async fn hosts(&self) -> Result<Vec<HostEntry>> {
        let request = request(Method::Get, self.address, "/hosts")?;
        let reply = self.http.send(self.address, request, self.timeout).await?;
        read_json(&reply)
    }

    async fn fetch_changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<(Vec<Object>, Revision)> {
        let wait_millis = wait.as_millis();
        let prefix = utf8_percent_encode(prefix, RESERVED);
        let path = format!("/changes?prefix={prefix}&after={after}&wait_ms={wait_millis}");
        let request = request(Method::Get, self.address, &path)?;
        let timeout = self.timeout + wait;
        let reply = self.http.send(self.address, request, timeout).await?;
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
    format!("/objects/{}", utf8_percent_encode(&key.0, RESERVED))
}

fn write_result(reply: &Reply) -> Result<Revision> {
    match reply.status {
        200 => read_revision(reply),
        412 => Err(CallError::Conflict),
        status => Err(CallError::Unexpected(status)),
    }
}

fn read_revision(reply: &Reply) -> Result<Revision> {
    let text = reply.header("etag");
    let number = text.and_then(|text| text.trim_matches('"').parse().ok());
    number
        .map(Revision)
        .ok_or(CallError::Unexpected(reply.status))
}

fn read_json<T: for<'a> Deserialize<'a>>(reply: &Reply) -> Result<T> {
    if reply.status != 200 {
        return Err(CallError::Unexpected(reply.status));
    }
    serde_json::from_slice(&reply.body).map_err(|error| CallError::Lost(error.to_string()))
}
