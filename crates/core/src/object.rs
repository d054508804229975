//! Keys and versions of objects in the store.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Revision};
use crate::record::Subject;

/// The key prefix of the objects that hosts replicate among themselves.
pub const CONFIG_PREFIX: &str = "cfg/";
/// The key prefix of audit records.
pub const AUDIT_PREFIX: &str = "audit/";

/// The key of an object in the store.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ObjectKey(pub String);

impl ObjectKey {
    /// The key of a catalogue entry.
    pub fn entry(name: &str) -> Self {
        Self(format!("{CONFIG_PREFIX}entry/{name}"))
    }

    /// The key of a region's record.
    pub fn region(name: &str) -> Self {
        Self(format!("{CONFIG_PREFIX}region/{name}"))
    }

    /// The key of an entry's placement in a region.
    pub fn placement(entry: &str, region: &str) -> Self {
        Self(format!("{CONFIG_PREFIX}placement/{entry}/{region}"))
    }

    /// The key of an operator's order.
    pub fn order(subject: &Subject) -> Self {
        let (kind, name) = match subject {
            Subject::Domain(name) => ("domain", name.to_string()),
            Subject::Host(name) => ("host", name.clone()),
            Subject::Lost(id) => ("lost", id.to_string()),
            Subject::Server(name) => ("server", name.clone()),
        };
        Self(format!("{CONFIG_PREFIX}order/{kind}/{name}"))
    }

    /// The key of an audit record; with version 7 IDs, later records sort after earlier ones.
    pub fn audit(id: uuid::Uuid) -> Self {
        Self(format!("{AUDIT_PREFIX}{id}"))
    }

    /// What the key refers to; `None` if this version does not recognize the key.
    pub fn kind(&self) -> Option<ObjectKind<'_>> {
        let rest = self.0.strip_prefix(CONFIG_PREFIX)?;
        let (kind, name) = rest.split_once('/')?;
        match kind {
            "entry" => Some(ObjectKind::Entry(name)),
            "region" => Some(ObjectKind::Region(name)),
            "placement" => {
                let (entry, region) = name.split_once('/')?;
                Some(ObjectKind::Placement { entry, region })
            }
            "order" => {
                let (scope, name) = name.split_once('/')?;
                let subject = match scope {
                    "domain" => Subject::Domain(name.parse().ok()?),
                    "host" => Subject::Host(name.to_owned()),
                    "lost" => Subject::Lost(HostId(name.parse().ok()?)),
                    "server" => Subject::Server(name.to_owned()),
                    _ => return None,
                };
                Some(ObjectKind::Order(subject))
            }
            _ => None,
        }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What an [`ObjectKey`] refers to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ObjectKind<'a> {
    /// A catalogue entry.
    Entry(&'a str),
    /// A region's record.
    Region(&'a str),
    /// An entry's placement in a region.
    Placement {
        /// The entry's name.
        entry: &'a str,
        /// The region's name.
        region: &'a str,
    },
    /// An operator's order.
    Order(Subject),
}

/// An object at one revision.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    /// The key under which the store holds the object.
    pub key: ObjectKey,
    /// The revision of the write that made this value.
    pub revision: Revision,
    /// The value as JSON; `None` if the object is deleted.
    pub value: Option<Bytes>,
}
