//! Records that the system keeps in the object store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, HostId, Token};
use crate::names::DomainName;

/// Who serves a region: its hosts, and the host that controls each backend server.
///
/// Hosts and control share one record, so that taking a host off and taking its servers over
/// is one conditional update; see `docs/design.md`, "One record for a region".
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegionRecord {
    /// The hosts on record.
    pub hosts: BTreeMap<HostId, HostRecord>,
    /// The controlling host of each backend server, by the server's name.
    pub control: BTreeMap<String, ControlRecord>,
}

/// One host on record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRecord {
    /// The name under which operators know the host.
    pub name: String,
    /// The failure domain that it stands in.
    pub domain: DomainName,
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// The only host that may take over from it.
    pub successor: Option<HostId>,
    /// Raised with each change of the successor, also over a return to the record; promises and
    /// ledger copies carry it.
    pub term: u64,
}

/// Who controls one backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlRecord {
    /// The controlling host.
    pub host: HostId,
    /// The fence token of this control.
    pub token: Token,
    /// Whether the last controller itself gave up its control.
    #[serde(default)]
    pub released: bool,
}

/// Who owns each shard of an entry in a region.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementRecord {
    /// Owners by shard number.
    pub shards: Vec<Assignment>,
    /// Raised by a host that takes over, so that writes of its predecessor no longer apply.
    #[serde(default)]
    pub touched: u64,
}

/// The owner of one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// The name of the backend server.
    pub server: String,
    /// How often the shard has changed its owner.
    pub epoch: Epoch,
}

/// What an operator ordered for a failure domain, host or backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderRecord {
    /// Whether the subject is taken out of service.
    pub out: bool,
    /// Who ordered it.
    pub operator: String,
}

/// What an operator's order is about.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// A whole failure domain.
    Domain(DomainName),
    /// An entry host, by name.
    Host(String),
    /// One run of an entry host that operators know to be gone for good.
    Lost(HostId),
    /// A backend server, by name.
    Server(String),
}
