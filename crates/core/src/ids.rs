//! Small copyable identifiers.

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
    /// One run of one entry host process; a restarted host draws a new one.
    HostId(u64)
}
id! {
    /// One request that a caller has waiting at this host.
    RequestId(u64)
}
id! {
    /// One order that this host has given to a backend server.
    ExchangeId(u64)
}
id! {
    /// One call of this host to the object store or to a backend server's fence register.
    CallId(u64)
}
id! {
    /// A revision of the object store; every write gets a higher one.
    Revision(u64)
}
id! {
    /// How often a shard has changed its owner.
    Epoch(u64)
}
id! {
    /// A fence token; a backend server that checks refuses lower ones.
    Token(u64)
}
id! {
    /// A key of an interned region name.
    RegionKey(u32)
}
id! {
    /// A key of an interned catalogue entry.
    EntryKey(u32)
}
id! {
    /// A key of an interned backend server.
    ServerKey(u32)
}

impl Token {
    /// The token of a control that nobody had before.
    pub const FIRST: Self = Self(1);
}

/// One shard of one catalogue entry in one region.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardKey {
    /// The catalogue entry.
    pub entry: EntryKey,
    /// The region that holds the shard for good.
    pub region: RegionKey,
    /// The number of the shard within the entry and region.
    pub index: u32,
}

impl ShardKey {
    /// Names a shard.
    pub fn new(entry: EntryKey, region: RegionKey, index: u32) -> Self {
        Self {
            entry,
            region,
            index,
        }
    }
}

/// The caller's key of a request that must not run twice.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct IdempotencyKey(pub uuid::Uuid);

impl IdempotencyKey {
    /// The creation time inside the key, in milliseconds since the Unix epoch.
    ///
    /// Only version 7 of RFC 9562 carries it; any other version gives `None`.
    pub fn millis(self) -> Option<u64> {
        if self.0.get_version_num() != 7 {
            return None;
        }
        let (secs, nanos) = self.0.get_timestamp()?.to_unix();
        Some(secs * 1_000 + u64::from(nanos) / 1_000_000)
    }
}
