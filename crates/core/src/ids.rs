//! Identifier types.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

id! {
    /// Identifies one process of an entry host; a restarted host gets a new ID.
    HostId(u64)
}
id! {
    /// Identifies a caller's pending request at this host.
    RequestId(u64)
}
id! {
    /// Identifies an order that this host sent to a backend server.
    ExchangeId(u64)
}
id! {
    /// Identifies a call of this host to the object store or to a backend server's fence register.
    CallId(u64)
}
id! {
    /// A revision of the object store; increases with every write.
    Revision(u64)
}
id! {
    /// The number of changes of a shard's owner.
    Epoch(u64)
}
id! {
    /// A fence token; a backend server that checks tokens rejects orders with lower ones.
    FenceToken(u64)
}
id! {
    /// The key of an interned region name; differs between hosts.
    RegionKey(u32)
}
id! {
    /// The key of an interned catalogue entry; differs between hosts.
    EntryKey(u32)
}
id! {
    /// The key of an interned backend server; differs between hosts.
    ServerKey(u32)
}

impl FenceToken {
    /// The token of the first control over a server.
    pub const FIRST: Self = Self(1);
}

/// One shard of one catalogue entry in one region.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardKey {
    /// The catalogue entry.
    pub entry: EntryKey,
    /// The region of the shard, which never changes.
    pub region: RegionKey,
    /// The number of the shard within the entry and region.
    pub index: u32,
}

impl ShardKey {
    /// Creates a shard key.
    pub fn new(entry: EntryKey, region: RegionKey, index: u32) -> Self {
        Self {
            entry,
            region,
            index,
        }
    }
}

/// The key under which a caller's request and its retries run at most once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct IdempotencyKey(pub uuid::Uuid);

impl IdempotencyKey {
    /// The creation time in the key, in milliseconds since the Unix epoch.
    ///
    /// Returns `None` for UUID versions other than 7 (RFC 9562), which do not have one.
    pub fn millis(self) -> Option<u64> {
        if self.0.get_version_num() != 7 {
            return None;
        }
        let (secs, nanos) = self.0.get_timestamp()?.to_unix();
        Some(secs * 1_000 + u64::from(nanos) / 1_000_000)
    }
}
