//! Requests of callers and how they end.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::ids::{Epoch, IdempotencyKey, ShardKey, Token};
use crate::time::Time;

/// A caller's request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Request {
    /// The catalogue entry's name.
    pub entry: String,
    /// The tenant; empty for none.
    pub tenant: String,
    /// The key within entry and tenant.
    pub key: String,
    /// The caller's key of work that must not run twice.
    pub idempotency: Option<IdempotencyKey>,
    /// Whether the caller has sent the request before, under the same idempotency key.
    ///
    /// A repeat is called not run only by a host that knows what became of the earlier sending.
    pub repeat: bool,
    /// When an answer is of no use any more.
    pub deadline: Time,
    /// The body.
    pub body: Bytes,
}

impl Request {
    /// A stable hash of entry, tenant and key.
    pub fn key_hash(&self) -> u64 {
        self.hash_identity().digest()
    }

    /// A hash of what the backend server would run, whatever idempotency key it came under.
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
    /// The body.
    pub body: Bytes,
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// No entry of that name is in the catalogue.
    UnknownEntry,
    /// The request may not be served from this region.
    WrongRegion,
    /// The body is over the entry's limit.
    TooLarge,
    /// Work of this class needs an idempotency key of version 7.
    KeyMissing,
    /// The idempotency key lies too far ahead of this host's clock.
    KeyAhead,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The deadline passed, or would pass before the work could end.
    Deadline,
    /// Too much work waits.
    Overloaded,
    /// Nobody serves the key now.
    Unavailable,
    /// The request crashed backend servers and is refused for a while.
    Quarantined,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Doubt {
    /// The backend server was lost with the request in its hands.
    ServerLost,
    /// The host in charge was lost with the request in its hands.
    HostLost,
    /// No answer came by the deadline.
    Deadline,
    /// The idempotency key is older than what this host remembers.
    Forgotten,
    /// The request is a repeat, and the host that knows of the earlier sending was not asked.
    NotAsked,
}

/// How a request ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The backend server's whole answer.
    Answer(Answer),
    /// The request did not run; sending it again is safe.
    NotRun(Refusal),
    /// The request may have run.
    Unknown(Doubt),
}

/// What a backend server is told with a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// The shard of the request's key.
    pub shard: ShardKey,
    /// The shard's epoch.
    pub epoch: Epoch,
    /// The fence token of the host in charge.
    pub token: Token,
    /// When the server has to stop working on the request, by its own clock.
    pub deadline: Time,
}

/// How an order ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OrderResult {
    /// The whole answer arrived.
    Answer(Answer),
    /// The server, or the connection attempt, refused before anything ran.
    Refused(OrderRefusal),
    /// The exchange broke off after the order may have arrived.
    Lost,
}

/// Why an order was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderRefusal {
    /// A higher fence token, or no grant for the shard.
    Fenced,
    /// The server sheds load.
    Shed,
    /// The deadline had passed on arrival.
    Expired,
    /// No connection could be made.
    Unreachable,
}
