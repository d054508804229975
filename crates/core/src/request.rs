//! Requests of callers and their outcomes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{Epoch, FenceToken, IdempotencyKey, ShardKey};
use crate::time::Time;

/// A caller's request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The catalogue entry's name.
    pub entry: String,
    /// The tenant; empty for none.
    pub tenant: String,
    /// The key that selects the shard, within its entry and tenant.
    pub key: String,
    /// The idempotency key, if the caller set one.
    #[serde(rename = "idempotency")]
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether this is a retry of an earlier request with the same idempotency key.
    ///
    /// Only a host that knows the outcome of the earlier attempt may report a retry as not run.
    #[serde(rename = "repeat")]
    pub is_retry: bool,
    /// The time after which an answer is of no use.
    pub deadline: Time,
    /// The body, sent to the backend server unchanged.
    pub body: Bytes,
}

impl Request {
    /// A stable hash of entry, tenant and key, which selects the shard.
    pub fn key_hash(&self) -> u64 {
        self.hash_identity().digest()
    }

    /// A hash of entry, tenant, key and body; independent of the idempotency key.
    pub fn fingerprint(&self) -> u64 {
        let mut hash = self.hash_identity();
        hash.update(&self.body);
        hash.digest()
    }

    fn hash_identity(&self) -> Xxh3 {
        let mut hash = Xxh3::new();
        for part in [&self.entry, &self.tenant, &self.key] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        hash
    }
}

/// A backend server's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body, returned to the caller unchanged.
    pub body: Bytes,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// No entry of that name is in the catalogue.
    UnknownEntry,
    /// The request must not be served from this region.
    WrongRegion,
    /// The body exceeds the entry's limit.
    TooLarge,
    /// Requests of this class need a version 7 idempotency key.
    KeyMissing,
    /// The idempotency key is too far ahead of this host's clock.
    KeyAhead,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The deadline passed, or would pass before the request could complete.
    Deadline,
    /// Too many requests are waiting.
    Overloaded,
    /// No host or backend server can serve the key at present.
    Unavailable,
    /// The request was running when backend servers crashed and is refused temporarily.
    Quarantined,
}

/// Why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The backend server was lost while the request was running on it.
    ServerLost,
    /// The host that held the request was lost.
    HostLost,
    /// No answer arrived by the deadline.
    Deadline,
    /// The idempotency key is older than the records of this host.
    Forgotten,
    /// The request is a retry, and the host that has the earlier attempt's record was not asked.
    NotAsked,
}

/// The outcome of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The backend server's complete answer.
    Answer(Answer),
    /// The request did not run; a retry is safe.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(UnknownReason),
}

/// An order: the routing data and the fence token sent to a backend server with a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The shard of the request's key.
    pub shard: ShardKey,
    /// The shard's epoch.
    pub epoch: Epoch,
    /// The fence token of the controlling host.
    pub token: FenceToken,
    /// When the server must abort the request, by its own clock.
    pub deadline: Time,
}

/// The result of an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderResult {
    /// The complete answer arrived.
    Answer(Answer),
    /// The server rejected it or no connection could be established, so nothing ran.
    Refused(OrderRefusal),
    /// The exchange was interrupted; the order may have arrived.
    Lost,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderRefusal {
    /// The server has a higher fence token or no grant for the shard.
    Fenced,
    /// The server is shedding load.
    Shed,
    /// The deadline had passed on arrival.
    Expired,
    /// No connection could be established.
    Unreachable,
}
